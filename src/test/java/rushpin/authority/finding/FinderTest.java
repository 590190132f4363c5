package rushpin.authority.finding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What a process tells of its objects, against an exact count. */
class FinderTest {
    private static final long SECOND = 1_000_000_000L;

    private static Map<String, Long> map(List<Told.Row> rows) {
        return rows.stream().collect(Collectors.toMap(Told.Row::object, Told.Row::heat));
    }

    /** Some objects by Zipf's law that change places, and a flood of names that come once; turns of uneven length. */
    @Property(tries = 30)
    void toldOfNoneTooMuchAndOfNoneLessByMoreThanTheBound(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Finder finder = new Finder(chance.nextLong());
        Map<String, Double> exact = new HashMap<>();
        double all = 0;
        int flood = chance.nextInt(20_000),
                zipf = 1 + chance.nextInt(5_000),
                objects = 1 + chance.nextInt(3_000),
                shift = 0;
        for (int turn = 0; turn < 12; turn++) {
            long span = SECOND / 2 + chance.nextLong(2 * SECOND);
            shift += chance.nextInt(4) == 0 ? 1 : 0;
            for (int i = 0; i < flood + zipf; i++) {
                String object = i < flood
                        ? "once-" + turn + "-" + i
                        : "o" + (int) Math.pow(objects, chance.nextDouble()) + "-" + shift;
                boolean isOrder = chance.nextInt(5) == 0;
                if (isOrder) {
                    finder.ordered(object);
                } else {
                    finder.looked(object);
                }
                exact.merge(object, (double) (isOrder ? Finder.ORDER : Finder.LOOK), Double::sum);
                all += isOrder ? Finder.ORDER : Finder.LOOK;
            }
            double keeps = Math.pow(Finder.KEEPS, span / 1e9), rate = (1 - keeps) * 1e9 / span;
            Map<String, Long> told = map(finder.turn(span));
            String at = "seed " + seed + " turn " + turn + ": ";
            assertTrue(finder.size() <= Finder.MOST_NAMES && told.size() <= Told.MOST_ROWS, at + finder.size());
            double bound = 3.5 / Finder.SIZE * all * rate + 1.1;
            exact.forEach((object, count) -> {
                long heat = told.getOrDefault(object, 0L);
                assertTrue(heat <= count * rate + 1e-6, at + object + " " + heat + " of " + count * rate);
                assertTrue(
                        heat >= count * rate - bound || told.size() == Told.MOST_ROWS,
                        at + object + " " + heat + " of " + count * rate);
            });
            exact.replaceAll((object, count) -> count * keeps);
            exact.values().removeIf(count -> count < 0.1);
            all *= keeps;
        }
    }

    @Test
    void namesThatAreAllDifferentMakeItNeitherGrowNorTell() {
        Finder finder = new Finder(1);
        for (int turn = 0; turn < 5; turn++) {
            for (int i = 0; i < 200_000; i++) {
                finder.looked("name-" + turn + "-" + i);
                if (i % 1_000 == 0) {
                    finder.looked("hot");
                    finder.ordered("hot");
                }
            }
            assertTrue(finder.size() <= Finder.MOST_NAMES);
            // By the bound 684 a second may be missing: what 1,000 a second are told of is no less than the rest.
            assertTrue(map(finder.turn(SECOND)).keySet().stream().allMatch("hot"::equals));
        }
    }

    @Test
    void namesChosenToCollideDoNot() {
        List<String> names = new ArrayList<>(List.of(""));
        for (int i = 0; i < 12; i++) {
            names = names.stream()
                    .flatMap(name -> List.of(name + "Aa", name + "BB").stream())
                    .toList();
        }
        assertEquals(1, names.stream().mapToInt(String::hashCode).distinct().count());
        for (long chance : new long[] {0, 1, -1, 0x1234_5678_9ABC_DEFL}) {
            Finder finder = new Finder(chance);
            int most = names.stream()
                    .collect(Collectors.groupingBy(name -> finder.hash(name) & Finder.SIZE - 1, Collectors.counting()))
                    .values()
                    .stream()
                    .mapToInt(Long::intValue)
                    .max()
                    .orElseThrow();
            assertTrue(most < 40, "chance " + chance + ": " + most + " of 4,096 names in one of 1,024 slots");
        }
    }

    @Test
    void whatCoolsIsForgotten() {
        Finder finder = new Finder(2);
        for (int i = 0; i < 10_000; i++) {
            finder.looked("hot");
        }
        long before = finder.turn(SECOND).get(0).heat();
        assertEquals(2_500, before);
        int turns = 1;
        for (List<Told.Row> rows = finder.turn(SECOND); !rows.isEmpty(); rows = finder.turn(SECOND)) {
            assertTrue(rows.get(0).heat() <= (before + 1) * 0.751);
            before = rows.get(0).heat();
            turns++;
        }
        while (finder.size() > 0) {
            finder.turn(SECOND);
            turns++;
        }
        assertTrue(turns < 60, "forgotten after " + turns);
    }

    @Test
    void whatIsToldIsBoundedInBytesAndTheSameForEqualSights() {
        Finder one = new Finder(3), other = new Finder(4);
        SplittableRandom chance = new SplittableRandom(5);
        for (int i = 0; i < 400; i++) {
            String name = "x".repeat(96) + (1_000 + i);
            for (int n = 0; n < 80; n++) {
                one.looked(name);
                other.looked(name);
            }
            for (int n = chance.nextInt(30); n > 0; n--) {
                other.looked(name);
            }
        }
        List<Told.Row> rows = one.turn(SECOND);
        assertEquals(Told.MOST_BYTES / (100 + Told.ROW_BYTES), rows.size());
        assertEquals(
                rows.stream().map(Told.Row::object).toList(),
                other.turn(SECOND).stream().map(Told.Row::object).toList());
        assertTrue(new Told(1, 1, 0, rows, List.of()).isSound());
        one.looked("no name");
        one.looked("x".repeat(101));
        assertEquals(400, one.size());
    }
}
