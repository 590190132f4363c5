package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.judge.AccordEvent.Agreed;
import rushpin.judge.Judge;
import rushpin.rig.Links.Way;
import rushpin.rig.TogetherFleet.Member;

/** Five real processes over three zones under load that go by one plan, with faults of zones, links and the planner. */
@Timeout(300)
class ZonesProcessTest {
    private static final long SEED = 7;

    private static Predicate<Agreed> near(String zone) {
        return plan -> ZoneSide.part(plan, zone, "", zone) >= 900;
    }

    private static Predicate<Agreed> left(String zone) {
        return plan -> ZoneSide.part(plan, zone, "", zone) <= 50;
    }

    private static void judged(ZoneSide side) throws Exception {
        side.end();
        assertEquals(List.of(), side.judged(), "seed " + SEED);
        assertEquals(List.of(), side.accords(), "seed " + SEED);
        // Whether answers come within the clients' patience is a matter of the machine's speed.
        assertEquals(
                List.of(),
                side.rules().stream()
                        .filter(breach -> breach.rule() != Judge.Rule.NO_REQUEST_LOST)
                        .toList(),
                "seed " + SEED);
    }

    private static Predicate<Agreed> nearBut(String... zones) {
        return plan -> TogetherFleet.ZONES.stream()
                .allMatch(zone -> List.of(zones).contains(zone) || near(zone).test(plan));
    }

    /**
     * A zone dies and the planner, of another one, is killed meanwhile: the next one's plan leaves that zone, and no other.
     * Both edge nodes of the dead zone are there: one alone moves nobody.
     */
    @Test
    void aDeadZoneIsLeftThoughThePlannerDies() throws Exception {
        try (ZoneSide side = new ZoneSide("common plan", true, 5, SEED)) {
            side.begin();
            side.awaitNow("all near", nearBut());
            Member planner = side.planner();
            String zone = planner.zone.equals("a") ? "b" : "a";
            long from = System.nanoTime();
            side.dies(zone);
            side.away(planner, true);
            planner.kill();
            long at = side.await(zone + " left", from, left(zone));
            System.out.printf("planner of %s killed, %s left after %.1f s%n", planner.zone, zone, (at - from) / 1e9);
            planner.start();
            side.away(planner, false);
            side.awaitNow(zone + " left by all", left(zone).and(nearBut(zone)));
            assertTrue(
                    side.agreed().stream().filter(plan -> plan.at() > from).allMatch(nearBut(zone)),
                    () -> "seed " + SEED + " " + side.agreed());
            judged(side);
        }
    }

    /** The servers of a zone fail one class: that one is left there, the other stays, and so do all of the other zones. */
    @Test
    void aClassThatFailsIsLeftAlone() throws Exception {
        try (ZoneSide side = new ZoneSide("common plan", true, 6, SEED)) {
            side.begin();
            side.awaitNow("all near", nearBut());
            long from = System.nanoTime();
            side.fails("b", "order");
            long at = side.await("orders of b left", from, plan -> ZoneSide.part(plan, "b", "yard.order", "b") <= 50);
            System.out.printf("orders of b left after %.1f s%n", (at - from) / 1e9);
            assertTrue(
                    side.agreed().stream().filter(plan -> plan.at() > from).allMatch(nearBut()),
                    () -> "seed " + SEED + " " + side.agreed());
            side.fails("b", null);
            judged(side);
        }
    }

    /** One edge can't reach a zone that all others reach, and another one's links are slow: no zone is left for it. */
    @Test
    void oneEdgesTroubleMovesNobody() throws Exception {
        try (ZoneSide side = new ZoneSide("common plan", true, 5, SEED)) {
            side.begin();
            side.awaitNow("all near", nearBut());
            long from = System.nanoTime();
            side.way(side.in("a").get(0), "a", Way.RESET);
            side.way(side.in("b").get(0), "b", Way.delay(200, 500));
            // A new planner looks at all anew: its first plan and those after it are made with the trouble in sight.
            side.fleet.await(
                    "requests there", () -> side.seen(from, System.nanoTime()).asked() > 400);
            Member planner = side.planner();
            planner.kill();
            side.away(planner, true);
            side.await("a plan by the next", from, plan -> true);
            planner.start();
            side.away(planner, false);
            side.fleet.await("all well", () -> side.fleet.isWell(ZoneSide.PLANNER));
            assertTrue(
                    side.agreed().stream().filter(plan -> plan.at() > from).allMatch(nearBut()),
                    () -> "seed " + SEED + " " + side.agreed());
            judged(side);
        }
    }
}
