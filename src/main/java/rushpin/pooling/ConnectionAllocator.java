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
 * Makes the next division of a group's connections from the one in force and from what processes say. A function: all it
 * remembers stands in the division in force, so that the next divider goes on from there.
 *
 * <p>First over tenants, for the whole fleet: weighted max-min, each with its floor and its cap, in whole connections by the
 * largest remainder. Then each tenant's part over processes, by where it is wanted. A process keeps what it has as long as
 * nobody else is short of it; what nobody asks for is handed out evenly, three quarters of it, so that a burst has
 * connections at once, and comes back first.
 *
 * <p>What a process wants for a tenant counts up to twice what it uses, its own part and {@link Rules#least} more, or up to
 * the tenant's floor; what it
 * uses, up to what it was granted. So who lies has little more than doubled after each division, and never has more for a tenant
 * than that tenant would get by a flood through this one process: its part by weight. No other tenant pays with more.
 *
 * <p>A division costs processes times tenants, some rounds of it.
 */
public final class ConnectionAllocator {
    /** What is to be published. */
    public record Draft(long after, List<String> tenants, List<Budget.Share> shares) {}

    /**
     * What a divider knows of the group's processes at one moment.
     *
     * @param members sessions that are not over and take part, each with what it said lately; who was not heard of lately is
     *     there with nothing
     */
    public record Demand(Map<Long, List<Report.Need>> members) {
        /** Copies. */
        public Demand {
            members = Collections.unmodifiableMap(new TreeMap<>(members));
        }

        /**
         * Of what there is: who has a part or says that it takes part.
         *
         * @param live sessions that are not over
         * @param told what each session said lately of the group ({@link rushpin.accord.Evidence#needs})
         */
        public static Demand of(Collection<Long> live, Optional<Budget> inForce, Map<Long, List<Report.Need>> told) {
            Map<Long, List<Report.Need>> members = new TreeMap<>(told);
            inForce.ifPresent(budget -> budget.shares().stream()
                    .filter(share -> share.connections() > 0)
                    .forEach(share -> members.putIfAbsent(share.session(), List.of())));
            members.keySet().retainAll(live);
            return new Demand(members);
        }
    }

    /** Bytes of a command that shares may take, and those of one beside two for each tenant. */
    static final int MOST_BYTES = 92_000, SHARE_BYTES = 20;
    /** The most that a tenant may have in one process: what two bytes hold. */
    static final int MOST_QUOTA = (1 << 14) - 1;

    private final Rules rules;
    private final Optional<Budget> inForce;
    private final List<Long> sessions;
    private final int most, many;
    /** Of each tenant and member: what counts of what is wanted, and what it gets. */
    private final int[][] wanted, given;

    private final int[] own, needs, before;

    private ConnectionAllocator(Optional<Budget> inForce, Demand sight, Rules rules) {
        this.inForce = inForce;
        this.rules = rules;
        many = rules.tenants().size();
        sessions = sight.members().keySet().stream()
                .limit(MOST_BYTES / (2 * many + SHARE_BYTES))
                .toList();
        most = Math.max(0, rules.figures().most() - rules.figures().reserve());
        wanted = new int[many + 1][sessions.size()];
        given = new int[many + 1][sessions.size()];
        own = new int[sessions.size()];
        needs = new int[sessions.size()];
        before = new int[sessions.size()];
        Arrays.fill(own, Math.min(rules.figures().own(), sessions.isEmpty() ? 0 : most / sessions.size()));
        Map<Long, Integer> granted = new TreeMap<>(), shares = new TreeMap<>();
        inForce.ifPresent(budget -> {
            budget.grants().forEach(grant -> granted.put(grant.session(), grant.granted()));
            budget.shares().forEach(share -> shares.put(share.session(), share.connections()));
        });
        Map<String, Integer> order = new TreeMap<>();
        rules.tenants().forEach(tenant -> order.put(tenant.name(), order.size()));
        // Never so little that it alone would move nothing.
        int more = rules.figures().own() + rules.least();
        for (int p = 0; p < sessions.size(); p++) {
            before[p] = shares.getOrDefault(sessions.get(p), 0);
            for (Report.Need need : sight.members().get(sessions.get(p))) {
                // Tenants without a name of their own are one, which has what the others leave.
                int t = order.getOrDefault(need.tenant(), many);
                long used = Math.min(need.used(), granted.getOrDefault(sessions.get(p), 0));
                long counts = Math.max(t < many ? rules.tenants().get(t).floor() : 0, 2 * used + more);
                wanted[t][p] = (int) Math.min(most, wanted[t][p] + Math.min(need.wanted(), counts));
            }
        }
    }

    /**
     * What is to be in force instead of what is; empty if that stands.
     *
     * @param inForce what the machine has of the group; empty for nothing yet
     * @param now log time
     */
    public static Optional<Draft> next(Optional<Budget> inForce, Demand sight, Rules rules, long now) {
        return new ConnectionAllocator(inForce, sight, rules).next(now);
    }

    private Optional<Draft> next(long now) {
        int[] tenants = divide();
        int[] connections = connections();
        int missing = missing();
        List<Budget.Share> shares = new ArrayList<>();
        for (int p = 0; p < sessions.size(); p++) {
            shares.add(new Budget.Share(sessions.get(p), connections[p], quotas(p, connections[p], tenants)));
        }
        List<String> names = rules.tenants().stream().map(Rules.Tenant::name).toList();
        if (stands(names, shares, tenants, missing, now)) {
            return Optional.empty();
        }
        return Optional.of(new Draft(inForce.map(Budget::number).orElse(0L), names, shares));
    }

    /** Each tenant's part, which lies in {@code given} then; less what processes keep beyond what is given to them. */
    private int[] divide() {
        int[] asked = new int[many + 1];
        for (int t = 0; t <= many; t++) {
            asked[t] =
                    (int) Math.min(most, Arrays.stream(wanted[t]).asLongStream().sum());
        }
        int all = most;
        while (true) {
            int[] parts = Fair.divide(all, rules.tenants(), Arrays.copyOf(asked, many));
            int rest = all - Arrays.stream(parts).sum();
            parts = Arrays.copyOf(parts, many + 1);
            parts[many] = Math.min(rest, asked[many]);
            int sum = 0;
            for (int t = 0; t <= many; t++) {
                given[t] = Fair.spread(parts[t], wanted[t]);
            }
            for (int p = 0; p < sessions.size(); p++) {
                needs[p] = own[p];
                int used = 0;
                for (int t = 0; t <= many; t++) {
                    used += given[t][p];
                }
                needs[p] = Math.max(own[p], used);
                sum += needs[p];
            }
            if (sum <= most || all == 0) {
                return parts;
            }
            all = Math.max(0, all - (sum - most));
        }
    }

    /** Who has enough keeps it; who is short gets it, and some more, out of what is spare, and then out of what others have over. */
    private int[] connections() {
        int all = sessions.size();
        int spare = most - Arrays.stream(needs).sum();
        int more = all == 0 ? 0 : Math.max(0, spare * 3 / 4 / all);
        int[] to = new int[all];
        for (int p = 0; p < all; p++) {
            to[p] = before[p] < needs[p] + more / 2 ? Math.max(before[p], needs[p] + more) : before[p];
        }
        int over = Arrays.stream(to).sum() - most;
        if (over > 0) {
            List<Integer> order = new ArrayList<>();
            for (int p = 0; p < all; p++) {
                order.add(p);
            }
            order.sort(Comparator.comparingInt((Integer p) -> needs[p] - to[p]).thenComparing(p -> p));
            // From those that have most over, down to the next one's, and so on.
            int level =
                    Fair.level(order.stream().mapToInt(p -> to[p] - needs[p]).toArray(), over);
            for (int p : order) {
                int less = Math.min(over, Math.max(0, to[p] - needs[p] - level));
                to[p] -= less;
                over -= less;
            }
            for (int p : order) {
                int less = over > 0 && to[p] > needs[p] ? 1 : 0;
                to[p] -= less;
                over -= less;
            }
        }
        return to;
    }

    /** How many connections processes need and don't have by the division in force. */
    private int missing() {
        int missing = 0;
        for (int p = 0; p < needs.length; p++) {
            missing += Math.max(0, needs[p] - before[p]);
        }
        return missing;
    }

    /** What it was given, and what of the process's connections is nobody's; one at least of what it may still claim. */
    private List<Integer> quotas(int p, int connections, int[] parts) {
        int spare = connections;
        for (int t = 0; t <= many; t++) {
            spare -= given[t][p];
        }
        List<Integer> quotas = new ArrayList<>();
        for (int t = 0; t < many; t++) {
            Rules.Tenant tenant = rules.tenants().get(t);
            int room = Math.max(0, tenant.cap() - parts[t]) / sessions.size();
            int quota = given[t][p] + Math.max(0, Math.min(spare, room));
            boolean isClaimable = parts[t] < Math.min(tenant.floor(), tenant.cap()) && connections > 0;
            quotas.add(Math.min(MOST_QUOTA, isClaimable ? Math.max(1, quota) : quota));
        }
        return quotas;
    }

    /** Whether the one in force may stay: moves are few, but a floor is given back at once. */
    private boolean stands(List<String> names, List<Budget.Share> shares, int[] parts, int missing, long now) {
        if (inForce.isEmpty()
                || !inForce.get().figures().equals(rules.figures())
                || !inForce.get().tenants().equals(names)
                || !inForce.get().shares().stream()
                        .map(Budget.Share::session)
                        .toList()
                        .equals(sessions)) {
            return inForce.isEmpty() && shares.isEmpty();
        }
        int other = 0;
        boolean isOwed = false;
        for (int p = 0; p < shares.size(); p++) {
            List<Integer> was = inForce.get().shares().get(p).tenants();
            for (int t = 0; t < many; t++) {
                int more = shares.get(p).tenants().get(t) - was.get(t);
                other += Math.abs(more);
                isOwed |= given[t][p] > was.get(t)
                        && parts[t] <= rules.tenants().get(t).floor();
            }
        }
        long since = now - inForce.get().at();
        boolean isEnough = missing >= rules.least() || other >= 2 * rules.least();
        return !isOwed
                && !(isEnough && since >= rules.calm())
                && !((missing > 0 || other > 0) && since >= 8 * rules.calm());
    }
}
