package rushpin.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rushpin.config.OperatorConfig.Fault;
import rushpin.failover.Geography;
import rushpin.failover.Limits;

/**
 * The table {@code [fleet]} of the operator's file: the fleet that this process belongs to, and its role in it.
 *
 * @param name the name of this process, the same after a restart
 * @param zone the zone of this process
 * @param region the region of its zone
 * @param era the number of the fleet's founding, chosen by the operator: the high bits of every fencing token
 * @param listen the address where other processes reach this voter; null if it is no voter
 * @param state the voter's state folder, which outlives the process; null if it is no voter
 * @param lease the lease of a session for its holder, nanoseconds
 * @param effect the longest time that an effect lasts which was begun under a lease, nanoseconds
 * @param drift the largest clock drift, fast or slow, in millionths
 * @param voters the voters, in the order of the file
 * @param geography regions with their zones, in the order of the file, which is that of preference; may be empty
 * @param limits the limits for plans of the fleet
 * @param groups the groups of app servers whose number of connections is limited over all processes
 */
public record FleetConfig(
        String name,
        String zone,
        String region,
        long era,
        InetSocketAddress listen,
        Path state,
        long lease,
        long effect,
        int drift,
        List<Voter> voters,
        Geography geography,
        Limits limits,
        List<GroupConfig> groups) {
    /** A voter; the address is the one at which <em>this</em> process reaches it. */
    public record Voter(String name, InetSocketAddress address) {}

    /** Copies the lists. */
    public FleetConfig {
        voters = List.copyOf(voters);
        groups = List.copyOf(groups);
    }

    /** The group of a name; null if there is none. */
    public GroupConfig group(String groupName) {
        return groups.stream()
                .filter(each -> each.name().equals(groupName))
                .findFirst()
                .orElse(null);
    }

    /** Whether this process is a voter. */
    public boolean votes() {
        return voters.stream().anyMatch(voter -> voter.name().equals(name));
    }

    /** The voters' addresses by name; host names are not resolved. */
    public Map<String, InetSocketAddress> addresses() {
        Map<String, InetSocketAddress> all = new TreeMap<>();
        voters.forEach(voter -> all.put(voter.name(), voter.address()));
        return all;
    }

    /** Throws if a running process can't change to the next configuration: one voter may be added and one removed. */
    public void checkNext(FleetConfig next) throws OperatorConfig.Faulty {
        List<String> oldNames = new ArrayList<>(addresses().keySet());
        List<String> newNames = new ArrayList<>(next.addresses().keySet());
        List<String> removed = new ArrayList<>(oldNames);
        List<String> added = new ArrayList<>(newNames);
        removed.removeAll(newNames);
        added.removeAll(oldNames);
        if (removed.size() > 1 || added.size() > 1) {
            throw new OperatorConfig.Faulty(List.of(new Fault(
                    "fleet.voter",
                    0,
                    "changes from " + String.join(", ", oldNames) + " to " + String.join(", ", newNames)
                            + " while the process runs",
                    "one voter added and one removed at a time")));
        }
    }

    /**
     * What a running process changes to: voters, regions, limits and groups of the next configuration, the rest of
     * this.
     */
    public FleetConfig taking(FleetConfig next) {
        return new FleetConfig(
                name,
                zone,
                region,
                era,
                listen,
                state,
                lease,
                effect,
                drift,
                next.voters,
                next.geography,
                next.limits,
                next.groups);
    }

    /** The changed keys that take effect at the next start only. */
    public List<String> forNextStart(FleetConfig next) {
        List<String> keys = new ArrayList<>();
        addIfChanged(keys, "name", name, next.name);
        addIfChanged(keys, "zone", zone, next.zone);
        addIfChanged(keys, "region", region, next.region);
        addIfChanged(keys, "era", era, next.era);
        addIfChanged(keys, "listen", listen, next.listen);
        addIfChanged(keys, "state", state, next.state);
        addIfChanged(keys, "lease-ms", lease, next.lease);
        addIfChanged(keys, "effect-ms", effect, next.effect);
        addIfChanged(keys, "drift-percent", drift, next.drift);
        return keys;
    }

    private static void addIfChanged(List<String> keys, String key, Object before, Object after) {
        if (before == null ? after != null : !before.equals(after)) {
            keys.add("fleet." + key);
        }
    }
}
