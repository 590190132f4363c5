package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * The process was stopped and goes on, but gets no core for longer than any span that it might wait by the clock: what
 * came during the stop is read before anything is sent all the same.
 */
class BehindAStopTest extends NodeTestBase {
    private static final long STOP_MS = 300;
    /** Longer than a client waits that says {@link #SHORT_MS}. */
    private static final long LONG_STOP_MS = 2_100;

    private static final String SHORT_MS = "2000";
    /** Shorter than what counts as a stop by itself. */
    private static final long CROWDED_MS = 40;

    private static final int CLIENTS = 8;

    private final List<StubServer.Message> watches = new ArrayList<>();

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void watched() throws IOException {
        discovery = stubServer(m -> {
            m.answer(UNCHANGED);
            synchronized (watches) {
                watches.add(m);
                watches.notifyAll();
            }
        });
    }

    private StubServer.Message awaitWatch() throws InterruptedException {
        synchronized (watches) {
            while (watches.isEmpty()) {
                watches.wait();
            }
            return watches.get(watches.size() - 1);
        }
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    /** The loop stands still while things happen; it notices, and then is kept once more from looking at its sockets. */
    private static void stopped(EdgeNode node, long ms, ThrowingRunnable happening) throws Exception {
        runWhileLoopIsBlocked(node, happening, () -> {
            sleep(ms);
            // Behind the pool's own timers, which are due by now.
            node.loop().schedule(() -> sleep(CROWDED_MS), 1, TimeUnit.MICROSECONDS);
        });
    }

    private Socket[] clients(EdgeNode node) throws Exception {
        Socket[] made = new Socket[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            made[i] = client(node);
            assertEquals("200", ask(made[i], "warm-" + i));
        }
        return made;
    }

    /** Guards against requests that go to a server whose drain was told during the stop (DRAINS_KEPT of FleetTest). */
    @Test
    void aDrainThatWasToldDuringAStopIsReadBeforeAnythingIsSent() throws Exception {
        watched();
        StubServer gone = stubServer(m -> m.answer(StubServer.ok("", "old")));
        StubServer there = stubServer(m -> m.answer(StubServer.ok("", "new")));
        EdgeNode node = start(config(member("s-0", gone.address(), "Ready", 0)));
        Socket[] clients = clients(node);
        StubServer.Message watch = awaitWatch();
        gone.requests.clear();
        stopped(node, STOP_MS, () -> {
            // Requests first and the list after them: whoever reads in this order sends by what it knew.
            for (int i = 0; i < CLIENTS; i++) {
                order(clients[i], "t-" + i);
            }
            watch.answer(chunk(
                    "{\"revision\":9,\"complete\":true,\"members\":[" + member("s-0", gone.address(), "Terminating", 0)
                            + "," + member("s-1", there.address(), "Ready", 0) + "]}"));
        });
        for (Socket client : clients) {
            assertEquals("new", StubServer.read(client).body());
        }
        assertTrue(gone.requests.isEmpty(), "sent to a server that had drained: " + gone.requests);
    }

    /** Guards against requests that are sent on with their client's end right behind them, a connection being at hand. */
    @Test
    void aRequestWhoseClientLeftDuringTheStopIsNotSent() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        EdgeNode node = node(server);
        Socket[] clients = clients(node);
        server.requests.clear();
        stopped(node, STOP_MS, () -> {
            for (int i = 0; i < CLIENTS; i++) {
                order(clients[i], "left-" + i);
                clients[i].close();
            }
        });
        while (node.connections() > 0) {
            Thread.sleep(1);
        }
        // What the node would send it has sent by the time that this one is answered.
        assertEquals("200", ask(client(node), "after"));
        assertEquals(
                List.of("after"),
                server.requests.stream().map(m -> m.headers().get("x-trace-id")).toList());
    }

    /** Guards against requests that are sent on after their time, since their wait in the kernel did not count. */
    @Test
    void aRequestThatWaitedLongerThanItsClientDoesIsTurnedAway() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        EdgeNode node = node(server);
        Socket[] clients = clients(node);
        server.requests.clear();
        stopped(node, LONG_STOP_MS, () -> {
            for (int i = 0; i < CLIENTS; i++) {
                write(clients[i], "POST /api?slot=4", headers("late-" + i, "order", SHORT_MS), "book");
            }
        });
        for (Socket client : clients) {
            assertEquals("429", status(StubServer.read(client)), "to come again is harmless");
        }
        assertTrue(server.requests.isEmpty(), server.requests.size() + " were sent on after their time");
    }
}
