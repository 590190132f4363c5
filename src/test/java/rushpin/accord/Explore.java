package rushpin.accord;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/**
 * Every order of what may happen, breadth first: worlds that differ only in how far they are from the same future count
 * once, by a fingerprint of 64 bits. Stops at the first world that breaks a rule, which is one of the nearest.
 */
public final class Explore<W> {
    /** What may happen next in a world, and what it may not be. */
    public interface Rules<W> {
        /** Hands on each world that can be next, with what happened; always in the same order. */
        void next(W world, Step<W> step);

        /** The rule that it breaks, or null. */
        String broken(W world);

        /** The same for worlds with the same future. */
        long print(W world);
    }

    /** One thing that may happen. */
    public interface Step<W> {
        void to(W world, Supplier<String> what);
    }

    /**
     * What was seen.
     *
     * @param states worlds, each once
     * @param depth the greatest number of steps
     * @param whole whether there was no bound on the way
     * @param broken the rule, or null; {@code path} leads there
     */
    public record Seen(long states, int depth, boolean whole, String broken, List<String> path, long millis) {
        @Override
        public String toString() {
            return String.format("%,d states, depth %d%s, %.1f s", states, depth, whole ? ", all" : "", millis / 1e3)
                    + (broken == null ? "" : ": " + broken + "\n    " + String.join("\n    ", path));
        }
    }

    private static final class Found extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Found() {
            super(null, null, false, false);
        }
    }

    private final Rules<W> rules;
    /** Where each world came from, and as the how manieth of its next ones. */
    private int[] from = new int[1 << 16], as = new int[1 << 16];

    private long[] prints = new long[1 << 17];
    private int seen, numbered;

    private Explore(Rules<W> rules) {
        this.rules = rules;
    }

    /** Goes through all from these on, up to bounds of depth and of worlds. */
    public static <W> Seen all(List<W> first, Rules<W> rules, int depth, long most) {
        return new Explore<>(rules).run(first, depth, most);
    }

    private Seen run(List<W> first, int most, long mostStates) {
        long start = System.nanoTime();
        ArrayDeque<W> edge = new ArrayDeque<>();
        for (int i = 0; i < first.size(); i++) {
            if (isNew(first.get(i))) {
                note(-1, i);
                edge.add(first.get(i));
            }
        }
        int depth = 0, at = 0;
        String[] broken = {null};
        while (!edge.isEmpty() && depth < most && seen < mostStates && broken[0] == null) {
            ArrayDeque<W> beyond = new ArrayDeque<>();
            for (W world : edge) {
                int parent = at++;
                numbered = 0;
                try {
                    rules.next(world, (next, what) -> {
                        int number = numbered++;
                        if (isNew(next)) {
                            note(parent, number);
                            beyond.add(next);
                            broken[0] = rules.broken(next);
                            if (broken[0] != null) {
                                throw new Found();
                            }
                        }
                    });
                } catch (Found found) {
                    break;
                }
                if (seen >= mostStates) {
                    break;
                }
            }
            edge = beyond;
            depth++;
        }
        return new Seen(
                seen,
                depth,
                edge.isEmpty(),
                broken[0],
                broken[0] == null ? List.of() : path(first, seen - 1),
                (System.nanoTime() - start) / 1_000_000);
    }

    private void note(int parent, int number) {
        if (seen == from.length) {
            from = Arrays.copyOf(from, 2 * seen);
            as = Arrays.copyOf(as, 2 * seen);
        }
        from[seen] = parent;
        as[seen++] = number;
    }

    private boolean isNew(W world) {
        if (2 * seen >= prints.length) {
            long[] old = prints;
            prints = new long[2 * old.length];
            for (long print : old) {
                if (print != 0) {
                    add(print);
                }
            }
        }
        long print = rules.print(world);
        return add(print == 0 ? 1 : print);
    }

    private boolean add(long print) {
        int mask = prints.length - 1;
        int i = (int) (print ^ print >>> 32) & mask;
        while (prints[i] != 0) {
            if (prints[i] == print) {
                return false;
            }
            i = i + 1 & mask;
        }
        prints[i] = print;
        return true;
    }

    private List<String> path(List<W> first, int last) {
        ArrayList<Integer> numbers = new ArrayList<>();
        int i = last;
        for (; from[i] >= 0; i = from[i]) {
            numbers.add(0, as[i]);
        }
        W world = first.get(as[i]);
        List<String> path = new ArrayList<>(List.of("from " + world));
        for (int number : numbers) {
            List<W> taken = new ArrayList<>();
            int[] count = {0};
            rules.next(world, (next, what) -> {
                if (count[0]++ == number) {
                    taken.add(next);
                    path.add(what.get());
                }
            });
            world = taken.get(0);
        }
        path.add("to " + world);
        return path;
    }

    /** Folds values into a fingerprint. */
    public static final class Print {
        private long sum = 0x9E3779B97F4A7C15L;

        public Print add(long value) {
            sum = (sum ^ value) * 0xFF51AFD7ED558CCDL;
            sum ^= sum >>> 32;
            return this;
        }

        public long sum() {
            return sum * 0xC4CEB9FE1A85EC53L;
        }
    }
}
