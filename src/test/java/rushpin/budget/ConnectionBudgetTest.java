package rushpin.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Connections within a number, and turns among tenants. */
class ConnectionBudgetTest {
    /** A flood waits in its own line, behind its own part; who asks for a little is served at once. */
    @Test
    void aFloodFillsNoOtherTenantsLine() {
        ConnectionBudget<String> ration = new ConnectionBudget<>();
        ration.set(6, Map.of("quiet", 2, "loud", 4));
        List<String> begun = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            ration.enqueue("loud", "loud");
            ration.serve((what, tenant) -> ration.takeConnection() && begun.add(what));
        }
        assertEquals(List.of("loud", "loud", "loud", "loud"), begun);
        assertEquals(4 * ConnectionBudget.MAX_WAITING_PER_CONNECTION, ration.waiting());
        assertTrue(ration.enqueue("quiet", "quiet"));
        ration.serve((what, tenant) -> ration.takeConnection() && begun.add(what));
        assertEquals("quiet", begun.get(4));
        assertEquals(new ConnectionBudget.Use(4 + 4 * ConnectionBudget.MAX_WAITING_PER_CONNECTION + 1, 4), ration.uses().get("loud"));
    }

    /** Before anything is known of parts, and with nothing to open, what is wanted is told all the same. */
    @Test
    void whatCanNotBeHadIsTold() {
        ConnectionBudget<String> ration = new ConnectionBudget<>();
        assertFalse(ration.enqueue("quiet", "x"));
        assertEquals(Map.of("quiet", new ConnectionBudget.Use(1, 0)), ration.uses());
        assertEquals(Map.of(), ration.uses());
    }

    /** Whatever comes in whatever order: never over the number, no tenant over its part, each that waits begins or leaves once. */
    @Test
    void neverOver() {
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ConnectionBudget<Integer> ration = new ConnectionBudget<>();
            Map<String, Integer> parts = new TreeMap<>(), carried = new TreeMap<>();
            Deque<String> carries = new ArrayDeque<>();
            List<Integer> waiting = new ArrayList<>();
            Map<Integer, String> of = new TreeMap<>();
            int open = 0, leaving = 0, idle = 0, next = 0, most = 0;
            String at = "seed " + seed;
            for (int step = 0; step < 400; step++) {
                switch (random.nextInt(6)) {
                    case 0 -> {
                        most = random.nextInt(8);
                        parts.clear();
                        parts.put("a", random.nextInt(5));
                        parts.put("b", random.nextInt(5));
                        ration.set(most, parts);
                        while (ration.mustShrink() && idle > 0) {
                            idle--;
                            leaving++;
                            ration.startClosing();
                        }
                    }
                    case 1, 2 -> {
                        String tenant = "abc".substring(random.nextInt(3)).substring(0, 1);
                        if (ration.enqueue(tenant, next)) {
                            waiting.add(next);
                            of.put(next, tenant);
                        }
                        next++;
                    }
                    case 3 -> {
                        if (!carries.isEmpty()) {
                            String tenant = carries.poll();
                            carried.merge(tenant, -1, Integer::sum);
                            ration.release(tenant);
                            if (ration.mustShrink()) {
                                leaving++;
                                ration.startClosing();
                            } else {
                                idle++;
                            }
                        }
                    }
                    case 4 -> {
                        if (leaving > 0) {
                            leaving--;
                            open--;
                            ration.removeConnection(true);
                        }
                    }
                    default -> {
                        if (!waiting.isEmpty()) {
                            Integer one = waiting.remove(random.nextInt(waiting.size()));
                            ration.cancel(one);
                        }
                    }
                }
                int[] now = {open, idle};
                ration.serve((what, tenant) -> {
                    boolean may = now[1] > 0;
                    if (may) {
                        now[1]--;
                    } else {
                        may = ration.takeConnection();
                        now[0] += may ? 1 : 0;
                    }
                    if (may) {
                        assertTrue(waiting.remove(what), at);
                        carries.add(tenant);
                        int has = carried.merge(tenant, 1, Integer::sum);
                        assertTrue(!parts.containsKey(tenant) || has <= parts.getOrDefault(tenant, 0), at);
                    }
                    return may;
                });
                assertTrue(now[0] <= Math.max(most, open), at);
                open = now[0];
                idle = now[1];
                assertEquals(open, ration.open(), at);
                assertEquals(waiting.size(), ration.waiting(), at);
                assertEquals(open, leaving + idle + carries.size(), at);
            }
        }
    }
}
