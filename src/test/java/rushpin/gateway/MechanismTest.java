package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.gateway.Host.MS;
import static rushpin.gateway.Host.SAFE;
import static rushpin.gateway.Host.UNSAFE;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.ejml.simple.SimpleMatrix;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;
import rushpin.gateway.Ports.Readiness;

/** The laws and the counter rule on their own terms. */
class MechanismTest {
    @Test
    void leastSquaresRecoverAKnownPlant() {
        double[][] plant = {{0.5, 0.2, 1.5}, {-0.1, 0.4, 0.7}};
        RecursiveLeastSquares rls = new RecursiveLeastSquares(2, 3);
        SplittableRandom random = new SplittableRandom(3);
        for (int k = 0; k < 300; k++) {
            SimpleMatrix phi =
                    new SimpleMatrix(3, 1, true, random.nextDouble(), random.nextDouble(), random.nextDouble());
            SimpleMatrix y = new SimpleMatrix(plant).mult(phi);
            rls.update(phi, y.get(0), y.get(1));
        }
        SimpleMatrix probe = new SimpleMatrix(3, 1, true, 1, 2, 3);
        SimpleMatrix truth = new SimpleMatrix(plant).mult(probe);
        assertEquals(truth.get(0), rls.predict(probe).get(0), 1e-3);
        assertEquals(truth.get(1), rls.predict(probe).get(1), 1e-3);
    }

    @Test
    void anIdleOutputKeepsItsFit() {
        RecursiveLeastSquares rls = new RecursiveLeastSquares(2, 1);
        SimpleMatrix one = new SimpleMatrix(1, 1, true, 1);
        for (int k = 0; k < 50; k++) {
            rls.update(one, 2, 5);
        }
        double before = rls.predict(one).get(1);
        for (int k = 0; k < 50; k++) {
            rls.update(one, 2, Double.NaN);
        }
        assertEquals(before, rls.predict(one).get(1));
    }

    @Test
    void shareLawMovesTowardsTheReferenceAndSumsToOne() {
        SimpleMatrix b0 = SimpleMatrix.identity(2);
        SimpleMatrix last = new SimpleMatrix(2, 1, true, 0.5, 0.5);
        SimpleMatrix yref = new SimpleMatrix(2, 1, true, 0.8, 0.2);
        SimpleMatrix u = Gateway.controlLaw(b0, SimpleMatrix.identity(2), 0.5, yref, new SimpleMatrix(2, 1), last);
        double[] shares = Gateway.rescale(new double[] {u.get(0), u.get(1)});
        assertTrue(shares[0] > 0.5 && shares[0] < 0.8);
        assertEquals(1, Arrays.stream(shares).sum(), 1e-9);
        double[] odd = Gateway.rescale(new double[] {Double.NaN, -3, 7});
        assertEquals(1, Arrays.stream(odd).sum(), 1e-9);
        assertTrue(Arrays.stream(odd).allMatch(s -> s > 0));
    }

    @Test
    void fairQueueServesByShare() {
        Host host = new Host(Host.FREE, 1, 0).servers(1);
        Set<String> unsafe = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            host.request(UNSAFE, 1);
        }
        for (int i = 0; i < 30; i++) {
            unsafe.add(host.request(UNSAFE, 1));
            if (i % 3 == 0) {
                host.request(SAFE, 1);
            }
        }
        assertEquals(6, host.sent.size(), "the operator's limit of one server");
        // As each ends the next is released. Worth 1 to 3: one safe for three unsafe.
        int ofUnsafe = 0;
        for (int next = 0; next < 24; next++) {
            host.end(host.sent.get(next).id(), Outcome.OK);
            ofUnsafe += unsafe.contains(host.sent.get(next + 6).id()) ? 1 : 0;
        }
        assertEquals(18, ofUnsafe, 2, "served by share within one round");
    }

    @Test
    void oneGatewayOfManyMayHaveOneOutAndRestsIfThatIsTooMany() {
        for (int siblings : new int[] {100, 240}) {
            Host host = new Host(Host.FREE, siblings, 0).servers(20);
            String first = host.request(SAFE, 1);
            host.request(SAFE, 1);
            assertEquals(1, host.sent.size(), "a hundred gateways with two out each would drown twenty servers");
            host.end(first, Outcome.OK);
            // 240 gateways have half a request each in flight: after 20 ms of work, 20 ms of rest.
            assertEquals(siblings == 100 ? 2 : 1, host.sent.size());
            host.pass(30 * MS);
            assertEquals(2, host.sent.size());
        }
    }

    @Test
    void attemptsThatNeverRanAreNotCharged() {
        Host host = new Host(Host.FREE, 1, 0).servers(6);
        for (int i = 0; i < 60; i++) {
            String id = host.request(SAFE, 1);
            host.end(id, Outcome.FULL, false);
            assertEquals(2, host.attempts(id).size(), "request " + i);
            host.end(id, Outcome.OK);
        }
    }

    /** A counter that all gateways of a test share. */
    private static final class SharedCounter {
        private final Map<Long, Double> totals = new HashMap<>();

        void answer(List<Host> hosts) {
            for (Host host : hosts) {
                List<Host.Counted> calls = new ArrayList<>(host.counted);
                host.counted.clear();
                for (Host.Counted call : calls) {
                    double total = totals.merge(call.name(), call.amount(), Double::sum);
                    host.gateway.counted(host.now, call.name(), Outcome.OK, total);
                }
            }
        }
    }

    private static double heavyUse(boolean counterAnswers, int seconds) {
        Plan plan = new Plan(10, 30, 0, 1, 0, 1, 0, 0, 0);
        List<Host> hosts = new ArrayList<>();
        for (int me = 0; me < 3; me++) {
            hosts.add(new Host(plan, 3, me).servers(20));
        }
        SharedCounter counter = new SharedCounter();
        Map<Host, Integer> ended = new HashMap<>();
        for (int tick = 0; tick < 100 * seconds; tick++) {
            for (Host host : hosts) {
                host.pass(10 * MS);
                if (tick % 5 == 0) {
                    host.request(SAFE, 1);
                }
                // Some are sent only when their call to the counter is given up.
                for (int sent = ended.merge(host, 0, Integer::sum); sent < host.sent.size(); sent++) {
                    host.end(host.sent.get(sent).id(), Outcome.OK);
                    ended.put(host, sent + 1);
                }
            }
            if (counterAnswers) {
                counter.answer(hosts);
            }
        }
        return hosts.stream().mapToInt(host -> host.sent.size()).sum();
    }

    @Test
    void aCustomerStaysInQuotaOverAllGateways() {
        // Asked for: 60 a second for 20 s. The quota holds 30 + 10 a second; the last totals are late.
        double used = heavyUse(true, 20);
        assertTrue(used <= 1.2 * (30 + 10 * 20), "used " + used);
        assertTrue(used >= 0.8 * (30 + 10 * 20), "used " + used);
    }

    @Test
    void withTheCounterSilentTheQuotaIsDivided() {
        double used = heavyUse(false, 20);
        // Each may have let the whole burst in before the silence is noticed.
        assertTrue(used <= 3 * 30 + 10 * 20, "used " + used);
        assertTrue(used >= 0.7 * (30 + 10 * 20), "used " + used);
    }

    @Test
    void aCustomerRefusedAfterTheOthersSpikeIsLetInAgain() {
        Host host = new Host(new Plan(10, 30, 0, 1, 0, 1, 0, 0, 0), 3, 0).servers(20);
        Map<Long, Double> totals = new HashMap<>();
        String last = "";
        int refusedInSpike = 0;
        for (int tick = 0; tick < 1500; tick++) {
            host.pass(10 * MS);
            if (tick % 20 == 0) {
                last = host.request(SAFE, 1);
                host.attempts(last).forEach(s -> host.end(s.id(), Outcome.OK));
            }
            for (Host.Counted call : List.copyOf(host.counted)) {
                // For four seconds the others use far more than the rate, then nothing.
                double others = tick < 400 ? 600 : 0;
                double total = totals.merge(call.name(), call.amount() + others, Double::sum);
                host.gateway.counted(host.now, call.name(), Outcome.OK, total);
            }
            host.counted.clear();
            refusedInSpike = tick == 300 ? host.refused.size() : refusedInSpike;
        }
        assertTrue(refusedInSpike > 0, "the spike is seen");
        assertEquals(1, host.attempts(last).size(), "let in once the store has filled");
    }

    @Test
    void callsKeepToABudget() {
        Host host = new Host(new Plan(10, 30, 0, 1, 0, 1, 0, 0, 0), 300, 0).servers(20);
        int most = 0;
        for (int tick = 0; tick < 500; tick++) {
            // A hundred customers at once, each never heard of; the counter turns every call away.
            if (tick % 100 == 0) {
                for (int customer = 0; customer < 100; customer++) {
                    host.request(SAFE, 0, 1000 * tick + customer, 2, host.now + 3000 * MS);
                }
            }
            host.pass(10 * MS);
            most = Math.max(most, host.counted.size());
            List<Host.Counted> calls = List.copyOf(host.counted);
            host.counted.clear();
            calls.forEach(call -> host.gateway.counted(host.now, call.name(), Outcome.FULL, 0));
        }
        assertTrue(most >= 1 && most <= 2, "calls at one moment: " + most);
    }

    @Test
    void aCustomerNeverHeardOfIsAskedForFirst() {
        Plan plan = new Plan(10, 30, 0, 1, 0, 1, 0, 0, 0);
        for (double others : new double[] {0, 100}) {
            Host host = new Host(plan, 300, 0).servers(20);
            host.pass(1000 * MS);
            String id = host.request(SAFE, 0, 7, 2, host.now + 3000 * MS);
            assertEquals(0, host.sent.size(), "held until the total is there");
            Host.Counted call = host.counted.get(0);
            host.gateway.counted(host.now, call.name(), Outcome.OK, call.amount() + others);
            assertEquals(others > 0 ? 0 : 1, host.attempts(id).size());
            assertEquals(others > 0 ? 1 : 0, host.refused.size());
        }
    }

    @Test
    void scarceCallsGoWhereMoreIsAtStake() {
        Host host = new Host(new Plan(10, 30, 0, 1, 0, 1, 0, 0, 0), 300, 0).servers(20);
        int[] calls = new int[5];
        for (int tick = 0; tick < 2000; tick++) {
            // Each customer once, of 1 or 4 units in turn; far more of them than calls.
            int units = tick % 2 == 0 ? 1 : 4;
            String id = host.request(SAFE, 0, tick, units, host.now + 3000 * MS);
            // Every answer is slow: the budget stays small.
            host.pass(20 * MS);
            for (Host.Counted call : List.copyOf(host.counted)) {
                calls[(int) Math.max(0, call.amount())]++;
                host.gateway.counted(host.now, call.name(), Outcome.OK, call.amount());
            }
            host.counted.clear();
            host.attempts(id).forEach(s -> host.end(s.id(), Outcome.OK));
        }
        assertTrue(calls[4] > 2 * calls[1], "calls by units: " + Arrays.toString(calls));
    }

    @Test
    void aCallThatNeverEndsDoesNotHoldItsRequest() {
        Host host = new Host(new Plan(10, 30, 0, 1, 0, 1, 0, 0, 0), 3, 0).servers(20);
        host.pass(1000 * MS);
        String id = host.request(SAFE, 1);
        host.pass(200 * MS);
        assertEquals(1, host.attempts(id).size());
    }

    @Test
    void gatewaysThatKnowNothingSpreadOverTheFleet() {
        HashSet<String> used = new HashSet<>();
        for (int seed = 0; seed < 40; seed++) {
            Host host = new Host(Host.FREE, 40, 0, true, seed, false).servers(20);
            host.request(SAFE, 1);
            used.add(host.sent.get(0).server());
        }
        assertTrue(used.size() >= 12, "first requests of 40 gateways went to " + used);
    }

    @Test
    void aServerThatTellsNoLoadIsNotIdle() {
        Host host = new Host(Host.FREE, 40, 0, true, 7, true).servers(2);
        List<Double> busy = List.of(4.0);
        for (List<Double> other : List.of(busy, List.<Double>of())) {
            for (int i = 0; i < 20; i++) {
                host.pass(1000 * MS);
                host.gateway.probed(host.now, "a", Outcome.OK, MS, other);
                host.gateway.probed(host.now, "b", Outcome.OK, MS, List.of(1.0));
                String id = host.request(SAFE, 1);
                assertEquals("b", host.attempts(id).get(0).server(), "report of a: " + other);
                host.end(id, Outcome.OK);
            }
        }
        assertTrue(host.probed.size() >= 20, "each request probes, where one's own answers are rare");
    }

    @Test
    void oddInputIsAnswered() {
        Host host = new Host(Host.FREE, 1, 0, false);
        host.request(9, 1);
        host.request(SAFE, 5, 1, 1, host.now + 3000 * MS);
        assertEquals(2, host.refused.size());
        host.gateway.attemptEnded(host.now, new Ports.Result("nobody", Outcome.OK, 1, "x", true, 0, 0, List.of()));
        host.gateway.clientGone(host.now, "nobody");
        host.gateway.counted(host.now, 5, Outcome.OK, 3);
        host.gateway.probed(host.now, "nobody", Outcome.TIMEOUT, 1, List.of(1.0, 2.0));
        host.servers(1);
        host.request(SAFE, 0);
        assertEquals(1, host.sent.size());
    }

    /** Ever new customers once grew the table for as long as the gateway ran. */
    @Test
    void aCustomerWhoseStoresAreFullAgainIsForgottenAndNoOther() {
        Host host = new Host(new Plan(1, 4, 0, 1, 0, 1, 2, 8, 4), 1, 0, false).servers(2);
        host.pass(10_000 * Host.MS);
        for (long customer = 0; customer < 300; customer++) {
            host.end(host.request(Host.SAFE, 0, customer, 1, host.now + 3000 * Host.MS), Outcome.OK);
        }
        String open = host.request(Host.UNSAFE, 0, 1000, 1, host.now + 90_000 * Host.MS);
        host.end(host.request(Host.SAFE, 0, 1001, 4, host.now + 3000 * Host.MS), Outcome.OK);
        host.pass(2_000 * Host.MS);
        assertEquals(304, host.gateway.remembered());
        String early = host.request(Host.SAFE, 0, 1001, 4, host.now + 3000 * Host.MS);
        assertTrue(host.refused.contains(early), "what is used up must not be forgotten");
        host.pass(50_000 * Host.MS);
        assertEquals(3, host.gateway.remembered(), "two servers and the customer whose request is open");
        host.end(open, Outcome.OK);
        host.pass(50_000 * Host.MS);
        assertEquals(2, host.gateway.remembered());
        String later = host.request(Host.SAFE, 0, 1001, 4, host.now + 3000 * Host.MS);
        assertEquals(1, host.attempts(later).size());
    }

    /** Ids of servers are ever new too; one that is gone is kept only for the attempts it still has. */
    @Test
    void aServerThatIsGoneIsForgottenWithItsLastAttempt() {
        Host host = new Host(Host.FREE, 1, 0);
        host.server("a", 0, Readiness.READY, 0);
        String id = host.request(Host.UNSAFE, 0, 1, 1, host.now + 90_000 * Host.MS);
        for (int i = 0; i < 100; i++) {
            host.server("n" + i, 0, Readiness.READY, 0);
            host.server("n" + i, 0, Readiness.GONE, 0);
        }
        assertEquals(102, host.gateway.remembered(), "for a while they might come back");
        host.server("a", 0, Readiness.GONE, 0);
        host.pass(31_000 * Host.MS);
        host.server("b", 0, Readiness.READY, 0);
        assertEquals(3, host.gateway.remembered(), "the customer, b, and a with its attempt");
        host.end(id, Outcome.RESET);
        assertTrue(host.failed.contains(id));
        host.server("never", 0, Readiness.GONE, 0);
        assertEquals(2, host.gateway.remembered());
    }

    /**
     * Refusals of one customer once counted as use that the counter was never told of; by that the others' told use
     * of every customer was scaled up to ten times, and a fleet refused a third of its requests with room to spare.
     */
    @Test
    void aFloodThatIsRefusedDoesNotMakeOtherCustomersLookSpent() {
        Host host = new Host(new Plan(40, 80, 0, 1, 0, 1, 0, 0, 0), 4, 0).servers(4);
        int answered = 0;
        for (int i = 0; i < 600; i++) {
            host.request(SAFE, 0, 1, 4, host.now + 3000 * MS);
            host.pass(10 * MS);
            for (; answered < host.counted.size(); answered++) {
                host.gateway.counted(host.now, host.counted.get(answered).name(), Outcome.OK, 100_000);
            }
        }
        assertTrue(host.refused.size() > 500, "refused " + host.refused.size());
        host.pass(2_000 * MS);
        for (; answered < host.counted.size(); answered++) {
            host.gateway.counted(host.now, host.counted.get(answered).name(), Outcome.OK, 100_000);
        }
        List.copyOf(host.sent).forEach(sent -> host.end(sent.id(), Outcome.OK));
        String id = host.request(SAFE, 0, 2, 4, host.now + 3000 * MS);
        Host.Counted call = host.counted.get(answered);
        host.gateway.counted(host.now, call.name(), Outcome.OK, call.amount() + 20);
        assertEquals(1, host.attempts(id).size(), "the others have used 20 of 80");
    }

    /** Two calls a second, as it once began, left the quotas to chance for the first ten seconds. */
    @Test
    void theFirstSecondHasCallsForManyCustomersAndManyGatewaysShareThem() {
        assertTrue(callsOfTheFirstSecond(2) >= 20);
        assertTrue(callsOfTheFirstSecond(50) <= 16, "400 a second by all, as many saved up");
    }

    private static int callsOfTheFirstSecond(int siblings) {
        Host host = new Host(new Plan(5, 10, 0, 1, 0, 1, 0, 0, 0), siblings, 0).servers(4);
        int answered = 0;
        for (long customer = 0; customer < 40; customer++) {
            host.request(SAFE, 0, customer, 1, host.now + 3000 * MS);
            host.pass(25 * MS);
            for (; answered < host.counted.size(); answered++) {
                Host.Counted call = host.counted.get(answered);
                host.gateway.counted(host.now, call.name(), Outcome.OK, call.amount());
            }
        }
        return answered;
    }

    /** Each once counted as an answer of twice the aim, which closed the loop on all that went well. */
    @Test
    void brokenConnectionsDoNotCloseTheConcurrencyLoop() {
        Host host = new Host(Host.FREE, 1, 0).servers(4);
        int ended = 0;
        for (int tick = 0; tick < 1000; tick++) {
            for (int i = 0; i < 4; i++) {
                host.request(UNSAFE, 1);
            }
            host.pass(10 * MS);
            for (int i = 0; i < 4 && host.sent.size() - ended > 20; i++, ended++) {
                host.end(host.sent.get(ended).id(), ended % 3 == 0 ? Outcome.RESET : Outcome.OK);
            }
        }
        for (; ended < host.sent.size(); ended++) {
            host.end(host.sent.get(ended).id(), Outcome.OK);
        }
        int before = host.sent.size();
        for (int i = 0; i < 40; i++) {
            host.request(SAFE, 1);
        }
        assertEquals(24, host.sent.size() - before, "six for each server");
    }

    /** A line to the counter that breaks now and then is no silent counter, nor a crowded one. */
    @Test
    void aCallThatBreaksNeitherSilencesTheCounterNorSlowsTheCalls() {
        Host host = new Host(new Plan(5, 10, 0, 1, 0, 1, 0, 0, 0), 4, 0).servers(4);
        int calls = 0;
        for (int tick = 0; tick < 3000; tick++) {
            if (tick % 4 == 0) {
                host.request(SAFE, 0, tick % 40, 1, host.now + 900 * MS);
            }
            host.pass(10 * MS);
            List<Host.Counted> made = List.copyOf(host.counted);
            host.counted.clear();
            for (Host.Counted call : made) {
                host.gateway.counted(
                        host.now, call.name(), ++calls % 3 == 0 ? Outcome.RESET : Outcome.OK, call.amount());
            }
        }
        assertTrue(host.logs.stream().noneMatch(line -> line.contains("silent")), "" + host.logs);
        assertTrue(calls > 300, calls + " calls in 30 s");
    }
}
