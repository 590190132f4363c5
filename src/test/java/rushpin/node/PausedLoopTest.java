package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/**
 * The process has no core for a moment, shorter than a stop that anybody would notice. All that happened meanwhile lies in its
 * sockets, in the order in which it came, and is decided upon one by one.
 */
class PausedLoopTest extends Stage {
    /** Longer than the 100 ms after which a client that left binds, and shorter than any drain's usual grace. */
    private static final long PAUSE_MS = 300;

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Each server breaks off the request that names it; another one is answered. */
    private Peer breakingOff(CompletableFuture<Void> go, CompletableFuture<Void> broken) throws Exception {
        return peer(m -> {
            if (m.headers().get("x-trace-id").equals("left")) {
                go.join();
                m.socket().close();
                broken.complete(null);
            } else {
                m.answer(Peer.ok("", "x"));
            }
        });
    }

    @Test
    void anAttemptThatBrokeJustBeforeItsClientLeftIsNotRepeated() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        CompletableFuture<Void> broken = new CompletableFuture<>();
        Peer first = breakingOff(go, broken);
        Peer second = breakingOff(go, broken);
        EdgeNode node = node(first, second);
        // The first request of all loads what it needs, and is a pause by itself.
        assertEquals("200", status(ask(node, "warm")));
        first.seen.clear();
        second.seen.clear();
        Socket client = client(node);
        order(client, "left");
        awaitAttempt(first, second);

        whileLoopIsHeld(
                node,
                () -> {
                    go.complete(null);
                    broken.get(30, TimeUnit.SECONDS);
                    client.close();
                },
                PausedLoopTest::pause);
        while (node.connections() > 1) {
            Thread.sleep(1);
        }
        // What the node would send again it has sent by the time that this one is answered.
        assertEquals("200", status(ask(node, "after")));
        long attempts = countOf("left", first) + countOf("left", second);
        assertEquals(1, attempts, "attempts for a client that had left");
        assertEquals(1, countOf("after", first) + countOf("after", second));
    }

    /** Where all passes of the loop are pauses, one waiting for news behind each would never be sent. */
    @Test
    void aRequestIsSentThoughEachPassOfTheLoopIsSlow() throws Exception {
        EdgeNode node = node(peer(m -> m.answer(Peer.ok("", "x"))));
        assertEquals("200", status(ask(node, "warm")));
        AtomicBoolean over = new AtomicBoolean();
        slowDown(node, over);
        try {
            assertEquals("200", status(ask(node, "slow")));
        } finally {
            over.set(true);
        }
    }

    private static void slowDown(EdgeNode node, AtomicBoolean over) {
        node.loop()
                .schedule(
                        () -> {
                            pause();
                            if (!over.get()) {
                                slowDown(node, over);
                            }
                        },
                        1,
                        TimeUnit.NANOSECONDS);
    }

    private static long countOf(String id, Peer at) {
        return at.seen.stream()
                .filter(m -> m.headers().get("x-trace-id").equals(id))
                .count();
    }

    private static void awaitAttempt(Peer... servers) throws InterruptedException {
        while (true) {
            for (Peer server : servers) {
                if (!server.seen.isEmpty()) {
                    return;
                }
            }
            Thread.sleep(1);
        }
    }

    private Peer.Message ask(EdgeNode node, String id) throws Exception {
        Socket socket = client(node);
        order(socket, id);
        return Peer.read(socket);
    }
}
