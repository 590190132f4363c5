package rushpin.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * App servers that an operator has taken out by hand. Whatever a list says of them, they drain for this node until they
 * are put back; what the list last said of them is kept, and holds from then on. No I/O; one thread.
 *
 * <p>Bounds: one entry for each listed server and for each one taken out; the last {@value #MOST_SEEN} ids are known as
 * such that were once listed.
 */
public final class DisabledServers {
    private static final int MOST_SEEN = 8_192;

    /** What the source said last; members that are gone have no entry. */
    private final Map<String, Member> listed = new HashMap<>();

    private final Map<String, Boolean> seen = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST_SEEN;
        }
    };
    private Set<String> out = Set.of();

    /** A list, or changes to it, as the pool is to have them. */
    public ServerListUpdate follow(ServerListUpdate roll, boolean whole) {
        if (whole) {
            listed.clear();
        }
        List<Member> told = new ArrayList<>(roll.members().size());
        boolean changed = false;
        for (Member member : roll.members()) {
            String id = member.server().id();
            seen.put(id, true);
            if (member.isGone()) {
                listed.remove(id);
            } else {
                listed.put(id, member);
            }
            boolean held = member.isReady() && out.contains(id);
            changed |= held;
            told.add(held ? member.draining() : member);
        }
        return changed ? new ServerListUpdate(roll.revision(), roll.complete(), told) : roll;
    }

    /** From now on just these are out. Returns the changes that follow from it, which may be none. */
    public ServerListUpdate set(Set<String> now) {
        Set<String> differ = new HashSet<>(now);
        differ.addAll(out);
        differ.removeIf(id -> now.contains(id) == out.contains(id));
        out = Set.copyOf(now);
        List<Member> told = new ArrayList<>();
        for (String id : differ) {
            Member member = listed.get(id);
            if (member != null && member.isReady()) {
                told.add(out.contains(id) ? member.draining() : member);
            }
        }
        return new ServerListUpdate(0, false, told);
    }

    /** Whether a list has ever named it, or an operator has taken it out. */
    public boolean knows(String id) {
        return seen.containsKey(id) || out.contains(id);
    }

    /** Whether it is out now. */
    public boolean isOut(String id) {
        return out.contains(id);
    }

    /** How many servers are listed, draining ones too. */
    public int listed() {
        return listed.size();
    }

    /** How many of those that are listed are out by hand. */
    public int out() {
        int count = 0;
        for (String id : out) {
            count += listed.containsKey(id) ? 1 : 0;
        }
        return count;
    }
}
