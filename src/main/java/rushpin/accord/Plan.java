package rushpin.accord;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Which part of the traffic that enters in a zone goes to which zone. Applied whole or not at all.
 *
 * @param number grows by one with each plan of the fleet; 0 for none yet
 * @param fence of the planner that made it
 * @param ways from each zone where clients enter, and of each class that goes its own; in order of both, each once
 * @param marks what later plans have to know of how this one came about, whoever makes them; in order, each once
 */
public record Plan(long number, long fence, List<Way> ways, List<Mark> marks) {
    /** Parts are thousandths. */
    public static final int WHOLE = 1_000;
    /** The most zones that a plan can name, on either side. */
    public static final int MOST_ZONES = 64;

    /** The most ways, those of single classes included: all that fits a command. */
    public static final int MOST_WAYS = 256;
    /** In which ways stand in a plan. */
    public static final Comparator<Way> WAYS = Comparator.comparing(Way::from).thenComparing(Way::of);
    /** In which marks stand in a plan. */
    public static final Comparator<Mark> MARKS =
            Comparator.comparing(Mark::from).thenComparing(Mark::zone).thenComparing(Mark::of);
    /** The most marks of a plan. */
    public static final int MOST_MARKS = 256;

    /**
     * What enters in one zone.
     *
     * @param of the class, by its name over all pools ({@link Report#of}); empty for all that have no way of their own
     */
    public record Way(String from, String of, List<Part> parts) {
        /** Copies. */
        public Way {
            parts = List.copyOf(parts);
        }

        /** Of all classes. */
        public Way(String from, List<Part> parts) {
            this(from, "", parts);
        }
    }

    /**
     * A part of it, in thousandths, that goes to one zone.
     *
     * @param spare as much of it again that may go there while a process holds out all servers of its own zone, until a plan
     *     says where it goes: what that zone can bear, by what the planner knew
     */
    public record Part(String to, int thousandths, int spare) {
        /** Without one to spare. */
        public Part(String to, int thousandths) {
            this(to, thousandths, 0);
        }
    }

    /**
     * A zone that is left, or that traffic comes back to. All of it stands in the plan, so that the next planner goes on from
     * there.
     *
     * @param from what enters in this zone alone; empty for all
     * @param zone the target
     * @param of the class; empty for all
     * @param open how much of what would go there may, in thousandths: 0 while it is left
     * @param since log time of the last change
     * @param relapses how often it was left again soon after it was open
     */
    public record Mark(String from, String zone, String of, int open, long since, int relapses) {
        boolean isSound() {
            return (from.isEmpty() || Who.isName(from))
                    && Who.isName(zone)
                    && (of.isEmpty() || Who.isName(of))
                    && open >= 0
                    && open <= WHOLE
                    && relapses >= 0;
        }
    }

    /** No plan yet: all stay near. */
    public static final Plan NONE = new Plan(0, 0, List.of());

    /** Copies. */
    public Plan {
        ways = List.copyOf(ways);
        marks = List.copyOf(marks);
    }

    /** Without marks. */
    public Plan(long number, long fence, List<Way> ways) {
        this(number, fence, ways, List.of());
    }

    /** Its ways in one word, {@code FROM[/CLASS]>TO=THOUSANDTHS[+SPARE],...;...}; a dash for none. */
    public String text() {
        return ways.isEmpty()
                ? "-"
                : ways.stream()
                        .map(way -> way.from + (way.of.isEmpty() ? "" : "/" + way.of) + ">"
                                + way.parts.stream()
                                        .map(part -> part.to + "=" + part.thousandths
                                                + (part.spare > 0 ? "+" + part.spare : ""))
                                        .collect(Collectors.joining(",")))
                        .collect(Collectors.joining(";"));
    }

    /** By fence first: a fleet that is founded anew numbers its plans anew, and its fences go on growing. */
    public boolean isNewerThan(Plan other) {
        return fence != other.fence ? fence > other.fence : number > other.number;
    }

    /**
     * Whether these can be a plan: bounded; from each zone where traffic enters one way for each class at most, in order of
     * name; zones named once in each, each with a part of at least one thousandth, that sum to {@link #WHOLE}, what is spare to no more. Marks in
     * order, each once.
     */
    public static boolean isWhole(List<Way> ways, List<Mark> marks) {
        if (ways.size() > MOST_WAYS || marks.size() > MOST_MARKS) {
            return false;
        }
        Set<String> zones = new HashSet<>();
        Way before = null;
        for (Way way : ways) {
            zones.add(way.from);
            if (before != null && WAYS.compare(before, way) >= 0 || zones.size() > MOST_ZONES || !isWhole(way)) {
                return false;
            }
            before = way;
        }
        Mark last = null;
        for (Mark mark : marks) {
            if (!mark.isSound() || last != null && MARKS.compare(last, mark) >= 0) {
                return false;
            }
            last = mark;
        }
        return true;
    }

    private static boolean isWhole(Way way) {
        if (!Who.isName(way.from) || !way.of.isEmpty() && !Who.isName(way.of) || way.parts.size() > MOST_ZONES) {
            return false;
        }
        Set<String> named = new HashSet<>();
        int sum = 0, spare = 0;
        for (Part part : way.parts) {
            // Each part is at most the whole, and there are few: the sum can't overflow.
            if (!Who.isName(part.to)
                    || !named.add(part.to)
                    || part.thousandths < 1
                    || part.thousandths > WHOLE
                    || part.spare < 0
                    || part.spare > WHOLE) {
                return false;
            }
            sum += part.thousandths;
            spare += part.spare;
        }
        return sum == WHOLE && spare <= WHOLE;
    }
}
