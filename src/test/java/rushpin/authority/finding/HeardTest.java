package rushpin.authority.finding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What is made of what processes tell, and that one of them can't make it. */
class HeardTest {
    private static final long SECOND = 1_000_000_000L;

    private static Told told(long session, long sequence, String object, long heat) {
        return new Told(session, sequence, 1_000, List.of(new Told.Row(object, heat)), List.of());
    }

    private static Sight.Edge edge(Sight sight, long session) {
        return sight.edges().stream()
                .filter(each -> each.session() == session)
                .findFirst()
                .orElseThrow();
    }

    @Property(tries = 300)
    void withOneLiarNoHeatIsAboveWhatTheHonestSee(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Heard heard = new Heard(20, 5 * SECOND, 20, SECOND);
        int many = 2 + chance.nextInt(8);
        Map<String, Long> honest = new HashMap<>(), all = new HashMap<>();
        for (long session = 1; session <= many; session++) {
            long heat = 1 + chance.nextInt(1_000);
            for (String object : List.of("a", "b")) {
                long tells = session == 1 ? 1 + chance.nextLong(Told.MOST) >>> chance.nextInt(30) : heat;
                tells = Math.max(1, tells);
                all.merge(object, tells, Long::sum);
                honest.merge(object, session == 1 ? 0 : tells, Long::sum);
            }
            long liar = all.get("a") - honest.get("a"), other = all.get("b") - honest.get("b");
            heard.told(
                    new Told(
                            session,
                            1,
                            1,
                            List.of(
                                    new Told.Row("a", session == 1 ? liar : heat),
                                    new Told.Row("b", session == 1 ? other : heat)),
                            List.of()),
                    0);
        }
        Sight sight = heard.sight(
                LongStream.rangeClosed(1, many)
                        .mapToObj(s -> new Heard.Member(s, "z" + s % 3, ""))
                        .toList(),
                1);
        honest.forEach((object, sum) -> {
            Sight.Demand demand = sight.of(object);
            assertTrue(
                    demand.heat() <= sum && demand.heat() > 0 && demand.load() <= 2 * sum,
                    "seed " + seed + ": " + demand + " of " + sum);
            assertEquals(
                    demand.load(),
                    demand.zones().values().stream().mapToLong(Sight.Part::fair).sum(),
                    "seed " + seed);
        });
    }

    @Test
    void theNewestOfEachSessionThatLivesCountsUntilItIsOld() {
        Heard heard = new Heard(2, 5 * SECOND, 20, SECOND);
        List<Heard.Member> members = List.of(new Heard.Member(1, "a", ""), new Heard.Member(2, "a", ""));
        assertEquals(Heard.Taken.YES, heard.told(told(1, 2, "o", 10), 0));
        assertEquals(Heard.Taken.NOT_NEWER, heard.told(told(1, 2, "o", 90), 0));
        assertEquals(Heard.Taken.NOT_NEWER, heard.told(told(1, 1, "o", 90), 0));
        assertEquals(Heard.Taken.UNSOUND, heard.told(told(1, 3, "o", 0), 0));
        assertEquals(Heard.Taken.YES, heard.told(told(2, 1, "o", 30), SECOND));
        assertEquals(Heard.Taken.NO_ROOM, heard.told(told(3, 1, "o", 30), SECOND));
        assertEquals(10, heard.sight(members, SECOND).of("o").heat());
        assertEquals(0, heard.sight(members, 5 * SECOND).of("o").heat());
        assertEquals(0, heard.sight(members.subList(0, 1), SECOND).of("o").heat());
        assertEquals(Heard.Taken.YES, heard.told(told(3, 1, "o", 30), 5 * SECOND));
        assertEquals(2, heard.size());
    }

    @Test
    void whoIsSlowIsSlowByTwoAtLeastAndGetsNothingForAWhile() {
        List<Heard.Member> members = LongStream.rangeClosed(1, 4)
                .mapToObj(s -> new Heard.Member(s, "a", ""))
                .toList();
        for (int liars = 1; liars <= 2; liars++) {
            Heard heard = new Heard(9, 5 * SECOND, 20, 30 * SECOND);
            for (long session = 1; session <= 3; session++) {
                heard.told(
                        new Told(
                                session,
                                1,
                                100,
                                List.of(),
                                List.of(new Told.Answered(
                                        4, session <= liars ? 1 << 20 : 100, session <= liars ? 1 << 20 : 10))),
                        0);
            }
            heard.told(new Told(4, 1, 1L << 32, List.of(), List.of()), 0);
            assertEquals(liars == 2, edge(heard.sight(members, 1), 4).isSlow());
            assertEquals(
                    liars == 2 ? Sight.UNKNOWN : 200,
                    edge(heard.sight(members, 1), 4).room());
            for (long session = 1; session <= 4; session++) {
                heard.told(new Told(session, 2, 100, List.of(), List.of()), 10 * SECOND);
            }
            Sight later = heard.sight(members, 11 * SECOND);
            assertFalse(edge(later, 4).isSlow());
            assertEquals(liars == 2 ? Sight.UNKNOWN : 100, edge(later, 4).room());
            for (long session = 1; session <= 4; session++) {
                heard.told(new Told(session, 3, 100, List.of(), List.of()), 30 * SECOND);
            }
            assertEquals(100, edge(heard.sight(members, 31 * SECOND), 4).room());
        }
    }
}
