package rushpin.config;

import java.nio.file.Path;
import java.util.List;
import rushpin.route.Route;
import rushpin.traffic.RecordingConfig;

/**
 * The operator's configuration, read from its file and checked whole.
 *
 * @param listener which listening socket the process serves on
 * @param state the state folder, which outlives the process; null for none
 * @param total the limits that the process shares out to its pools
 * @param pools the pools, each name once
 * @param routes which requests go to which pool, without ties
 * @param records where traffic is recorded; null for not at all
 * @param fleet the fleet that this process belongs to; null for none
 */
public record OperatorConfig(
        Listener listener,
        Path state,
        ResourceLimits total,
        List<PoolConfig> pools,
        List<Route> routes,
        RecordingConfig records,
        FleetConfig fleet) {
    /** Which listening socket the process serves on. */
    public enum Listener {
        /** Its own socket, exclusively. */
        OWN,
        /** Its own socket, with {@code SO_REUSEPORT}: other processes may listen on the same address. */
        REUSEPORT,
        /** The socket that its supervisor passes as standard input. */
        INHERITED
    }

    /** A fault in the file; {@code line} 0 and empty texts are left out of the message. */
    public record Fault(String key, int line, String found, String allowed) {
        @Override
        public String toString() {
            return (line > 0 ? "line " + line + ": " : "")
                    + (key.isEmpty() ? "" : key + ": ")
                    + found
                    + (allowed.isEmpty() ? "" : "; allowed: " + allowed);
        }
    }

    /** Thrown for a file that cannot be used, with all its faults; nothing of the file is applied. */
    public static final class Faulty extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<Fault> faults;

        /** Creates the exception for faults in the order of the file. */
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
