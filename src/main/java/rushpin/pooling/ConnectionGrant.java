package rushpin.pooling;

import java.util.Map;

/**
 * How many connections one process may have to one group of app servers: connections that are open, being made or
 * possibly still open at the other side. Its pools check the grant without waiting, immediately before each connect.
 *
 * @param most maximum while the lease lasts
 * @param own maximum after the lease: the part reserved for this process for as long as it is a member
 * @param until end of the lease, nanoseconds of the process's monotonic clock
 * @param forget when {@code own} ends too, on the same clock: the process no longer counts as a member
 * @param tenants maximum number of connections that carry requests of a tenant at the same time; tenants that aren't
 *     named have no quota and use what the others leave. The sum may exceed {@code most}, as unused quota is lent
 */
public record ConnectionGrant(int most, int own, long until, long forget, Map<String, Integer> tenants) {
    /** Allows no connections: the grant before the first allotment from the fleet. */
    public static final ConnectionGrant NONE = new ConnectionGrant(0, 0, Long.MIN_VALUE, Long.MIN_VALUE, Map.of());

    /** Copies the quotas and checks that {@code 0 <= own <= most}. */
    public ConnectionGrant {
        tenants = Map.copyOf(tenants);
        if (own < 0 || most < own) {
            throw new IllegalArgumentException(
                    "most must be at least own, and own at least 0: most " + most + ", own " + own);
        }
    }

    /** Returns how many connections are allowed at {@code now}, nanoseconds of the process's clock. */
    public int at(long now) {
        return this == NONE || now - forget >= 0 ? 0 : now - until < 0 ? most : own;
    }
}
