package rushpin.traffic;

import java.util.List;

/**
 * One recorded request. It holds no id, key, token, cookie, path or body.
 *
 * @param node the name of the node
 * @param pool the name of the pool, empty for the platform's single pool
 * @param at when the request arrived: microseconds of Unix time, computed from the wall clock at the node's start and
 *     the monotonic time since, so that setting the clock later has no effect
 * @param requestClass the name of the request's class
 * @param plan the name of the customer's plan
 * @param customer the customer's number; a pseudonym once it is written
 * @param units estimated units of quota
 * @param trueUnits the units that the response reported, 0 if none
 * @param patience the client's timeout in microseconds
 * @param repeat whether the client marked the request as a repeat
 * @param spread the number of nodes that the customer's requests come through
 * @param first the first of these nodes
 * @param end how the request ended for its client
 * @param took microseconds from arrival to the answer
 * @param tries the attempts in order, at most {@link #MAX_TRIES}
 * @param dropped the number of requests dropped since the previous written record
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
    /** Maximum number of attempts recorded per request; nearly all settings allow fewer. */
    public static final int MAX_TRIES = 8;

    /** How a request ended for its client. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED,
        /** The client went away before it had an answer. */
        GONE
    }

    /**
     * One attempt of a request at an app server.
     *
     * @param server the app server's id
     * @param after microseconds from the request's arrival to the start of the attempt
     * @param took duration of the attempt in microseconds
     * @param outcome the name of the gateway's {@code Outcome}
     */
    public record Try(String server, long after, long took, String outcome) {}

    /** Returns a copy as it is written, with the pseudonym and the number of requests dropped before it. */
    Entry asWritten(long pseudonym, long droppedBefore) {
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
