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

/** A process from its start to its end, in simulated time. */
class LifecycleTest {
    private static final Lifecycle.Bounds BOUNDS = new Lifecycle.Bounds(600, 60_000);

    /** A process whose connections end as they please. */
    private static final class Process implements Lifecycle.Port {
        final List<String> did = new ArrayList<>();
        final List<Long> wakes = new ArrayList<>();
        final Lifecycle lifecycle;
        long now = 1_000;
        int open;
        /** Connections that nobody has accepted yet. */
        int waiting;

        Process(boolean shared) {
            lifecycle = new Lifecycle(BOUNDS, shared, this, now);
        }

        @Override
        public void closeAfterAnswers() {
            did.add("close after answers");
        }

        @Override
        public void stopAccepting(boolean idleToo) {
            did.add(idleToo ? "stop" : "stop accepting");
            open += waiting;
            waiting = 0;
        }

        @Override
        public void wake(long span) {
            wakes.add(now + span);
        }

        @Override
        public void end(int cut) {
            did.add("end " + cut);
        }

        void pass(long until) {
            while (wakes.stream().anyMatch(at -> at <= until)) {
                long next = wakes.stream().min(Long::compare).orElseThrow();
                wakes.remove(next);
                now = Math.max(now, next);
                lifecycle.time(now, open);
            }
            now = until;
        }

        void ended() {
            open--;
            lifecycle.connections(now, open);
        }
    }

    @Test
    void aDrainGoesOnAcceptingForItsGraceAndEndsWithTheLastConnection() {
        Process p = new Process(false);
        p.lifecycle.rehearses(p.now);
        assertFalse(p.lifecycle.isReady());
        p.lifecycle.serves(p.now);
        assertTrue(p.lifecycle.isReady());
        p.open = 2;
        p.lifecycle.terminate(p.now, p.open);
        assertEquals(State.DRAINING, p.lifecycle.state());
        assertFalse(p.lifecycle.isReady());
        p.ended();
        p.pass(1_599);
        assertEquals(List.of("close after answers"), p.did);
        p.pass(1_600);
        assertEquals(List.of("close after answers", "stop"), p.did);
        p.ended();
        assertEquals("end 0", p.did.get(2));
        assertEquals(State.STOPPED, p.lifecycle.state());
    }

    /** Counted before it was taken, its request would end with the process. */
    @Test
    void whatIsTakenWithTheLastLookIsWaitedFor() {
        Process p = new Process(false);
        p.lifecycle.serves(p.now);
        p.waiting = 1;
        p.lifecycle.terminate(p.now, p.open);
        p.pass(2_000);
        assertEquals(List.of("close after answers", "stop"), p.did);
        p.ended();
        assertEquals("end 0", p.did.get(2));
    }

    @Test
    void whoHandsOverStopsAcceptingAtOnce() {
        Process p = new Process(true);
        p.lifecycle.serves(p.now);
        p.open = 1;
        p.lifecycle.terminate(p.now, p.open);
        assertEquals(State.HANDING_OVER, p.lifecycle.state());
        assertEquals(List.of("close after answers", "stop accepting"), p.did);
        p.pass(1_600);
        assertEquals("stop", p.did.get(2), "idle connections are closed after the grace");
        p.ended();
        assertEquals("end 0", p.did.get(3));
    }

    @Test
    void theWordToEndBeforeItServesEndsItAtOnce() {
        for (boolean rehearsing : new boolean[] {false, true}) {
            Process p = new Process(false);
            if (rehearsing) {
                p.lifecycle.rehearses(p.now);
            }
            p.lifecycle.terminate(p.now, 0);
            assertEquals(List.of("end 0"), p.did);
            p.lifecycle.serves(p.now);
            assertEquals(State.STOPPED, p.lifecycle.state(), "what has ended does not serve");
        }
    }

    @Test
    void aDrainThatHangsIsCut() {
        Process p = new Process(false);
        p.lifecycle.serves(p.now);
        p.open = 3;
        p.lifecycle.terminate(p.now, p.open);
        p.pass(60_999);
        assertEquals(State.DRAINING, p.lifecycle.state());
        p.pass(61_000);
        assertEquals("end 3", p.did.get(2));
    }

    @Property
    void itEndsOnceAndInTimeWhateverComesInWhateverOrder(@ForAll long seed, @ForAll boolean shared) {
        SplittableRandom random = new SplittableRandom(seed);
        Process p = new Process(shared);
        long told = 0;
        State last = p.lifecycle.state();
        for (int step = 0; step < 60; step++) {
            switch (random.nextInt(6)) {
                case 0 -> p.lifecycle.rehearses(p.now);
                case 1 -> p.lifecycle.serves(p.now);
                case 2 -> {
                    if (p.lifecycle.isReady()) {
                        p.open++;
                    }
                }
                case 3 -> {
                    if (p.open > 0) {
                        p.ended();
                    }
                }
                case 4 -> p.pass(p.now + random.nextLong(2_000));
                default -> {
                    told = told == 0 ? p.now : told;
                    p.lifecycle.terminate(p.now, p.open);
                }
            }
            assertTrue(p.lifecycle.state().compareTo(last) >= 0, "seed " + seed + ": back from " + last);
            last = p.lifecycle.state();
        }
        if (told > 0) {
            p.pass(Math.max(p.now, told + BOUNDS.drain()));
            assertEquals(State.STOPPED, p.lifecycle.state(), "seed " + seed);
        }
        long ends = p.did.stream().filter(what -> what.startsWith("end")).count();
        assertEquals(told > 0 ? 1 : 0, ends, "seed " + seed + ": " + p.did);
    }
}
