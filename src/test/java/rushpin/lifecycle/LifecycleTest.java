package rushpin.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import rushpin.lifecycle.Lifecycle.State;

/** The life of a process from start to end, in simulated time. */
class LifecycleTest {
    private static final Lifecycle.Bounds BOUNDS = new Lifecycle.Bounds(600, 60_000);

    /** A process with connections that the test opens and closes. */
    private static final class FakeProcess implements Lifecycle.Port {
        final List<String> actions = new ArrayList<>();
        final List<Long> wakeUps = new ArrayList<>();
        final Lifecycle lifecycle;
        long now = 1_000;
        int open;
        /** Connections in the backlog, not accepted yet. */
        int backlog;

        FakeProcess(boolean shared) {
            lifecycle = new Lifecycle(BOUNDS, shared, this, now);
        }

        @Override
        public void closeAfterAnswers() {
            actions.add("close after answers");
        }

        @Override
        public void stopAccepting(boolean idleToo) {
            actions.add(idleToo ? "stop" : "stop accepting");
            open += backlog;
            backlog = 0;
        }

        @Override
        public void wakeAfter(long delay) {
            wakeUps.add(now + delay);
        }

        @Override
        public void stopped(int cutConnections) {
            actions.add("end " + cutConnections);
        }

        void advanceTo(long until) {
            while (wakeUps.stream().anyMatch(at -> at <= until)) {
                long next = wakeUps.stream().min(Long::compare).orElseThrow();
                wakeUps.remove(next);
                now = Math.max(now, next);
                lifecycle.onTimer(now, open);
            }
            now = until;
        }

        void closeConnection() {
            open--;
            lifecycle.onConnections(now, open);
        }
    }

    @Test
    void aDrainAcceptsForItsGracePeriodAndEndsWithTheLastConnection() {
        FakeProcess process = new FakeProcess(false);
        process.lifecycle.warmingUp(process.now);
        assertFalse(process.lifecycle.isReady());
        process.lifecycle.serving(process.now);
        assertTrue(process.lifecycle.isReady());
        process.open = 2;
        process.lifecycle.terminate(process.now, process.open);
        assertEquals(State.DRAINING, process.lifecycle.state());
        assertFalse(process.lifecycle.isReady());
        process.closeConnection();
        process.advanceTo(1_599);
        assertEquals(List.of("close after answers"), process.actions);
        process.advanceTo(1_600);
        assertEquals(List.of("close after answers", "stop"), process.actions);
        process.closeConnection();
        assertEquals("end 0", process.actions.get(2));
        assertEquals(State.STOPPED, process.lifecycle.state());
    }

    /** If the count were read before the backlog was accepted, the process would end with that connection's request. */
    @Test
    void connectionsAcceptedFromTheBacklogAreWaitedFor() {
        FakeProcess process = new FakeProcess(false);
        process.lifecycle.serving(process.now);
        process.backlog = 1;
        process.lifecycle.terminate(process.now, process.open);
        process.advanceTo(2_000);
        assertEquals(List.of("close after answers", "stop"), process.actions);
        process.closeConnection();
        assertEquals("end 0", process.actions.get(2));
    }

    @Test
    void aHandOverStopsAcceptingAtOnce() {
        FakeProcess process = new FakeProcess(true);
        process.lifecycle.serving(process.now);
        process.open = 1;
        process.lifecycle.terminate(process.now, process.open);
        assertEquals(State.HANDING_OVER, process.lifecycle.state());
        assertEquals(List.of("close after answers", "stop accepting"), process.actions);
        process.advanceTo(1_600);
        assertEquals("stop", process.actions.get(2), "idle connections are closed after the grace");
        process.closeConnection();
        assertEquals("end 0", process.actions.get(3));
    }

    @Test
    void terminationBeforeServingEndsTheProcessAtOnce() {
        for (boolean warmingUp : new boolean[] {false, true}) {
            FakeProcess process = new FakeProcess(false);
            if (warmingUp) {
                process.lifecycle.warmingUp(process.now);
            }
            process.lifecycle.terminate(process.now, 0);
            assertEquals(List.of("end 0"), process.actions);
            process.lifecycle.serving(process.now);
            assertEquals(State.STOPPED, process.lifecycle.state(), "a stopped process does not serve");
        }
    }

    @Test
    void aDrainIsCutAtItsMaximum() {
        FakeProcess process = new FakeProcess(false);
        process.lifecycle.serving(process.now);
        process.open = 3;
        process.lifecycle.terminate(process.now, process.open);
        process.advanceTo(60_999);
        assertEquals(State.DRAINING, process.lifecycle.state());
        process.advanceTo(61_000);
        assertEquals("end 3", process.actions.get(2));
    }

    @Property
    void itEndsOnceAndInTimeForRandomEvents(@ForAll long seed, @ForAll boolean shared) {
        SplittableRandom random = new SplittableRandom(seed);
        FakeProcess process = new FakeProcess(shared);
        long terminatedAt = 0;
        State last = process.lifecycle.state();
        for (int step = 0; step < 60; step++) {
            switch (random.nextInt(6)) {
                case 0 -> process.lifecycle.warmingUp(process.now);
                case 1 -> process.lifecycle.serving(process.now);
                case 2 -> {
                    if (process.lifecycle.isReady()) {
                        process.open++;
                    }
                }
                case 3 -> {
                    if (process.open > 0) {
                        process.closeConnection();
                    }
                }
                case 4 -> process.advanceTo(process.now + random.nextLong(2_000));
                default -> {
                    terminatedAt = terminatedAt == 0 ? process.now : terminatedAt;
                    process.lifecycle.terminate(process.now, process.open);
                }
            }
            assertTrue(process.lifecycle.state().compareTo(last) >= 0, "seed " + seed + ": back from " + last);
            last = process.lifecycle.state();
        }
        if (terminatedAt > 0) {
            process.advanceTo(Math.max(process.now, terminatedAt + BOUNDS.maxDrain()));
            assertEquals(State.STOPPED, process.lifecycle.state(), "seed " + seed);
        }
        long ends =
                process.actions.stream().filter(what -> what.startsWith("end")).count();
        assertEquals(terminatedAt > 0 ? 1 : 0, ends, "seed " + seed + ": " + process.actions);
    }
}
