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
 * run. Whether only this machine's was set is unknown: a start is then told in the time from before, else in the time
 * from after. Of the two readings the youngest counts that is not in the future, so that a cold server is never taken
 * for a warm one; a warm one may be taken for one that is younger by as much as the clock was set. Where both lie in
 * the future, and where machines' clocks differ, a start is as of now. It is carried over once, when it is first heard,
 * and then stays: a list that is told again makes nothing cold or warm. No I/O; one thread.
 *
 * <p>Limits: what the clock was off when this process started is not known here. A process whose clock is ahead by an
 * hour takes servers that started within the hour for as much older; lists give no bound but that it is ahead by no more
 * than the age, by its own clock, of the youngest server that it was ever told of. A clock that was set twice, there and
 * back, between a server's start and the list that tells it leaves no trace.
 *
 * <p>Bounds: one entry for each listed server.
 */
public final class StartTimes {
    private record Start(long told, long here) {}

    private final Map<String, Start> starts = new HashMap<>();

    /**
     * The list with starts as they are here.
     *
     * @param now this node's time, Unix nanoseconds as those of the list
     * @param ahead how far this machine's clock was set ahead of this node's since its start; below 0 for back
     */
    public ServerListUpdate carry(ServerListUpdate roll, boolean whole, long now, long ahead) {
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
                known = new Start(told, told > 0 ? here(told, now, ahead) : told);
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
        return changed ? new ServerListUpdate(roll.revision(), roll.complete(), members) : roll;
    }

    private static long here(long told, long now, long ahead) {
        long asFromAfter = told - ahead;
        long youngest = Math.max(told, asFromAfter);
        if (youngest > now) {
            youngest = Math.min(told, asFromAfter);
        }
        return Math.max(1, Math.min(youngest, now));
    }

    /** How many servers are remembered. */
    int size() {
        return starts.size();
    }
}
