package rushpin.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.gateway.Gateway;
import rushpin.gateway.Ports;
import rushpin.gateway.Ports.Settings;

/**
 * The bounds of large fleets ({@code docs/design/many-nodes.md}) at sizes drawn from 1 to 100 nodes and 1 to 200 servers, while
 * nodes die, servers are replaced, one customer asks for much and the counter forgets.
 */
class FleetBoundsTest {
    private static final long S = 1_000_000_000L;
    private static final double CALLS = 400, CALLS_LEAST = 2, OPEN_PER_SERVER = 6, OPEN_LEAST = 0.25;

    /** What a module asks for: attempts out at once, and calls to the counter in its first second. */
    private static final class Watch extends Bent {
        private final long born;
        private final int most;
        private long now;
        private int out, calls;

        Watch(Ports.Actions to, long born, int most) {
            super(to);
            this.born = born;
            now = born;
            this.most = most;
        }

        @Override
        public void send(String id, String server, long patience) {
            out++;
            assertTrue(out <= most, out + " attempts out at a node that may have " + most);
            super.send(id, server, patience);
        }

        @Override
        public void count(long customer, long name, double amount, long lifetime) {
            calls += now - born < S ? 1 : 0;
            super.count(customer, name, amount, lifetime);
        }
    }

    /** Passes a host's events on, and tells the watch of time and of attempts that have ended. */
    private static Ports.Events told(Gateway module, Watch watch) {
        return (Ports.Events) java.lang.reflect.Proxy.newProxyInstance(
                Ports.Events.class.getClassLoader(),
                new Class<?>[] {Ports.Events.class},
                (proxy, method, arguments) -> {
                    watch.now = (Long) arguments[0];
                    watch.out -= method.getName().equals("attemptEnded") ? 1 : 0;
                    return method.invoke(module, arguments);
                });
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void boundsHoldAtAnySize(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int nodes = seed == 1 ? 1 : seed == 2 ? 100 : 1 + random.nextInt(100), servers = 1 + random.nextInt(200);
        double rate = Math.min(600, (0.3 + 0.6 * random.nextDouble()) * servers * 4 / 0.155);
        String size = "seed " + seed + ", " + nodes + " nodes, " + servers + " servers, " + rate + " a second";
        Map<String, String> day = Days.with(
                Days.day("seconds=8 fleet.nodes=" + nodes + " fleet.spread=" + Math.min(3, nodes)
                        + " fleet.zones=1 servers.drain-ms=2500 servers.count=" + servers + " clients.rate=" + rate
                        + " plan.basic.customers=30"),
                "kind=nodes-die at-s=2 for-s=1.5 part=0.6",
                "kind=servers-replaced at-s=3 for-s=2 part=0.4",
                "kind=counter-blank at-s=4",
                "kind=heavy-customer at-s=1 for-s=6 factor=0.2");
        // As a new server may be told of before the old one's drain.
        double level = Math.max(OPEN_LEAST, OPEN_PER_SERVER * (servers + Math.ceil(0.4 * servers)) / nodes);
        double calls = 2 * Math.max(CALLS_LEAST, CALLS / nodes) + 1;
        Map<Integer, Watch> last = new HashMap<>();
        int[] starts = new int[1];
        Map<String, Object> run =
                Days.play(day, seed, (Settings settings, long chance, long now, Ports.Actions actions) -> {
                    Watch watch = new Watch(actions, now, (int) Math.ceil(level));
                    Watch before = last.put(settings.me(), watch);
                    assertTrue(before == null || before.calls <= calls, size);
                    starts[0]++;
                    return told(new Gateway(settings, chance, now, watch), watch);
                });
        assertEquals("", run.get("breach"), size);
        assertEquals(nodes + Math.round(0.6 * nodes), starts[0], size);
        last.forEach((node, watch) ->
                assertTrue(watch.calls <= calls, size + ": " + watch.calls + " calls, " + calls + " at most"));
    }
}
