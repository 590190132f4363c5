package rushpin.authority;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushpin.accord.Explore;
import rushpin.authority.Hot.Fault;
import rushpin.authority.Hot.Setting;
import rushpin.authority.Hot.Trouble;
import rushpin.judge.Histories;
import rushpin.judge.Histories.Verdict;

/**
 * One holder that answers, answers that are linearizable or of an age, in every order; {@code -Drushpin.explore=20} sees twenty
 * times as much.
 */
class HotExploreTest {
    private static final int MORE = Integer.getInteger("rushpin.explore", 1);
    /** Clocks of A, B, C and of the log, fast where a bit is set. */
    private static final int[] THREE = {0b1000, 0b1010, 0b0010, 0b0101}, TWO = {0b100, 0b110, 0b010, 0b001};

    private static Setting set(
            int many, boolean isHeld, int far, int orders, int moves, int handOvers, Set<Trouble> troubles) {
        return new Setting(
                many, true, isHeld, far, 0, orders, moves, handOvers, 1, true, troubles.size(), troubles, Set.of());
    }

    private static void holds(String what, Setting set, long most) {
        Explore.Seen seen = Explore.all(Hot.first(set, set.many() == 3 ? THREE : TWO), Hot.RULES, 99, most * MORE);
        System.out.println("explored: " + what + ": " + seen);
        assertNull(seen.broken(), () -> what + ": " + seen);
    }

    @Test
    void oneAnswersAndNoAnswerIsOlderThanOneBefore() {
        Set<Trouble> none = Set.of();
        Set<Fault> sound = Set.of();
        holds("2, from free, 1 order", set(2, false, 0, 1, 1, 0, none), 40_000);
        holds("2, A far, held, 1 order, a move", set(2, true, 1, 1, 1, 0, none), 30_000);
        holds("2, held, handed over, 2 orders", set(2, true, 0, 2, 0, 1, none), 40_000);
        holds(
                "2, A asleep, handed over, 1 order, a move",
                new Setting(2, true, true, 0, 1, 1, 1, 1, 1, true, 0, none, sound),
                30_000);
        holds(
                "2, held, 2 orders, 2 look-ups, servers don't say",
                new Setting(2, true, true, 0, 0, 2, 0, 0, 2, false, 0, none, sound),
                40_000);
        holds("3, all far, a move, a hand-over, 2 orders", set(3, true, 7, 2, 1, 1, none), 30_000);
        holds(
                "2, bounded, B far, 2 orders, handed over",
                new Setting(2, false, true, 2, 0, 2, 0, 1, 1, true, 0, none, sound),
                30_000);
        for (Trouble trouble : Trouble.values()) {
            holds(
                    "2, B far, a move, a hand-over, 2 orders, " + trouble,
                    set(2, true, 2, 2, 1, 1, EnumSet.of(trouble)),
                    20_000);
        }
    }

    /** Far from the start, by chance; then calm, in which somebody answers what is true. */
    @Test
    void longWalksWithManyTroublesAndCalmAfterThem() {
        long seed = MORE > 1 ? System.nanoTime() : 1;
        SplittableRandom chance = new SplittableRandom(seed);
        for (int walk = 0; walk < 600 * MORE; walk++) {
            boolean strict = walk % 4 != 0;
            Set<Trouble> troubles = strict ? EnumSet.allOf(Trouble.class) : EnumSet.of(Trouble.CRASH, Trouble.REPEAT);
            Setting set = new Setting(
                    3,
                    strict,
                    walk % 2 == 0,
                    chance.nextInt(8),
                    chance.nextInt(8),
                    8,
                    3,
                    4,
                    4,
                    chance.nextBoolean(),
                    6,
                    troubles,
                    Set.of());
            Hot world = Hot.first(set, chance.nextInt(16)).get(0);
            List<String> path = new ArrayList<>(List.of(set.toString()));
            List<Hot> worlds = new ArrayList<>(List.of(world));
            for (int i = 0; i < 80; i++) {
                world = Hot.some(world, chance, path);
                worlds.add(world);
                assertNull(Hot.RULES.broken(world), () -> "seed " + seed + ": " + String.join("\n", path));
            }
            if (strict) {
                assertEquals(
                        Verdict.LINEARIZABLE,
                        Histories.judge(0, Hot.history(worlds), 100_000).verdict(),
                        () -> "seed " + seed + ": " + String.join("\n", path) + "\n" + Hot.history(worlds));
            }
            Hot last = world;
            assertTrue(last.comesToRest(60), () -> "seed " + seed + ": " + String.join("\n", path) + "\n" + last);
        }
    }

    /** What the world counts as older than an answer before, the judge sees in what clients recorded. */
    @Test
    void theJudgeSeesAHolderThatForgetsItsOrders() {
        SplittableRandom chance = new SplittableRandom(3);
        Setting set =
                new Setting(2, true, true, 0, 0, 8, 1, 1, 4, true, 0, Set.of(), EnumSet.of(Fault.ORDER_PAST_THE_COPY));
        int broken = 0;
        for (int walk = 0; walk < 500; walk++) {
            List<Hot> worlds = new ArrayList<>(Hot.first(set, 0));
            for (int i = 0; i < 40 && Hot.RULES.broken(worlds.get(i)) == null; i++) {
                worlds.add(Hot.some(worlds.get(i), chance, new ArrayList<>()));
            }
            boolean isBroken = Hot.RULES.broken(worlds.get(worlds.size() - 1)) != null;
            Verdict verdict = Histories.judge(0, Hot.history(worlds), 100_000).verdict();
            broken += verdict == Verdict.BROKEN ? 1 : 0;
            int at = walk;
            // Look-ups past the copies are not in the record, so the other way round it need not be.
            assertTrue(isBroken || verdict == Verdict.LINEARIZABLE, () -> "walk " + at + ": " + Hot.history(worlds));
        }
        assertTrue(broken > 3, "broken " + broken);
    }

    /** Without orders nothing is old, but two would answer. */
    @Test
    void twoThatAnswerAreFound() {
        for (Fault fault : new Fault[] {Fault.LEASE_NOT_LOOKED_AT, Fault.LEASE_FROM_THE_ANSWER}) {
            int far = fault == Fault.LEASE_FROM_THE_ANSWER ? 1 : 0, asleep = fault == Fault.LEASE_NOT_LOOKED_AT ? 1 : 0;
            Setting set = new Setting(2, true, true, far, asleep, 0, 1, 0, 2, true, 0, Set.of(), EnumSet.of(fault));
            Explore.Seen seen = Explore.all(Hot.first(set, 0b110), Hot.RULES, 99, 400_000);
            System.out.printf(
                    "| %s, no orders | %s | %,d | %d |%n",
                    fault.text, seen.broken(), seen.states(), seen.path().size() - 2);
            assertEquals("two answer from their copies", seen.broken(), seen::toString);
        }
    }

    /** Whether the rules see anything: each fault is found. */
    @Test
    void eachFaultIsFound() {
        List<String> missed = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            Set<Trouble> troubles = switch (fault) {
                case LATE_ACKNOWLEDGEMENT -> EnumSet.of(Trouble.STALL);
                case NO_KEYS, NO_WAIT_FOR_KEYS -> EnumSet.of(Trouble.CLIENT_REPEATS);
                case GIFT_TWICE -> EnumSet.of(Trouble.REPEAT);
                default -> Set.of();
            };
            boolean strict = !fault.name().startsWith("AGE_");
            boolean isHeld = !EnumSet.of(
                            Fault.WORD_FROM_THE_ANSWER,
                            Fault.WORD_FOR_EVER,
                            Fault.NO_CLEARING,
                            Fault.NO_DRIFT,
                            Fault.NO_EFFECT,
                            Fault.ASKED_BEFORE)
                    .contains(fault);
            int far = fault == Fault.LEASE_FROM_THE_ANSWER || fault == Fault.WORD_FROM_THE_ANSWER ? 1 : 0;
            int asleep = fault == Fault.ANY_LATER_HOLDER || fault == Fault.LEASE_NOT_LOOKED_AT ? 1 : 0;
            int orders = switch (fault) {
                case UNKNOWN_IS_OVER, ORDER_PAST_THE_COPY, AGE_FROM_THE_ANSWER, AGE_WITHOUT_DRIFT, SPOILED, JOINS -> 2;
                default -> 1;
            };
            int moves = switch (fault) {
                case UNKNOWN_IS_OVER,
                        ORDER_PAST_THE_COPY,
                        AGE_FROM_THE_ANSWER,
                        AGE_WITHOUT_DRIFT,
                        AGE_ANEW,
                        SPOILED,
                        JOINS,
                        GOES_ON -> 0;
                default -> 1;
            };
            int handOvers = switch (fault) {
                case NOT_FINISHED,
                        GOES_ON,
                        ANY_LATER_HOLDER,
                        ANY_GIFT,
                        GIFT_TWICE,
                        NO_KEYS,
                        NO_WAIT_FOR_KEYS,
                        AGE_ANEW -> 1;
                default -> 0;
            };
            int lookUps = fault == Fault.JOINS ? 2 : 1;
            boolean says = fault != Fault.SPOILED && fault != Fault.JOINS && fault != Fault.AGE_FROM_THE_ANSWER;
            Setting set = new Setting(
                    2,
                    strict,
                    isHeld,
                    far,
                    asleep,
                    orders,
                    moves,
                    handOvers,
                    lookUps,
                    says,
                    troubles.size(),
                    troubles,
                    EnumSet.of(fault));
            // The clocks that it needs: who goes past slow and who takes over fast, or the holder slow and the log
            // fast.
            int clocks =
                    isHeld ? fault == Fault.LATE_ACKNOWLEDGEMENT ? 0b110 : fault == Fault.AGE_ANEW ? 0 : 0b100 : 0b010;
            Explore.Seen seen = Explore.all(Hot.first(set, clocks), Hot.RULES, 99, 400_000);
            System.out.printf(
                    "| %s | %s | %,d | %d |%n",
                    fault.text, seen.broken(), seen.states(), seen.path().size() - 2);
            if (seen.broken() == null) {
                missed.add(fault + ": " + seen);
            }
        }
        assertEquals(List.of(), missed);
    }
}
