package rushpin.pooling;

import java.util.List;
import rushpin.accord.Budget;

/**
 * How a group's connections are divided: an operator's figures.
 *
 * @param tenants in order of name, each once; {@link Budget#MOST_TENANTS} at most
 * @param least a division that moves fewer connections waits longer
 * @param calm how long a division stands at least, unless a floor is owed or processes came or went; nanoseconds
 */
public record Rules(Budget.Figures figures, List<Tenant> tenants, int least, long calm) {
    /**
     * A tenant.
     *
     * @param floor what it gets first if it wants it
     * @param weight its part of what is left, against others'; 1 at least
     * @param cap the most that it gets
     */
    public record Tenant(String name, int floor, int weight, int cap) {
        /** Checks the bounds. */
        public Tenant {
            if (floor < 0 || weight < 1 || weight > 1_000 || cap < floor || cap > Budget.MOST_CONNECTIONS) {
                throw new IllegalArgumentException(
                        "tenant " + name + ": floor " + floor + ", weight " + weight + ", cap " + cap);
            }
        }
    }

    /** Copies; floors have to fit in what is there. */
    public Rules {
        tenants = List.copyOf(tenants);
        if (!figures.isSound() || tenants.size() > Budget.MOST_TENANTS || least < 1 || calm < 0) {
            throw new IllegalArgumentException("rules out of bounds: " + figures + ", " + tenants.size() + " tenants");
        }
        for (int i = 1; i < tenants.size(); i++) {
            if (tenants.get(i - 1).name().compareTo(tenants.get(i).name()) >= 0) {
                throw new IllegalArgumentException(
                        "tenants out of order: " + tenants.get(i).name());
            }
        }
    }

    /** Whether all floors can be given at once. */
    public boolean fits() {
        return tenants.stream().mapToLong(Tenant::floor).sum() <= figures.most() - figures.reserve();
    }
}
