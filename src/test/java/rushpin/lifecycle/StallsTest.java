package rushpin.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Stalls in simulated time. */
class StallsTest {
    @Test
    void aProcessThatRunsHasNoStalls() {
        Stalls stalls = new Stalls(700, 0);
        for (long now = 0; now < 10_000; now += 699) {
            assertEquals(0, stalls.beat(now));
        }
    }

    @Test
    void eachOfTwoStallsIsToldWithItsOwnLength() {
        Stalls stalls = new Stalls(700, 0);
        assertEquals(5_000, stalls.beat(5_000));
        assertEquals(0, stalls.beat(5_010));
        assertEquals(2_990, stalls.beat(8_000));
        assertEquals(0, stalls.beat(8_020));
    }

    /** However it is stopped: a span without a beat is told whole, and once. */
    @Property
    void aStallIsToldWholeAndOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Stalls stalls = new Stalls(700, 0);
        long now = 0;
        for (int i = 0; i < 200; i++) {
            long last = now;
            now += random.nextInt(4) == 0 ? random.nextInt(5_000) : random.nextInt(30);
            assertEquals(now - last >= 700 ? now - last : 0, stalls.beat(now), "seed " + seed);
            assertEquals(0, stalls.beat(now), "seed " + seed);
        }
    }
}
