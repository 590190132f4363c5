package rushpin.budget;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Whose turn it is on a thread that several pools share: the one that has used least of it, measured as it is used
 * (start-time fair queueing: Goyal, Vin, Cheng, "Start-time Fair Queueing", 1996, section 2, with cost for length). A
 * pool that was away gets no credit for it. No I/O and no clock of its own; one thread at a time.
 *
 * <p>Bounds: one line for each name ever added, and in it what the caller adds; the caller adds each waiting thing once.
 */
public final class FairQueue<T> {
    private static final class Line<T> {
        private final ArrayDeque<T> waiting = new ArrayDeque<>();
        private long used;
    }

    private final Map<String, Line<T>> lines = new HashMap<>();
    private long floor;

    /** Something waits for its turn. */
    public void add(String who, T waiting) {
        Line<T> line = lines.computeIfAbsent(who, name -> new Line<>());
        if (line.waiting.isEmpty()) {
            line.used = Math.max(line.used, floor);
        }
        line.waiting.add(waiting);
    }

    /** Takes the next one; null if none waits. */
    public T next() {
        Line<T> least = null;
        for (Line<T> line : lines.values()) {
            if (!line.waiting.isEmpty() && (least == null || line.used < least.used)) {
                least = line;
            }
        }
        if (least == null) {
            return null;
        }
        floor = least.used;
        return least.waiting.poll();
    }

    /** So much of the thread was used, in nanoseconds. */
    public void charge(String who, long nanos) {
        lines.computeIfAbsent(who, name -> new Line<>()).used += Math.max(0, nanos);
    }

    /** A name is not used any more. */
    public void forget(String who) {
        Line<T> line = lines.get(who);
        if (line != null && line.waiting.isEmpty()) {
            lines.remove(who);
        }
    }

    /** Whether anything waits. */
    public boolean isEmpty() {
        return lines.values().stream().allMatch(line -> line.waiting.isEmpty());
    }
}
