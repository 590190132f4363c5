package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.gateway.Host.MS;
import static rushpin.gateway.Host.SAFE;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;

/** Tests the pool, the part of a ceiling that gateways draw through the counter, in simulated time. */
class CeilingPoolTest {
    private static final double RATE = 3;
    private static final double BURST = 72;
    private static final double SLACK = 4;
    private static final Plan WITH_CEILING = new Plan(0, 0, 0, 1, 0, 1, RATE, BURST, SLACK);

    /** Returns a gateway with all its call tokens, whose own part of the ceiling holds a tenth of a unit. */
    private static Host startedHost() {
        Host host = new Host(WITH_CEILING, 14, 0).servers(4);
        host.pass(1_000 * MS);
        return host;
    }

    @Test
    void newGatewayIsGrantedWhatItNeeds() {
        Host host = startedHost();
        String id = host.request(SAFE, 4);
        assertEquals(0, host.sent.size(), "the units are granted before the request is sent");
        Host.Counted call = host.counted.get(0);
        host.gateway.counted(host.now, call.name(), Outcome.OK, call.amount());
        assertEquals(id, host.sent.get(0).id());
    }

    @Test
    void requestWithoutGrantIsRefusedAndFullWindowIsNotCalledAgain() {
        Host host = startedHost();
        host.request(SAFE, 4);
        Host.Counted call = host.counted.get(0);
        host.gateway.counted(host.now, call.name(), Outcome.OK, BURST);
        assertEquals(1, host.refused.size());
        host.request(SAFE, 4);
        assertEquals(2, host.refused.size());
        assertEquals(1, host.counted.size());
    }

    /** The counter forgets a name 60 s after its first call, so it would grant the units of a longer window twice. */
    @Test
    void windowIsNoLongerThanTheCounterKeepsItsName() {
        Host host = new Host(new Plan(0, 0, 0, 1, 0, 1, 0.1, 72, 4), 14, 0).servers(4);
        host.pass(1_000 * MS);
        host.request(SAFE, 4);
        assertEquals(0, host.counted.size(), "half of 0.1 units a second for 60 s is less than 4");
        assertEquals(1, host.refused.size());
    }

    @Test
    void callWithoutAnswerGrantsNothing() {
        for (Outcome outcome : List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.FULL, Outcome.CONNECT_FAILED)) {
            Host host = startedHost();
            host.request(SAFE, 4);
            host.gateway.counted(host.now, host.counted.get(0).name(), outcome, 0);
            assertEquals(1, host.refused.size(), outcome.name());
            assertEquals(0, host.sent.size(), outcome.name());
        }
    }

    /**
     * Fleets of any size under too many requests, with restarts, failed calls and a counter that loses its counts at
     * most once in three windows. A pool that grants a window twice would exceed the ceiling.
     */
    @Property(tries = 60)
    void fleetKeepsTheCeilingOverRestartsFailedCallsAndLostCounts(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int nodes) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<Long, Double> counter = new HashMap<>();
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            hosts.add(new Host(WITH_CEILING, nodes, i, true, random.nextLong(), false).servers(4));
        }
        int[] answered = new int[nodes];
        int[] ended = new int[nodes];
        double tokens = BURST;
        double minTokens = BURST;
        double sent = 0;
        long clearedAt = 0;
        for (long at = 0; at < 60_000 * MS; at += 20 * MS) {
            if (at - clearedAt > 24_000 * MS && random.nextInt(400) == 0) {
                counter.clear();
                clearedAt = at;
            }
            for (int i = 0; i < nodes; i++) {
                if (random.nextInt(2_000) == 0) {
                    hosts.set(
                            i,
                            new Host(WITH_CEILING, nodes, i, true, random.nextLong(), false, hosts.get(i).now)
                                    .servers(4));
                    answered[i] = 0;
                    ended[i] = 0;
                }
                Host host = hosts.get(i);
                if (random.nextInt(nodes) == 0) {
                    host.request(SAFE, 0, 1, 1 + random.nextInt(4), host.now + 3_000 * MS);
                }
                host.pass(20 * MS);
                for (; answered[i] < host.counted.size(); answered[i]++) {
                    Host.Counted call = host.counted.get(answered[i]);
                    int draw = random.nextInt(20);
                    if (draw == 0) {
                        host.gateway.counted(host.now, call.name(), Outcome.CONNECT_FAILED, 0);
                    } else {
                        double total = counter.merge(call.name(), call.amount(), Double::sum);
                        host.gateway.counted(host.now, call.name(), draw == 1 ? Outcome.TIMEOUT : Outcome.OK, total);
                    }
                }
                for (; ended[i] < host.sent.size(); ended[i]++) {
                    String id = host.sent.get(ended[i]).id();
                    double units = host.units.get(id);
                    tokens -= units;
                    sent += units;
                    host.end(id, Outcome.OK);
                }
            }
            minTokens = Math.min(minTokens, tokens);
            tokens = Math.min(BURST, tokens + RATE * 0.02);
        }
        assertTrue(
                minTokens >= -SLACK, "seed " + seed + ", " + nodes + " nodes: " + -minTokens + " beyond the ceiling");
        assertTrue(
                sent >= RATE * 60 * 0.4,
                "seed " + seed + ", " + nodes + " nodes: only " + sent + " units sent in a minute");
    }
}
