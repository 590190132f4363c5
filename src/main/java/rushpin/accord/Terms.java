package rushpin.accord;

/**
 * What all processes of a fleet go by; decided once with its founding, so that all count alike.
 *
 * @param lease how long a session is alive for its holder from the moment it <em>asked</em>, nanoseconds of its own clock
 * @param drift the most by which a clock runs fast or slow, in millionths
 * @param effect the longest that an effect can last that was begun by a look at the lease: the longest attempt and the
 *     longest pause that is waited for between look and effect, nanoseconds
 * @param mostSessions how many sessions there may be at once, those that end included
 * @param mostHeld how many resources may be held at once, over the fleet
 */
public record Terms(long lease, int drift, long effect, int mostSessions, int mostHeld) {
    private static final long MILLION = 1_000_000;
    /** The longest lease, and the longest effect: an hour, so that no sum of them overflows. */
    public static final long LONGEST = 3_600_000_000_000L;

    /** Checks the bounds. */
    public Terms {
        if (lease <= 0
                || lease > LONGEST
                || effect < 0
                || effect > LONGEST
                || drift < 0
                || drift >= MILLION / 2
                || mostSessions < 1
                || mostHeld < 1) {
            throw new IllegalArgumentException("terms out of bounds: lease " + lease + ", effect " + effect + ", drift "
                    + drift + ", sessions " + mostSessions + ", held " + mostHeld);
        }
    }

    /**
     * How long after a renewal's <em>commit</em> the fleet waits, in log time, before it acts as if the holder were gone.
     * The holder's clock may run slow and the log's fast, by {@code drift} each: lease (1 + d) / (1 - d) of log time pass
     * while the holder counts one lease. Then come effects that it began at the last moment, stretched alike.
     */
    public long waiting(long span) {
        return span - Math.floorDiv(-span * 2 * drift, MILLION - drift);
    }

    /** Log time from a renewal's commit to the moment from which others may hold what the session held. */
    public long expiry() {
        return waiting(lease + effect);
    }
}
