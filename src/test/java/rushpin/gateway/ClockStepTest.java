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
 * Steps of the machines' clocks within a window of the counter, while a customer asks for five times its quota, in
 * simulated time. The units sent must stay within the bounds of {@code docs/design/clocks.md}; the tests print its
 * figures.
 */
class ClockStepTest {
    private static final long STEP = 10 * MS;
    private static final long SECOND = 1_000 * MS;
    private static final int SEEDS = 5;
    private static final int NODES = 4;
    private static final int CEILING_NODES = 14;
    private static final int PLAY_S = 20;
    private static final double LARGEST = 4;

    /** A fleet whose counter loses nothing. */
    private static final class Fleet {
        private final List<Host> hosts = new ArrayList<>();
        private final Map<Long, Double> counter = new HashMap<>();
        private final int[] answered;
        private final int[] ended;
        private final double rate;
        private final double burst;
        private final SplittableRandom random;
        private double tokens;
        /** The most units sent beyond the bucket. */
        private double maxBeyond;

        private double sent;

        Fleet(Plan plan, double rate, double burst, int nodes, long seed) {
            this.rate = rate;
            this.burst = burst;
            tokens = burst;
            random = new SplittableRandom(seed);
            answered = new int[nodes];
            ended = new int[nodes];
            for (int i = 0; i < nodes; i++) {
                // More than an hour, so that a step back does not make the time negative.
                hosts.add(new Host(plan, nodes, i, true, random.nextLong(), false, 7_200 * SECOND).servers(4));
            }
        }

        /** Sets the clocks of the first {@code machines} ahead of the nodes' by {@code ahead} nanoseconds. */
        void setClocks(int machines, long ahead) {
            hosts.subList(0, machines).forEach(host -> host.gateway.clock(host.now, ahead));
        }

        void run(long duration) {
            for (long at = 0; at < duration; at += STEP) {
                for (int i = 0; i < hosts.size(); i++) {
                    play(i);
                }
                tokens = Math.min(burst, tokens + rate * STEP / SECOND);
                maxBeyond = Math.max(maxBeyond, -tokens);
            }
        }

        private void play(int i) {
            Host host = hosts.get(i);
            if (random.nextDouble() < 5 * rate * STEP / SECOND / hosts.size()) {
                host.request(SAFE, 0, 1, 1, host.now + 3 * SECOND);
            }
            host.pass(STEP);
            for (; answered[i] < host.counted.size(); answered[i]++) {
                Host.Counted call = host.counted.get(answered[i]);
                double total = counter.merge(call.name(), call.amount(), Double::sum);
                host.gateway.counted(host.now, call.name(), Outcome.OK, total);
            }
            for (; ended[i] < host.sent.size(); ended[i]++) {
                sent++;
                tokens--;
                host.end(host.sent.get(ended[i]).id(), Outcome.OK);
            }
        }
    }

    /** Returns the most units beyond the bucket and the fewest units sent, over all seeds, both from the step on. */
    private static double[] playAll(Plan plan, double rate, double burst, int nodes, int machines, long stepMs) {
        double maxBeyond = 0;
        double minSent = Double.MAX_VALUE;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Fleet fleet = new Fleet(plan, rate, burst, nodes, seed);
            fleet.run(5 * SECOND);
            fleet.maxBeyond = 0;
            double before = fleet.sent;
            fleet.setClocks(machines, stepMs * MS);
            fleet.run(PLAY_S * SECOND);
            maxBeyond = Math.max(maxBeyond, fleet.maxBeyond);
            minSent = Math.min(minSent, fleet.sent - before);
        }
        System.out.printf(
                "step %d ms at %d of %d, rate %.0f burst %.0f: %.0f beyond at most, %.0f sent at least%n",
                stepMs, machines, nodes, rate, burst, maxBeyond, minSent);
        return new double[] {maxBeyond, minSent};
    }

    /** A gateway whose clock alone has stepped uses its own counts: the rate may be given twice, but not more. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000, -1_000, 10_000, -10_000, 3_600_000, -3_600_000})
    void quotaIsExceededWithinItsBound(long stepMs) {
        double rate = 40;
        double burst = 80;
        double span = burst / rate;
        Plan quota = new Plan(rate, burst, 0, 1, 0, 1, 0, 0, 0);
        double bound = (NODES - 1) * (burst + rate * span) + NODES * LARGEST;
        double[] together = playAll(quota, rate, burst, NODES, NODES, stepMs);
        assertTrue(together[0] <= bound, together[0] + " beyond, all together");
        assertTrue(together[1] >= rate * PLAY_S / 2, together[1] + " sent, all together");
        double[] alone = playAll(quota, rate, burst, NODES, 1, stepMs);
        assertTrue(alone[0] <= bound + rate * PLAY_S, alone[0] + " beyond, one alone");
        assertTrue(alone[1] >= rate * PLAY_S / 2, alone[1] + " sent, one alone");
    }

    /** The pool of a ceiling is granted by windows: a common step adds one window, for which the ceiling has room. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000, -1_000, 10_000, -10_000, 3_600_000, -3_600_000})
    void ceilingIsKeptWhenAllMachinesStepTogether(long stepMs) {
        double rate = 3;
        double burst = 72;
        double slack = 4;
        double poolSeconds = burst / rate / 3;
        double poolLimit = rate / 2 * poolSeconds;
        Plan withCeiling = new Plan(0, 0, 0, 1, 0, 1, rate, burst, slack);
        double[] together = playAll(withCeiling, rate, burst, CEILING_NODES, CEILING_NODES, stepMs);
        assertTrue(together[0] <= slack, together[0] + " beyond the ceiling, all together");
        double[] alone = playAll(withCeiling, rate, burst, CEILING_NODES, 1, stepMs);
        assertTrue(
                alone[0] <= slack + poolLimit * (Math.ceil(PLAY_S / poolSeconds) + 1),
                alone[0] + " beyond the ceiling, one alone");
    }
}
