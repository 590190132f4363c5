package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.config.Config;

/** The wall clock is set while a node runs. */
class ClockTest extends NodeTestBase {
    private static final long HOUR_MS = 3_600_000;
    private final AtomicLong clockStepMs = new AtomicLong();
    private final Clock clock = new Clock(() -> System.currentTimeMillis() + clockStepMs.get());

    @Test
    void timeIsMonotonicAndTheJumpIsReported() {
        assertEquals(0, clock.ahead());
        long before = clock.now();
        clockStepMs.set(HOUR_MS);
        long passed = clock.now() - before;
        assertTrue(passed >= 0 && passed < TimeUnit.MINUTES.toNanos(30), "now does not jump: " + passed);
        assertEquals(HOUR_MS, clock.ahead() / 1e6, 10_000);
        clockStepMs.set(-HOUR_MS);
        assertEquals(-HOUR_MS, clock.ahead() / 1e6, 10_000);
        clockStepMs.set(50);
        assertEquals(0, clock.ahead(), "smaller differences are the wall clock's granularity");
    }

    /** Without repeated readings, a stall between reading the two clocks would look like a clock that was set. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 10_000, HOUR_MS})
    void aStallBetweenTheTwoReadingsIsNoJump(long stallMs) {
        AtomicLong real = new AtomicLong(HOUR_MS);
        AtomicLong stall = new AtomicLong();
        Clock stalled = new Clock(
                () -> {
                    long read = real.get();
                    real.addAndGet(stall.getAndSet(0));
                    return read;
                },
                () -> TimeUnit.MILLISECONDS.toNanos(real.get()));
        stall.set(stallMs);
        assertEquals(0, stalled.ahead());
        assertEquals(TimeUnit.MILLISECONDS.toNanos(HOUR_MS + stallMs), stalled.now());
        assertEquals(HOUR_MS + stallMs, stalled.wallMs());
    }

    /** A request in flight across the jump is answered, and so are requests sent after it. */
    @ParameterizedTest
    @ValueSource(longs = {HOUR_MS, -HOUR_MS})
    void aNodeServesAcrossAJump(long jump) throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        StubServer server = stubServer(m -> {
            if (m.headers().get("x-trace-id").equals("held")) {
                release.join();
            }
            m.answer(StubServer.ok("", "x"));
        });
        EdgeNode node = new EdgeNode(Config.parse(config(member("s-0", server.address(), "Ready", 0))), null, clock);
        toClose.add(node);
        node.start();
        Socket held = client(node);
        Socket other = client(node);
        order(held, "held");
        server.next();
        clockStepMs.set(jump);
        for (int i = 0; i < 20; i++) {
            assertEquals("200", ask(other, "t-" + i));
        }
        // The wall clock is read once a second.
        TimeUnit.MILLISECONDS.sleep(1_200);
        assertEquals("200", ask(other, "after"));
        release.complete(null);
        assertEquals("200", status(StubServer.read(held)));
    }
}
