package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What becomes of a request in each phase that the end of the grace after SIGTERM may find it in, on real sockets. The
 * loop is held while clients write, as a processor that is taken away would: what they wrote waits in the kernel then.
 */
class TermPhasesTest extends Stage {
    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: n0\r\n\r\n";
    private final CompletableFuture<Void> go = new CompletableFuture<>();
    private Peer server;
    private EdgeNode node;

    /** How requests ended: with a whole answer that says the connection ends, or without any. */
    private record Count(int answered, int unanswered) {}

    @BeforeEach
    void serve() throws Exception {
        server = peer(after(go));
        node = node(server);
    }

    /** The grace ends just when clients have written, and the node has not looked since. */
    private void endGraceBehind(Happening clients) throws Exception {
        whileLoopIsHeld(node, clients, () -> {
            node.closeAfterAnswers();
            node.stopAccepting(true);
        });
    }

    private static void send(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Connections that have been of use once, and now wait for their next request. */
    private List<Socket> idle(int many) throws IOException {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            Socket client = client(node);
            send(client, HEALTH);
            assertNotNull(Peer.read(client));
            idle.add(client);
        }
        return idle;
    }

    private static Count count(List<Socket> clients) throws IOException {
        int answered = 0;
        for (Socket client : clients) {
            Peer.Message answer = null;
            try {
                answer = Peer.read(client);
            } catch (SocketException e) {
                // Reset: no answer.
            }
            if (answer != null) {
                assertEquals("close", answer.headers().get("connection"));
                assertNull(Peer.read(client), "one answer, and the end");
                answered++;
            }
        }
        return new Count(answered, clients.size() - answered);
    }

    @Test
    void anIdleConnectionAndOneThatNeverAskedAreClosedInOrder() throws Exception {
        List<Socket> clients = idle(3);
        endGraceBehind(() -> clients.add(client(node)));
        for (Socket client : clients) {
            assertNull(Peer.read(client), "an end, not a reset");
        }
    }

    @Test
    void aRequestThatWaitsUnreadOnAnIdleConnectionIsAnswered() throws Exception {
        go.complete(null);
        List<Socket> clients = idle(3);
        endGraceBehind(() -> {
            for (int i = 0; i < clients.size(); i++) {
                order(clients.get(i), "t-" + i);
            }
        });
        assertEquals(new Count(3, 0), count(clients));
        assertEquals(3, server.seen.size());
    }

    /** A crowd of idle connections takes time to end: the last one's request is no more lost than the first one's. */
    @Test
    void manyIdleConnectionsWithARequestEachAreAnswered() throws Exception {
        List<Socket> clients = idle(60);
        endGraceBehind(() -> {
            for (Socket client : clients) {
                send(client, HEALTH);
            }
        });
        assertEquals(new Count(60, 0), count(clients));
    }

    /** The end is under way when they come: a socket that was only closed would take them, and reset them. */
    @Test
    void whoConnectsBehindTheLastAcceptIsAnswered() throws Exception {
        CompletableFuture<Void> ending = new CompletableFuture<>(), written = new CompletableFuture<>();
        CompletableFuture<Void> ended = CompletableFuture.runAsync(
                () -> {
                    node.closeAfterAnswers();
                    node.stopAccepting(true);
                    ending.complete(null);
                    written.join();
                },
                node.loop());
        ending.join();
        List<Socket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < 3; i++) {
                clients.add(client(node));
                send(clients.get(i), HEALTH);
            }
        } finally {
            written.complete(null);
        }
        ended.get(60, TimeUnit.SECONDS);
        assertEquals(new Count(3, 0), count(clients));
    }

    /** More than the loop accepts in one go: the kernel would reset them with the listening socket. */
    @Test
    void whatWaitsInTheKernelsLineIsTakenAndAnswered() throws Exception {
        List<Socket> clients = new ArrayList<>();
        endGraceBehind(() -> {
            for (int i = 0; i < 40; i++) {
                clients.add(client(node));
                send(clients.get(i), HEALTH);
            }
        });
        assertEquals(new Count(40, 0), count(clients));
    }

    /** Half of 16 descriptors are clients', and at the last place a newcomer would end another one. */
    @Test
    void noMoreIsTakenFromTheLineThanThereIsRoomFor() throws Exception {
        node = start(
                config(member("s-0", server.address(), "Ready", 0)).replace("\"sockets\": 1024", "\"sockets\": 16"));
        List<Socket> clients = new ArrayList<>();
        endGraceBehind(() -> {
            for (int i = 0; i < 12; i++) {
                clients.add(client(node));
                send(clients.get(i), HEALTH);
            }
        });
        assertEquals(new Count(7, 5), count(clients));
    }

    @Test
    void aRequestOfWhichAPartHasComeIsReadToItsEndAndAnswered() throws Exception {
        go.complete(null);
        List<Socket> clients = idle(4);
        // Head whole or not, read before the grace ends or still in the kernel.
        String[] rest = new String[4];
        Map<String, String> headers = headers("t-", "order", "20000");
        Happening begin = () -> {
            for (int i = 0; i < 4; i++) {
                StringBuilder text = new StringBuilder("POST /api HTTP/1.1\r\n");
                headers.put("X-Trace-Id", "t-" + i);
                headers.put("Idempotency-Key", "key-" + i);
                headers.forEach((name, value) ->
                        text.append(name).append(": ").append(value).append("\r\n"));
                text.append("Content-Length: 4\r\n\r\nbook");
                int cut = i % 2 == 0 ? 30 : text.length() - 2;
                rest[i] = text.substring(cut);
                if (i < 2) {
                    send(clients.get(i), text.substring(0, cut));
                } else {
                    rest[i] = text.toString();
                }
            }
        };
        begin.run();
        // What is in the kernel by now is read before a task that comes by way of the loop's timers.
        node.loop().schedule(() -> {}, 1, TimeUnit.NANOSECONDS).get();
        endGraceBehind(() -> {
            for (int i = 2; i < 4; i++) {
                int cut = i % 2 == 0 ? 30 : rest[i].length() - 2;
                send(clients.get(i), rest[i].substring(0, cut));
                rest[i] = rest[i].substring(cut);
            }
        });
        for (int i = 0; i < 4; i++) {
            send(clients.get(i), rest[i]);
        }
        assertEquals(new Count(4, 0), count(clients));
    }

    /** One that waits behind another was never taken: its client reads the word to close, and asks elsewhere. */
    @Test
    void whatIsOutIsAnsweredAndWhatWaitsBehindItIsTheClients() throws Exception {
        List<Socket> clients = idle(2);
        order(clients.get(0), "t-0");
        order(clients.get(1), "t-1");
        server.next();
        server.next();
        endGraceBehind(() -> order(clients.get(1), "t-2"));
        // Read, if it is to be read: else the end would be a reset.
        node.loop().schedule(() -> {}, 1, TimeUnit.NANOSECONDS).get();
        go.complete(null);
        assertEquals(new Count(2, 0), count(clients));
        assertNull(server.seen.poll());
    }

    /** The one case that is left: what is written after the node's end has gone out. */
    @Test
    void whatCrossesTheNodesEndHasNoAnswerAndReachesNoServer() throws Exception {
        go.complete(null);
        List<Socket> clients = idle(1);
        endGraceBehind(() -> {});
        // The listening socket is let go of in one pass of the loop, and its queue and the idle ones are looked at in a
        // later one.
        while (node.connections() > 0) {
            Thread.onSpinWait();
        }
        try {
            order(clients.get(0), "t-0");
        } catch (SocketException e) {
            // The end was seen first.
        }
        assertEquals(new Count(0, 1), count(clients));
        assertNull(server.seen.poll());
    }

    /** SIGKILL comes 3.7 s after SIGTERM where clients wait for longer: what it found unanswered was lost. */
    @Test
    void whatIsTakenInADrainIsOverBeforeTheKill() throws Exception {
        go.complete(null);
        List<Socket> clients = idle(1);
        endGraceBehind(() -> order(clients.get(0), "t-0"));
        assertEquals(new Count(1, 0), count(clients));
        int waits = Integer.parseInt(server.next().headers().get("x-expires-in-ms"));
        assertTrue(waits > 0 && waits <= 3_400, "its server is told that " + waits + " ms are left");
    }

    /** Through the whole drain: a connection that stays open brings a request, which is answered, and ends with it. */
    @Test
    void withinTheGraceIdleAndNewConnectionsAreAnsweredAndEnd() throws Exception {
        go.complete(null);
        List<Socket> clients = idle(3);
        CompletableFuture<Integer> drained = node.drain();
        clients.add(client(node));
        for (int i = 0; i < clients.size(); i++) {
            order(clients.get(i), "t-" + i);
        }
        assertEquals(new Count(4, 0), count(clients));
        assertEquals(0, drained.get(60, TimeUnit.SECONDS));
    }
}
