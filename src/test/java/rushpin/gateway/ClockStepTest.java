package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.gateway.Host.MS;
import static rushpin.gateway.Host.SAFE;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;

/**
 * Machines' clocks are set within a counter's window, under a customer who asks for five times its quota, in simulated
 * time. What is sent on is held against the bounds of {@code docs/design/clocks.md}, which these tests print figures for.
 */
class ClockStepTest {
    private static final long STEP = 10 * MS, S = 1_000 * MS;
    private static final int SEEDS = 5, NODES = 4, CEILED_NODES = 14, PLAY_S = 20;
    private static final double LARGEST = 4;

    /** A fleet whose counter is whole. */
    private static final class Fleet {
        private final List<Host> hosts = new ArrayList<>();
        private final Map<Long, Double> counter = new HashMap<>();
        private final int[] answered, ended;
        private final double rate, burst;
        private final SplittableRandom random;
        private double store, most, sent;

        Fleet(Plan plan, double rate, double burst, int nodes, long seed) {
            this.rate = rate;
            this.burst = burst;
            store = burst;
            random = new SplittableRandom(seed);
            answered = new int[nodes];
            ended = new int[nodes];
            for (int i = 0; i < nodes; i++) {
                // Later than an hour, or a step back would be to before all time.
                hosts.add(new Host(plan, nodes, i, true, random.nextLong(), false, 7_200 * S).servers(4));
            }
        }

        /** The clocks of the first so many machines are set ahead of the nodes' by so much. */
        void set(int machines, long ahead) {
            hosts.subList(0, machines).forEach(host -> host.gateway.clock(host.now, ahead));
        }

        void run(long span) {
            for (long at = 0; at < span; at += STEP) {
                for (int i = 0; i < hosts.size(); i++) {
                    play(i);
                }
                store = Math.min(burst, store + rate * STEP / S);
                most = Math.max(most, -store);
            }
        }

        private void play(int i) {
            Host host = hosts.get(i);
            if (random.nextDouble() < 5 * rate * STEP / S / hosts.size()) {
                host.request(SAFE, 0, 1, 1, host.now + 3 * S);
            }
            host.pass(STEP);
            for (; answered[i] < host.counted.size(); answered[i]++) {
                Host.Counted call = host.counted.get(answered[i]);
                double total = counter.merge(call.name(), call.amount(), Double::sum);
                host.gateway.counted(host.now, call.name(), Outcome.OK, total);
            }
            for (; ended[i] < host.sent.size(); ended[i]++) {
                sent++;
                store--;
                host.end(host.sent.get(ended[i]).id(), Outcome.OK);
            }
        }
    }

    /** Most that was beyond the store in any of the seeds, and least that was sent, both from the step on. */
    private static double[] play(Plan plan, double rate, double burst, int nodes, int machines, long stepMs) {
        double most = 0, least = Double.MAX_VALUE;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Fleet fleet = new Fleet(plan, rate, burst, nodes, seed);
            fleet.run(5 * S);
            fleet.most = 0;
            double before = fleet.sent;
            fleet.set(machines, stepMs * MS);
            fleet.run(PLAY_S * S);
            most = Math.max(most, fleet.most);
            least = Math.min(least, fleet.sent - before);
        }
        System.out.printf(
                "step %d ms at %d of %d, rate %.0f burst %.0f: %.0f beyond at most, %.0f sent at least%n",
                stepMs, machines, nodes, rate, burst, most, least);
        return new double[] {most, least};
    }

    /** Whoever is alone with its names keeps the quota as a fleet of one: the rate is given twice, and no more. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000, -1_000, 10_000, -10_000, 3_600_000, -3_600_000})
    void aQuotaIsExceededByNoMoreThanItsBound(long stepMs) {
        double rate = 40, burst = 80, span = burst / rate;
        Plan quota = new Plan(rate, burst, 0, 1, 0, 1, 0, 0, 0);
        double once = (NODES - 1) * (burst + rate * span) + NODES * LARGEST;
        double[] together = play(quota, rate, burst, NODES, NODES, stepMs);
        assertTrue(together[0] <= once, together[0] + " beyond, all together");
        assertTrue(together[1] >= rate * PLAY_S / 2, together[1] + " sent, all together");
        double[] alone = play(quota, rate, burst, NODES, 1, stepMs);
        assertTrue(alone[0] <= once + rate * PLAY_S, alone[0] + " beyond, one alone");
        assertTrue(alone[1] >= rate * PLAY_S / 2, alone[1] + " sent, one alone");
    }

    /** A part of a ceiling is drawn by windows: a step together is one window more, for which the ceiling has room. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000, -1_000, 10_000, -10_000, 3_600_000, -3_600_000})
    void aCeilingIsKeptWhereAllMachinesStepTogether(long stepMs) {
        double rate = 3, burst = 72, slack = 4, poolSpan = burst / rate / 3, poolMost = rate / 2 * poolSpan;
        Plan ceiled = new Plan(0, 0, 0, 1, 0, 1, rate, burst, slack);
        double[] together = play(ceiled, rate, burst, CEILED_NODES, CEILED_NODES, stepMs);
        assertTrue(together[0] <= slack, together[0] + " beyond the ceiling, all together");
        double[] alone = play(ceiled, rate, burst, CEILED_NODES, 1, stepMs);
        assertTrue(
                alone[0] <= slack + poolMost * (Math.ceil(PLAY_S / poolSpan) + 1),
                alone[0] + " beyond the ceiling, one alone");
    }
}
