package rushpin.accord;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import rushpin.accord.Connections.Fault;
import rushpin.accord.Connections.Setting;
import rushpin.accord.Connections.Trouble;

/** Never more connections than the number, in every order; {@code -Drushpin.explore=20} goes through twenty times as many states. */
@Tag("long")
class ConnectionsExploreTest {
    private static final int MORE = Integer.getInteger("rushpin.explore", 1);

    private static void holds(String what, Setting set, int clocks, long most) {
        Explore.Seen seen =
                Explore.all(Connections.first(set, MORE > 1 ? 99 : clocks), Connections.RULES, 99, most * MORE);
        System.out.println("explored: " + what + ": " + seen);
        assertNull(seen.broken(), () -> what + ": " + seen);
    }

    @Test
    void neverOverTheNumberWhateverIsLostLateOrDivided() {
        holds("2 processes, 1 division", new Setting(2, 0, 1, 1, 1, 0, Set.of(), Set.of()), 1, 20_000);
        holds("3 processes, 2 divisions", new Setting(3, 0, 2, 2, 2, 0, Set.of(), Set.of()), 2, 20_000);
        holds("3 processes, 2 near, 1 division", new Setting(3, 2, 1, 1, 1, 0, Set.of(), Set.of()), 1, 40_000);
        holds("2 processes, 1 near, 2 divisions", new Setting(2, 1, 2, 1, 2, 0, Set.of(), Set.of()), 1, 40_000);
        for (Trouble trouble : Trouble.values()) {
            Setting set = new Setting(2, 1, 1, 1, 2, 1, EnumSet.of(trouble), Set.of());
            holds("2 processes, 1 near, 1 division, " + trouble, set, 2, 20_000);
        }
    }

    /** Far from the start, by chance; then calm, in which the next division is what everybody goes by. */
    @Test
    void longWalksWithManyTroublesAndCalmAfterThem() {
        long seed = MORE > 1 ? System.nanoTime() : 1;
        SplittableRandom chance = new SplittableRandom(seed);
        Setting set = new Setting(3, 0, 8, 3, 4, 5, EnumSet.complementOf(EnumSet.of(Trouble.LEAVES)), Set.of());
        for (int walk = 0; walk < 300 * MORE; walk++) {
            Connections world = Connections.first(set, 16).get(chance.nextInt(16));
            List<String> path = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                world = Connections.some(world, chance, path);
                assertNull(Connections.RULES.broken(world), () -> "seed " + seed + ": " + String.join("\n", path));
            }
            Connections last = world;
            assertArrayEquals(
                    new int[] {0, 1, 1, 2},
                    world.inCalm(new int[] {0, 1, 1}, 40),
                    () -> "seed " + seed + ": " + String.join("\n", path) + "\n" + last);
        }
    }

    /** Whether the rule sees anything: each fault is found. */
    @Test
    void eachFaultIsFound() {
        List<String> missed = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            Set<Trouble> troubles = switch (fault) {
                case OWN_TWICE, NO_HALF_OPEN -> EnumSet.of(Trouble.CRASH);
                case LEAVES_WITHOUT_AN_END -> EnumSet.of(Trouble.LEAVES);
                case LOWERED_LATE -> EnumSet.of(Trouble.LOWER);
                case NO_WAIT_FOR_THE_ERA_BEFORE -> EnumSet.of(Trouble.FOUNDED_ANEW);
                default -> EnumSet.noneOf(Trouble.class);
            };
            int divisions = fault == Fault.CEDED_BY_ANY_WORD ? 3 : 1;
            Setting set = new Setting(2, 1, divisions, 1, 2, troubles.size(), troubles, EnumSet.of(fault));
            Explore.Seen seen = Explore.all(Connections.first(set, 1), Connections.RULES, 99, 150_000);
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
