package rushpin.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;

/**
 * When servers started, by this node's own clock. Lists tell it by the machines' clock, and that may be set while nodes
 * run: forward, and each server that starts from then on would count as cold for as long as the jump was wide; back,
 * and a cold one would count as warm. A start is carried over once, when it is first heard, and then stays: a list that
 * is told again makes nothing cold or warm. No I/O; one thread.
 *
 * <p>Bounds: one entry for each listed server.
 */
public final class Starts {
    private record Start(long told, long here) {
    }

    private final Map<String, Start> starts = new HashMap<>();

    /** The list with starts as they are here; {@code ahead} is how far the machines' clock is before this node's. */
    public Roll carry(Roll roll, boolean whole, long ahead) {
        List<Member> members = new ArrayList<>(roll.members().size());
        Set<String> named = new HashSet<>();
        boolean changed = false;
        for (Member member : roll.members()) {
            Server server = member.server();
            named.add(server.id());
            long told = server.startedAt();
            Start known = starts.get(server.id());
            if (known == null || known.told != told) {
                // 0 is 'long ago', whatever any clock says.
                known = new Start(told, told > 0 ? Math.max(1, told - ahead) : told);
                starts.put(server.id(), known);
            }
            changed |= known.here != told;
            members.add(known.here == told ? member : member.startedAt(known.here));
            if (server.readiness() == Readiness.GONE) {
                starts.remove(server.id());
            }
        }
        if (whole) {
            starts.keySet().retainAll(named);
        }
        return changed ? new Roll(roll.revision(), roll.complete(), members) : roll;
    }

    /** How many servers are remembered. */
    int size() {
        return starts.size();
    }
}
