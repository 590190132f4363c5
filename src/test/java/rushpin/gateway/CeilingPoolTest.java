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

/** The part of a ceiling that gateways draw through the counter, in simulated time. */
class CeilingPoolTest {
    private static final double RATE = 3, BURST = 72, SLACK = 4;
    private static final Plan CEILED = new Plan(0, 0, 0, 1, 0, 1, RATE, BURST, SLACK);

    /** One whose budget of calls is full; its own part of the ceiling holds a tenth of a unit. */
    private static Host started() {
        Host host = new Host(CEILED, 14, 0).servers(4);
        host.pass(1_000 * MS);
        return host;
    }

    @Test
    void aGatewayThatHasJustStartedIsGrantedWhatItNeeds() {
        Host host = started();
        String id = host.request(SAFE, 4);
        assertEquals(0, host.sent.size(), "drawn before it is sent");
        Host.Counted call = host.counted.get(0);
        host.gateway.counted(host.now, call.name(), Outcome.OK, call.amount());
        assertEquals(id, host.sent.get(0).id());
    }

    @Test
    void whatIsNotGrantedIsRefusedAtOnceAndAFullWindowIsNotAskedAgain() {
        Host host = started();
        host.request(SAFE, 4);
        Host.Counted call = host.counted.get(0);
        host.gateway.counted(host.now, call.name(), Outcome.OK, BURST);
        assertEquals(1, host.refused.size());
        host.request(SAFE, 4);
        assertEquals(2, host.refused.size());
        assertEquals(1, host.counted.size());
    }

    /** The counter forgets a name 60 s after its first call, and would grant a longer window's part again. */
    @Test
    void noWindowIsLongerThanTheCounterKeepsItsName() {
        Host host = new Host(new Plan(0, 0, 0, 1, 0, 1, 0.1, 72, 4), 14, 0).servers(4);
        host.pass(1_000 * MS);
        host.request(SAFE, 4);
        assertEquals(0, host.counted.size(), "half of 0.1 units a second for 60 s is less than 4");
        assertEquals(1, host.refused.size());
    }

    @Test
    void aCallWithoutAnAnswerGrantsNothing() {
        for (Outcome outcome : List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.FULL, Outcome.CONNECT_FAILED)) {
            Host host = started();
            host.request(SAFE, 4);
            host.gateway.counted(host.now, host.counted.get(0).name(), outcome, 0);
            assertEquals(1, host.refused.size(), outcome.name());
            assertEquals(0, host.sent.size(), outcome.name());
        }
    }

    /** Fleets of any size that are flooded, restarted and cut off, with a counter that forgets once in three windows. */
    @Property(tries = 60)
    void theFleetKeepsTheCeilingOverRestartsCutsAndALossOfTheCounter(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int nodes) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<Long, Double> counter = new HashMap<>();
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            hosts.add(new Host(CEILED, nodes, i, true, random.nextLong(), false).servers(4));
        }
        int[] answered = new int[nodes], ended = new int[nodes];
        double store = BURST, least = BURST, sent = 0;
        long wiped = 0;
        for (long at = 0; at < 60_000 * MS; at += 20 * MS) {
            if (at - wiped > 24_000 * MS && random.nextInt(400) == 0) {
                counter.clear();
                wiped = at;
            }
            for (int i = 0; i < nodes; i++) {
                if (random.nextInt(2_000) == 0) {
                    hosts.set(
                            i, new Host(CEILED, nodes, i, true, random.nextLong(), false, hosts.get(i).now).servers(4));
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
                    int luck = random.nextInt(20);
                    if (luck == 0) {
                        host.gateway.counted(host.now, call.name(), Outcome.CONNECT_FAILED, 0);
                    } else {
                        double total = counter.merge(call.name(), call.amount(), Double::sum);
                        host.gateway.counted(host.now, call.name(), luck == 1 ? Outcome.TIMEOUT : Outcome.OK, total);
                    }
                }
                for (; ended[i] < host.sent.size(); ended[i]++) {
                    String id = host.sent.get(ended[i]).id();
                    double units = host.units.get(id);
                    store -= units;
                    sent += units;
                    host.end(id, Outcome.OK);
                }
            }
            least = Math.min(least, store);
            store = Math.min(BURST, store + RATE * 0.02);
        }
        assertTrue(least >= -SLACK, "seed " + seed + ", " + nodes + " nodes: " + -least + " beyond the ceiling");
        assertTrue(
                sent >= RATE * 60 * 0.4,
                "seed " + seed + ", " + nodes + " nodes: only " + sent + " units sent in a minute");
    }
}
