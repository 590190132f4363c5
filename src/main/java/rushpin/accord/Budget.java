package rushpin.accord;

import java.util.List;

/**
 * The connections of one group of app servers, as a value: the division that is asked for, and what is granted of it. The
 * sum of what is granted grows only while it stays at most {@link Figures#most} less {@link Figures#reserve}.
 *
 * @param number of the division; grows by one with each; 0 for none yet
 * @param fence of the divider that made it
 * @param at log time of the division
 * @param first log time of the group's first division
 * @param changes the number of the last word given ({@link Allotment#number})
 * @param tenants names, in order, each once: which the parts of shares stand for
 * @param shares of sessions, in order, each once
 * @param grants in order of session, each once; those of sessions that are over too, until nothing of them can be open
 */
public record Budget(
        String group,
        Figures figures,
        long number,
        long fence,
        long at,
        long first,
        long changes,
        List<String> tenants,
        List<Share> shares,
        List<Grant> grants) {
    /** The most groups, and the most tenants of one. */
    public static final int MOST_GROUPS = 16, MOST_TENANTS = 64;
    /** The most connections of a group. */
    public static final int MOST_CONNECTIONS = 1 << 20;

    /**
     * The operator's figures of a group; they travel with each division, so that all go by the same ones.
     *
     * @param most the hard number of connections
     * @param reserve how many of these are nobody's, for operators
     * @param own how many each process keeps when it is cut off; part of what it is granted
     * @param halfOpen how long the group's side may keep a connection whose other end is gone, nanoseconds; never lowered
     * @param forget how long after its last renewal a process that is cut off keeps {@code own}, nanoseconds of its clock; no
     *     shorter than the lease; never lowered
     */
    public record Figures(int most, int reserve, int own, long halfOpen, long forget) {
        /** Whether these can be. */
        public boolean isSound() {
            return most >= 0
                    && most <= MOST_CONNECTIONS
                    && reserve >= 0
                    && reserve <= MOST_CONNECTIONS
                    && own >= 0
                    && own <= MOST_CONNECTIONS
                    && halfOpen >= 0
                    && halfOpen <= Terms.LONGEST
                    && forget >= 0
                    && forget <= Terms.LONGEST;
        }
    }

    /**
     * What one session is to have.
     *
     * @param tenants of each tenant of the division, in its order, how many connections may carry its requests at once; their
     *     sum may be above {@code connections}
     */
    public record Share(long session, int connections, List<Integer> tenants) {
        /** Copies. */
        public Share {
            tenants = List.copyOf(tenants);
        }
    }

    /**
     * What one session may have open, at its worst.
     *
     * @param name of the process, and the incarnation
     * @param number of the last word to it
     * @param most the last word's
     * @param own the last word's
     * @param granted what counts: the most of any word that it may still go by, or of what it has still to close
     * @param floor the same of {@code own}: what counts from the end of its lease on
     * @param renewed log time of the last renewal once the session is over; {@link #LIVE} before
     */
    public record Grant(
            long session,
            String name,
            long incarnation,
            long number,
            int most,
            int own,
            int granted,
            int floor,
            long renewed) {
        /** The session is not over. */
        public static final long LIVE = -1;

        boolean isLive() {
            return renewed == LIVE;
        }
    }

    /** Copies. */
    public Budget {
        tenants = List.copyOf(tenants);
        shares = List.copyOf(shares);
        grants = List.copyOf(grants);
    }

    /** How many connections may be open at this moment, from all processes, at the worst. */
    public long granted() {
        return grants.stream().mapToLong(Grant::granted).sum();
    }

    /** How many may still be granted; below 0 while the operator's number was lowered and not all is closed yet. */
    public long free() {
        return (long) figures.most - figures.reserve - granted();
    }
}
