package rushpin.pooling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import rushpin.accord.Budget;
import rushpin.accord.Report;

/**
 * Computes the next allocation of a group's connections from the one in force and the processes' reports. A pure
 * function: all state is in the allocation in force, so that another process that becomes allocator continues from
 * there.
 *
 * <p>First it allocates among tenants for the whole fleet: weighted max-min with a floor and a cap per tenant, rounded
 * to whole connections by the largest remainder. Then it allocates each tenant's part among processes by demand. A
 * process keeps its connections as long as no other process is short of them. Three quarters of the connections that
 * nobody wants are spread evenly, so that a burst finds connections at once; these are the first to be taken back.
 *
 * <p>The demand of a process for a tenant is limited to twice the connections in use plus the process's own part and
 * {@link Rules#minMoved}, or to the tenant's floor if that is more; use is limited to what the process was granted. A
 * process that reports too much therefore gets little more than double in each allocation, and never more for a tenant
 * than the tenant would get if it sent all its load through this process: its weighted part. Other tenants lose no
 * more than that.
 *
 * <p>The cost is proportional to processes times tenants, for a few iterations.
 */
public final class ConnectionAllocator {
    /**
     * An allocation to be published.
     *
     * @param after number of the allocation that it replaces; 0 if there is none
     * @param tenants names of the tenants, in the order of each share's quotas
     * @param shares one for each process, by session
     */
    public record Draft(long after, List<String> tenants, List<Budget.Share> shares) {}

    /**
     * The reported demand of a group's processes at one moment.
     *
     * @param members recent reports by session, for each live session that takes part; empty for one without a recent
     *     report
     */
    public record Demand(Map<Long, List<Report.Need>> members) {
        /** Copies the map, sorted by session. */
        public Demand {
            members = Collections.unmodifiableMap(new TreeMap<>(members));
        }

        /**
         * Collects the live sessions that have a share in the allocation in force or have reported a need.
         *
         * @param live sessions that have not ended
         * @param inForce the allocation in force, if any
         * @param reports recent reports on this group by session ({@link rushpin.accord.Evidence#needs})
         */
        public static Demand of(Collection<Long> live, Optional<Budget> inForce, Map<Long, List<Report.Need>> reports) {
            Map<Long, List<Report.Need>> members = new TreeMap<>(reports);
            inForce.ifPresent(budget -> budget.shares().stream()
                    .filter(share -> share.connections() > 0)
                    .forEach(share -> members.putIfAbsent(share.session(), List.of())));
            members.keySet().retainAll(live);
            return new Demand(members);
        }
    }

    /** Bytes of a command that all shares together may take. */
    static final int MAX_SHARES_BYTES = 92_000;
    /** Bytes of one share, besides two for each tenant. */
    static final int SHARE_BYTES = 20;
    /** Maximum quota of a tenant in one process: the greatest number that is encoded in two bytes. */
    static final int MAX_QUOTA = (1 << 14) - 1;

    private final Rules rules;
    private final Optional<Budget> inForce;
    private final List<Long> sessions;
    /** Connections that can be allocated: the group's limit less its reserve. */
    private final int capacity;

    private final int tenantCount;
    /** Demand that counts, by tenant and process; the last row is for tenants that aren't configured. */
    private final int[][] wanted;
    /** Connections allocated, by tenant and process, in the same order. */
    private final int[][] allocated;
    /** The reserved part of each process. */
    private final int[] own;
    /** What each process needs: its allocated connections, at least its own part. */
    private final int[] needs;
    /** What each process has in the allocation in force. */
    private final int[] before;

    private ConnectionAllocator(Optional<Budget> inForce, Demand demand, Rules rules) {
        this.inForce = inForce;
        this.rules = rules;
        tenantCount = rules.tenants().size();
        sessions = demand.members().keySet().stream()
                .limit(MAX_SHARES_BYTES / (2 * tenantCount + SHARE_BYTES))
                .toList();
        capacity = Math.max(0, rules.figures().most() - rules.figures().reserve());
        wanted = new int[tenantCount + 1][sessions.size()];
        allocated = new int[tenantCount + 1][sessions.size()];
        own = new int[sessions.size()];
        needs = new int[sessions.size()];
        before = new int[sessions.size()];
        Arrays.fill(own, Math.min(rules.figures().own(), sessions.isEmpty() ? 0 : capacity / sessions.size()));
        Map<Long, Integer> granted = new TreeMap<>();
        Map<Long, Integer> shares = new TreeMap<>();
        inForce.ifPresent(budget -> {
            budget.grants().forEach(grant -> granted.put(grant.session(), grant.granted()));
            budget.shares().forEach(share -> shares.put(share.session(), share.connections()));
        });
        Map<String, Integer> order = new TreeMap<>();
        rules.tenants().forEach(tenant -> order.put(tenant.name(), order.size()));
        // Demand may grow by enough that this growth alone leads to a new allocation.
        int margin = rules.figures().own() + rules.minMoved();
        for (int p = 0; p < sessions.size(); p++) {
            before[p] = shares.getOrDefault(sessions.get(p), 0);
            for (Report.Need need : demand.members().get(sessions.get(p))) {
                // Tenants that are not configured share one row, which gets what the others leave.
                int t = order.getOrDefault(need.tenant(), tenantCount);
                long used = Math.min(need.used(), granted.getOrDefault(sessions.get(p), 0));
                long limit = Math.max(t < tenantCount ? rules.tenants().get(t).floor() : 0, 2 * used + margin);
                wanted[t][p] = (int) Math.min(capacity, wanted[t][p] + Math.min(need.wanted(), limit));
            }
        }
    }

    /**
     * Returns the allocation that is to replace the one in force; empty if that one stays.
     *
     * @param inForce the group's allocation as the state machine has it; empty if there is none
     * @param demand the reported demand of the processes
     * @param rules the operator's settings
     * @param now log time, in the unit of {@link Rules#minInterval}
     */
    public static Optional<Draft> next(Optional<Budget> inForce, Demand demand, Rules rules, long now) {
        return new ConnectionAllocator(inForce, demand, rules).next(now);
    }

    private Optional<Draft> next(long now) {
        int[] tenantParts = allocateToTenants();
        int[] connections = allocateToProcesses();
        int missing = missing();
        List<Budget.Share> shares = new ArrayList<>();
        for (int p = 0; p < sessions.size(); p++) {
            shares.add(new Budget.Share(sessions.get(p), connections[p], quotas(p, connections[p], tenantParts)));
        }
        List<String> names = rules.tenants().stream().map(Rules.Tenant::name).toList();
        if (isInForceKept(names, shares, tenantParts, missing, now)) {
            return Optional.empty();
        }
        return Optional.of(new Draft(inForce.map(Budget::number).orElse(0L), names, shares));
    }

    /**
     * Allocates among tenants, and each tenant's part among processes into {@code allocated}. Repeats with fewer
     * connections while the own parts of processes need more than the capacity leaves. Returns the part of each tenant.
     */
    private int[] allocateToTenants() {
        int[] totals = new int[tenantCount + 1];
        for (int t = 0; t <= tenantCount; t++) {
            totals[t] = (int)
                    Math.min(capacity, Arrays.stream(wanted[t]).asLongStream().sum());
        }
        int available = capacity;
        while (true) {
            int[] parts = MaxMinAllocation.allocate(available, rules.tenants(), Arrays.copyOf(totals, tenantCount));
            int rest = available - Arrays.stream(parts).sum();
            parts = Arrays.copyOf(parts, tenantCount + 1);
            parts[tenantCount] = Math.min(rest, totals[tenantCount]);
            int sum = 0;
            for (int t = 0; t <= tenantCount; t++) {
                allocated[t] = MaxMinAllocation.spread(parts[t], wanted[t]);
            }
            for (int p = 0; p < sessions.size(); p++) {
                needs[p] = own[p];
                int used = 0;
                for (int t = 0; t <= tenantCount; t++) {
                    used += allocated[t][p];
                }
                needs[p] = Math.max(own[p], used);
                sum += needs[p];
            }
            if (sum <= capacity || available == 0) {
                return parts;
            }
            available = Math.max(0, available - (sum - capacity));
        }
    }

    /**
     * Allocates connections to processes. A process that has enough keeps what it has; one that is short gets what it
     * needs and a margin, first out of spare connections, then out of what other processes have beyond their need.
     */
    private int[] allocateToProcesses() {
        int count = sessions.size();
        int spare = capacity - Arrays.stream(needs).sum();
        int margin = count == 0 ? 0 : Math.max(0, spare * 3 / 4 / count);
        int[] target = new int[count];
        for (int p = 0; p < count; p++) {
            target[p] = before[p] < needs[p] + margin / 2 ? Math.max(before[p], needs[p] + margin) : before[p];
        }
        int excess = Arrays.stream(target).sum() - capacity;
        if (excess > 0) {
            List<Integer> order = new ArrayList<>();
            for (int p = 0; p < count; p++) {
                order.add(p);
            }
            order.sort(
                    Comparator.comparingInt((Integer p) -> needs[p] - target[p]).thenComparing(p -> p));
            // Reduces the greatest excesses to a common level, then one connection each until the sum fits.
            int level = MaxMinAllocation.reductionLevel(
                    order.stream().mapToInt(p -> target[p] - needs[p]).toArray(), excess);
            for (int p : order) {
                int reduction = Math.min(excess, Math.max(0, target[p] - needs[p] - level));
                target[p] -= reduction;
                excess -= reduction;
            }
            for (int p : order) {
                int reduction = excess > 0 && target[p] > needs[p] ? 1 : 0;
                target[p] -= reduction;
                excess -= reduction;
            }
        }
        return target;
    }

    /** Returns how many connections processes need but do not have in the allocation in force. */
    private int missing() {
        int missing = 0;
        for (int p = 0; p < needs.length; p++) {
            missing += Math.max(0, needs[p] - before[p]);
        }
        return missing;
    }

    /**
     * Returns the tenants' quotas in a process: the allocated connections and, up to the tenant's cap, those of the
     * process that are allocated to no tenant; at least 1 for a tenant that has less than its floor, so that it can
     * claim the rest.
     */
    private List<Integer> quotas(int p, int connections, int[] parts) {
        int spare = connections;
        for (int t = 0; t <= tenantCount; t++) {
            spare -= allocated[t][p];
        }
        List<Integer> quotas = new ArrayList<>();
        for (int t = 0; t < tenantCount; t++) {
            Rules.Tenant tenant = rules.tenants().get(t);
            int headroom = Math.max(0, tenant.cap() - parts[t]) / sessions.size();
            int quota = allocated[t][p] + Math.max(0, Math.min(spare, headroom));
            boolean isClaimable = parts[t] < Math.min(tenant.floor(), tenant.cap()) && connections > 0;
            quotas.add(Math.min(MAX_QUOTA, isClaimable ? Math.max(1, quota) : quota));
        }
        return quotas;
    }

    /**
     * Returns whether the allocation in force stays, to keep moves rare. A floor that a tenant lacks is given back at
     * once; moves below {@link Rules#minMoved} wait for eight intervals.
     */
    private boolean isInForceKept(List<String> names, List<Budget.Share> shares, int[] parts, int missing, long now) {
        if (inForce.isEmpty()
                || !inForce.get().figures().equals(rules.figures())
                || !inForce.get().tenants().equals(names)
                || !inForce.get().shares().stream()
                        .map(Budget.Share::session)
                        .toList()
                        .equals(sessions)) {
            return inForce.isEmpty() && shares.isEmpty();
        }
        int changed = 0;
        boolean isFloorOwed = false;
        for (int p = 0; p < shares.size(); p++) {
            List<Integer> previous = inForce.get().shares().get(p).tenants();
            for (int t = 0; t < tenantCount; t++) {
                int change = shares.get(p).tenants().get(t) - previous.get(t);
                changed += Math.abs(change);
                isFloorOwed |= allocated[t][p] > previous.get(t)
                        && parts[t] <= rules.tenants().get(t).floor();
            }
        }
        long age = now - inForce.get().at();
        boolean isEnough = missing >= rules.minMoved() || changed >= 2 * rules.minMoved();
        return !isFloorOwed
                && !(isEnough && age >= rules.minInterval())
                && !((missing > 0 || changed > 0) && age >= 8 * rules.minInterval());
    }
}
