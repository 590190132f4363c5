package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/**
 * Pauses of the event loop that are too short to count as a stall, such as when the process gets no core for a moment.
 * Events of the meantime wait in the sockets and are handled one by one afterwards; the node must not act on an early
 * one as if a later one had not happened.
 */
class PausedLoopTest extends NodeTestBase {
    /**
     * Longer than the 100 ms after which a client's disconnect is binding, and shorter than the usual grace period of a
     * drain.
     */
    private static final long PAUSE_MS = 300;

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A server that closes the connection of the request "left" when {@code go} completes, and answers all others. */
    private StubServer breakingServer(CompletableFuture<Void> go, CompletableFuture<Void> broken) throws Exception {
        return stubServer(m -> {
            if (m.headers().get("x-trace-id").equals("left")) {
                go.join();
                m.socket().close();
                broken.complete(null);
            } else {
                m.answer(StubServer.ok("", "x"));
            }
        });
    }

    @Test
    void anAttemptThatBrokeJustBeforeItsClientDisconnectedIsNotRetried() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        CompletableFuture<Void> broken = new CompletableFuture<>();
        StubServer first = breakingServer(go, broken);
        StubServer second = breakingServer(go, broken);
        EdgeNode node = node(first, second);
        // The first request loads classes, which is a pause by itself.
        assertEquals("200", status(sendAndRead(node, "warm")));
        first.requests.clear();
        second.requests.clear();
        Socket client = client(node);
        order(client, "left");
        awaitAttempt(first, second);

        runWhileLoopIsBlocked(
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
        // A retry would have been sent before this request is answered.
        assertEquals("200", status(sendAndRead(node, "after")));
        long attempts = attemptsOf("left", first) + attemptsOf("left", second);
        assertEquals(1, attempts, "attempts for a client that had disconnected");
        assertEquals(1, attemptsOf("after", first) + attemptsOf("after", second));
    }

    /** Guards against a request that is never sent because the node defers it after every slow pass of the loop. */
    @Test
    void aRequestIsSentEvenIfEachPassOfTheLoopIsSlow() throws Exception {
        EdgeNode node = node(stubServer(m -> m.answer(StubServer.ok("", "x"))));
        assertEquals("200", status(sendAndRead(node, "warm")));
        AtomicBoolean stopped = new AtomicBoolean();
        slowDownLoop(node, stopped);
        try {
            assertEquals("200", status(sendAndRead(node, "slow")));
        } finally {
            stopped.set(true);
        }
    }

    private static void slowDownLoop(EdgeNode node, AtomicBoolean stopped) {
        node.loop()
                .schedule(
                        () -> {
                            pause();
                            if (!stopped.get()) {
                                slowDownLoop(node, stopped);
                            }
                        },
                        1,
                        TimeUnit.NANOSECONDS);
    }

    private static long attemptsOf(String id, StubServer server) {
        return server.requests.stream()
                .filter(m -> m.headers().get("x-trace-id").equals(id))
                .count();
    }

    private static void awaitAttempt(StubServer... servers) throws InterruptedException {
        while (true) {
            for (StubServer server : servers) {
                if (!server.requests.isEmpty()) {
                    return;
                }
            }
            Thread.sleep(1);
        }
    }

    private StubServer.Message sendAndRead(EdgeNode node, String id) throws Exception {
        Socket socket = client(node);
        order(socket, id);
        return StubServer.read(socket);
    }
}
