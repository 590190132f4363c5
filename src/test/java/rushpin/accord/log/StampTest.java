package rushpin.accord.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Log time as voters count it. */
class StampTest {
    private static final long HOUR = 3_600_000_000_000L;

    @Test
    void aVoterThatWaitedAloneCarriesNothingIntoTheLog() {
        Stamp late = new Stamp();
        late.learned(5, HOUR);
        assertEquals(6, late.next(HOUR + 1));
    }

    @Test
    void theFirstEntryIsAtNought() {
        assertEquals(0, new Stamp().next(HOUR));
    }

    @Test
    void anEntryThatComesAgainLateTakesNothingBack() {
        Stamp stamp = new Stamp();
        stamp.learned(100, 0);
        stamp.learned(10, 50);
        assertEquals(150, stamp.next(50));
    }

    /** Whoever leads when, and whatever of the last one's entries it has: never back in a log, never ahead of true time. */
    @Property(tries = 300)
    void neverBackAndNeverAhead(@ForAll long seed) {
        Random chance = new Random(seed);
        int voters = 3;
        Stamp[] stamps = new Stamp[voters];
        long[] offset = new long[voters];
        for (int i = 0; i < voters; i++) {
            stamps[i] = new Stamp();
            offset[i] = chance.nextInt();
        }
        long now = 0;
        long first = -1;
        long last = 0;
        int leader = 0;
        for (int step = 0; step < 60; step++) {
            now += chance.nextInt(1_000);
            if (chance.nextInt(5) == 0) {
                // one that has the whole log; it learns the last entry late at worst
                leader = chance.nextInt(voters);
                stamps[leader].learned(last, now + offset[leader]);
            }
            if (chance.nextInt(9) == 0) {
                // starts anew, from its disk
                stamps[leader] = new Stamp();
                if (first >= 0) {
                    stamps[leader].learned(last, now + offset[leader]);
                }
            }
            if (first < 0) {
                stamps[leader] = new Stamp();
            }
            long stamp = stamps[leader].next(now + offset[leader]);
            assertTrue(stamp >= last, "back, seed " + seed);
            first = first < 0 ? now : first;
            assertTrue(stamp <= now - first, "ahead, seed " + seed);
            last = stamp;
            for (int other = 0; other < voters; other++) {
                if (chance.nextBoolean()) {
                    stamps[other].learned(stamp, now + chance.nextInt(50) + offset[other]);
                }
            }
        }
    }
}
