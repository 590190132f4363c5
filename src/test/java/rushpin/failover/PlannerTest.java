package rushpin.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.failover.Scene.Ends;

class PlannerTest {
    private static final Scene.Nature CALM = (from, to, of) -> Ends.WELL;
    /** Servers bear twice what enters, as the operator knows: 10 of them for 10 processes of 2 classes by 100 a second. */
    private static final Limits BEARING = Limits.USUAL.bearing(400_000);

    private final Scene scene =
            new Scene(BEARING, 10, 100, List.of("book", "look"), List.of(List.of("a", "b", "c"), List.of("d", "e")));

    private static Scene.Nature bad(String zone, Ends ends) {
        return (from, to, of) -> to.equals(zone) ? ends : Ends.WELL;
    }

    private int spare(String from, String of, String to) {
        return scene.plan.ways().stream()
                .filter(way -> way.from().equals(from) && way.of().equals(of))
                .flatMap(way -> way.parts().stream())
                .filter(part -> part.to().equals(to))
                .mapToInt(Plan.Part::spare)
                .sum();
    }

    private int away(String from) {
        return Plan.WHOLE - scene.part(from, from);
    }

    @Test
    void inCalmAllButALookStaysNearAndThePlanStands() {
        scene.turns(1, CALM);
        scene.geography.zones().forEach(zone -> assertTrue(away(zone) < 10, () -> scene.plan.toString()));
        scene.turns(30, CALM);
        assertEquals(1, scene.moves);
    }

    @Test
    void aDeadZoneIsLeftForItsRegionFirst() {
        scene.turns(10, CALM);
        scene.turns(10, bad("a", Ends.DEAD));
        assertTrue(scene.isLeft("", "a", ""), () -> scene.plan.toString());
        // 2,000 a second; b and c can take 3,600 each, 2,000 of it their own.
        assertTrue(scene.part("a", "b") > 400 && scene.part("a", "c") > 400, () -> scene.plan.toString());
        assertTrue(scene.part("a", "d") <= BEARING.look() && away("b") < 10, () -> scene.plan.toString());
    }

    @Test
    void whatNoTargetCanTakeStaysWhereItEnters() {
        scene.warm.replaceAll((zone, warm) -> zone.equals("a") ? warm : 6_000L);
        scene.turns(10, CALM);
        scene.turns(10, bad("a", Ends.DEAD));
        // Each of the others has 2,160 - 2,000 to spare.
        assertTrue(away("a") >= 280 && away("a") <= 340, () -> scene.plan.toString());
    }

    @Test
    void aZoneThatOneOtherCantReachIsLeftByThatOneAlone() {
        Limits looks = BEARING;
        scene.turns(20, CALM);
        scene.turns(20, (from, to, of) -> from.equals("b") && to.equals("c") ? Ends.DEAD : Ends.WELL);
        assertTrue(scene.isLeft("b", "c", ""), () -> scene.plan.toString());
        assertEquals(1, scene.plan.marks().size());
        assertTrue(away("b") <= looks.look() * looks.looks());
    }

    @Test
    void aClassThatFailsIsLeftByItself() {
        scene.turns(10, CALM);
        scene.turns(10, (from, to, of) -> to.equals("a") && of.equals("book") ? Ends.DEAD : Ends.WELL);
        assertTrue(Fallback.part(scene.plan, "a", "book", "a") < 10, () -> scene.plan.toString());
        assertTrue(Fallback.part(scene.plan, "a", "look", "a") > 990, () -> scene.plan.toString());
        assertEquals(0, spare("b", "book", "a"), () -> scene.plan.toString());
        assertTrue(spare("b", "", "a") > 0 && spare("b", "book", "c") > 0, () -> scene.plan.toString());
    }

    @Test
    void whatIsSpareIsNotSaidAgainForAZoneThatIsNotHeard() {
        scene.turns(10, CALM);
        assertTrue(spare("a", "", "b") > 0, () -> scene.plan.toString());
        scene.way = report -> report.zone().equals("a") ? null : report;
        scene.turns(20, bad("c", Ends.DEAD));
        assertTrue(scene.isLeft("", "c", "") || scene.isLeft("c", "c", ""), () -> scene.plan.toString());
        assertTrue(scene.part("a", "a") >= 990 && spare("a", "", "b") == 0, () -> scene.plan.toString());
    }

    @Test
    void edgesThatAreSickDontMoveWhatEntersThere() {
        scene.turns(20, CALM);
        int moves = scene.moves;
        scene.turns(20, (from, to, of) -> from.equals("a") ? Ends.DEAD : Ends.WELL);
        assertEquals(moves, scene.moves, () -> scene.plan.toString());
    }

    @Test
    void whereAllLooksBadNothingIsLeft() {
        scene.turns(10, CALM);
        scene.turns(10, (from, to, of) -> Ends.DEAD);
        assertTrue(scene.plan.marks().isEmpty(), () -> scene.plan.toString());
    }

    @Test
    void aSlowZoneIsLeftInPartAndComesBackInSteps() {
        scene.turns(10, CALM);
        scene.turns(8, bad("a", Ends.SLOW));
        int open = scene.mark("", "a", "")
                .or(() -> scene.mark("a", "a", ""))
                .orElseThrow()
                .open();
        assertTrue(open > 0 && open < Plan.WHOLE, () -> scene.plan.toString());
        scene.turns(60, CALM);
        assertTrue(away("a") < 10, () -> scene.plan.toString());
    }

    @Test
    void oneLiarMovesNothing() {
        scene.way = report -> report.process().equals("b-0")
                ? new Report(
                        1,
                        report.sequence(),
                        "b-0",
                        "b",
                        report.span(),
                        0,
                        List.of(
                                new Report.Seen("a", "book", Report.MOST, 0, Report.MOST, 0, 0),
                                new Report.Seen("b", "book", Report.MOST, 0, Report.MOST, 0, 0)),
                        List.of(new Report.Stock("c", 0, 0)),
                        List.of(new Report.Entered("book", Report.MOST)))
                : report;
        scene.turns(20, CALM);
        assertEquals(1, scene.moves, () -> scene.plan.toString());
        assertFalse(scene.plan.ways().isEmpty());
    }

    private int wayOut(Scene scene, String from) {
        return scene.plan.ways().stream()
                .filter(way -> way.from().equals(from))
                .flatMap(way -> way.parts().stream())
                .mapToInt(Plan.Part::spare)
                .sum();
    }

    private static Report told(Report report, List<Report.Seen> seen, List<Report.Entered> entered) {
        return new Report(
                1,
                report.sequence(),
                report.process(),
                report.zone(),
                report.span(),
                0,
                seen,
                report.stocks(),
                entered);
    }

    /** The first plan is made before anything enters; each of five others bears a little more than its own. */
    @Test
    void whatManyBearALittleOfIsToldAsSoonAsItIsLearned() {
        Scene few =
                new Scene(Limits.USUAL, 2, 6, List.of("book"), List.of(List.of("a", "b", "c"), List.of("d", "e", "f")));
        few.way = report -> told(report, List.of(), List.of());
        few.turns(2, CALM);
        assertEquals(0, wayOut(few, "a"), () -> few.plan.toString());
        few.way = report -> report;
        few.turns(10, CALM);
        assertTrue(wayOut(few, "a") >= 400, () -> few.plan.toString());
    }

    @Test
    void aWayOutThatIsNeededGrowsWithEachStepOfWhatIsLearned() {
        Scene few = new Scene(Limits.USUAL, 2, 6, List.of("book"), List.of(List.of("a", "b", "c")));
        few.turns(10, CALM);
        int before = wayOut(few, "b"), moves = few.moves;
        // Some more is known to be borne now: too little for a plan, but where it is needed.
        few.sees = sight -> {
            Map<String, Double> more = new HashMap<>(sight.capacity());
            more.replaceAll((zone, can) -> can * 1.08);
            return new Sight(sight.picture(), more);
        };
        few.turns(5, CALM);
        assertEquals(moves, few.moves, () -> few.plan.toString());
        few.way = report -> !report.process().equals("b-0")
                ? report
                : told(
                        report,
                        report.seen().stream()
                                .map(seen -> new Report.Seen(seen.zone(), seen.of(), seen.sent(), 0, seen.sent(), 0, 0))
                                .toList(),
                        report.entered());
        few.turns(5, CALM);
        assertTrue(wayOut(few, "b") >= before + 100, () -> before + " " + few.plan);
        assertTrue(few.plan.marks().isEmpty() && few.part("b", "b") >= 990, () -> few.plan.toString());
    }
}
