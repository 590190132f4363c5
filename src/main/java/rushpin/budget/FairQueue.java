package rushpin.budget;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * A fair queue for a thread that several pools share: the next item is of the pool that has used least time, measured
 * as it is used (start-time fair queueing: Goyal, Vin, Cheng, "Start-time Fair Queueing", 1996, section 2, with
 * measured cost in place of packet length). A pool gets no credit for time in which it had no items. No I/O and no
 * clock; one thread at a time.
 *
 * <p>Memory: one queue for each name added and not forgotten, with the items that the caller adds; each must be added
 * once.
 */
public final class FairQueue<T> {
    private static final class Queue<T> {
        private final ArrayDeque<T> waiting = new ArrayDeque<>();
        private long usedNanos;
    }

    private final Map<String, Queue<T>> queues = new HashMap<>();
    /** The time used by the pool served last, from which a pool that becomes active starts. */
    private long virtualTime;

    /** Adds an item for a name. */
    public void add(String name, T item) {
        Queue<T> queue = queues.computeIfAbsent(name, key -> new Queue<>());
        if (queue.waiting.isEmpty()) {
            queue.usedNanos = Math.max(queue.usedNanos, virtualTime);
        }
        queue.waiting.add(item);
    }

    /** Removes and returns the next item; null for none. */
    public T next() {
        Queue<T> first = null;
        for (Queue<T> queue : queues.values()) {
            if (!queue.waiting.isEmpty() && (first == null || queue.usedNanos < first.usedNanos)) {
                first = queue;
            }
        }
        if (first == null) {
            return null;
        }
        virtualTime = first.usedNanos;
        return first.waiting.poll();
    }

    /** Charges a name for time used, in nanoseconds. */
    public void charge(String name, long nanos) {
        queues.computeIfAbsent(name, key -> new Queue<>()).usedNanos += Math.max(0, nanos);
    }

    /** Forgets a name, unless items of it wait. */
    public void forget(String name) {
        Queue<T> queue = queues.get(name);
        if (queue != null && queue.waiting.isEmpty()) {
            queues.remove(name);
        }
    }

    /** Returns whether no item waits. */
    public boolean isEmpty() {
        return queues.values().stream().allMatch(queue -> queue.waiting.isEmpty());
    }
}
