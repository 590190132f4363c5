package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.gateway.Host.MS;
import static rushpin.gateway.Host.SAFE;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Counter;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;
import rushpin.gateway.Ports.Settings;

/** Use over a hard kill: which units the module reports to its host and to the counter, and which are restored. */
class RestoreTest {
    private static final Plan PLAN = new Plan(50, 100, 0, 1, 0, 1, 0, 0, 0);

    private static double reported(Host host) {
        return host.counted.stream().mapToDouble(Host.Counted::amount).sum();
    }

    /** Answers the pending calls, each with its own amount as the total; returns how many calls are answered. */
    private static int answer(Host host, int from) {
        for (int i = from; i < host.counted.size(); i++) {
            Host.Counted call = host.counted.get(i);
            host.gateway.counted(host.now, call.name(), Outcome.OK, call.amount());
        }
        return host.counted.size();
    }

    @Test
    void restoredUseIsReportedOnce() {
        Host host = new Host(PLAN, 3, 0).servers(2);
        host.gateway.restore(host.now, 9, 0, 3, 7);
        int answered = 0;
        for (int i = 0; i < 40; i++) {
            host.pass(100 * MS);
            answered = answer(host, answered);
        }
        assertEquals(7, reported(host), 1e-6);
    }

    @Test
    void restoredUseIsTakenFromTheQuota() {
        Host host = new Host(PLAN, 1, 0).servers(2);
        host.gateway.restore(host.now, 0, 0, 1, 100);
        assertTrue(host.refused.isEmpty());
        String id = host.request(SAFE, 0, 0, 4, host.now + 3000 * MS);
        assertEquals(List.of(id), host.refused, "a quota that was used up is still used up after the kill");
        Host fresh = new Host(PLAN, 1, 0).servers(2);
        assertFalse(fresh.refused.contains(fresh.request(SAFE, 0, 0, 4, fresh.now + 3000 * MS)));
    }

    @Test
    void useOfARemovedPlanIsDropped() {
        Host host = new Host(PLAN, 3, 0).servers(2);
        host.gateway.restore(host.now, 9, 5, 3, 7);
        host.pass(2_000 * MS);
        assertEquals(0, reported(host));
    }

    /** After a kill at any time and a restart with the stored use, the counter gets all units that were taken, once. */
    @Property
    void allUseIsReportedOnceOverAKill(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Host first = new Host(PLAN, 3, 0, true, seed, false).servers(3);
        int steps = random.nextInt(1, 60);
        int answered = 0;
        for (int i = 0; i < steps; i++) {
            String id = first.request(SAFE, 0, random.nextInt(4), 1 + random.nextInt(3), first.now + 3000 * MS);
            if (!first.attempts(id).isEmpty()) {
                first.end(id, Outcome.OK);
            }
            first.pass(random.nextInt(200) * MS);
            if (random.nextInt(3) > 0) {
                answered = answer(first, answered);
            }
        }
        answer(first, answered);
        double unreported =
                first.unreported.values().stream().mapToDouble(x -> x).sum();
        Host second = new Host(PLAN, 3, 0, true, seed + 1, false).servers(3);
        second.now = first.now;
        first.unreported.forEach((customer, units) -> {
            if (Math.abs(units) > 1e-9) {
                second.gateway.restore(second.now, customer, 0, 3, units);
            }
        });
        int secondAnswered = 0;
        for (int i = 0; i < 60; i++) {
            second.pass(100 * MS);
            secondAnswered = answer(second, secondAnswered);
        }
        assertEquals(unreported, reported(second), 1e-5, "seed " + seed);
    }

    @Test
    void countFirstCallsBeforeEachFirstAttempt() {
        Settings settings = Host.settings(PLAN, 3, 0, true, false);
        Counter first = new Counter(true, 50 * MS, true, 4, true);
        Host host = new Host(PLAN, 3, 0);
        Gateway gateway = new Gateway(
                new Settings(
                        0,
                        3,
                        0,
                        MS,
                        true,
                        settings.reports(),
                        settings.classes(),
                        settings.plans(),
                        settings.limits(),
                        first,
                        settings.rules()),
                7,
                host.now,
                host);
        gateway.list(
                host.now, Ports.ListKind.DELTA, List.of(new Ports.Server("a", 1, 0, 0, 0, Ports.Readiness.READY, 0)));
        for (int i = 0; i < 20; i++) {
            String id = "q" + i;
            gateway.request(host.now, new Ports.Request(id, SAFE, 0, 3, host.now + 3000 * MS, 1, 3, 0, false));
            assertTrue(host.attempts(id).isEmpty(), "no attempt before the counter has answered");
            Host.Counted call = host.counted.get(host.counted.size() - 1);
            assertEquals(1, call.amount(), 1e-9);
            gateway.counted(host.now, call.name(), Outcome.OK, i + 1);
            assertEquals(1, host.attempts(id).size());
            gateway.attemptEnded(host.now, new Ports.Result(id, Outcome.OK, MS, "a", true, 0, 0, List.of()));
            host.now += 20 * MS;
        }
    }

    /** Kills must not raise a ceiling: a new process starts with no units and earns them at the ceiling's rate. */
    @Property
    void ceilingIsKeptOverKills(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double rate = 20;
        double burst = 40;
        Plan withCeiling = new Plan(0, 0, 0, 1, 1, 0, rate, burst, 0);
        Host host = new Host(withCeiling, 1, 0, false, seed, false).servers(2);
        long startedAt = host.now;
        int served = 0;
        for (int i = 0; i < 300; i++) {
            if (random.nextInt(20) == 0) {
                long now = host.now;
                host = new Host(withCeiling, 1, 0, false, random.nextLong(), false, now).servers(2);
            }
            String id = host.request(SAFE, 0, 1, 1, host.now + 3000 * MS);
            if (!host.attempts(id).isEmpty()) {
                served++;
                host.end(id, Outcome.OK);
            }
            host.pass(random.nextInt(20) * MS);
            double allowed = burst + rate * (host.now - startedAt) / 1e9;
            assertTrue(served <= allowed + 1e-6, "seed " + seed + ": " + served + " of " + allowed);
        }
    }

    /** Gateways that started before and after the clock was set must name the same window of the counter. */
    @Test
    void windowNamesFollowAClockThatWasSet() {
        long hour = 3_600_000 * MS;
        Host before = new Host(PLAN, 3, 0, true, 1, false, 10 * hour).servers(2);
        Host after = new Host(PLAN, 3, 1, true, 2, false, 11 * hour).servers(2);
        before.gateway.clock(before.now, hour);
        for (Host host : List.of(before, after)) {
            host.request(SAFE, 0, 9, 1, host.now + 3000 * MS);
            host.pass(1_000 * MS);
        }
        assertEquals(after.counted.get(0).name(), before.counted.get(0).name());
        Host unaware = new Host(PLAN, 3, 0, true, 1, false, 10 * hour).servers(2);
        unaware.request(SAFE, 0, 9, 1, unaware.now + 3000 * MS);
        unaware.pass(1_000 * MS);
        assertFalse(unaware.counted.get(0).name() == after.counted.get(0).name(), "the name depends on the time");
    }
}
