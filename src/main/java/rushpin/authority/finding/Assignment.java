package rushpin.authority.finding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import rushpin.accord.Who;

/**
 * Which process is to hold which object. How one gives it to the next is not said here.
 *
 * @param number grows by one with each; 0 for none yet
 * @param at log time of its entry
 * @param held in order of object, each once; {@link #MOST} at most
 */
public record Assignment(long number, long at, List<Held> held) {
    /** The most objects: all that fits a command by their longest names. */
    public static final int MOST = 800;

    /**
     * An object's holder.
     *
     * @param since log time of the entry that made it so
     */
    public record Held(String object, long session, long since) {}

    /** What is to be: an object and the session that holds it. */
    public record Pick(String object, long session) {}

    /**
     * A next assignment, whole.
     *
     * @param after the number of the one it was made from
     * @param picks in order of object, each once
     */
    public record Draft(long after, List<Pick> picks) {
        /** Copies. */
        public Draft {
            picks = List.copyOf(picks);
        }

        private boolean isSound() {
            for (int i = 0; i < picks.size(); i++) {
                Pick pick = picks.get(i);
                if (!Who.isName(pick.object)
                        || pick.session <= 0
                        || i > 0 && picks.get(i - 1).object.compareTo(pick.object) >= 0) {
                    return false;
                }
            }
            return picks.size() <= MOST;
        }
    }

    /** Before the first. */
    public static final Assignment NONE = new Assignment(0, 0, List.of());

    /** Copies. */
    public Assignment {
        held = List.copyOf(held);
    }

    /** What a draft makes of it, all or nothing: empty if the draft was made from another one or can't be one. */
    public Optional<Assignment> with(Draft draft, long now) {
        if (draft.after != number || !draft.isSound()) {
            return Optional.empty();
        }
        Map<String, Held> before = held.stream().collect(Collectors.toMap(Held::object, Function.identity()));
        List<Held> next = new ArrayList<>();
        for (Pick pick : draft.picks) {
            Held old = before.get(pick.object);
            next.add(old != null && old.session == pick.session ? old : new Held(pick.object, pick.session, now));
        }
        return Optional.of(new Assignment(number + 1, now, next));
    }
}
