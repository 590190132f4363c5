package rushpin.pooling;

import java.util.List;
import rushpin.accord.Budget;

/**
 * An operator's settings for allocating the connections of a group.
 *
 * @param figures the group's connection limit, reserve and timeouts
 * @param tenants sorted by name, each listed once; at most {@link Budget#MOST_TENANTS}
 * @param minMoved an allocation that moves fewer connections than this waits longer
 * @param minInterval minimum time between allocations, unless a floor is owed or processes joined or left; nanoseconds
 */
public record Rules(Budget.Figures figures, List<Tenant> tenants, int minMoved, long minInterval) {
    /**
     * The limits of one tenant, in connections.
     *
     * @param name the tenant's name
     * @param floor guaranteed minimum, allocated first as far as the tenant wants it
     * @param weight relative share of the rest, from 1 to 1,000
     * @param cap maximum, at least {@code floor}
     */
    public record Tenant(String name, int floor, int weight, int cap) {
        /** Checks the bounds of floor, weight and cap. */
        public Tenant {
            if (floor < 0 || weight < 1 || weight > 1_000 || cap < floor || cap > Budget.MOST_CONNECTIONS) {
                throw new IllegalArgumentException(
                        "tenant " + name + " is out of bounds (floor from 0 to cap, weight from 1 to 1,000): floor "
                                + floor + ", weight " + weight + ", cap " + cap);
            }
        }
    }

    /** Copies the tenants; checks the bounds and the order of the tenants. */
    public Rules {
        tenants = List.copyOf(tenants);
        if (!figures.isSound() || tenants.size() > Budget.MOST_TENANTS || minMoved < 1 || minInterval < 0) {
            throw new IllegalArgumentException(
                    "allocation rules are out of bounds: " + figures + ", " + tenants.size() + " tenants");
        }
        for (int i = 1; i < tenants.size(); i++) {
            if (tenants.get(i - 1).name().compareTo(tenants.get(i).name()) >= 0) {
                throw new IllegalArgumentException("tenants must be sorted by name, each listed once: "
                        + tenants.get(i).name());
            }
        }
    }

    /** Returns whether the floors of all tenants together fit in the limit less the reserve. */
    public boolean fits() {
        return tenants.stream().mapToLong(Tenant::floor).sum() <= figures.most() - figures.reserve();
    }
}
