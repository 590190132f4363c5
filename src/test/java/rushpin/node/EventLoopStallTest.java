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
 * The event loop stalls, resumes, and right after that gets no CPU core for longer than any settling time measured by
 * the clock. What arrived during the stall must still be read before anything is sent.
 */
class EventLoopStallTest extends NodeTestBase {
    private static final long STALL_MS = 300;
    /** Longer than {@link #EXPIRES_MS}, the time that the clients wait. */
    private static final long LONG_STALL_MS = 2_100;

    private static final String EXPIRES_MS = "2000";
    /** The second delay; too short to count as a stall by itself. */
    private static final long SECOND_DELAY_MS = 40;

    private static final int CLIENTS = 8;

    private final List<StubServer.Message> watches = new ArrayList<>();

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void recordWatches() throws IOException {
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

    /** Blocks the loop during the action and for {@code ms} after it, and once more before it polls its sockets. */
    private static void stall(EdgeNode node, long ms, ThrowingRunnable action) throws Exception {
        runWhileLoopIsBlocked(node, action, () -> {
            sleep(ms);
            // Runs after the pool's own timers, which are due by now.
            node.loop().schedule(() -> sleep(SECOND_DELAY_MS), 1, TimeUnit.MICROSECONDS);
        });
    }

    private Socket[] connectClients(EdgeNode node) throws Exception {
        Socket[] clients = new Socket[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            clients[i] = client(node);
            assertEquals("200", ask(clients[i], "warm-" + i));
        }
        return clients;
    }

    /** Guards against requests sent to a server whose drain was announced during the stall (rule DRAINS_KEPT). */
    @Test
    void aDrainAnnouncedDuringAStallIsReadBeforeAnythingIsSent() throws Exception {
        recordWatches();
        StubServer draining = stubServer(m -> m.answer(StubServer.ok("", "old")));
        StubServer remaining = stubServer(m -> m.answer(StubServer.ok("", "new")));
        EdgeNode node = start(config(member("s-0", draining.address(), "Ready", 0)));
        Socket[] clients = connectClients(node);
        StubServer.Message watch = awaitWatch();
        draining.requests.clear();
        stall(node, STALL_MS, () -> {
            // Requests first, the list after them: a node that reads in this order would send by its old list.
            for (int i = 0; i < CLIENTS; i++) {
                order(clients[i], "t-" + i);
            }
            watch.answer(chunk("{\"revision\":9,\"complete\":true,\"members\":["
                    + member("s-0", draining.address(), "Terminating", 0) + ","
                    + member("s-1", remaining.address(), "Ready", 0) + "]}"));
        });
        for (Socket client : clients) {
            assertEquals("new", StubServer.read(client).body());
        }
        assertTrue(draining.requests.isEmpty(), "sent to a draining server: " + draining.requests);
    }

    /** Guards against forwarding a request on an idle connection while its client's close waits behind it. */
    @Test
    void aRequestWhoseClientLeftDuringTheStallIsNotSent() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        EdgeNode node = node(server);
        Socket[] clients = connectClients(node);
        server.requests.clear();
        stall(node, STALL_MS, () -> {
            for (int i = 0; i < CLIENTS; i++) {
                order(clients[i], "left-" + i);
                clients[i].close();
            }
        });
        while (node.connections() > 0) {
            Thread.sleep(1);
        }
        // Whatever the node sends of the earlier requests has been sent once this one is answered.
        assertEquals("200", ask(client(node), "after"));
        assertEquals(
                List.of("after"),
                server.requests.stream().map(m -> m.headers().get("x-trace-id")).toList());
    }

    /** Guards against forwarding expired requests because their time in the socket buffer was not counted. */
    @Test
    void aRequestThatExpiredDuringTheStallIsRefused() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        EdgeNode node = node(server);
        Socket[] clients = connectClients(node);
        server.requests.clear();
        stall(node, LONG_STALL_MS, () -> {
            for (int i = 0; i < CLIENTS; i++) {
                write(clients[i], "POST /api?slot=4", headers("late-" + i, "order", EXPIRES_MS), "book");
            }
        });
        for (Socket client : clients) {
            assertEquals("429", status(StubServer.read(client)), "the refusal must say that a retry is safe");
        }
        assertTrue(server.requests.isEmpty(), server.requests.size() + " were forwarded after they had expired");
    }
}
