package rushpin.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Applies the operators' choice of disabled app servers to server lists. A disabled server drains on this node,
 * whatever a list says, until it is enabled again; its last listed state is kept and applies from then on. No I/O; not
 * thread-safe.
 *
 * <p>Bounds: one entry for each listed server and for each disabled one; the last {@value #MAX_SEEN} ids that a list
 * has named are remembered.
 */
public final class DisabledServers {
    private static final int MAX_SEEN = 8_192;

    /** The last state that the source gave; members that are gone have no entry. */
    private final Map<String, Member> listed = new HashMap<>();

    private final Map<String, Boolean> seen = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_SEEN;
        }
    };
    private Set<String> disabled = Set.of();

    /** Returns a list, or changes to it, with disabled servers draining; the same object if there are none. */
    public ServerListUpdate follow(ServerListUpdate update, boolean whole) {
        if (whole) {
            listed.clear();
        }
        List<Member> members = new ArrayList<>(update.members().size());
        boolean changed = false;
        for (Member member : update.members()) {
            String id = member.server().id();
            seen.put(id, true);
            if (member.isGone()) {
                listed.remove(id);
            } else {
                listed.put(id, member);
            }
            boolean drains = member.isReady() && disabled.contains(id);
            changed |= drains;
            members.add(drains ? member.draining() : member);
        }
        return changed ? new ServerListUpdate(update.revision(), update.complete(), members) : update;
    }

    /** Replaces the set of disabled servers. Returns the changes to the list that follow, which may be empty. */
    public ServerListUpdate set(Set<String> next) {
        Set<String> differing = new HashSet<>(next);
        differing.addAll(disabled);
        differing.removeIf(id -> next.contains(id) == disabled.contains(id));
        disabled = Set.copyOf(next);
        List<Member> changes = new ArrayList<>();
        for (String id : differing) {
            Member member = listed.get(id);
            if (member != null && member.isReady()) {
                changes.add(disabled.contains(id) ? member.draining() : member);
            }
        }
        return new ServerListUpdate(0, false, changes);
    }

    /** Whether a list has ever named the server, or an operator has disabled it. */
    public boolean knows(String id) {
        return seen.containsKey(id) || disabled.contains(id);
    }

    /** Whether the server is disabled now. */
    public boolean isOut(String id) {
        return disabled.contains(id);
    }

    /** The number of listed servers, draining ones included. */
    public int listed() {
        return listed.size();
    }

    /** The number of listed servers that are disabled. */
    public int out() {
        int count = 0;
        for (String id : disabled) {
            count += listed.containsKey(id) ? 1 : 0;
        }
        return count;
    }
}
