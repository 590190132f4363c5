package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.judge.Connections;
import rushpin.rig.BudgetSide.Tenant;
import rushpin.rig.Links.Way;
import rushpin.rig.TogetherFleet.Member;

/**
 * Five real processes that divide what a group of servers takes, under more load than that: one killed, one cut off, one
 * stopped for longer than its lease, all at once, and the number lowered. The servers never have more open than it.
 */
@Tag("long")
@Timeout(300)
class BudgetsProcessTest {
    private static final long SEED = 7;
    private static final int MOST = 19, LOWERED = 12, RESERVE = 4;
    /** A process that the machine lets stand between its look and its connect opens nothing too late. */
    private static final long EFFECT_MS = 4_000;

    @Test
    void theServersNeverHaveMoreOpenThanTheNumber() throws Exception {
        try (BudgetSide side = new BudgetSide(5, MOST, RESERVE, EFFECT_MS,
            List.of(new Tenant("bulk", 3, 2), new Tenant("spot", 0, 1)), SEED)) {
            side.begin();
            side.load("bulk", 6);
            side.load("spot", 10);
            List<Member> all = side.fleet.members;
            Member dies = all.get(3), cut = all.get(4);
            Member stopped = all.stream().filter(member -> member.votes && side.fleet.holds(member, BudgetSide.PLANNER) == null)
                .findFirst().orElseThrow();
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
            side.await("all keep to the lower number", () -> side.parts(rest) <= side.divided()
                && side.door.open() <= side.divided());
            side.settled();
            dies.start();
            side.away(dies, false);
            side.await("it has a part again", () -> side.permit(dies).most() > 0);
            side.end();
            // How much of its floor a tenant uses is a matter of the machine's speed, and so is when a server reads a request.
            assertEquals(List.of(), side.judged().stream().filter(breach -> breach.rule() == Connections.Rule.NEVER_OVER)
                .toList(), "seed " + SEED);
            assertEquals(List.of(), side.accords(), "seed " + SEED);
            assertTrue(Connections.most(side.door.opens(), 0, Long.MAX_VALUE) > LOWERED, "seed " + SEED);
        }
    }
}
