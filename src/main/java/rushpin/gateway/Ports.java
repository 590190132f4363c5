package rushpin.gateway;

import java.util.List;

/**
 * The interface of the decision module {@link Gateway}: the settings it is given, the events its host calls in
 * and the actions it asks for. Types only; nothing here decides.
 *
 * <p>All times are nanoseconds of one clock that never runs backwards; it may start anywhere. Spans are
 * nanoseconds too. One thread at a time may call an instance, and {@link Actions} are called on that thread,
 * from within an event. Instances share nothing.
 */
public final class Ports {
    private Ports() {}

    /** How often a request of a class may take effect. */
    public enum Repeat {
        /** May be repeated freely. */
        SAFE,
        /** Carries a key; a group of servers drops its repeats for a while. */
        KEYED,
        /** Must never run twice. */
        UNSAFE
    }

    /** The servers that drop repeats of a {@link Repeat#KEYED} request. */
    public enum Group {
        /** Every server. */
        ALL,
        /** The servers of the zone first sent to. */
        ZONE,
        /** The servers of the cell first sent to. */
        CELL
    }

    /** How an attempt, a probe or a call to the counter ended. */
    public enum Outcome {
        /** Served, or counted. */
        OK(false),
        /** The server answered with an error; the request may have run. */
        ERROR(false),
        /** Turned away unseen. */
        FULL(true),
        /** No answer in time; it may have run, or may have been counted. */
        TIMEOUT(false),
        /** No connection in time. */
        CONNECT_FAILED(true),
        /** The connection broke; it may have run. */
        RESET(false),
        /** Withdrawn; it may have run. */
        CANCELLED(false),
        /** Never sent by the host. */
        NOT_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the attempt had no effect. */
        public boolean provesNeverRan() {
            return neverRan;
        }
    }

    /** What the list says of a server. */
    public enum Readiness {
        GONE,
        READY,
        DRAINING
    }

    /** What a list message holds. */
    public enum ListKind {
        /** The whole list. */
        FULL,
        /** The whole list as saved before this start; may be old. */
        CACHED,
        /** Changed entries only. */
        DELTA,
        /** A request to the list failed; the old list stands. */
        FAILED
    }

    /**
     * A class of requests.
     *
     * @param aim an answer within this span is worth all
     * @param deadline how long a client waits over all its tries
     * @param repeat how it may be repeated
     * @param group which servers drop repeats, if keyed
     * @param keyWindow for how long they do, from the first attempt that may have run
     * @param lateValue the part of the worth that an answer after the aim earns
     * @param worth the worth of one request
     */
    public record RequestClass(
            long aim, long deadline, Repeat repeat, Group group, long keyWindow, double lateValue, double worth) {}

    /**
     * A plan; its figures hold for each customer over all gateways.
     *
     * @param rate units a second of the quota; 0 for none
     * @param burst units the quota's store holds
     * @param maxConcurrent attempts out at once; 0 for no limit
     * @param price factor on the worth
     * @param beyondEarns the part of the worth earned beyond the quota
     * @param beyondCosts the part of the worth that sending beyond the quota costs
     * @param ceilingRate units a second of the hard ceiling; 0 for none
     * @param ceilingBurst units the ceiling's store holds
     * @param ceilingSlack how far below nothing that store may fall
     */
    public record Plan(
            double rate,
            double burst,
            int maxConcurrent,
            double price,
            double beyondEarns,
            double beyondCosts,
            double ceilingRate,
            double ceilingBurst,
            double ceilingSlack) {}

    /**
     * What the site allows.
     *
     * @param maxAttempts most attempts of one request
     * @param maxOpen most requests an instance may hold
     * @param probes whether servers may be probed
     * @param retryAfter whether clients are told how long to stay away
     * @param maxRetryAfter the longest that a client heeds
     * @param subscribeToList whether changes of the list must be subscribed to
     */
    public record Limits(
            int maxAttempts, int maxOpen, boolean probes, boolean retryAfter, long maxRetryAfter, boolean subscribeToList) {}

    /**
     * The shared quota counter.
     *
     * @param present whether there is one
     * @param timeout a call without an answer by then ends as {@link Outcome#TIMEOUT}
     * @param reportsTrueUnits whether answers tell the true units
     * @param largest the largest request, in units
     * @param first whether it is called before each first attempt, so that a hard kill forgets nothing
     */
    public record Counter(boolean present, long timeout, boolean reportsTrueUnits, double largest, boolean first) {
        /** A counter that is called as often as it bears. */
        public Counter(boolean present, long timeout, boolean reportsTrueUnits, double largest) {
            this(present, timeout, reportsTrueUnits, largest, false);
        }
    }

    /**
     * The figures of the rules.
     *
     * @param answerSlack how long after the deadline a final answer still counts
     * @param coldFrom a server starts with this part of its capacity or more
     * @param coldDuration and is warm after this
     * @param overloadFactor sent more than this many times its present capacity
     * @param overloadDuration for this long, it falls over
     * @param drainGrace how long after a drain was told a server may still be sent requests
     */
    public record Rules(
            long answerSlack, double coldFrom, long coldDuration, double overloadFactor, long overloadDuration, long drainGrace) {
        /** Where no grace is said: one second, in nanoseconds. */
        public static final long DEFAULT_DRAIN_GRACE = 1_000_000_000L;

        /** Rules with the usual grace for drains. */
        public Rules(long answerSlack, double coldFrom, long coldDuration, double overloadFactor, long overloadDuration) {
            this(answerSlack, coldFrom, coldDuration, overloadFactor, overloadDuration, DEFAULT_DRAIN_GRACE);
        }
    }

    /**
     * What an instance is told at its start.
     *
     * @param me its number, from 0
     * @param siblings how many gateways there are
     * @param zone its zone
     * @param tick events come at most this often
     * @param sizesAreWeights whether the sizes in the list mean anything
     * @param reports the names of the load report's values
     */
    public record Settings(
            int me,
            int siblings,
            int zone,
            long tick,
            boolean sizesAreWeights,
            List<String> reports,
            List<RequestClass> classes,
            List<Plan> plans,
            Limits limits,
            Counter counter,
            Rules rules) {}

    /** An entry of the server list; {@code startedAt} is 0 for a server that started long ago. */
    public record Server(String id, double size, int zone, int cell, int kind, Readiness readiness, long startedAt) {}

    /**
     * A request as it comes in.
     *
     * @param deadline the moment at which the client stops waiting for this try
     * @param units what it takes from the quota, perhaps a guess
     * @param setSize how many gateways this customer comes through
     * @param setFirst the first of them
     * @param repeat whether the client marked it as a repeat
     */
    public record Request(
            String id,
            int requestClass,
            int plan,
            long customer,
            long deadline,
            double units,
            int setSize,
            int setFirst,
            boolean repeat) {}

    /**
     * The end of an attempt.
     *
     * @param took the span since it was sent
     * @param complete nothing more is owed for the request
     * @param trueUnits the units that take the place of the guess; 0 if not told
     * @param report the server's load report; empty if none
     */
    public record Result(
            String id,
            Outcome outcome,
            long took,
            String server,
            boolean complete,
            int attempt,
            double trueUnits,
            List<Double> report) {}

    /** What the host calls, in the order in which things happen. */
    public interface Events {
        /** The server list, or changes to it. */
        void list(long now, ListKind kind, List<Server> entries);

        /** A request came in; exactly one final answer is owed. */
        void request(long now, Request request);

        /** An attempt is over; each attempt ends exactly once. */
        void attemptEnded(long now, Result result);

        /** The stream of a request began; no deadline binds it any more. */
        void streamStarted(long now, String id);

        /** What was sent of the request's body is gone: it cannot be sent again, and gets no further attempt. */
        void bodyGone(long now, String id);

        /** The client left; nothing is owed any more. */
        void clientGone(long now, String id);

        /** A call to the counter ended; calls of one name end in their order. */
        void counted(long now, long name, Outcome outcome, double total);

        /** A probe ended. */
        void probed(long now, String server, Outcome outcome, long took, List<Double> report);

        /** A timer came due. */
        void timer(long now, long token);

        /** Units that this gateway took before it was killed, and that the counter was not told of. */
        void restore(long now, long customer, int plan, int setSize, double units);

        /**
         * A part of what customers' ceilings hold here goes to another process of this gateway: told by
         * {@link Actions#ceilingReleased}, and gone from here.
         *
         * @param part from 0 for nothing to 1 for all
         */
        void releaseCeiling(long now, double part);

        /** What another process of this gateway gave away of a customer's ceiling, in units. */
        void acquireCeiling(long now, long customer, int plan, int setSize, double units);

        /**
         * So many processes act as this gateway, this one among them: for as long as one replaces another. What a
         * customer's ceiling gives this gateway is then dealt out to them.
         */
        void processes(long now, int count);

        /**
         * Classes and limits as they are for requests from now on; those that are open keep what held when they came.
         * All else of the settings is as it was.
         *
         * @param was for each class of {@code next} which one of those until now it is; -1 for a new one
         */
        void settings(long now, Settings next, int[] was);

        /**
         * A plan of where requests go from now on. For each a zone is drawn by these parts, and a server within it; where
         * nobody there may be used, the plan's other zones follow by their parts. A zone that is not named gets nothing but
         * what a group binds to it.
         *
         * @param parts for each class, and in it for each zone, thousandths with one above 0 at least; null for a class that
         *     goes wherever its answer should come from soonest, or for all. Not to be changed any more
         */
        void zones(long now, int[][] parts);

        /**
         * The same, with a way out: while all servers of the own zone are held out, first attempts may go to others too.
         *
         * @param spare for each class, and in it for each zone, the thousandths that may; null for none
         */
        default void zones(long now, int[][] parts, int[][] spare) {
            zones(now, parts);
        }

        /** The machines' clock has been set: it is so far ahead of this node's, in nanoseconds; below 0 if behind. */
        void clock(long now, long ahead);
    }

    /** What the module asks of its host; each takes effect at once. */
    public interface Actions {
        /** Starts an attempt and gives it up after {@code patience}. */
        void send(String id, String server, long patience);

        /**
         * As {@link #send(String, String, long)}, for a request that may have run: nothing of it may be written later than
         * {@code startWithin} nanoseconds from now, since servers then forget its key. A host that never writes later than
         * it is asked to need not look at it.
         */
        default void send(String id, String server, long patience, long startWithin) {
            send(id, server, patience);
        }

        /** Final answer: refused, trying again is harmless; 0 for no advice on when. */
        void refuse(String id, long retryAfter);

        /** Final answer: failed, with no promise about the effect. */
        void fail(String id);

        /** Probes a server; only where the settings allow it. */
        void probe(String server);

        /** Adds to a named count that lives for {@code lifetime} from its first call; {@code customer} whose use it is. */
        void count(long customer, long name, double amount, long lifetime);

        /**
         * A customer's use has changed by so many units that the counter is yet to be told of; below 0 they were given
         * back. A host that keeps this over a hard kill brings it back by {@link Events#restore}.
         */
        default void useChanged(long customer, int plan, int setSize, double units) {}

        /** So many units of what a customer's ceiling held are another process's now; told from within a give. */
        default void ceilingReleased(long customer, int plan, int setSize, double units) {}

        /** Asks for {@link Events#timer} after a span. */
        void timer(long token, long span);

        /** Subscribes to changes of the server list, where these must be asked for. */
        void watchList();

        /** A line for the operators. */
        void log(String text);
    }
}
