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
 * The machine's clock is set at each of the moments that matter. A list that comes by the open watch makes the node look
 * at the clock, so that the order of events is the test's.
 */
class ClockStepTest extends Stage {
    /** Beyond the ramp of the settings: hardly anything is sent to a cold server. */
    private static final long WARM_MS = 60_000;

    private static final int EXPIRES_MS = 20_000, SOON_MS = 2_500;
    /** What a node keeps back of its client's time, and what lies between this side's reading of the time and the node's. */
    private static final long MARGIN_MS = 500;

    private final AtomicLong set = new AtomicLong();
    private final List<Peer.Message> watches = new ArrayList<>();
    private String told = "";

    private long wallMs() {
        return System.currentTimeMillis() + set.get();
    }

    private EdgeNode node(Clock clock, String... members) throws Exception {
        EdgeNode node = new EdgeNode(Config.parse(config(members)), null, clock);
        toClose.add(node);
        node.start();
        return node;
    }

    private void watched() throws IOException {
        discovery = peer(m -> {
            synchronized (watches) {
                m.answer(UNCHANGED + told);
                watches.add(m);
                watches.notifyAll();
            }
        });
    }

    /** By each watch, also one that is begun later. */
    private void tell(String... members) throws InterruptedException {
        String line = "{\"revision\":8,\"complete\":true,\"members\":[" + String.join(",", members) + "]}\n";
        synchronized (watches) {
            while (watches.isEmpty()) {
                watches.wait();
            }
            told = Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
            for (Peer.Message watch : watches) {
                try {
                    watch.answer(told);
                } catch (IOException e) {
                    // One that was left before: the node reads another.
                }
            }
        }
    }

    /** Until a list has come, which replaces the one server by another. */
    private static void awaitBody(Socket client, String body) throws IOException {
        for (int i = 0; ; i++) {
            order(client, body + "-" + i);
            Peer.Message answer = Peer.read(client);
            assertEquals("200", status(answer));
            if (answer.body().equals(body)) {
                return;
            }
        }
    }

    private static long passedMs(long since) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since);
    }

    /** The same request is repeated after the step, with the time that its client has left; the watch is believed on. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, -1_000, 10_000, -10_000, 3_600_000, -3_600_000})
    void anOpenRequestKeepsItsTimeAndItsRepeatWhileTheListChanges(long step) throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        Peer old = peer(m -> {
            if (m.headers().get("x-trace-id").equals("held")) {
                go.join();
                m.socket().close();
            } else {
                m.answer(Peer.ok("", "old"));
            }
        });
        Peer fresh = peer(m -> m.answer(Peer.ok("", "new")));
        watched();
        EdgeNode node = node(new Clock(this::wallMs), member("s-0", old.address(), "Ready", wallMs() - WARM_MS));
        Socket held = client(node), other = client(node);
        long asked = System.nanoTime();
        write(held, "POST /api?slot=4", headers("held", "order", Integer.toString(EXPIRES_MS)), "book");
        old.next();
        set.set(step);
        tell(
                member("s-0", old.address(), "Terminating", wallMs() - WARM_MS - step),
                member("s-1", fresh.address(), "Ready", wallMs() - WARM_MS));
        awaitBody(other, "new");
        fresh.seen.clear();
        go.complete(null);
        Peer.Message repeated = fresh.next();
        long passed = passedMs(asked);
        assertEquals("held", repeated.headers().get("x-trace-id"));
        long left = Long.parseLong(repeated.headers().get("x-expires-in-ms"));
        assertTrue(left <= EXPIRES_MS && left >= EXPIRES_MS - passed - MARGIN_MS, left + " ms left after " + passed);
        Peer.Message answer = Peer.read(held);
        assertEquals("200 new", status(answer) + " " + answer.body());
    }

    /** Its client's time goes by the clock that was not set: it is neither failed early nor left without an answer. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, -1_000, 10_000, -10_000, 3_600_000, -3_600_000})
    void aRequestThatIsNotServedIsAnsweredAtItsOwnTime(long step) throws Exception {
        Peer silent = peer(m -> {});
        Peer fresh = peer(m -> m.answer(Peer.ok("", "new")));
        watched();
        EdgeNode node = node(new Clock(this::wallMs), member("s-0", silent.address(), "Ready", 0));
        Socket client = client(node), other = client(node);
        long asked = System.nanoTime();
        Map<String, String> headers = headers("strict", "strict", Integer.toString(SOON_MS));
        write(client, "POST /api", headers, "book");
        silent.next();
        set.set(step);
        tell(member("s-1", fresh.address(), "Ready", 0));
        awaitBody(other, "new");
        assertNotEquals("200", status(Peer.read(client)));
        assertTrue(passedMs(asked) >= SOON_MS - MARGIN_MS, "failed early, after " + passedMs(asked) + " ms");
    }

    /** Before the first list, between it and a request, and at the next start of all objects by the clock that was set. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, -1_000, 10_000, -10_000, 3_600_000, -3_600_000})
    void aStepAroundAStartKeepsNobodyFromBeingServed(long step) throws Exception {
        Peer server = peer(m -> m.answer(Peer.ok("", "x")));
        Clock clock = new Clock(this::wallMs);
        set.set(step);
        assertEquals("200", ask(client(node(clock, warm(server))), "before-the-list"));
        set.set(2 * step);
        assertEquals("200", ask(client(node(clock, warm(server))), "the-next-start"));
        EdgeNode between = node(new Clock(this::wallMs), warm(server));
        set.set(0);
        assertEquals("200", ask(client(between), "between-list-and-request"));
    }

    private String warm(Peer server) {
        return member("s-0", server.address(), "Ready", wallMs() - WARM_MS);
    }
}
