package rushpin.judge;

import java.util.Collection;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * What happened, written down where it happened: by the clients, the app servers and discovery of a run, all in this
 * process and so by one clock ({@link System#nanoTime}). The {@link Judge} holds it against the rules.
 */
public final class Records {
    /** Status of an exchange that ended without an answer. */
    public static final int NONE = 0;

    /**
     * A client's try.
     *
     * @param at when its last byte was written
     * @param patience how long the client waits, nanoseconds
     * @param status the answer's status, or {@link #NONE}
     * @param answeredAt when the answer's last byte came, or the connection ended
     * @param whole whether a served answer is the one made for this request
     * @param excused whether the node was killed meanwhile, so that the try is the client's to repeat
     */
    public record Exchange(
            String pool,
            String id,
            String key,
            String kind,
            String customer,
            String plan,
            double units,
            long at,
            long patience,
            int status,
            long answeredAt,
            boolean whole,
            boolean excused) {}

    /**
     * An attempt as an app server saw it.
     *
     * @param first when its head came
     * @param at when its last byte came
     * @param until when its answer was written or its connection ended
     * @param effect whether it took effect: it ran, and was no repeat that the server still remembered
     */
    public record Attempt(
            String pool, String server, String id, String key, long first, long at, long until, boolean effect) {}

    /** When a node was told that a server drains or is gone; {@code until} it was ready again, or for good. */
    public record Told(String pool, String server, long at, long until) {}

    /** A cold server that was pushed over. */
    public record Fall(String pool, String server, long at) {}

    /** A call that reached the counter: the name, the amount, when. */
    public record Counted(String name, double amount, long at) {}

    final Collection<Exchange> exchanges = new ConcurrentLinkedQueue<>();
    final Collection<Attempt> attempts = new ConcurrentLinkedQueue<>();
    final Collection<Told> told = new ConcurrentLinkedQueue<>();
    final Collection<Fall> falls = new ConcurrentLinkedQueue<>();
    final Collection<Counted> counted = new ConcurrentLinkedQueue<>();

    /** Adds what a client saw. */
    public void add(Exchange exchange) {
        exchanges.add(exchange);
    }

    /** Adds what an app server saw. */
    public void add(Attempt attempt) {
        attempts.add(attempt);
    }

    /** Adds what discovery told. */
    public void add(Told one) {
        told.add(one);
    }

    /** Adds a server's fall. */
    public void add(Fall fall) {
        falls.add(fall);
    }

    /** Adds what the counter was called for. */
    public void add(Counted call) {
        counted.add(call);
    }

    /** What the clients saw so far. */
    public Collection<Exchange> exchanges() {
        return exchanges;
    }

    /** What the app servers saw so far. */
    public Collection<Attempt> attempts() {
        return attempts;
    }

    /** What discovery told so far. */
    public Collection<Told> told() {
        return told;
    }

    /** The servers that fell over so far. */
    public Collection<Fall> falls() {
        return falls;
    }

    /** What the counter was called for so far. */
    public Collection<Counted> counted() {
        return counted;
    }
}
