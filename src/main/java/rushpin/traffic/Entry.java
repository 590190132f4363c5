package rushpin.traffic;

import java.util.List;

/**
 * One request as a node saw it. It has no id, key, token, cookie, path or body.
 *
 * @param node the node's name; pool the pool's, empty for the platform's one
 * @param at when it was taken: microseconds of Unix time by the clock at the node's start and the time since, so that a clock
 *     that is set meanwhile moves nothing
 * @param customer the customer's number; a pseudonym once it is written
 * @param units what it takes from the quota by its guess; {@code trueUnits} what the answer told, 0 if nothing
 * @param patience how long its client waits, microseconds
 * @param repeat whether its client marked it as a repeat
 * @param spread how many nodes the customer comes through, {@code first} the first of them
 * @param took from its coming to its answer, microseconds
 * @param tries its attempts in their order, {@link #MAX_TRIES} at most
 * @param dropped how many requests before it, since the one last written, are not here
 */
public record Entry(
        String node,
        String pool,
        long at,
        String requestClass,
        String plan,
        long customer,
        double units,
        double trueUnits,
        long patience,
        boolean repeat,
        int spread,
        int first,
        End end,
        long took,
        List<Try> tries,
        long dropped) {
    /** Attempts of a request that are written down; the settings allow fewer nearly everywhere. */
    public static final int MAX_TRIES = 8;

    /** How a request ended for its client. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED,
        GONE
    }

    /**
     * One attempt.
     *
     * @param server the app server's id
     * @param after microseconds from the request's coming to the attempt's begin
     * @param took microseconds from there to its end
     * @param outcome the name of the module's outcome
     */
    public record Try(String server, long after, long took, String outcome) {}

    /** The same with what only the writer knows. */
    Entry written(long pseudonym, long droppedBefore) {
        return new Entry(
                node,
                pool,
                at,
                requestClass,
                plan,
                pseudonym,
                units,
                trueUnits,
                patience,
                repeat,
                spread,
                first,
                end,
                took,
                tries,
                droppedBefore);
    }
}
