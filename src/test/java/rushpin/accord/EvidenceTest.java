package rushpin.accord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rushpin.accord.Evidence.Taken;
import rushpin.accord.Evidence.View;

class EvidenceTest {
    private final Evidence evidence = new Evidence(200, 100, 2, 10);

    private static Report report(String process, String zone, long session, long sequence, Report.Seen... seen) {
        return new Report(session, sequence, process, zone, List.of(seen));
    }

    private static Report.Seen failing(String zone, long thousandths) {
        return new Report.Seen(zone, 1_000, 1_000 - thousandths, thousandths, 0, 0);
    }

    private int failed(String zone) {
        return evidence.across(zone, 0).orElseThrow().failed();
    }

    @Test
    void theNewestOfEachCountsUntilItIsTooOld() {
        assertEquals(Taken.YES, evidence.report(report("a", "x", 5, 7, failing("z", 100)), 0));
        assertEquals(Taken.NOT_NEWER, evidence.report(report("a", "x", 5, 7, failing("z", 900)), 1));
        assertEquals(Taken.NOT_NEWER, evidence.report(report("a", "x", 5, 6), 1));
        assertEquals(Taken.NOT_NEWER, evidence.report(report("a", "x", 4, 99), 1), "of its start before");
        assertEquals(Taken.YES, evidence.report(report("a", "x", 6, 1, failing("y", 200)), 2));
        assertEquals(Set.of("y"), evidence.zones(101));
        assertEquals(Set.of(), evidence.zones(102));
        evidence.forget(102);
        assertEquals(0, evidence.size());
    }

    /** Of what was much a moment ago no more is left than is smoothed at all. */
    @Test
    void whatWasMuchIsNotSmoothed() {
        for (int count : new int[] {10_000, 0}) {
            evidence.report(
                    new Report(
                            1,
                            10_001 - count,
                            "a",
                            "x",
                            1_000_000_000,
                            0,
                            List.of(),
                            List.of(),
                            List.of(new Report.Entered("book", count))),
                    0);
        }
        assertEquals(30, evidence.picture(0).demand("x").get("book"), 1e-6, "40 a second is what tells for sure");
    }

    @Test
    void whatCantBeTrueIsNotTaken() {
        for (Report.Seen bad : List.of(
                new Report.Seen("z", 1, 1, 1, 0, 0),
                new Report.Seen("z", 1, -1, 0, 0, 0),
                new Report.Seen("z", 5, 0, 1, 0, 2),
                new Report.Seen("z", 1, 0, 0, 2, 0),
                new Report.Seen("", 1, 1, 0, 0, 0),
                new Report.Seen("z", Long.MAX_VALUE, 1, 0, 0, 0),
                new Report.Seen("z", 1, Long.MAX_VALUE, Long.MAX_VALUE, 0, 0))) {
            assertEquals(Taken.UNSOUND, evidence.report(report("a", "x", 1, 1, bad), 0), bad::toString);
        }
        assertEquals(Taken.UNSOUND, evidence.report(report("a", "x", 1, 1, failing("z", 1), failing("z", 1)), 0));
        assertEquals(
                Taken.UNSOUND,
                evidence.report(
                        new Report(1, 1, "a", "x", Collections.nCopies(Plan.MOST_ZONES + 1, failing("z", 1))), 0));
    }

    @Test
    void theTableIsBoundedAndMakesRoomByAge() {
        Evidence small = new Evidence(1, 100, 1, 1);
        assertEquals(Taken.YES, small.report(report("a", "x", 1, 1), 0));
        assertEquals(Taken.NO_ROOM, small.report(report("b", "x", 2, 1), 99));
        assertEquals(Taken.YES, small.report(report("b", "x", 2, 1), 100));
        assertEquals(1, small.size());
    }

    @Test
    void aZoneOfManyCountsAsMuchAsAZoneOfFew() {
        for (int i = 0; i < 100; i++) {
            evidence.report(report("many" + i, "x", 1, 1, failing("z", 900)), 0);
        }
        assertEquals(Optional.empty(), evidence.across("z", 0), "one zone only: its edges may be what is sick");
        assertEquals(
                new View("z", 100, 1, 900, 0, 0, 900, 0),
                evidence.from("x", "z", 0).orElseThrow());
        evidence.report(report("b", "y", 1, 1, failing("z", 10)), 0);
        assertEquals(900, failed("z"), "one alone moves nothing");
        for (int i = 0; i < 2; i++) {
            evidence.report(report("v" + i, "v", 1, 1, failing("z", 10)), 0);
            evidence.report(report("w" + i, "w", 1, 1, failing("z", 20)), 0);
        }
        assertEquals(10, failed("z"), "three zones of four see little");
        assertEquals(Optional.empty(), evidence.from("y", "z", 0), "too few there");
    }

    /** Whatever one report says, what the fleet sees stays among what the others say. */
    @Property(tries = 1_000)
    void oneReportMovesNothing(
            @ForAll @Size(min = 2, max = 12) List<@IntRange(min = 0, max = 1_000) Integer> honest,
            @ForAll @Size(value = 13) List<@IntRange(min = 0, max = 4) Integer> zones,
            @ForAll @IntRange(min = 0, max = 1_000) int lie) {
        Evidence evidence = new Evidence(20, 100, 2, 10);
        List<Integer> all = new ArrayList<>(honest);
        all.add(lie);
        for (int i = 0; i < all.size(); i++) {
            evidence.report(report("p" + i, "zone" + zones.get(i), 1, 1, failing("z", all.get(i))), 0);
        }
        evidence.across("z", 0).ifPresent(view -> {
            assertTrue(
                    view.failed() >= Collections.min(honest) && view.failed() <= Collections.max(honest),
                    () -> view + " of " + honest + " and " + lie + " in " + zones);
            assertTrue(view.reporters() >= 3 && view.zones() >= 2);
        });
    }
}
