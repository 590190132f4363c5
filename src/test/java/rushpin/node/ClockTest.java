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

/** The machine's clock is set while a node runs. */
class ClockTest extends Stage {
    private static final long HOUR_MS = 3_600_000;
    private final AtomicLong set = new AtomicLong();
    private final Clock clock = new Clock(() -> System.currentTimeMillis() + set.get());

    @Test
    void timeGoesOnAndTheJumpIsKnown() {
        assertEquals(0, clock.ahead());
        long before = clock.now();
        set.set(HOUR_MS);
        long passed = clock.now() - before;
        assertTrue(passed >= 0 && passed < TimeUnit.MINUTES.toNanos(30), "now does not jump: " + passed);
        assertEquals(HOUR_MS, clock.ahead() / 1e6, 10_000);
        set.set(-HOUR_MS);
        assertEquals(-HOUR_MS, clock.ahead() / 1e6, 10_000);
        set.set(50);
        assertEquals(0, clock.ahead(), "less than that is how coarse the wall's clock is");
    }

    /** A process that stands still between its two readings would take that for a clock that was set. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 10_000, HOUR_MS})
    void aStallWhileTheClocksAreReadIsNoJump(long stallMs) {
        AtomicLong real = new AtomicLong(HOUR_MS), stall = new AtomicLong();
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

    /** What is in flight neither expires nor lives on; a server that starts after the jump has its share in time. */
    @ParameterizedTest
    @ValueSource(longs = {HOUR_MS, -HOUR_MS})
    void aNodeServesOverAJump(long jump) throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        Peer server = peer(m -> {
            if (m.headers().get("x-trace-id").equals("held")) {
                go.join();
            }
            m.answer(Peer.ok("", "x"));
        });
        EdgeNode node = new EdgeNode(Config.parse(config(member("s-0", server.address(), "Ready", 0))), null, clock);
        toClose.add(node);
        node.start();
        Socket held = client(node), other = client(node);
        order(held, "held");
        server.next();
        set.set(jump);
        for (int i = 0; i < 20; i++) {
            assertEquals("200", ask(other, "t-" + i));
        }
        // The look at the clock comes once a second.
        TimeUnit.MILLISECONDS.sleep(1_200);
        assertEquals("200", ask(other, "after"));
        go.complete(null);
        assertEquals("200", status(Peer.read(held)));
    }
}
