package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** When a task is delayed until the sockets have been read. */
class ReadBarrierTest {
    private static final long MS = 1_000_000L;
    private static final long TOLERATED = 80 * MS;
    private static final long MAX_UNREAD = 850 * MS;

    private final AtomicInteger runs = new AtomicInteger();

    /** A watch whose sockets were last polled so many nanoseconds ago. */
    private static LoopWatch polled(long ago) {
        return new LoopWatch(System.nanoTime() - ago, Runnable::run);
    }

    private static void poll(LoopWatch watch, long ago) {
        watch.pollBegins(System.nanoTime() - ago);
        watch.socketsRead();
    }

    private void runAfterRead(LoopWatch own, LoopWatch clients) {
        new ReadBarrier(own, clients, TOLERATED, MAX_UNREAD).runAfterRead(() -> false, runs::incrementAndGet);
    }

    @Test
    void aTaskRunsAtOnceWhereNothingIsUnread() {
        LoopWatch watch = polled(0);
        runAfterRead(watch, watch);
        assertEquals(1, runs.get());
        assertFalse(watch.isAwaited());
    }

    /** Guards against a fixed delay that is over before anything was read. */
    @Test
    void afterAStallOnePollIsAwaitedHoweverLateItIs() {
        LoopWatch watch = polled(5_000 * MS);
        runAfterRead(watch, watch);
        assertEquals(0, runs.get());
        assertTrue(watch.isAwaited());
        poll(watch, 0);
        assertEquals(1, runs.get());
        poll(watch, 0);
        assertEquals(1, runs.get());
    }

    @Test
    void aStallDuringAPollIsFollowedByAnotherPoll() {
        LoopWatch watch = polled(5_000 * MS);
        runAfterRead(watch, watch);
        poll(watch, 5_000 * MS);
        poll(watch, 5_000 * MS);
        poll(watch, 5_000 * MS);
        assertEquals(0, runs.get());
        poll(watch, 0);
        assertEquals(1, runs.get());
    }

    /** Guards against a loop that never sends anything because each of its passes is slow. */
    @Test
    void slowPassesAreAwaitedTwice() {
        LoopWatch watch = polled(300 * MS);
        runAfterRead(watch, watch);
        poll(watch, 300 * MS);
        assertEquals(0, runs.get());
        poll(watch, 300 * MS);
        assertEquals(1, runs.get());
    }

    @Test
    void aTaskThatIsOverDoesNotWait() {
        LoopWatch watch = polled(5_000 * MS);
        new ReadBarrier(watch, watch, TOLERATED, MAX_UNREAD).runAfterRead(() -> true, runs::incrementAndGet);
        assertEquals(1, runs.get());
    }

    /** Guards against missing a client's disconnect while only the loop that reads clients is stalled. */
    @Test
    void theClientsLoopCountsToo() {
        LoopWatch own = polled(0);
        LoopWatch clients = polled(5_000 * MS);
        runAfterRead(own, clients);
        poll(own, 0);
        assertEquals(0, runs.get());
        poll(clients, 0);
        poll(own, 0);
        assertEquals(1, runs.get());
    }

    @Test
    void aFailingTaskDoesNotKeepTheOthersFromRunning() {
        LoopWatch watch = polled(0);
        watch.afterNextPoll(() -> {
            throw new IllegalStateException("on purpose");
        });
        watch.afterNextPoll(runs::incrementAndGet);
        poll(watch, 0);
        assertEquals(1, runs.get());
    }
}
