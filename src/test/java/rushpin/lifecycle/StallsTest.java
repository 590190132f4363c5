package rushpin.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Stalls in simulated time. */
class StallsTest {
    @Test
    void aProcessThatRunsNeverSettles() {
        Stalls stalls = new Stalls(700, 20, 0);
        for (long now = 0; now < 10_000; now += 699) {
            assertFalse(stalls.beat(now));
            assertFalse(stalls.isSettling(now));
            assertEquals(0, stalls.age(now));
        }
    }

    @Test
    void twoStallsWithNoRestBetweenAreAsOldAsTheFirst() {
        Stalls stalls = new Stalls(700, 20, 0);
        assertTrue(stalls.beat(5_000));
        assertEquals(5_000, stalls.age(5_000));
        assertEquals(5_000, stalls.age(5_010), "what is read in the settling span came before it or in it");
        assertTrue(stalls.beat(8_000), "a second stop, 3 s after the first has ended");
        assertEquals(8_000, stalls.age(8_000));
        assertFalse(stalls.beat(8_020));
        assertEquals(0, stalls.age(8_020));
    }

    /** However it is stopped: in the settling span the age covers the whole time since the last beat before the stop. */
    @Property
    void theAgeCoversTheStopAndIsOverAfterTheSpan(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Stalls stalls = new Stalls(700, 20, 0);
        long now = 0;
        for (int i = 0; i < 200; i++) {
            long last = now;
            now += random.nextInt(4) == 0 ? random.nextInt(5_000) : random.nextInt(30);
            boolean stalled = stalls.beat(now);
            assertEquals(now - last >= 700, stalled, "seed " + seed);
            if (stalled) {
                assertTrue(stalls.isSettling(now) && stalls.age(now) >= now - last, "seed " + seed);
                assertEquals(20, stalls.left(now), "seed " + seed);
            }
            assertTrue(stalls.left(now) <= 20 && stalls.age(now) >= 0, "seed " + seed);
            assertEquals(stalls.left(now) > 0, stalls.isSettling(now), "seed " + seed);
        }
    }
}
