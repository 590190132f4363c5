package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.config.Config;

/**
 * Steps of the machine's wall clock at different points of a request's life: they must not change how long a request
 * may run, nor keep a node from serving. A server list pushed through the open watch makes the node read the clock, so
 * the test controls the order of events.
 */
class ClockStepTest extends NodeTestBase {
    /** A server's uptime beyond the slow-start ramp in the settings; a cold server gets almost no requests. */
    private static final long WARM_MS = 60_000;

    private static final int EXPIRY_MS = 20_000;
    private static final int SHORT_EXPIRY_MS = 2_500;
    /**
     * The part of the client's time that the node reserves for itself, plus the time between the test's reading of the
     * clock and the node's.
     */
    private static final long MARGIN_MS = 500;

    private final AtomicLong clockOffsetMs = new AtomicLong();
    private final List<StubServer.Message> watches = new ArrayList<>();
    /** The last pushed list as an HTTP chunk; a watch that opens later starts with it. */
    private String lastPush = "";

    private long wallMs() {
        return System.currentTimeMillis() + clockOffsetMs.get();
    }

    private EdgeNode node(Clock clock, String... members) throws Exception {
        EdgeNode node = new EdgeNode(Config.parse(config(members)), null, clock);
        toClose.add(node);
        node.start();
        return node;
    }

    private void acceptWatches() throws IOException {
        discovery = stubServer(m -> {
            synchronized (watches) {
                m.answer(UNCHANGED + lastPush);
                watches.add(m);
                watches.notifyAll();
            }
        });
    }

    /** Sends a server list on every open watch, and on those opened later. */
    private void pushServerList(String... members) throws InterruptedException {
        String line = "{\"revision\":8,\"complete\":true,\"members\":[" + String.join(",", members) + "]}\n";
        synchronized (watches) {
            while (watches.isEmpty()) {
                watches.wait();
            }
            lastPush = Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
            for (StubServer.Message watch : watches) {
                try {
                    watch.answer(lastPush);
                } catch (IOException e) {
                    // The node has closed this watch and reads a newer one.
                }
            }
        }
    }

    /** Sends requests until one is answered with this body, so by the server that the new list contains. */
    private static void awaitBody(Socket client, String body) throws IOException {
        for (int i = 0; ; i++) {
            order(client, body + "-" + i);
            StubServer.Message answer = StubServer.read(client);
            assertEquals("200", status(answer));
            if (answer.body().equals(body)) {
                return;
            }
        }
    }

    private static long elapsedMs(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** After the step the request is retried with the client's remaining time, and the watch still counts as live. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, -1_000, 10_000, -10_000, 3_600_000, -3_600_000})
    void anInFlightRequestKeepsItsDeadlineAndItsRetryWhileTheListChanges(long step) throws Exception {
        CompletableFuture<Void> breakConnection = new CompletableFuture<>();
        StubServer old = stubServer(m -> {
            if (m.headers().get("x-trace-id").equals("held")) {
                breakConnection.join();
                m.socket().close();
            } else {
                m.answer(StubServer.ok("", "old"));
            }
        });
        StubServer fresh = stubServer(m -> m.answer(StubServer.ok("", "new")));
        acceptWatches();
        EdgeNode node = node(new Clock(this::wallMs), member("s-0", old.address(), "Ready", wallMs() - WARM_MS));
        Socket held = client(node);
        Socket other = client(node);
        long sentNanos = System.nanoTime();
        write(held, "POST /api?slot=4", headers("held", "order", Integer.toString(EXPIRY_MS)), "book");
        old.next();
        clockOffsetMs.set(step);
        pushServerList(
                member("s-0", old.address(), "Terminating", wallMs() - WARM_MS - step),
                member("s-1", fresh.address(), "Ready", wallMs() - WARM_MS));
        awaitBody(other, "new");
        fresh.requests.clear();
        breakConnection.complete(null);
        StubServer.Message retried = fresh.next();
        long elapsed = elapsedMs(sentNanos);
        assertEquals("held", retried.headers().get("x-trace-id"));
        long remaining = Long.parseLong(retried.headers().get("x-expires-in-ms"));
        assertTrue(
                remaining <= EXPIRY_MS && remaining >= EXPIRY_MS - elapsed - MARGIN_MS,
                remaining + " ms left after " + elapsed);
        StubServer.Message answer = StubServer.read(held);
        assertEquals("200 new", status(answer) + " " + answer.body());
    }

    /** The deadline follows the monotonic clock: the request neither fails early nor stays without an answer. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, -1_000, 10_000, -10_000, 3_600_000, -3_600_000})
    void aRequestThatNoServerAnswersFailsAtItsDeadline(long step) throws Exception {
        StubServer silent = stubServer(m -> {});
        StubServer fresh = stubServer(m -> m.answer(StubServer.ok("", "new")));
        acceptWatches();
        EdgeNode node = node(new Clock(this::wallMs), member("s-0", silent.address(), "Ready", 0));
        Socket client = client(node);
        Socket other = client(node);
        long sentNanos = System.nanoTime();
        Map<String, String> headers = headers("strict", "strict", Integer.toString(SHORT_EXPIRY_MS));
        write(client, "POST /api", headers, "book");
        silent.next();
        clockOffsetMs.set(step);
        pushServerList(member("s-1", fresh.address(), "Ready", 0));
        awaitBody(other, "new");
        assertNotEquals("200", status(StubServer.read(client)));
        assertTrue(
                elapsedMs(sentNanos) >= SHORT_EXPIRY_MS - MARGIN_MS,
                "failed early, after " + elapsedMs(sentNanos) + " ms");
    }

    /** The step comes before the first list, between it and a request, or between two starts with the same clock. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, -1_000, 10_000, -10_000, 3_600_000, -3_600_000})
    void aStepAroundAStartKeepsNoRequestFromBeingServed(long step) throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        Clock clock = new Clock(this::wallMs);
        clockOffsetMs.set(step);
        assertEquals("200", ask(client(node(clock, warmMember(server))), "before-the-list"));
        clockOffsetMs.set(2 * step);
        assertEquals("200", ask(client(node(clock, warmMember(server))), "the-next-start"));
        EdgeNode between = node(new Clock(this::wallMs), warmMember(server));
        clockOffsetMs.set(0);
        assertEquals("200", ask(client(between), "between-list-and-request"));
    }

    private String warmMember(StubServer server) {
        return member("s-0", server.address(), "Ready", wallMs() - WARM_MS);
    }
}
