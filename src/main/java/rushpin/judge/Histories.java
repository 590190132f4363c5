package rushpin.judge;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Whether a recorded history of one object is linearizable: whether its operations can be put into one row that keeps to real
 * time (what ended before another began stands before it) and in which each answer is what the object was then. The search of
 * Wing and Gong, with a memory of what has been tried (Lowe): a state is the set of operations that stand in the row, and what
 * the object is after them. Exponential at worst; past a bound of states it says that it cannot tell.
 *
 * <p>Exact only if all operations that changed the object are recorded, those whose end nobody heard too.
 */
public final class Histories {
    /** Ends of operations that are never heard. */
    public static final long NEVER = Long.MAX_VALUE;

    /** What comes of it. */
    public enum Verdict {
        LINEARIZABLE,
        BROKEN,
        CANNOT_TELL
    }

    /** What an operation did, as its client knows it. */
    public enum Kind {
        /** A look-up that was answered with {@code value}. */
        LOOKED,
        /** An order after which the object is {@code value}, where it may begin from anything. */
        SET,
        /** An order that adds {@code value} to what the object is: a set of taken places as bits. */
        ADDED,
        /** An order of which is not known whether it has run: it stands in the row at any place after its beginning, or nowhere. */
        MAY_HAVE_SET,
        /** The same for one that adds. */
        MAY_HAVE_ADDED
    }

    /**
     * An operation, by one clock.
     *
     * @param from when its client began it
     * @param until when its client had the answer; {@link #NEVER} where none came. An order of unknown outcome may stand after it
     */
    public record Operation(Kind kind, long value, long from, long until) {
        private boolean isUnknown() {
            return kind == Kind.MAY_HAVE_SET || kind == Kind.MAY_HAVE_ADDED;
        }

        private long end() {
            return isUnknown() ? NEVER : until;
        }
    }

    /**
     * What was found.
     *
     * @param states how many were looked at
     * @param stuck where it is broken: operations of which none can come next in the longest row; a place to look, no proof
     */
    public record Found(Verdict verdict, long states, List<Operation> stuck) {}

    /** Operations that stand in the row: all before {@code first}, and of the others those whose bit is set, from there. */
    private record State(int first, BitSet beyond, long value) {}

    private final List<Operation> all;
    private final long most;
    private final Set<State> tried = new HashSet<>();
    private int longest = -1;
    private List<Operation> stuck = List.of();
    private boolean isOver;

    private Histories(List<Operation> all, long most) {
        this.all = all;
        this.most = most;
    }

    /**
     * Looks at a history.
     *
     * @param begin what the object is at first
     * @param most how many states are looked at; past that it cannot tell
     * @throws IllegalArgumentException an operation that ends before it begins, or an end that is missing where something was heard
     */
    public static Found judge(long begin, List<Operation> operations, long most) {
        List<Operation> all = new ArrayList<>();
        for (Operation one : operations) {
            if (one.until < one.from || one.until == NEVER && one.kind == Kind.LOOKED) {
                throw new IllegalArgumentException("no operation: " + one);
            }
            all.add(one);
        }
        all.sort(Comparator.comparingLong(Operation::from).thenComparingLong(Operation::end));
        Histories search = new Histories(all, most);
        boolean found = search.run(begin);
        Verdict verdict = found ? Verdict.LINEARIZABLE : search.isOver ? Verdict.CANNOT_TELL : Verdict.BROKEN;
        return new Found(verdict, search.tried.size(), verdict == Verdict.BROKEN ? search.stuck : List.of());
    }

    /** A place on the way: what stands in the row, and which operation is to be tried next. */
    private static final class Place {
        private final BitSet in;
        private final long value;
        private int first, next;
        private long bound;

        Place(BitSet in, int first, long value) {
            this.in = in;
            this.first = first;
            this.value = value;
        }
    }

    /** Depth first, on a stack of its own: a history has more orders than a thread's stack is deep. */
    private boolean run(long begin) {
        ArrayList<Place> way = new ArrayList<>();
        way.add(lookedUp(new Place(new BitSet(), 0, begin)));
        while (!way.isEmpty()) {
            Place at = way.get(way.size() - 1);
            if (isDone(at)) {
                return true;
            }
            Place to = null;
            while (to == null && at.next < all.size() && all.get(at.next).from <= at.bound) {
                int i = at.next++;
                if (!at.in.get(i) && all.get(i).kind != Kind.LOOKED) {
                    BitSet in = (BitSet) at.in.clone();
                    in.set(i);
                    Place next = lookedUp(new Place(in, at.first, after(all.get(i), at.value)));
                    to = isNew(next) ? next : null;
                }
            }
            if (isOver) {
                return false;
            }
            if (to != null) {
                way.add(to);
            } else {
                if (at.in.cardinality() > longest) {
                    longest = at.in.cardinality();
                    stuck = open(at);
                }
                way.remove(way.size() - 1);
            }
        }
        return false;
    }

    /** Look-ups that may come next and fit are put into the row at once: they change nothing, so no other row is lost by it. */
    private Place lookedUp(Place at) {
        boolean more = true;
        while (more) {
            at.first = at.in.nextClearBit(at.first);
            at.bound = bound(at);
            more = false;
            for (int i = at.first; i < all.size() && all.get(i).from <= at.bound; i++) {
                Operation one = all.get(i);
                if (!at.in.get(i) && one.kind == Kind.LOOKED && one.value == at.value) {
                    at.in.set(i);
                    more = true;
                }
            }
        }
        at.next = at.first;
        return at;
    }

    private static long after(Operation one, long value) {
        return switch (one.kind) {
            case LOOKED -> value;
            case SET, MAY_HAVE_SET -> one.value;
            default -> value | one.value;
        };
    }

    /** Whether all that must stand in the row does. */
    private boolean isDone(Place at) {
        for (int i = at.first; i < all.size(); i++) {
            if (!at.in.get(i) && !all.get(i).isUnknown()) {
                return false;
            }
        }
        return true;
    }

    /** The first end of what doesn't stand in the row: what began after it can't come next. */
    private long bound(Place at) {
        long bound = NEVER;
        for (int i = at.first; i < all.size() && all.get(i).from <= bound; i++) {
            if (!at.in.get(i)) {
                bound = Math.min(bound, all.get(i).end());
            }
        }
        return bound;
    }

    private boolean isNew(Place place) {
        if (tried.size() >= most) {
            isOver = true;
            return false;
        }
        return tried.add(new State(
                place.first, place.in.get(place.first, Math.max(place.first, place.in.length())), place.value));
    }

    private List<Operation> open(Place at) {
        List<Operation> open = new ArrayList<>();
        for (int i = at.first; i < all.size() && all.get(i).from <= at.bound && open.size() < 8; i++) {
            if (!at.in.get(i) && !all.get(i).isUnknown()) {
                open.add(all.get(i));
            }
        }
        return open;
    }
}
