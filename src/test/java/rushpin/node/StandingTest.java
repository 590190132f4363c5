package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.accord.Plan;
import rushpin.accord.Plan.Part;
import rushpin.accord.Plan.Way;
import rushpin.membership.Names;

/** A plan's names become the indexes of one pool, and an old plan becomes the local rule. */
class StandingTest {
    private static final long LEASE = 1_000;
    private static final Names NAMES =
            new Names(List.of("look up", "book"), List.of(), List.of("b", "a", "c"), List.of());
    private static final Plan PLAN = new Plan(
            4,
            9,
            List.of(
                    new Way("a", List.of(new Part("a", 600), new Part("b", 300), new Part("d", 100))),
                    new Way("a", "yard.look_up", List.of(new Part("c", 1_000))),
                    new Way("b", List.of(new Part("b", 1_000)))));

    private static BitSet listed(int... zones) {
        BitSet set = new BitSet();
        for (int zone : zones) {
            set.set(zone);
        }
        return set;
    }

    private static int[][] parts(Standing standing, long now, String pool, BitSet listed, String fails) {
        return standing.parts(now, pool, NAMES, listed, fails::equals);
    }

    @Test
    void namesBecomeIndexesAndAClassHasItsOwnWay() {
        Standing fresh = new Standing("a", LEASE, PLAN, false, 0);
        assertArrayEquals(new int[][] {{0, 0, 1_000}, {300, 600, 0}}, parts(fresh, 0, "yard", listed(0, 1, 2), ""));
        assertArrayEquals(
                new int[][] {{300, 600, 0}, {300, 600, 0}},
                parts(fresh, 0, "gate", listed(0, 1, 2), ""),
                "the same class of another pool");
    }

    @Test
    void zonesThatThePoolHasNoServersInArePassedOver() {
        Standing fresh = new Standing("a", LEASE, PLAN, false, 0);
        assertArrayEquals(new int[][] {null, {0, 600, 0}}, parts(fresh, 0, "yard", listed(1), ""));
        assertNull(
                parts(new Standing("c", LEASE, PLAN, false, 0), 0, "yard", listed(0, 1, 2), ""),
                "nothing is said of c");
        assertNull(parts(new Standing("c", LEASE, PLAN, true, 0), 9 * LEASE, "yard", listed(0, 1, 2), ""));
    }

    @Test
    void aPlanHoldsForItsLeaseAndThenLessGoesAwayWithEachLease() {
        Standing stale = new Standing("a", LEASE, PLAN, true, 500);
        assertFalse(stale.isLocal(499 + LEASE));
        assertEquals(1, stale.next(499 + LEASE));
        assertArrayEquals(new int[] {300, 600, 0}, parts(stale, 499 + LEASE, "gate", listed(0, 1, 2), "b")[0]);
        assertTrue(stale.isLocal(500 + LEASE));
        assertEquals(LEASE, stale.next(500 + LEASE));
        assertArrayEquals(new int[] {150, 800, 0}, parts(stale, 500 + LEASE, "gate", listed(0, 1, 2), "")[0]);
        assertArrayEquals(new int[] {75, 900, 0}, parts(stale, 500 + 2 * LEASE, "gate", listed(0, 1, 2), "")[0]);
        assertArrayEquals(new int[] {0, 950, 0}, parts(stale, 500 + LEASE, "gate", listed(0, 1, 2), "b")[0]);
        assertFalse(new Standing("a", LEASE, PLAN, false, 0).isLocal(9 * LEASE), "while there is a session it holds");
    }
}
