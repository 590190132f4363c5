package rushpin.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Whose turn it is. */
class FairQueueTest {
    private final FairQueue<String> turns = new FairQueue<>();

    @Test
    void oneRequestIsNotReadBehindAFlood() {
        for (int i = 0; i < 1_000; i++) {
            turns.add("flood", "f" + i);
        }
        for (int i = 0; i < 10; i++) {
            turns.next();
            turns.charge("flood", 100);
        }
        turns.add("calm", "c");
        turns.charge("flood", 1);
        assertEquals("c", turns.next());
    }

    @Test
    void whoWasAwayGetsNoCreditForIt() {
        turns.add("a", "a");
        turns.next();
        turns.charge("a", 1_000_000);
        turns.add("a", "a");
        turns.next();
        for (int i = 0; i < 100; i++) {
            turns.add("b", "b");
            turns.add("a", "a");
        }
        int b = 0;
        for (int i = 0; i < 20; i++) {
            String who = turns.next();
            turns.charge(who, 10);
            b += who.equals("b") ? 1 : 0;
        }
        assertTrue(b >= 9 && b <= 11, "b had " + b + " turns of 20");
    }

    @Test
    void nothingWaits() {
        assertNull(turns.next());
        assertTrue(turns.isEmpty());
        turns.add("a", "a");
        turns.forget("a");
        assertEquals("a", turns.next(), "a name with something waiting is not forgotten");
    }

    @Property
    void thoseWhoWaitGetTheSameTimeWithinOneTurn(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int names) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueue<Integer> all = new FairQueue<>();
        long[] used = new long[names], most = new long[names];
        for (int i = 0; i < names; i++) {
            most[i] = random.nextLong(1, 1_000);
            for (int j = 0; j < 2_000; j++) {
                all.add("n" + i, i);
            }
        }
        long greatest = 0;
        for (long one : most) {
            greatest = Math.max(greatest, one);
        }
        for (int step = 0; step < 1_000; step++) {
            int who = all.next();
            long cost = random.nextLong(most[who]) + 1;
            used[who] += cost;
            all.charge("n" + who, cost);
            for (int i = 0; i < names; i++) {
                assertTrue(used[who] - used[i] <= 2 * greatest, "seed " + seed + ": " + used[who] + " and " + used[i]);
            }
        }
    }
}
