package rushpin.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import rushpin.accord.Plan;
import rushpin.accord.Plan.Part;
import rushpin.accord.Plan.Way;

class FallbackTest {
    private static final List<String> ZONES = List.of("a", "b", "c", "d");

    private static Plan plan(long number, Random random) {
        List<Way> ways = new ArrayList<>();
        for (String from : ZONES) {
            for (String of : random.nextBoolean() ? List.of("", "book") : List.of("")) {
                List<Part> parts = new ArrayList<>();
                int left = Plan.WHOLE;
                for (String to : ZONES) {
                    int part = to.equals("d") ? left : random.nextInt(left + 1);
                    left -= part;
                    if (part > 0) {
                        parts.add(new Part(to, part));
                    }
                }
                ways.add(new Way(from, of, parts));
            }
        }
        return new Plan(number, 1, ways);
    }

    @Test
    void withoutAPlanAllStaysNear() {
        assertEquals(
                List.of(new Way("a", List.of(new Part("a", 1_000)))),
                Fallback.ways(Plan.NONE, "a", 0, 10, zone -> false));
    }

    @Test
    void halfOfItComesBackWithEachLeaseUnlessThereIsNothingToComeBackTo() {
        Plan plan = new Plan(1, 1, List.of(new Way("a", List.of(new Part("a", 200), new Part("b", 800)))));
        assertEquals(plan.ways(), Fallback.ways(plan, "a", 9, 10, zone -> true), "within its lease");
        assertEquals(
                List.of(new Way("a", List.of(new Part("b", 400), new Part("a", 600)))),
                Fallback.ways(plan, "a", 10, 10, zone -> false));
        assertEquals(
                List.of(new Way("a", List.of(new Part("a", 1_000)))),
                Fallback.ways(plan, "a", 1_000, 10, zone -> false));
        assertEquals(
                List.of(new Way("a", List.of(new Part("b", 800), new Part("a", 200)))),
                Fallback.ways(plan, "a", 1_000, 10, zone -> zone.equals("a")));
    }

    /** Never more to another zone than the plan; and over two plans no target gets more than is stated. */
    @Property(tries = 300)
    void neverMoreThanThePlan(@ForAll long seed) {
        Random random = new Random(seed);
        Plan old = plan(1, random), next = plan(2, random);
        int age = random.nextInt(100), failing = random.nextInt(16);
        Map<String, Double> got = new HashMap<>();
        for (String from : ZONES) {
            List<Way> ways = Fallback.ways(old, from, age, 10, zone -> (failing >> ZONES.indexOf(zone) & 1) == 1);
            assertTrue(Plan.isWhole(ways, List.of()), () -> "seed " + seed + " " + ways);
            Plan fallen = new Plan(1, 1, ways);
            // A part of the processes of each zone goes by the old plan, or falls back from it.
            double late = random.nextDouble();
            for (String to : ZONES) {
                for (String of : List.of("book", "look")) {
                    int part = Fallback.part(fallen, from, of, to);
                    assertTrue(from.equals(to) || part <= Fallback.part(old, from, of, to), () -> "seed " + seed);
                    got.merge(
                            to,
                            100 * (late * part + (1 - late) * Fallback.part(next, from, of, to)) / 1_000,
                            Double::sum);
                }
            }
        }
        for (String to : ZONES) {
            // What falls back stays at home, so a zone's own part is counted whole.
            double most =
                    Fallback.most(old, next, to, (from, of) -> from.equals(to) ? 0 : of.isEmpty() ? 200 : 100) + 200;
            assertTrue(got.get(to) <= most + 1e-9, () -> "seed " + seed + " " + to + " " + got + " over " + most);
        }
    }
}
