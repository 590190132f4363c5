package rushpin.net;

/**
 * Whether an answer of unknown length, on its way to its client, is to be broken off. As long as it is short, its last byte
 * is what its client waits for: once that time is up and nothing more comes, a connection that is cut tells the client, in
 * time, that the answer failed; one that stays open loses the request. What is longer has met its time with its first bytes,
 * and goes on for as long as its app server gives. Time comes as an argument; no I/O.
 */
final class ResponseStallDetector {
    /** Bytes up to which an answer's last byte is timed (the operators' page on size). */
    static final int SHORT = 64 * 1024;
    /**
     * Nanoseconds without a byte, its client's time being up, after which no more is expected. A client hears of it within
     * half a second after its time, beyond which a request counts as lost, if the last byte came no later than half way.
     */
    static final long SILENCE = 250_000_000L;

    private final long due;
    private long given, last;

    /** An answer whose client waits until {@code due} begins to go through. */
    ResponseStallDetector(long due, long now) {
        this.due = due;
        last = now;
    }

    /** So many bytes went on to its client. */
    void gave(int bytes, long now) {
        given += bytes;
        last = now;
    }

    /** Nanoseconds until it is to be looked at again, 0 if it is to be broken off now, -1 if it never is. */
    long left(long now) {
        if (given > SHORT) {
            return -1;
        }
        return Math.max(0, Math.max(due, last + SILENCE) - now);
    }
}
