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
 * Converts the start times of app servers to this node's own clock. Server lists give them by the machines' clocks,
 * which may be set while nodes run. Whether only this machine's clock was set, or those of all machines, is unknown: a
 * listed start may be by the time before or after the step. Of these two readings the later one that is not in the
 * future counts, so that a cold server is never taken for a warm one; a warm server may appear younger by as much as
 * the clock was set. If both readings are in the future, or machines' clocks differ, the start is taken as now. A start
 * is converted when it is first listed and then stays: listing it again makes no server cold or warm. No I/O; not
 * thread-safe.
 *
 * <p>Limits: the error of the clock when this process started is unknown. A process whose clock is an hour ahead takes
 * servers that started within that hour for an hour older; the lists show only that the clock is ahead by no more than
 * the age, by its own reading, of the youngest server listed so far. A clock that is set forward and back between a
 * server's start and the list that reports it can't be detected.
 *
 * <p>Bounds: one entry for each listed server.
 */
public final class StartTimes {
    /** A start as listed, and as converted to this node's clock; nanoseconds. */
    private record Start(long listed, long converted) {}

    private final Map<String, Start> starts = new HashMap<>();

    /**
     * Returns the update with start times by this node's clock; the same object if none changes.
     *
     * @param whole whether the update is the whole list: servers that it doesn't name are forgotten
     * @param now this node's time, Unix nanoseconds as in the list
     * @param ahead nanoseconds by which this machine's clock was set ahead of this node's clock since the node's start;
     *     negative if it was set back
     */
    public ServerListUpdate carry(ServerListUpdate update, boolean whole, long now, long ahead) {
        List<Member> members = new ArrayList<>(update.members().size());
        Set<String> ids = new HashSet<>();
        boolean changed = false;
        for (Member member : update.members()) {
            Server server = member.server();
            ids.add(server.id());
            long listed = server.startedAt();
            Start known = starts.get(server.id());
            if (known == null || known.listed != listed) {
                // 0 means 'long ago' by any clock.
                known = new Start(listed, listed > 0 ? convert(listed, now, ahead) : listed);
                starts.put(server.id(), known);
            }
            changed |= known.converted != listed;
            members.add(known.converted == listed ? member : member.startedAt(known.converted));
            if (server.readiness() == Readiness.GONE) {
                starts.remove(server.id());
            }
        }
        if (whole) {
            starts.keySet().retainAll(ids);
        }
        return changed ? new ServerListUpdate(update.revision(), update.complete(), members) : update;
    }

    private static long convert(long listed, long now, long ahead) {
        long withoutStep = listed - ahead;
        long latest = Math.max(listed, withoutStep);
        if (latest > now) {
            latest = Math.min(listed, withoutStep);
        }
        return Math.max(1, Math.min(latest, now));
    }

    /** The number of servers whose start times are kept. */
    int size() {
        return starts.size();
    }
}
