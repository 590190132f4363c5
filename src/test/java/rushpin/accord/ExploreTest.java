package rushpin.accord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import rushpin.accord.Fleet.Fault;
import rushpin.accord.Fleet.Setting;
import rushpin.accord.Fleet.Trouble;

/**
 * Sessions, leases, fences and hand-over in every order, and the founding. {@code -Drushpin.explore=20} goes through twenty
 * times as many states, with all settings of clocks.
 */
@Tag("long")
class ExploreTest {
    private static final int MORE = Integer.getInteger("rushpin.explore", 1);
    private static final int[] TWO_WANT_ONE = {1, 1}, THREE_WANT_TWO = {1, 3, 2};

    private static Setting setting(
            int[] wants, int asks, int answers, int trouble, Set<Trouble> troubles, Set<Fault> faults) {
        return new Setting(wants, asks, answers, trouble, troubles, faults, Fleet.terms(faults));
    }

    private static Setting sound(int[] wants, int each, int trouble, Set<Trouble> troubles) {
        return setting(wants, each, each, trouble, troubles, EnumSet.noneOf(Fault.class));
    }

    private static Explore.Seen holds(String what, Explore.Seen seen) {
        System.out.println("explored: " + what + ": " + seen);
        assertNull(seen.broken(), () -> what + ": " + seen);
        return seen;
    }

    private static Explore.Seen explore(Setting set, long most) {
        return Explore.all(Fleet.first(set, MORE > 1 ? 99 : 2), Fleet.RULES, 99, most * MORE);
    }

    @Test
    void twoProcessesAndOneResourceWithoutTroubleInAllStates() {
        Setting set = sound(TWO_WANT_ONE, 1, 0, Set.of());
        Explore.Seen seen = Explore.all(Fleet.first(set, MORE > 1 ? 99 : 1), Fleet.RULES, 99, 400_000L * MORE);
        assertTrue(holds("two, one resource, no trouble", seen).whole());
    }

    @Test
    void everyTroubleOnce() {
        for (Trouble trouble : Trouble.values()) {
            holds("two, one resource, " + trouble, explore(sound(TWO_WANT_ONE, 1, 1, EnumSet.of(trouble)), 20_000));
        }
        Set<Trouble> lateWord = EnumSet.of(Trouble.GIVE_BACK, Trouble.TOLD);
        holds(
                "two, one resource, given back and late word",
                explore(setting(TWO_WANT_ONE, 1, 2, 2, lateWord, Set.of()), 60_000));
        holds("three, two resources, any", explore(sound(THREE_WANT_TWO, 2, 1, EnumSet.allOf(Trouble.class)), 60_000));
    }

    /**
     * Far from the start, where not every order can be seen: by chance. Then calm, in which everything has a holder again.
     */
    @Test
    void longWalksWithManyTroublesAndCalmAfterThem() {
        long seed = MORE > 1 ? System.nanoTime() : 1;
        SplittableRandom chance = new SplittableRandom(seed);
        Setting set = sound(THREE_WANT_TWO, 3, 5, EnumSet.allOf(Trouble.class));
        for (int walk = 0; walk < 300 * MORE; walk++) {
            Fleet world = Fleet.first(set, 16).get(chance.nextInt(16));
            List<String> path = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                List<Fleet> next = new ArrayList<>();
                List<Supplier<String>> whats = new ArrayList<>();
                Fleet.RULES.next(world, (to, what) -> {
                    next.add(to);
                    whats.add(what);
                });
                int at = chance.nextInt(next.size());
                world = next.get(at);
                path.add(whats.get(at).get());
                assertNull(Fleet.RULES.broken(world), () -> "seed " + seed + ": " + String.join("\n", path));
            }
            Fleet last = world;
            assertEquals(2, last.heldInCalm(12), () -> "seed " + seed + ": " + String.join("\n", path) + "\n" + last);
        }
    }

    /** Whether the rules see anything: each fault is found. */
    @Test
    void eachFaultIsFound() {
        for (Fault fault : Fault.values()) {
            Set<Trouble> troubles = troubles(fault);
            int answers = fault == Fault.GRANT_OF_AN_EARLIER_SESSION || fault == Fault.FORGOTTEN ? 2 : 1;
            Setting set = setting(TWO_WANT_ONE, 1, answers, troubles.size(), troubles, EnumSet.of(fault));
            found(fault.text, Explore.all(Fleet.first(set, 1), Fleet.RULES, 99, 400_000));
        }
        for (Voters.Fault fault : Voters.Fault.values()) {
            found(fault.text, Explore.all(List.of(new Voters(fault, 1, 0)), Voters.RULES, 99, 400_000));
        }
    }

    private static Set<Trouble> troubles(Fault fault) {
        return switch (fault) {
            case LATE_GRANT, GIVEN_BACK_TOO_EARLY, FREES_ANY_FENCE -> EnumSet.of(Trouble.GIVE_BACK);
            case FORGOTTEN -> EnumSet.of(Trouble.GIVE_BACK, Trouble.TOLD);
            case NO_FENCE -> EnumSet.of(Trouble.STALL);
            case TAKES_OVER -> EnumSet.of(Trouble.CRASH);
            case LOG_TIME_AHEAD, NUMBERS_FORGOTTEN -> EnumSet.of(Trouble.NEW_LEADER);
            case SAME_ERA, NO_WAIT_FOR_THE_ERA_BEFORE -> EnumSet.of(Trouble.FOUNDED_ANEW);
            default -> EnumSet.noneOf(Trouble.class);
        };
    }

    private static void found(String fault, Explore.Seen seen) {
        System.out.printf(
                "| %s | %s | %,d | %d |%n",
                fault, seen.broken(), seen.states(), seen.path().size() - 2);
        assertNotNull(seen.broken(), () -> fault + " is not found: " + seen);
    }

    /** A majority that loses its folders can't know what it decided; one voter that does is all that is survived. */
    @Test
    void threeVotersFoundOnceAndForgetNothingThoughOneLosesItsFolder() {
        Voters first = new Voters(null, 1, MORE > 1 ? 1 : 0);
        Explore.Seen seen = Explore.all(List.of(first), Voters.RULES, 99, 400_000L * MORE * MORE);
        assertTrue(holds("founding by three, one folder lost", seen).whole());
    }
}
