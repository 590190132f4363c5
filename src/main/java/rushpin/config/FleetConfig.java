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
 * The table {@code [fleet]} of the operator's file: which processes share what, and what this one is among them.
 *
 * @param name the process's, the same over its restarts
 * @param zone where it stands
 * @param region what its zone belongs to
 * @param era the fleet's founding, an operator's number: the high bits of every fence
 * @param listen where a voter is reached by others; null for a process that is none
 * @param state a voter's folder, which outlives the process; null for a process that is none
 * @param lease how long a session is alive for its holder, nanoseconds
 * @param effect the longest that an effect lasts that was begun under a lease, nanoseconds
 * @param drift the most by which a clock runs fast or slow, in millionths
 * @param voters who agrees on what, in the order of the file
 * @param geography regions with their zones, in the order of the file, which is that of preference; may be empty
 * @param limits what plans keep to
 * @param groups of app servers that take a number of connections from all processes together
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
    /** One of those who agree; the address is how <em>this</em> process reaches it. */
    public record Voter(String name, InetSocketAddress address) {}

    /** Copies. */
    public FleetConfig {
        voters = List.copyOf(voters);
        groups = List.copyOf(groups);
    }

    /** A group by its name; null for none. */
    public GroupConfig group(String called) {
        return groups.stream()
                .filter(each -> each.name().equals(called))
                .findFirst()
                .orElse(null);
    }

    /** Whether this process is one of those who agree. */
    public boolean votes() {
        return voters.stream().anyMatch(voter -> voter.name().equals(name));
    }

    /** Voters' addresses by their names; a host that is a name is not looked up. */
    public Map<String, InetSocketAddress> addresses() {
        Map<String, InetSocketAddress> all = new TreeMap<>();
        voters.forEach(voter -> all.put(voter.name(), voter.address()));
        return all;
    }

    /** Throws if a process can't go over from this to the next while it runs: one voter comes and one goes at most. */
    public void checkNext(FleetConfig next) throws OperatorConfig.Faulty {
        List<String> now = new ArrayList<>(addresses().keySet()),
                then = new ArrayList<>(next.addresses().keySet());
        List<String> gone = new ArrayList<>(now), come = new ArrayList<>(then);
        gone.removeAll(then);
        come.removeAll(now);
        if (gone.size() > 1 || come.size() > 1) {
            throw new OperatorConfig.Faulty(List.of(new Fault(
                    "fleet.voter",
                    0,
                    "changes from " + String.join(", ", now) + " to " + String.join(", ", then)
                            + " while the process runs",
                    "one voter that comes and one that goes at a time")));
        }
    }

    /** What a running process goes over to: voters, regions, limits and groups are the next's, all else stays. */
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

    /** Keys that differ and are taken with the next start only. */
    public List<String> forNextStart(FleetConfig next) {
        List<String> keys = new ArrayList<>();
        note(keys, "name", name, next.name);
        note(keys, "zone", zone, next.zone);
        note(keys, "region", region, next.region);
        note(keys, "era", era, next.era);
        note(keys, "listen", listen, next.listen);
        note(keys, "state", state, next.state);
        note(keys, "lease-ms", lease, next.lease);
        note(keys, "effect-ms", effect, next.effect);
        note(keys, "drift-percent", drift, next.drift);
        return keys;
    }

    private static void note(List<String> keys, String key, Object now, Object then) {
        if (now == null ? then != null : !now.equals(then)) {
            keys.add("fleet." + key);
        }
    }
}
