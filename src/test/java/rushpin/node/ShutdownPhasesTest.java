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
 * What happens to a request in each phase in which it may be when the grace period after SIGTERM ends, on real sockets.
 * The event loop is blocked while clients write, as if the process had no core, so that their bytes wait in the kernel.
 */
class ShutdownPhasesTest extends NodeTestBase {
    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: n0\r\n\r\n";
    /** Completes when the app server may answer. */
    private final CompletableFuture<Void> go = new CompletableFuture<>();

    private StubServer server;
    private EdgeNode node;

    /** How many requests got a complete answer with {@code Connection: close}, and how many got none. */
    private record AnswerCount(int answered, int unanswered) {}

    @BeforeEach
    void startServerAndNode() throws Exception {
        server = stubServer(respondAfter(go));
        node = node(server);
    }

    /** Ends the grace period right after the clients have acted, before the node polls its sockets again. */
    private void endGraceAfter(ThrowingRunnable clients) throws Exception {
        runWhileLoopIsBlocked(node, clients, () -> {
            node.closeAfterAnswers();
            node.stopAccepting(true);
        });
    }

    private static void writeText(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Opens connections that have served one request and are idle. */
    private List<Socket> openIdle(int count) throws IOException {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket client = client(node);
            writeText(client, HEALTH);
            assertNotNull(StubServer.read(client));
            idle.add(client);
        }
        return idle;
    }

    private static AnswerCount countAnswers(List<Socket> clients) throws IOException {
        int answered = 0;
        for (Socket client : clients) {
            StubServer.Message answer = null;
            try {
                answer = StubServer.read(client);
            } catch (SocketException e) {
                // Reset: no answer.
            }
            if (answer != null) {
                assertEquals("close", answer.headers().get("connection"));
                assertNull(StubServer.read(client), "the connection must end after one answer");
                answered++;
            }
        }
        return new AnswerCount(answered, clients.size() - answered);
    }

    @Test
    void idleAndUnusedConnectionsAreClosedWithoutAReset() throws Exception {
        List<Socket> clients = openIdle(3);
        endGraceAfter(() -> clients.add(client(node)));
        for (Socket client : clients) {
            assertNull(StubServer.read(client), "the connection must end without a reset");
        }
    }

    @Test
    void anUnreadRequestOnAnIdleConnectionIsAnswered() throws Exception {
        go.complete(null);
        List<Socket> clients = openIdle(3);
        endGraceAfter(() -> {
            for (int i = 0; i < clients.size(); i++) {
                order(clients.get(i), "t-" + i);
            }
        });
        assertEquals(new AnswerCount(3, 0), countAnswers(clients));
        assertEquals(3, server.requests.size());
    }

    /** Closing many idle connections takes time, in which the request on the last one must not be lost. */
    @Test
    void manyIdleConnectionsWithARequestEachAreAnswered() throws Exception {
        List<Socket> clients = openIdle(60);
        endGraceAfter(() -> {
            for (Socket client : clients) {
                writeText(client, HEALTH);
            }
        });
        assertEquals(new AnswerCount(60, 0), countAnswers(clients));
    }

    /**
     * Connections that arrive while the node stops: if it merely closed the listening socket, the kernel would accept
     * and then reset them.
     */
    @Test
    void connectionsAfterTheLastAcceptAreAnswered() throws Exception {
        CompletableFuture<Void> ending = new CompletableFuture<>();
        CompletableFuture<Void> written = new CompletableFuture<>();
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
                writeText(clients.get(i), HEALTH);
            }
        } finally {
            written.complete(null);
        }
        ended.get(60, TimeUnit.SECONDS);
        assertEquals(new AnswerCount(3, 0), countAnswers(clients));
    }

    /** More connections than one accept batch: closing the listening socket would make the kernel reset the rest. */
    @Test
    void connectionsInTheAcceptBacklogAreAnswered() throws Exception {
        List<Socket> clients = new ArrayList<>();
        endGraceAfter(() -> {
            for (int i = 0; i < 40; i++) {
                clients.add(client(node));
                writeText(clients.get(i), HEALTH);
            }
        });
        assertEquals(new AnswerCount(40, 0), countAnswers(clients));
    }

    /** Clients get half of the 16 descriptors; a connection accepted on the last of these would evict another one. */
    @Test
    void noMoreIsAcceptedFromTheBacklogThanTheConnectionLimitAllows() throws Exception {
        node = start(
                config(member("s-0", server.address(), "Ready", 0)).replace("\"sockets\": 1024", "\"sockets\": 16"));
        List<Socket> clients = new ArrayList<>();
        endGraceAfter(() -> {
            for (int i = 0; i < 12; i++) {
                clients.add(client(node));
                writeText(clients.get(i), HEALTH);
            }
        });
        assertEquals(new AnswerCount(7, 5), countAnswers(clients));
    }

    @Test
    void aPartlyReceivedRequestIsReadToItsEndAndAnswered() throws Exception {
        go.complete(null);
        List<Socket> clients = openIdle(4);
        // Four cases: the head is complete or not, and its bytes are read before the grace period ends or still in the
        // kernel.
        String[] unsent = new String[4];
        Map<String, String> headers = headers("t-", "order", "20000");
        ThrowingRunnable begin = () -> {
            for (int i = 0; i < 4; i++) {
                StringBuilder text = new StringBuilder("POST /api HTTP/1.1\r\n");
                headers.put("X-Trace-Id", "t-" + i);
                headers.put("Idempotency-Key", "key-" + i);
                headers.forEach((name, value) ->
                        text.append(name).append(": ").append(value).append("\r\n"));
                text.append("Content-Length: 4\r\n\r\nbook");
                int cut = i % 2 == 0 ? 30 : text.length() - 2;
                unsent[i] = text.substring(cut);
                if (i < 2) {
                    writeText(clients.get(i), text.substring(0, cut));
                } else {
                    unsent[i] = text.toString();
                }
            }
        };
        begin.run();
        // The loop reads what the kernel holds before it runs a task from its timer queue.
        node.loop().schedule(() -> {}, 1, TimeUnit.NANOSECONDS).get();
        endGraceAfter(() -> {
            for (int i = 2; i < 4; i++) {
                int cut = i % 2 == 0 ? 30 : unsent[i].length() - 2;
                writeText(clients.get(i), unsent[i].substring(0, cut));
                unsent[i] = unsent[i].substring(cut);
            }
        });
        for (int i = 0; i < 4; i++) {
            writeText(clients.get(i), unsent[i]);
        }
        assertEquals(new AnswerCount(4, 0), countAnswers(clients));
    }

    /** A pipelined request behind one in flight is not taken: its client sees the close and retries elsewhere. */
    @Test
    void aRequestInFlightIsAnsweredAndAPipelinedOneIsLeftToTheClient() throws Exception {
        List<Socket> clients = openIdle(2);
        order(clients.get(0), "t-0");
        order(clients.get(1), "t-1");
        server.next();
        server.next();
        endGraceAfter(() -> order(clients.get(1), "t-2"));
        // Lets the loop read the pipelined request: unread bytes would turn the close into a reset.
        node.loop().schedule(() -> {}, 1, TimeUnit.NANOSECONDS).get();
        go.complete(null);
        assertEquals(new AnswerCount(2, 0), countAnswers(clients));
        assertNull(server.requests.poll());
    }

    /** The one case without an answer: the client writes after the node has closed the connection. */
    @Test
    void aRequestThatCrossesTheCloseHasNoAnswerAndReachesNoServer() throws Exception {
        go.complete(null);
        List<Socket> clients = openIdle(1);
        endGraceAfter(() -> {});
        // One pass of the loop closes the listening socket; a later one handles its backlog and the idle connections.
        while (node.connections() > 0) {
            Thread.onSpinWait();
        }
        try {
            order(clients.get(0), "t-0");
        } catch (SocketException e) {
            // The client saw the close first.
        }
        assertEquals(new AnswerCount(0, 1), countAnswers(clients));
        assertNull(server.requests.poll());
    }

    /**
     * Clients may wait for longer than the 3.7 s from SIGTERM to SIGKILL, which loses unanswered requests; so a request
     * taken during a drain gets a deadline before SIGKILL.
     */
    @Test
    void aRequestTakenDuringADrainEndsBeforeSigkill() throws Exception {
        go.complete(null);
        List<Socket> clients = openIdle(1);
        endGraceAfter(() -> order(clients.get(0), "t-0"));
        assertEquals(new AnswerCount(1, 0), countAnswers(clients));
        int remainingMs = Integer.parseInt(server.next().headers().get("x-expires-in-ms"));
        assertTrue(remainingMs > 0 && remainingMs <= 3_400, "the app server got a deadline of " + remainingMs + " ms");
    }

    /** During the whole drain a request on an open connection is answered, and the connection ends with the answer. */
    @Test
    void duringTheGracePeriodIdleAndNewConnectionsAreAnsweredAndEnd() throws Exception {
        go.complete(null);
        List<Socket> clients = openIdle(3);
        CompletableFuture<Integer> drained = node.drain();
        clients.add(client(node));
        for (int i = 0; i < clients.size(); i++) {
            order(clients.get(i), "t-" + i);
        }
        assertEquals(new AnswerCount(4, 0), countAnswers(clients));
        assertEquals(0, drained.get(60, TimeUnit.SECONDS));
    }
}
