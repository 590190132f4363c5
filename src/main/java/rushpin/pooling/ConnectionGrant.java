package rushpin.pooling;

import java.util.Map;

/**
 * What one process may have open to one group of app servers, as a value: connections that are open, are being made, or may
 * still be open at the other side. Its pools look at it at the last moment before each connect; nothing is waited for.
 *
 * @param most how many while the lease lasts
 * @param own how many after that: the part that is set aside for this process for as long as it is a member
 * @param until end of the lease, the process's monotonic clock, nanoseconds
 * @param forget from here on, the same clock, not even {@code own}: the process counts as no member any more
 * @param tenants at most so many connections carry a tenant's requests at once; a tenant that isn't named has none of its own
 *     and takes what the others leave. Their sum may be above {@code most}: unused parts are lent
 */
public record ConnectionGrant(int most, int own, long until, long forget, Map<String, Integer> tenants) {
    /** Nothing may be opened: before the first word of the fleet. */
    public static final ConnectionGrant NONE = new ConnectionGrant(0, 0, Long.MIN_VALUE, Long.MIN_VALUE, Map.of());

    /** Copies. */
    public ConnectionGrant {
        tenants = Map.copyOf(tenants);
        if (own < 0 || most < own) {
            throw new IllegalArgumentException("most " + most + ", own " + own);
        }
    }

    /** How many connections may be open at this moment, nanoseconds of the process's clock. */
    public int at(long now) {
        return this == NONE || now - forget >= 0 ? 0 : now - until < 0 ? most : own;
    }
}
