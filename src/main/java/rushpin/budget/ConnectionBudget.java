package rushpin.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * Manages one pool's connections within a maximum: how many are open, which tenants' requests use them, and which
 * requests wait for one. No I/O and no clock; one thread at a time.
 *
 * <p>A tenant with a limit uses at most that many connections; one without takes what the others leave, after them. At
 * most {@value #MAX_WAITING_PER_CONNECTION} requests wait for each connection of a tenant's limit, so that a flood by
 * one tenant does not fill another's queue.
 *
 * <p>Callers must use few tenant names: one without a limit is kept until {@link #uses} has reported it.
 *
 * @param <W> a waiting request
 */
public final class ConnectionBudget<W> {
    /** Waiting requests per connection of a tenant; further ones would wait for longer than their clients do. */
    public static final int MAX_WAITING_PER_CONNECTION = 2;

    /** The state of one tenant. */
    private static final class Tenant<W> {
        private final Deque<W> waiting = new ArrayDeque<>();
        private int limit;
        private int inUse;
        /** Most connections wanted since the last {@link #uses}. */
        private int peakWanted;
        /** Most connections in use since the last {@link #uses}. */
        private int peakInUse;

        /** Returns the used part of the limit; the tenant with the lowest is served first. */
        private double utilization() {
            return limit > 0 ? (double) inUse / limit : Double.MAX_VALUE;
        }
    }

    private final Map<String, Tenant<W>> tenants = new TreeMap<>();
    /** The tenant served last comes last; the order among equally utilized tenants. */
    private final List<Tenant<W>> byLastServed = new ArrayList<>();

    private Map<String, Integer> limits = Map.of();
    private int maxConnections;
    private int open;
    private int closing;
    private int waiting;

    /** Sets the maximum of connections and the tenants' limits; requests beyond them are not interrupted. */
    public void set(int connections, Map<String, Integer> tenantLimits) {
        maxConnections = connections;
        limits = Map.copyOf(tenantLimits);
        tenants.forEach((name, tenant) -> tenant.limit = limits.getOrDefault(name, 0));
    }

    /** Returns the maximum of connections. */
    public int maxConnections() {
        return maxConnections;
    }

    /** Returns the connections that are open, connecting, or closed here and perhaps not yet at the peer. */
    public int open() {
        return open;
    }

    /** Returns how many of {@link #open} are being closed. */
    public int closing() {
        return closing;
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return waiting;
    }

    /** Adds a connection; returns false if the maximum is reached. */
    public boolean acquireConnection() {
        boolean allowed = open < maxConnections;
        open += allowed ? 1 : 0;
        return allowed;
    }

    /** Notes that a connection is being closed. */
    public void startClosing() {
        closing++;
    }

    /**
     * Removes a connection that is closed at the peer too; {@code wasClosing} if {@link #startClosing} was called for
     * it.
     */
    public void removeConnection(boolean wasClosing) {
        open--;
        closing -= wasClosing ? 1 : 0;
    }

    /** Returns whether there are too many connections, not counting those that are being closed. */
    public boolean mustShrink() {
        return open - closing > maxConnections;
    }

    /** Returns whether an idle connection should be closed, because fewer are closing than waiting requests need. */
    public boolean shouldCloseIdle() {
        int needed = 0;
        for (Map.Entry<String, Tenant<W>> each : tenants.entrySet()) {
            Tenant<W> tenant = each.getValue();
            int allowed =
                    !limits.containsKey(each.getKey()) ? maxConnections : Math.max(0, tenant.limit - tenant.inUse);
            needed += Math.min(tenant.waiting.size(), allowed);
        }
        return closing < needed;
    }

    private Tenant<W> tenant(String name) {
        return tenants.computeIfAbsent(name, key -> {
            Tenant<W> created = new Tenant<>();
            created.limit = limits.getOrDefault(key, 0);
            byLastServed.add(created);
            return created;
        });
    }

    /** Returns whether a tenant may use another connection; one without a limit takes what the others leave. */
    private boolean mayBegin(Tenant<W> tenant, String name) {
        return !limits.containsKey(name) || tenant.inUse < tenant.limit;
    }

    /** Adds a request to a tenant's queue; returns false if the queue is full or no connection is allowed. */
    public boolean enqueue(String tenantName, W waiter) {
        Tenant<W> tenant = tenant(tenantName);
        int connections = limits.containsKey(tenantName) ? tenant.limit : maxConnections;
        boolean allowed = maxConnections > 0 && tenant.waiting.size() < MAX_WAITING_PER_CONNECTION * connections;
        tenant.peakWanted = Math.max(tenant.peakWanted, tenant.inUse + tenant.waiting.size() + 1);
        if (allowed) {
            tenant.waiting.add(waiter);
            waiting++;
        }
        return allowed;
    }

    /** Removes a request from its queue. */
    public void cancel(W waiter) {
        tenants.values().forEach(tenant -> waiting -= tenant.waiting.remove(waiter) ? 1 : 0);
    }

    /**
     * Returns the tenants that have waiting requests and may be served: lowest utilization first, then least recently
     * served.
     */
    private List<String> servingOrder() {
        List<String> order = new ArrayList<>(tenants.keySet());
        order.removeIf(name -> tenants.get(name).waiting.isEmpty() || !mayBegin(tenants.get(name), name));
        order.sort((a, b) -> {
            int byUse =
                    Double.compare(tenants.get(a).utilization(), tenants.get(b).utilization());
            return byUse != 0
                    ? byUse
                    : Integer.compare(byLastServed.indexOf(tenants.get(a)), byLastServed.indexOf(tenants.get(b)));
        });
        return order;
    }

    /**
     * Starts waiting requests until no more can start: tenants with the lowest utilization first, oldest request first.
     * A started request counts as one connection in use of its tenant until {@link #release} is called.
     *
     * @param starter starts a request of a tenant and returns true if there is a connection for it
     */
    public void serve(BiPredicate<W, String> starter) {
        boolean progress = waiting > 0;
        while (progress) {
            progress = false;
            for (Iterator<String> names = servingOrder().iterator(); !progress && names.hasNext(); ) {
                String name = names.next();
                progress = serveOne(tenants.get(name), name, starter);
            }
        }
    }

    private boolean serveOne(Tenant<W> tenant, String name, BiPredicate<W, String> starter) {
        tenant.inUse++;
        for (W each : List.copyOf(tenant.waiting)) {
            if (starter.test(each, name)) {
                waiting -= tenant.waiting.remove(each) ? 1 : 0;
                tenant.peakInUse = Math.max(tenant.peakInUse, tenant.inUse);
                byLastServed.remove(tenant);
                byLastServed.add(tenant);
                return true;
            }
        }
        release(name);
        return false;
    }

    /**
     * Passes all waiting requests that may be served, in serving order, to an action that may close connections for
     * them.
     */
    public void forEachWaiting(Consumer<W> action) {
        servingOrder().forEach(name -> List.copyOf(tenants.get(name).waiting).forEach(action));
    }

    /** Removes and returns all waiting requests. */
    public List<W> drain() {
        List<W> all = new ArrayList<>();
        for (String name : List.copyOf(tenants.keySet())) {
            Tenant<W> tenant = tenants.get(name);
            all.addAll(tenant.waiting);
            tenant.waiting.clear();
        }
        waiting = 0;
        return all;
    }

    /** Notes that a connection used for a tenant is idle again. */
    public void release(String tenantName) {
        Tenant<W> tenant = tenants.get(tenantName);
        tenant.inUse--;
    }

    /** Returns a tenant's waiting requests per connection that it may use. */
    public double waitingPerConnection(String tenantName) {
        Tenant<W> tenant = tenants.get(tenantName);
        return tenant == null
                ? 0
                : tenant.waiting.size() / (double) Math.max(1, tenant.limit > 0 ? tenant.limit : maxConnections);
    }

    /** Returns the most that each tenant wanted and used since the last call. */
    public Map<String, Use> uses() {
        Map<String, Use> all = new TreeMap<>();
        for (Map.Entry<String, Tenant<W>> each : tenants.entrySet()) {
            Tenant<W> tenant = each.getValue();
            int current = tenant.inUse + tenant.waiting.size();
            if (tenant.peakWanted > 0 || current > 0) {
                all.put(
                        each.getKey(),
                        new Use(Math.max(tenant.peakWanted, current), Math.max(tenant.peakInUse, tenant.inUse)));
            }
            tenant.peakWanted = current;
            tenant.peakInUse = tenant.inUse;
        }
        // Removes tenants without a limit that have been reported and are idle.
        tenants.entrySet()
                .removeIf(each -> !limits.containsKey(each.getKey())
                        && each.getValue().peakWanted == 0
                        && byLastServed.remove(each.getValue()));
        return all;
    }

    /**
     * A tenant's peak use of connections.
     *
     * @param wanted connections in use plus requests that waited or were rejected
     * @param used connections in use
     */
    public record Use(int wanted, int used) {}
}
