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

/** The maximum of connections, the limits of tenants, and the order in which they are served. */
class ConnectionBudgetTest {
    /** A flood by one tenant waits in its own queue, within its limit; another tenant is served at once. */
    @Test
    void aFloodDoesNotFillAnotherTenantsQueue() {
        ConnectionBudget<String> budget = new ConnectionBudget<>();
        budget.set(6, Map.of("quiet", 2, "loud", 4));
        List<String> started = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            budget.enqueue("loud", "loud");
            budget.serve((waiter, tenant) -> budget.acquireConnection() && started.add(waiter));
        }
        assertEquals(List.of("loud", "loud", "loud", "loud"), started);
        assertEquals(4 * ConnectionBudget.MAX_WAITING_PER_CONNECTION, budget.waiting());
        assertTrue(budget.enqueue("quiet", "quiet"));
        budget.serve((waiter, tenant) -> budget.acquireConnection() && started.add(waiter));
        assertEquals("quiet", started.get(4));
        assertEquals(
                new ConnectionBudget.Use(4 + 4 * ConnectionBudget.MAX_WAITING_PER_CONNECTION + 1, 4),
                budget.uses().get("loud"));
    }

    /** Demand is reported before limits are set and while no connection is allowed. */
    @Test
    void demandIsReportedWithoutAnyConnections() {
        ConnectionBudget<String> budget = new ConnectionBudget<>();
        assertFalse(budget.enqueue("quiet", "x"));
        assertEquals(Map.of("quiet", new ConnectionBudget.Use(1, 0)), budget.uses());
        assertEquals(Map.of(), budget.uses());
    }

    /**
     * Random operations: never more connections than the maximum, no tenant over its limit, and each waiting request
     * starts or leaves exactly once.
     */
    @Test
    void limitsHoldForRandomOperations() {
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ConnectionBudget<Integer> budget = new ConnectionBudget<>();
            Map<String, Integer> limits = new TreeMap<>();
            Map<String, Integer> inUseByTenant = new TreeMap<>();
            Deque<String> inUse = new ArrayDeque<>();
            List<Integer> waiting = new ArrayList<>();
            Map<Integer, String> tenantOf = new TreeMap<>();
            int open = 0;
            int closing = 0;
            int idle = 0;
            int next = 0;
            int maxConnections = 0;
            String context = "seed " + seed;
            for (int step = 0; step < 400; step++) {
                switch (random.nextInt(6)) {
                    case 0 -> {
                        maxConnections = random.nextInt(8);
                        limits.clear();
                        limits.put("a", random.nextInt(5));
                        limits.put("b", random.nextInt(5));
                        budget.set(maxConnections, limits);
                        while (budget.mustShrink() && idle > 0) {
                            idle--;
                            closing++;
                            budget.startClosing();
                        }
                    }
                    case 1, 2 -> {
                        String tenant = "abc".substring(random.nextInt(3)).substring(0, 1);
                        if (budget.enqueue(tenant, next)) {
                            waiting.add(next);
                            tenantOf.put(next, tenant);
                        }
                        next++;
                    }
                    case 3 -> {
                        if (!inUse.isEmpty()) {
                            String tenant = inUse.poll();
                            inUseByTenant.merge(tenant, -1, Integer::sum);
                            budget.release(tenant);
                            if (budget.mustShrink()) {
                                closing++;
                                budget.startClosing();
                            } else {
                                idle++;
                            }
                        }
                    }
                    case 4 -> {
                        if (closing > 0) {
                            closing--;
                            open--;
                            budget.removeConnection(true);
                        }
                    }
                    default -> {
                        if (!waiting.isEmpty()) {
                            Integer one = waiting.remove(random.nextInt(waiting.size()));
                            budget.cancel(one);
                        }
                    }
                }
                int[] openAndIdle = {open, idle};
                budget.serve((waiter, tenant) -> {
                    boolean allowed = openAndIdle[1] > 0;
                    if (allowed) {
                        openAndIdle[1]--;
                    } else {
                        allowed = budget.acquireConnection();
                        openAndIdle[0] += allowed ? 1 : 0;
                    }
                    if (allowed) {
                        assertTrue(waiting.remove(waiter), context);
                        inUse.add(tenant);
                        int count = inUseByTenant.merge(tenant, 1, Integer::sum);
                        assertTrue(!limits.containsKey(tenant) || count <= limits.getOrDefault(tenant, 0), context);
                    }
                    return allowed;
                });
                assertTrue(openAndIdle[0] <= Math.max(maxConnections, open), context);
                open = openAndIdle[0];
                idle = openAndIdle[1];
                assertEquals(open, budget.open(), context);
                assertEquals(waiting.size(), budget.waiting(), context);
                assertEquals(open, closing + idle + inUse.size(), context);
            }
        }
    }
}
