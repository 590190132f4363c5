package rushpin.config;

import java.nio.file.Path;
import java.util.List;
import rushpin.route.Route;
import rushpin.traffic.Keeping;

/**
 * The operator's file, checked whole.
 *
 * @param listener whose listening socket the process serves on
 * @param state the folder that outlives the process; null for none
 * @param total what the process deals out to its pools
 * @param pools the pools, each name once
 * @param routes which requests go to which of them, without ties
 * @param records where traffic is written down; null for nowhere
 * @param fleet what this process shares with others; null for nothing
 */
public record OperatorConfig(
        Listener listener,
        Path state,
        ResourceLimits total,
        List<PoolConfig> pools,
        List<Route> routes,
        Keeping records,
        FleetConfig fleet) {
    /** Whose listening socket the process serves on. */
    public enum Listener {
        /** Its own, and nobody else's. */
        OWN,
        /** Its own, beside those of other processes at the same address. */
        REUSEPORT,
        /** The one that its supervisor has passed it as standard input. */
        INHERITED
    }

    /** A fault in the file. */
    public record Fault(String key, int line, String found, String allowed) {
        @Override
        public String toString() {
            return (line > 0 ? "line " + line + ": " : "")
                    + (key.isEmpty() ? "" : key + ": ")
                    + found
                    + (allowed.isEmpty() ? "" : "; allowed: " + allowed);
        }
    }

    /** A file that cannot be used, with all its faults; nothing of it was taken. */
    public static final class Faulty extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<Fault> faults;

        /** Names the faults, in the order of the file. */
        public Faulty(List<Fault> faults) {
            super(
                    faults.size() == 1
                            ? faults.get(0).toString()
                            : faults.size() + " faults, the first: " + faults.get(0));
            this.faults = List.copyOf(faults);
        }

        /** All faults, in the order of the file. */
        public List<Fault> faults() {
            return faults;
        }
    }
}
