package rushpin.net;

/**
 * Decides what to do with an answer of which a part has arrived while its client waits. App servers may pause within an
 * answer for longer than any fixed silence, so a pause alone is no reason to end a sound answer: only an answer that is
 * known to be short, or whose status is no success, is given up early, and only where another attempt follows: another
 * server may answer sooner. The time comes as an argument; no I/O.
 */
final class PartialAnswerPolicy {
    private static final long MS = 1_000_000L;

    /** Interval between two checks, in nanoseconds. */
    static final long CHECK_INTERVAL = 200 * MS;
    /** Silence, in nanoseconds, after which an answer known to be short is given up for another attempt. */
    static final long SHORT_SILENCE_NANOS = 400 * MS;
    /** Silence, in nanoseconds, after which any answer that is not passed on yet is given up. */
    static final long MAX_SILENCE_NANOS = 5_000 * MS;
    /**
     * Time before the client's deadline, in nanoseconds, at which an answer that may be long is begun: above 64 KiB the
     * first bytes have to meet the deadline.
     */
    static final long STREAM_RESERVE_NANOS = 60 * MS;

    /** What is known of the answer's size. */
    enum Size {
        /** It is to be buffered, or it is no success. */
        SHORT,
        /** Its length is not told, or its head has not come whole. */
        UNKNOWN,
        /** It is too long to be buffered. */
        LONG
    }

    /** What to do with it now. */
    enum Action {
        WAIT,
        STREAM,
        GIVE_UP
    }

    private PartialAnswerPolicy() {}

    /**
     * Decides for one answer.
     *
     * @param silence nanoseconds since the last bytes came
     * @param receivedMore whether more has come since the last check
     * @param remaining nanoseconds until the client's deadline
     * @param wouldRetry whether another attempt would be made if this one failed now
     */
    static Action next(Size size, long silence, boolean receivedMore, long remaining, boolean wouldRetry) {
        if (size == Size.LONG) {
            return Action.STREAM;
        }
        if (silence > (size == Size.SHORT && wouldRetry ? SHORT_SILENCE_NANOS : MAX_SILENCE_NANOS)) {
            return Action.GIVE_UP;
        }
        boolean due = receivedMore || remaining <= STREAM_RESERVE_NANOS;
        return size == Size.UNKNOWN && due ? Action.STREAM : Action.WAIT;
    }

    /** Nanoseconds until the next check. */
    static long untilNextCheck(long remaining) {
        return Math.max(MS, Math.min(CHECK_INTERVAL, remaining - STREAM_RESERVE_NANOS));
    }
}
