package rushpin.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Order and fairness of the queue. */
class FairQueueTest {
    private final FairQueue<String> queue = new FairQueue<>();

    @Test
    void oneRequestIsServedBeforeAFlood() {
        for (int i = 0; i < 1_000; i++) {
            queue.add("flood", "f" + i);
        }
        for (int i = 0; i < 10; i++) {
            queue.next();
            queue.charge("flood", 100);
        }
        queue.add("calm", "c");
        queue.charge("flood", 1);
        assertEquals("c", queue.next());
    }

    @Test
    void anIdleNameGetsNoCredit() {
        queue.add("a", "a");
        queue.next();
        queue.charge("a", 1_000_000);
        queue.add("a", "a");
        queue.next();
        for (int i = 0; i < 100; i++) {
            queue.add("b", "b");
            queue.add("a", "a");
        }
        int b = 0;
        for (int i = 0; i < 20; i++) {
            String name = queue.next();
            queue.charge(name, 10);
            b += name.equals("b") ? 1 : 0;
        }
        assertTrue(b >= 9 && b <= 11, "b had " + b + " of 20 items");
    }

    @Test
    void anEmptyQueueHasNoNextItem() {
        assertNull(queue.next());
        assertTrue(queue.isEmpty());
        queue.add("a", "a");
        queue.forget("a");
        assertEquals("a", queue.next(), "a name with something waiting is not forgotten");
    }

    @Property
    void waitingNamesGetTheSameTimeWithinOneItem(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int names) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueue<Integer> queue = new FairQueue<>();
        long[] used = new long[names];
        long[] maxCost = new long[names];
        for (int i = 0; i < names; i++) {
            maxCost[i] = random.nextLong(1, 1_000);
            for (int j = 0; j < 2_000; j++) {
                queue.add("n" + i, i);
            }
        }
        long largest = 0;
        for (long cost : maxCost) {
            largest = Math.max(largest, cost);
        }
        for (int step = 0; step < 1_000; step++) {
            int name = queue.next();
            long cost = random.nextLong(maxCost[name]) + 1;
            used[name] += cost;
            queue.charge("n" + name, cost);
            for (int i = 0; i < names; i++) {
                assertTrue(used[name] - used[i] <= 2 * largest, "seed " + seed + ": " + used[name] + " and " + used[i]);
            }
        }
    }
}
