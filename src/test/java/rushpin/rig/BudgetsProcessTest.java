package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.judge.Connections;
import rushpin.rig.BudgetSide.Spans;
import rushpin.rig.BudgetSide.Tenant;
import rushpin.rig.Links.Way;
import rushpin.rig.TogetherFleet.Member;

/**
 * Real processes that divide what a group of servers takes, under more load than that: one killed, one cut off, one stopped
 * for longer than its lease, all at once, and the number lowered; one that ends; one that is cut off from the others alone.
 * The servers never have more open than the number.
 */
@Tag("long")
@Timeout(300)
class BudgetsProcessTest {
    private static final long SEED = 7;
    private static final int MOST = 19, LOWERED = 12, RESERVE = 4;
    /** A process that the machine lets stand between its look and its connect opens nothing too late. */
    private static final Spans SPANS = new Spans(BudgetSide.LEASE_MS, 4_000, BudgetSide.LEASE_MS);

    /** Had it not given its part back, the others would wait for longer than this after its last renewal. */
    private static final Spans LONG_EFFECT = new Spans(BudgetSide.LEASE_MS, 25_000, BudgetSide.LEASE_MS);
    /** Who is cut off has its own part alone for some seconds, before the others have what it had beyond it, and after. */
    private static final Spans LONG_OWN = new Spans(BudgetSide.LEASE_MS, 2_000, 14_000);

    /** Under load, with requests in hand: they are answered, and then the others have what it had. */
    @Test
    void whoEndsGivesItsPartBackAtOnce() throws Exception {
        try (BudgetSide side = new BudgetSide(
                4, MOST, RESERVE, LONG_EFFECT, List.of(new Tenant("bulk", 3, 2), new Tenant("spot", 0, 1)), SEED)) {
            side.begin();
            side.load("bulk", 6);
            side.load("spot", 10);
            Member ends = side.fleet.members.get(3);
            side.await(
                    "all parts are given",
                    () -> side.parts(side.fleet.members) >= side.divided() - 1
                            && side.permit(ends).most() > 2);
            side.awaitOpen(side.divided() - 2);

            long from = System.nanoTime();
            side.away(ends, true);
            ends.end();
            List<Member> rest = side.fleet.members.subList(0, 3);
            side.await("its part is the others'", () -> side.parts(rest) >= side.divided() - 1);
            long given = rest.stream()
                    .mapToLong(member -> side.permit(member).at())
                    .max()
                    .orElseThrow();
            assertTrue(given - from < LONG_EFFECT.effect() * BudgetSide.MS, given - from + " ns, seed " + SEED);
            side.end();
            assertEquals(
                    List.of(),
                    side.judged().stream()
                            .filter(breach -> breach.rule() != Connections.Rule.FLOOR_KEPT)
                            .toList(),
                    "seed " + SEED);
            assertEquals(List.of(), side.accords(), "seed " + SEED);
        }
    }

    /** Its servers are within reach, and its clients, the one tenant's, ask for far more. */
    @Test
    void whoIsCutOffKeepsItsOwnPartAndNoMore() throws Exception {
        try (BudgetSide side = new BudgetSide(
                4, MOST, RESERVE, LONG_OWN, List.of(new Tenant("bulk", 0, 1), new Tenant("spot", 0, 1)), SEED)) {
            side.begin();
            Member cut = side.fleet.members.get(3);
            List<Member> rest = side.fleet.members.subList(0, 3);
            rest.forEach(member -> side.load("bulk", member, 16));
            side.load("spot", cut, 10);
            side.await(
                    "all parts are given",
                    () -> side.parts(side.fleet.members) >= side.divided() - 1
                            && side.permit(cut).most() > 2);
            side.awaitOpen(side.divided() - 2);

            side.fleet.apart(cut, Way.SILENT);
            // Its last renewal was asked before this, so its lease is over after it and what was in hand then, too.
            long at = System.nanoTime(), alone = at + side.spans.alone() * BudgetSide.MS;
            side.await("the others have what it had but for its own", () -> side.parts(rest) >= side.divided() - 1);
            side.awaitOpen(side.divided() - 2);
            side.await("the others have all", () -> side.parts(rest) >= side.divided());
            long end = System.nanoTime();
            side.fleet.apart(cut, Way.THROUGH);
            side.end();

            List<Connections.Open> own = side.carried().get("spot").stream()
                    .map(each -> new Connections.Open("", each.from(), each.until()))
                    .toList();
            assertTrue(Connections.most(own, 0, at) > 1, "seed " + SEED);
            assertEquals(1, Connections.most(own, alone, end), "seed " + SEED);
            long forgotten = at + (LONG_OWN.forget() + BudgetSide.LONGEST_MS) * BudgetSide.MS;
            assertEquals(0, Connections.most(own, forgotten, end), "seed " + SEED);
            assertEquals(
                    List.of(),
                    side.judged().stream()
                            .filter(breach -> breach.rule() == Connections.Rule.NEVER_OVER)
                            .toList(),
                    "seed " + SEED);
        }
    }

    @Test
    void theServersNeverHaveMoreOpenThanTheNumber() throws Exception {
        try (BudgetSide side = new BudgetSide(
                5, MOST, RESERVE, SPANS, List.of(new Tenant("bulk", 3, 2), new Tenant("spot", 0, 1)), SEED)) {
            side.begin();
            side.load("bulk", 6);
            side.load("spot", 10);
            List<Member> all = side.fleet.members;
            Member dies = all.get(3), cut = all.get(4);
            Member stopped = all.stream()
                    .filter(member -> member.votes && side.fleet.holds(member, BudgetSide.PLANNER) == null)
                    .findFirst()
                    .orElseThrow();
            side.await("all parts are given", () -> side.parts(all) >= side.divided() - 1);
            side.awaitOpen(side.divided() - 2);

            long from = System.nanoTime();
            List.of(dies, cut, stopped).forEach(member -> side.away(member, true));
            dies.kill();
            side.apart(cut, Way.SILENT, Way.SILENT);
            long stoppedAt = stopped.stop();
            TimeUnit.MILLISECONDS.sleep(2 * BudgetSide.LEASE_MS);
            stopped.wake(stoppedAt);
            side.apart(cut, Way.THROUGH, Way.THROUGH);
            List.of(cut, stopped).forEach(member -> side.away(member, false));
            side.trouble(from);
            List<Member> rest = all.stream().filter(member -> member != dies).toList();
            side.await("the rest is back", () -> rest.stream().allMatch(side.fleet::isConnected));
            side.await("the dead one's part is the others'", () -> side.parts(rest) >= side.divided() - 1);
            side.awaitOpen(side.divided() - 2);

            side.number(LOWERED);
            side.await(
                    "all keep to the lower number",
                    () -> side.parts(rest) <= side.divided() && side.door.open() <= side.divided());
            side.settled();
            dies.start();
            side.away(dies, false);
            side.await("it has a part again", () -> side.permit(dies).most() > 0);
            side.end();
            // How much of its floor a tenant uses is a matter of the machine's speed, and so is when a server reads a
            // request.
            assertEquals(
                    List.of(),
                    side.judged().stream()
                            .filter(breach -> breach.rule() == Connections.Rule.NEVER_OVER)
                            .toList(),
                    "seed " + SEED);
            assertEquals(List.of(), side.accords(), "seed " + SEED);
            assertTrue(Connections.most(side.door.opens(), 0, Long.MAX_VALUE) > LOWERED, "seed " + SEED);
        }
    }
}
