package rushpin.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushpin.judge.Histories.Kind;
import rushpin.judge.Histories.Operation;
import rushpin.judge.Histories.Verdict;

/** Histories made up to be broken, each beside one that is not; and drawn ones, against all rows. */
class HistoriesTest {
    private static Operation looked(long value, long from, long until) {
        return new Operation(Kind.LOOKED, value, from, until);
    }

    private static Operation added(long bit, long from, long until) {
        return new Operation(Kind.ADDED, bit, from, until);
    }

    private static Operation maybe(long bit, long from) {
        return new Operation(Kind.MAY_HAVE_ADDED, bit, from, Histories.NEVER);
    }

    private static Verdict judge(Operation... all) {
        return Histories.judge(0, List.of(all), 10_000).verdict();
    }

    @Test
    void whatWasAcknowledgedIsInEveryLaterAnswer() {
        assertEquals(Verdict.LINEARIZABLE, judge(added(1, 0, 5), looked(1, 6, 7), looked(1, 8, 9)));
        assertEquals(Verdict.BROKEN, judge(added(1, 0, 5), looked(0, 6, 7)));
        // At the same time either is right; what ends as the other begins doesn't stand before it.
        assertEquals(Verdict.LINEARIZABLE, judge(added(1, 0, 5), looked(0, 3, 7)));
        assertEquals(Verdict.LINEARIZABLE, judge(added(1, 0, 5), looked(0, 5, 7)));
        // What one has seen nobody may miss later, acknowledged or not.
        assertEquals(Verdict.LINEARIZABLE, judge(added(1, 0, 9), looked(0, 1, 2), looked(1, 3, 4)));
        assertEquals(Verdict.BROKEN, judge(added(1, 0, 9), looked(1, 1, 2), looked(0, 3, 4)));
    }

    @Test
    void anOrderOfUnknownOutcomeMayStandAnywhereLaterOrNowhereAndOnce() {
        assertEquals(Verdict.LINEARIZABLE, judge(maybe(1, 0), looked(0, 50, 51)));
        assertEquals(Verdict.LINEARIZABLE, judge(maybe(1, 0), looked(0, 50, 51), looked(1, 60, 61)));
        assertEquals(Verdict.BROKEN, judge(maybe(1, 0), looked(1, 50, 51), looked(0, 60, 61)));
        assertEquals(Verdict.BROKEN, judge(maybe(1, 10), looked(1, 0, 9)));
        Operation set = new Operation(Kind.MAY_HAVE_SET, 7, 0, Histories.NEVER);
        Operation back = new Operation(Kind.SET, 0, 10, 11);
        assertEquals(Verdict.LINEARIZABLE, judge(set, looked(7, 2, 3), back, looked(0, 20, 21)));
        // It has its effect once: seen, taken back, seen again.
        assertEquals(Verdict.BROKEN, judge(set, looked(7, 2, 3), back, looked(7, 20, 21)));
    }

    @Test
    void whatIsNoHistoryIsRefusedAndWhatIsTooMuchSaidSo() {
        assertThrows(IllegalArgumentException.class, () -> judge(looked(0, 5, 4)));
        assertThrows(IllegalArgumentException.class, () -> judge(looked(0, 5, Histories.NEVER)));
        List<Operation> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            all.add(maybe(1L << i, 0));
        }
        all.add(looked(1L << 40, 100, 101));
        assertEquals(Verdict.CANNOT_TELL, Histories.judge(0, all, 1_000).verdict());
        assertEquals(
                List.of(looked(0, 6, 7)),
                Histories.judge(0, List.of(added(1, 0, 5), looked(0, 6, 7)), 99).stuck());
    }

    /** Long ones with a few at a time are told at once, and broken by any one answer. */
    @Test
    void aLongHistoryOfAnObjectIsToldAndOneFalseAnswerInIt() {
        SplittableRandom chance = new SplittableRandom(7);
        List<Operation> all = new ArrayList<>();
        long value = 0;
        for (int i = 0; i < 4_000; i++) {
            long at = 10L * i;
            if (i % 40 == 0) {
                boolean isUnknown = i % 400 == 0;
                value = i;
                all.add(new Operation(
                        isUnknown ? Kind.MAY_HAVE_SET : Kind.SET,
                        value,
                        at - chance.nextInt(30),
                        isUnknown ? Histories.NEVER : at + chance.nextInt(30)));
            } else {
                all.add(looked(value, at - chance.nextInt(30), at + chance.nextInt(30)));
            }
        }
        Histories.Found found = Histories.judge(0, all, 200_000);
        assertEquals(Verdict.LINEARIZABLE, found.verdict(), found::toString);
        all.set(3_990, looked(3_840, 39_900, 39_901));
        found = Histories.judge(0, all, 200_000);
        assertEquals(Verdict.BROKEN, found.verdict(), found::toString);
    }

    /** Small ones by chance: the same as trying all rows. */
    @Test
    void theSameVerdictAsByAllRows() {
        int[] seen = new int[2];
        for (int seed = 0; seed < 3_000; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            List<Operation> all = new ArrayList<>();
            int many = 1 + chance.nextInt(5);
            for (int i = 0; i < many; i++) {
                Kind kind = Kind.values()[chance.nextInt(5)];
                long from = chance.nextInt(12);
                boolean isUnknown = kind == Kind.MAY_HAVE_ADDED || kind == Kind.MAY_HAVE_SET;
                all.add(new Operation(
                        kind, chance.nextInt(3), from, isUnknown ? Histories.NEVER : from + chance.nextInt(8)));
            }
            boolean is = byAllRows(0, all);
            seen[is ? 1 : 0]++;
            int at = seed;
            assertEquals(
                    is ? Verdict.LINEARIZABLE : Verdict.BROKEN,
                    Histories.judge(0, all, 10_000).verdict(),
                    () -> "seed " + at + ": " + all);
        }
        assertEquals(true, seen[0] > 300 && seen[1] > 300, () -> "drawn " + seen[0] + " broken, " + seen[1] + " not");
    }

    private static boolean byAllRows(long value, List<Operation> rest) {
        boolean done = true;
        for (Operation one : rest) {
            boolean isUnknown = one.kind() == Kind.MAY_HAVE_ADDED || one.kind() == Kind.MAY_HAVE_SET;
            done &= isUnknown;
            boolean mayBeNext = rest.stream()
                    .allMatch(other -> other.kind() == Kind.MAY_HAVE_ADDED
                            || other.kind() == Kind.MAY_HAVE_SET
                            || other.until() >= one.from());
            if (mayBeNext && (one.kind() != Kind.LOOKED || one.value() == value)) {
                List<Operation> others = new ArrayList<>(rest);
                others.remove(one);
                long after = one.kind() == Kind.LOOKED
                        ? value
                        : one.kind() == Kind.SET || one.kind() == Kind.MAY_HAVE_SET ? one.value() : value | one.value();
                if (byAllRows(after, others)) {
                    return true;
                }
            }
        }
        return done;
    }
}
