package rushpin.config;

import java.util.ArrayList;
import java.util.List;

/**
 * A table {@code [[fleet.group]]}: app servers that take a number of connections from all processes together.
 *
 * @param maxConnections that number
 * @param reserve how many of them are nobody's: for operators, and for what a pause may slip in
 * @param own how many of its part a process that is cut off keeps beyond its lease
 * @param forget for how long it does so, nanoseconds from its last asking that was answered; no shorter than the lease
 * @param longest a request takes no longer, nanoseconds: one that does may lose its connection when its process is cut off
 * @param halfOpen after so long, nanoseconds, servers end a connection on which nothing comes
 * @param tenants who has a part of its own, in the order of the file
 */
public record GroupConfig(
        String name, int maxConnections, int reserve, int own, long forget, long longest, long halfOpen, List<Tenant> tenants) {
    /** The tenant of all that belong to no other; the operator may give it a table like any. */
    public static final String OTHERS = "others";
    /** No fewer connections than there can be. */
    public static final int MOST = 1_000_000;

    /** Copies, with a tenant for all that belong to no other. */
    public GroupConfig {
        List<Tenant> all = new ArrayList<>(tenants);
        if (all.stream().noneMatch(tenant -> tenant.name().equals(OTHERS))) {
            all.add(new Tenant(OTHERS, 0, 1, MOST, List.of(), List.of()));
        }
        tenants = List.copyOf(all);
    }

    /**
     * Requests that share a part, by the plan of their customer or by the customer itself, which goes first.
     *
     * @param floor connections that are its own within a stated span after it wants them, over the fleet
     * @param weight how much of what is left it gets beside others
     * @param cap connections that it never has more of
     */
    public record Tenant(String name, int floor, int weight, int cap, List<String> plans, List<Long> customers) {
        /** Copies. */
        public Tenant {
            plans = List.copyOf(plans);
            customers = List.copyOf(customers);
        }
    }
}
