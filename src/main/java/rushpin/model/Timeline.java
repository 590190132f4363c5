package rushpin.model;

import java.util.PriorityQueue;

/** Simulated time: events in the order of their time, and of their making where that is the same. */
final class Timeline {
    /** So many events at one moment are a loop and no load. */
    private static final int MOST_AT_ONCE = 1_000_000;

    private record Event(long at, long serial, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(serial, other.serial);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now, serial, done;

    /** Nanoseconds since the begin. */
    long now() {
        return now;
    }

    /** How many events have been. */
    long done() {
        return done;
    }

    /** Something happens at a moment that is not over. */
    void at(long time, Runnable what) {
        if (time < now) {
            throw new IllegalStateException("an event before its cause: at " + time + " ns, it is " + now);
        }
        events.add(new Event(time, serial++, what));
    }

    /** Something happens after a span of 0 or more. */
    void after(long span, Runnable what) {
        at(now + Math.max(0, span), what);
    }

    /** Plays all up to a moment, that moment's too. */
    void run(long until) {
        int atOnce = 0;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            atOnce = next.at == now ? atOnce + 1 : 0;
            if (atOnce > MOST_AT_ONCE) {
                throw new IllegalStateException(
                        "more than " + MOST_AT_ONCE + " events at " + now / 1e9 + " s: it goes round");
            }
            now = next.at;
            done++;
            next.what.run();
        }
        now = Math.max(now, until);
    }
}
