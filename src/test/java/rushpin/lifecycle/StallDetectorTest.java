package rushpin.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Detection of stalls in simulated time. */
class StallDetectorTest {
    @Test
    void shortGapsAreNoStalls() {
        StallDetector detector = new StallDetector(700, 0);
        for (long now = 0; now < 10_000; now += 699) {
            assertEquals(0, detector.heartbeat(now));
        }
    }

    @Test
    void eachStallIsReportedWithItsOwnLength() {
        StallDetector detector = new StallDetector(700, 0);
        assertEquals(5_000, detector.heartbeat(5_000));
        assertEquals(0, detector.heartbeat(5_010));
        assertEquals(2_990, detector.heartbeat(8_000));
        assertEquals(0, detector.heartbeat(8_020));
    }

    /** For random gaps: a gap of the minimum length or more is reported completely, and once. */
    @Property
    void aStallIsReportedCompletelyAndOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StallDetector detector = new StallDetector(700, 0);
        long now = 0;
        for (int i = 0; i < 200; i++) {
            long last = now;
            now += random.nextInt(4) == 0 ? random.nextInt(5_000) : random.nextInt(30);
            assertEquals(now - last >= 700 ? now - last : 0, detector.heartbeat(now), "seed " + seed);
            assertEquals(0, detector.heartbeat(now), "seed " + seed);
        }
    }
}
