package rushpin.gateway;

import java.util.List;

/**
 * The interface of the decision module {@link Gateway}: its settings, the events that its host reports and the
 * actions that it asks for. It holds types only, no logic.
 *
 * <p>All times are nanoseconds of one monotonic clock with any origin; durations are nanoseconds too. One thread
 * at a time may call an instance, and {@link Actions} are called on that thread, from within an event. Instances
 * share no state.
 */
public final class Ports {
    private Ports() {}

    /** How often a request of a class may take effect. */
    public enum Repeat {
        /** May run any number of times. */
        SAFE,
        /** Carries an idempotency key; a group of servers drops its repeats for a while. */
        KEYED,
        /** Must not run twice. */
        UNSAFE
    }

    /** The servers that drop repeats of a {@link Repeat#KEYED} request. */
    public enum Group {
        /** Every server. */
        ALL,
        /** The servers in the zone of the first attempt that may have run. */
        ZONE,
        /** The servers in the cell of the first attempt that may have run. */
        CELL
    }

    /** How an attempt, a probe or a call to the counter ended. */
    public enum Outcome {
        /** The request was served, or the call was counted. */
        OK(false),
        /** The server answered with an error; the request may have run. */
        ERROR(false),
        /** Refused for want of room, without any effect. */
        FULL(true),
        /** No answer before the timeout; it may have run, or may have been counted. */
        TIMEOUT(false),
        /** No connection before the timeout. */
        CONNECT_FAILED(true),
        /** The connection broke; it may have run. */
        RESET(false),
        /** The host cancelled it; it may have run. */
        CANCELLED(false),
        /** The host did not send it. */
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

    /** The state of a server in the server list. */
    public enum Readiness {
        /** Removed from the list. */
        GONE,
        /** May be sent requests. */
        READY,
        /** Finishes its requests and may be sent no new ones. */
        DRAINING
    }

    /** The content of a message with the server list. */
    public enum ListKind {
        /** The whole list. */
        FULL,
        /** The whole list as saved before this start; it may be stale. */
        CACHED,
        /** Changed entries only. */
        DELTA,
        /** A request for the list failed; the present list stays in use. */
        FAILED
    }

    /**
     * A class of requests.
     *
     * @param aim latency in nanoseconds within which an answer has its full worth
     * @param deadline how long a client waits over all its tries, in nanoseconds
     * @param repeat how often a request may run
     * @param group which servers drop repeats of a keyed request
     * @param keyWindow how long they do so, in nanoseconds from the first attempt that may have run
     * @param lateValue the part of the worth that an answer after the aim has
     * @param worth the worth of one request
     */
    public record RequestClass(
            long aim, long deadline, Repeat repeat, Group group, long keyWindow, double lateValue, double worth) {}

    /**
     * A customer's tariff. Its limits hold for each customer, over all gateways.
     *
     * @param rate units a second of the quota; 0 for no quota
     * @param burst capacity of the quota's token bucket, in units
     * @param maxConcurrent the highest number of attempts in flight; 0 for no limit
     * @param price factor on the worth
     * @param beyondEarns the part of the worth that is earned beyond the quota
     * @param beyondCosts the part of the worth that sending beyond the quota costs
     * @param ceilingRate units a second of the hard ceiling; 0 for no ceiling
     * @param ceilingBurst capacity of the ceiling's token bucket, in units
     * @param ceilingSlack how far below zero that bucket may fall, in units
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
     * The limits of the site.
     *
     * @param maxAttempts the highest number of attempts of one request
     * @param maxOpen the highest number of requests that an instance may hold
     * @param probes whether servers may be probed
     * @param retryAfter whether clients respect the advice on when to retry
     * @param maxRetryAfter the longest such advice that clients respect, in nanoseconds
     * @param subscribeToList whether the gateway must subscribe to changes of the server list
     */
    public record Limits(
            int maxAttempts,
            int maxOpen,
            boolean probes,
            boolean retryAfter,
            long maxRetryAfter,
            boolean subscribeToList) {}

    /**
     * The quota counter that all gateways share.
     *
     * @param present whether there is a counter
     * @param timeout nanoseconds after which a call without an answer ends as {@link Outcome#TIMEOUT}
     * @param reportsTrueUnits whether answers of app servers report the true units
     * @param largest the size of the largest request, in units
     * @param first whether it is called before each first attempt, so that no use is lost in a hard kill
     */
    public record Counter(boolean present, long timeout, boolean reportsTrueUnits, double largest, boolean first) {
        /** A counter that is called as often as it has capacity, not before each first attempt. */
        public Counter(boolean present, long timeout, boolean reportsTrueUnits, double largest) {
            this(present, timeout, reportsTrueUnits, largest, false);
        }
    }

    /**
     * The parameters of the rules that gateways have to keep; durations in nanoseconds.
     *
     * @param answerSlack how long after the deadline a final answer still counts
     * @param coldFrom the part of its capacity that a server has at least when it starts
     * @param coldDuration how long after its start a server is cold
     * @param overloadFactor the multiple of its present capacity at which a server is overloaded
     * @param overloadDuration how long a server bears such an overload before it fails
     * @param drainGrace how long after the notice of its drain a server may still be sent requests
     */
    public record Rules(
            long answerSlack,
            double coldFrom,
            long coldDuration,
            double overloadFactor,
            long overloadDuration,
            long drainGrace) {
        /** The grace period for drains where none is configured, one second in nanoseconds. */
        public static final long DEFAULT_DRAIN_GRACE = 1_000_000_000L;

        /** Rules with the default grace period for drains. */
        public Rules(
                long answerSlack, double coldFrom, long coldDuration, double overloadFactor, long overloadDuration) {
            this(answerSlack, coldFrom, coldDuration, overloadFactor, overloadDuration, DEFAULT_DRAIN_GRACE);
        }
    }

    /**
     * The settings of an instance.
     *
     * @param me the instance's number, from 0
     * @param siblings the number of gateways, this one included
     * @param zone the instance's zone
     * @param tick the shortest interval between events, in nanoseconds
     * @param sizesAreWeights whether the sizes in the server list are meaningful
     * @param reports the names of the values in a load report
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
     * A request from a client.
     *
     * @param deadline when the client stops waiting for this try
     * @param units what it takes from the quota, perhaps an estimate
     * @param setSize how many gateways this customer's requests come through
     * @param setFirst the number of the first of them
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
     * @param took the time since it was sent, in nanoseconds
     * @param complete whether the request has its final answer
     * @param trueUnits the units that replace the estimate; 0 if not reported
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

    /** The events that the host reports, in the order in which they happen. */
    public interface Events {
        /** The server list came, or changes to it. */
        void list(long now, ListKind kind, List<Server> entries);

        /** A request came in; it must get exactly one final answer. */
        void request(long now, Request request);

        /** An attempt ended; each attempt ends exactly once. */
        void attemptEnded(long now, Result result);

        /** The answer to a request has begun to stream; its deadline no longer applies. */
        void streamStarted(long now, String id);

        /** The part of the body that was sent is no longer kept, so the request gets no further attempt. */
        void bodyGone(long now, String id);

        /** The client left; the request needs no answer any more. */
        void clientGone(long now, String id);

        /** A call to the counter ended; calls of the same name end in the order in which they were made. */
        void counted(long now, long name, Outcome outcome, double total);

        /** A probe ended. */
        void probed(long now, String server, Outcome outcome, long took, List<Double> report);

        /** A timer expired. */
        void timer(long now, long token);

        /** Restores units that this gateway took before it was killed and that were not reported to the counter. */
        void restore(long now, long customer, int plan, int setSize, double units);

        /**
         * Hands a part of the units that customers' ceilings hold here to another process of this gateway, by
         * {@link Actions#ceilingReleased}; they are no longer held here.
         *
         * @param part the part handed over, from 0 to 1
         */
        void releaseCeiling(long now, double part);

        /** Takes over units of a customer's ceiling that another process of this gateway handed over. */
        void acquireCeiling(long now, long customer, int plan, int setSize, double units);

        /**
         * Sets how many processes act as this gateway, this one included; there are several while one replaces another.
         * They divide this gateway's part of each customer's ceiling.
         */
        void processes(long now, int count);

        /**
         * Sets the classes and limits for requests from now on; open requests keep those that they came with. The other
         * settings must be unchanged.
         *
         * @param was for each class of {@code next} its number until now; -1 for a new class
         */
        void settings(long now, Settings next, int[] was);

        /**
         * Sets the zones that requests go to from now on. For each request a zone is drawn by these parts, and a server
         * is chosen within it; if none there may be used, another zone of the plan is drawn. A zone without a part gets
         * only the requests that their group binds to it.
         *
         * @param parts for each class and zone, thousandths, with at least one above 0 in each class; null for a class
         *     that goes to the fastest server of any zone, or null for all classes. The caller must not change it
         *     afterwards
         */
        void zones(long now, int[][] parts);

        /**
         * The same with overflow: while all servers of the own zone are held out, first attempts may go to other zones.
         *
         * @param spare for each class and zone, the thousandths that may overflow there; null for none
         */
        default void zones(long now, int[][] parts, int[][] spare) {
            zones(now, parts);
        }

        /** Sets how far the machines' clock is ahead of this node's, in nanoseconds; negative if it is behind. */
        void clock(long now, long ahead);
    }

    /** The actions that the module asks of its host; each takes effect immediately. */
    public interface Actions {
        /** Starts an attempt that the host ends after {@code patience} nanoseconds without an answer. */
        void send(String id, String server, long patience);

        /**
         * As {@link #send(String, String, long)}, for a request that may have run: nothing of it may be written, and
         * its last byte may not arrive, later than {@code startWithin} nanoseconds from now, since servers then forget
         * its key. A host whose requests arrive immediately may ignore the limit.
         */
        default void send(String id, String server, long patience, long startWithin) {
            send(id, server, patience);
        }

        /** Final answer: refused, and safe to retry after {@code retryAfter} nanoseconds; 0 for no advice on when. */
        void refuse(String id, long retryAfter);

        /** Final answer: failed; the request may have had its effect. */
        void fail(String id);

        /** Probes a server; called only if the settings allow it. */
        void probe(String server);

        /**
         * Adds to a named count of the counter.
         *
         * @param customer whose use it is
         * @param lifetime how long the counter keeps the name after the first call, in nanoseconds
         */
        void count(long customer, long name, double amount, long lifetime);

        /**
         * Notifies the host that a customer's use has changed by {@code units} that are not reported to the counter
         * yet; negative if units were given back. A host that stores this passes it to {@link Events#restore} after a
         * hard kill.
         */
        default void useChanged(long customer, int plan, int setSize, double units) {}

        /**
         * Hands units of a customer's ceiling to another process; called only from within
         * {@link Events#releaseCeiling}.
         */
        default void ceilingReleased(long customer, int plan, int setSize, double units) {}

        /** Asks for {@link Events#timer} after a delay in nanoseconds. */
        void timer(long token, long delay);

        /** Subscribes to changes of the server list; called only if the settings ask for it. */
        void watchList();

        /** Writes a line to the log. */
        void log(String text);
    }
}
