package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** What is held back until the sockets have been read. */
class ReadBarrierTest {
    private static final long MS = 1_000_000L, USUAL = 80 * MS, MOST = 850 * MS;

    private final AtomicInteger passed = new AtomicInteger();

    /** A watch whose last look at its sockets was so long ago. */
    private static LoopWatch looked(long ago) {
        return new LoopWatch(System.nanoTime() - ago, Runnable::run);
    }

    private static void look(LoopWatch watch, long ago) {
        watch.pollBegins(System.nanoTime() - ago);
        watch.socketsRead();
    }

    private void pass(LoopWatch own, LoopWatch clients) {
        new ReadBarrier(own, clients, USUAL, MOST).runAfterRead(() -> false, passed::incrementAndGet);
    }

    @Test
    void whatIsKnownToBeFreshPassesAtOnce() {
        LoopWatch watch = looked(0);
        pass(watch, watch);
        assertEquals(1, passed.get());
        assertFalse(watch.isAwaited());
    }

    /** Guards against a settling span that is over before anything was read. */
    @Test
    void behindAStopOneLookIsWaitedForHoweverLateItIs() {
        LoopWatch watch = looked(5_000 * MS);
        pass(watch, watch);
        assertEquals(0, passed.get());
        assertTrue(watch.isAwaited());
        look(watch, 0);
        assertEquals(1, passed.get());
        look(watch, 0);
        assertEquals(1, passed.get());
    }

    @Test
    void aStopDuringTheLookIsFollowedByAnother() {
        LoopWatch watch = looked(5_000 * MS);
        pass(watch, watch);
        look(watch, 5_000 * MS);
        look(watch, 5_000 * MS);
        look(watch, 5_000 * MS);
        assertEquals(0, passed.get());
        look(watch, 0);
        assertEquals(1, passed.get());
    }

    /** Guards against a loop whose every pass is slow and which never sends anything. */
    @Test
    void slowPassesAreWaitedForTwice() {
        LoopWatch watch = looked(300 * MS);
        pass(watch, watch);
        look(watch, 300 * MS);
        assertEquals(0, passed.get());
        look(watch, 300 * MS);
        assertEquals(1, passed.get());
    }

    @Test
    void whatIsOverDoesNotWaitAnyLonger() {
        LoopWatch watch = looked(5_000 * MS);
        new ReadBarrier(watch, watch, USUAL, MOST).runAfterRead(() -> true, passed::incrementAndGet);
        assertEquals(1, passed.get());
    }

    /** Guards against a client that left while the loop that reads clients stood still and the pool's did not. */
    @Test
    void theClientsLoopCountsToo() {
        LoopWatch own = looked(0);
        LoopWatch clients = looked(5_000 * MS);
        pass(own, clients);
        look(own, 0);
        assertEquals(0, passed.get());
        look(clients, 0);
        look(own, 0);
        assertEquals(1, passed.get());
    }

    @Test
    void oneTasksTroubleDoesNotKeepTheOthers() {
        LoopWatch watch = looked(0);
        watch.afterNextLook(() -> {
            throw new IllegalStateException("on purpose");
        });
        watch.afterNextLook(passed::incrementAndGet);
        look(watch, 0);
        assertEquals(1, passed.get());
    }
}
