package rushpin.config;

import java.util.ArrayList;
import java.util.List;

/**
 * A table {@code [[fleet.group]]}: app servers whose number of connections is limited over all processes together.
 *
 * @param maxConnections the largest number of connections
 * @param reserve connections that no process gets: for operators, and for those that a process pause may let through
 * @param own connections that a process which is cut off from the fleet keeps of its grant beyond its lease
 * @param forget how long it keeps them, nanoseconds since its last request that was answered; no shorter than the lease
 * @param longest the longest time that a request takes, nanoseconds: a longer one may lose its connection when its
 *     process is cut off
 * @param halfOpen nanoseconds after which servers close a connection on which nothing arrives
 * @param tenants the tenants with a share of their own, in the order of the file
 */
public record GroupConfig(
        String name,
        int maxConnections,
        int reserve,
        int own,
        long forget,
        long longest,
        long halfOpen,
        List<Tenant> tenants) {
    /** The tenant of all requests that belong to no other; the operator may give it a table too. */
    public static final String OTHERS = "others";
    /** An upper bound of all numbers of connections. */
    public static final int MAX_CONNECTIONS = 1_000_000;

    /** Copies the tenants, and adds {@link #OTHERS} if it is missing. */
    public GroupConfig {
        List<Tenant> all = new ArrayList<>(tenants);
        if (all.stream().noneMatch(tenant -> tenant.name().equals(OTHERS))) {
            all.add(new Tenant(OTHERS, 0, 1, MAX_CONNECTIONS, List.of(), List.of()));
        }
        tenants = List.copyOf(all);
    }

    /**
     * A tenant: the requests that share a part of the connections, by their customer or else by the customer's plan.
     *
     * @param floor connections over the fleet that it is sure to get within a stated time after it needs them
     * @param weight its weight in the allocation of the connections above all floors
     * @param cap the largest number of connections that it gets
     */
    public record Tenant(String name, int floor, int weight, int cap, List<String> plans, List<Long> customers) {
        /** Copies the lists. */
        public Tenant {
            plans = List.copyOf(plans);
            customers = List.copyOf(customers);
        }
    }
}
