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
 * What one pool does with a number of connections that it must not exceed: how many there are, which tenants' requests
 * they carry, and who waits for one. No I/O and no clock; one thread at a time.
 *
 * <p>Bounds: a tenant with a part has no more connections at once than that; who has none takes what the others leave, behind
 * them. At most {@value #MAX_WAITING_PER_CONNECTION} wait for each connection of a tenant's part, so a flood by one tenant fills no other's line.
 *
 * <p>Whoever calls names few tenants: one without a part is known until its use was told.
 *
 * @param <W> what waits
 */
public final class ConnectionBudget<W> {
    /** So many requests of a tenant wait for each of its connections: later ones would wait for longer than their clients. */
    public static final int MAX_WAITING_PER_CONNECTION = 2;

    /** What is known of one tenant. */
    private static final class Tenant<W> {
        private final Deque<W> waiting = new ArrayDeque<>();
        private int part, carried, peak, most;

        /** How full it is: who has least of its part comes first. */
        private double use() {
            return part > 0 ? (double) carried / part : Double.MAX_VALUE;
        }
    }

    private final Map<String, Tenant<W>> tenants = new TreeMap<>();
    /** In turn: who was served last comes last of those that are as full. */
    private final List<Tenant<W>> turns = new ArrayList<>();

    private Map<String, Integer> parts = Map.of();
    private int most, open, leaving, waiting;

    /** From now on at most so many connections, and these parts for tenants; what is beyond them ends by itself. */
    public void set(int connections, Map<String, Integer> partOf) {
        most = connections;
        parts = Map.copyOf(partOf);
        tenants.forEach((name, tenant) -> tenant.part = parts.getOrDefault(name, 0));
    }

    /** How many connections there may be. */
    public int maxConnections() {
        return most;
    }

    /** Connections that are open, being made, or closed here and perhaps not yet at the other side. */
    public int open() {
        return open;
    }

    /** Of {@link #open} those that are being closed. */
    public int closing() {
        return leaving;
    }

    /** How many wait. */
    public int waiting() {
        return waiting;
    }

    /** One connection more, if there may be one. */
    public boolean takeConnection() {
        boolean may = open < most;
        open += may ? 1 : 0;
        return may;
    }

    /** A connection begins to be closed. */
    public void startClosing() {
        leaving++;
    }

    /** A connection is gone, at the other side too; {@code left} whether {@link #startClosing} was said of it. */
    public void gone(boolean left) {
        open--;
        leaving -= left ? 1 : 0;
    }

    /** Whether there are too many, without those that are being closed. */
    public boolean mustShrink() {
        return open - leaving > most;
    }

    /** Whether an idle connection should give way: somebody waits, and what is being closed is not enough for all who do. */
    public boolean shouldCloseIdle() {
        int wanting = 0;
        for (Map.Entry<String, Tenant<W>> each : tenants.entrySet()) {
            Tenant<W> tenant = each.getValue();
            int may = !parts.containsKey(each.getKey()) ? most : Math.max(0, tenant.part - tenant.carried);
            wanting += Math.min(tenant.waiting.size(), may);
        }
        return leaving < wanting;
    }

    private Tenant<W> tenant(String name) {
        return tenants.computeIfAbsent(name, key -> {
            Tenant<W> made = new Tenant<>();
            made.part = parts.getOrDefault(key, 0);
            turns.add(made);
            return made;
        });
    }

    /** Who has no part takes what the others leave. */
    private boolean may(Tenant<W> tenant, String name) {
        return !parts.containsKey(name) || tenant.carried < tenant.part;
    }

    /** Adds to a tenant's line; false if that is full, or nothing will come of it. */
    public boolean enqueue(String of, W what) {
        Tenant<W> tenant = tenant(of);
        int room = parts.containsKey(of) ? tenant.part : most;
        boolean may = most > 0 && tenant.waiting.size() < MAX_WAITING_PER_CONNECTION * room;
        tenant.peak = Math.max(tenant.peak, tenant.carried + tenant.waiting.size() + 1);
        if (may) {
            tenant.waiting.add(what);
            waiting++;
        }
        return may;
    }

    /** Takes out of its line what waits no more. */
    public void cancel(W what) {
        tenants.values().forEach(tenant -> waiting -= tenant.waiting.remove(what) ? 1 : 0);
    }

    /** Tenants in whose line somebody waits: who has least of its part first, and who was served last, last. */
    private List<String> inTurn() {
        List<String> order = new ArrayList<>(tenants.keySet());
        order.removeIf(name -> tenants.get(name).waiting.isEmpty() || !may(tenants.get(name), name));
        order.sort((a, b) -> {
            int byUse = Double.compare(tenants.get(a).use(), tenants.get(b).use());
            return byUse != 0 ? byUse : Integer.compare(turns.indexOf(tenants.get(a)), turns.indexOf(tenants.get(b)));
        });
        return order;
    }

    /**
     * Tries what waits, whose tenant has least of its part first and oldest first within it, until nothing more can begin.
     * What begins counts as carried for its tenant, until {@link #release its end}.
     *
     * @param begins begins one for its tenant if there is a connection for it
     */
    public void serve(BiPredicate<W, String> begins) {
        boolean again = waiting > 0;
        while (again) {
            again = false;
            for (Iterator<String> names = inTurn().iterator(); !again && names.hasNext(); ) {
                String name = names.next();
                again = serveOne(tenants.get(name), name, begins);
            }
        }
    }

    private boolean serveOne(Tenant<W> tenant, String name, BiPredicate<W, String> begins) {
        tenant.carried++;
        for (W each : List.copyOf(tenant.waiting)) {
            if (begins.test(each, name)) {
                waiting -= tenant.waiting.remove(each) ? 1 : 0;
                tenant.most = Math.max(tenant.most, tenant.carried);
                turns.remove(tenant);
                turns.add(tenant);
                return true;
            }
        }
        release(name);
        return false;
    }

    /** All that wait and may be carried, in turn; who hears of one may close connections for it. */
    public void forEachWaiting(Consumer<W> to) {
        inTurn().forEach(name -> List.copyOf(tenants.get(name).waiting).forEach(to));
    }

    /** All that wait, which do so no more. */
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

    /** A connection carries nothing for a tenant any more. */
    public void release(String of) {
        Tenant<W> tenant = tenants.get(of);
        tenant.carried--;
    }

    /** How many stand before one that would wait now, for each connection that its tenant may have. */
    public double waitingPerConnection(String of) {
        Tenant<W> tenant = tenants.get(of);
        return tenant == null ? 0 : tenant.waiting.size() / (double) Math.max(1, tenant.part > 0 ? tenant.part : most);
    }

    /** What each tenant wanted and used at most since this was asked last. */
    public Map<String, Use> uses() {
        Map<String, Use> all = new TreeMap<>();
        for (Map.Entry<String, Tenant<W>> each : tenants.entrySet()) {
            Tenant<W> tenant = each.getValue();
            int now = tenant.carried + tenant.waiting.size();
            if (tenant.peak > 0 || now > 0) {
                all.put(each.getKey(), new Use(Math.max(tenant.peak, now), Math.max(tenant.most, tenant.carried)));
            }
            tenant.peak = now;
            tenant.most = tenant.carried;
        }
        // Told once, whoever has no part and is not there any more is forgotten.
        tenants.entrySet()
                .removeIf(each -> !parts.containsKey(each.getKey())
                        && each.getValue().peak == 0
                        && turns.remove(each.getValue()));
        return all;
    }

    /**
     * A tenant's use of connections, at its most.
     *
     * @param wanted those that carried its requests and those that would have
     * @param used those that did
     */
    public record Use(int wanted, int used) {}
}
