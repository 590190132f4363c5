package rushpin.net;

/**
 * Decides whether a streamed response of unknown length is to be broken off because it has stalled. A client waits for
 * the last byte of a short response: once its deadline is over and no more comes, a cut connection tells it in time
 * that the response failed, where an open one would lose the request. A longer response has met the deadline with its
 * first bytes and may go on for as long as its app server sends. The time comes as an argument; no I/O.
 */
final class ResponseStallDetector {
    /** Size in bytes up to which a response's last byte has to meet the deadline (the operators' page on size). */
    static final int MAX_SHORT_BYTES = 64 * 1024;
    /**
     * Nanoseconds without a byte after which no more is expected once the deadline is over. A request counts as lost if
     * its client is notified later than half a second after the deadline; this bound holds if the last byte came in its
     * first half.
     */
    static final long SILENCE_NANOS = 250_000_000L;

    private final long deadline;
    private long sentBytes;
    private long lastSentAt;

    /** Starts with the beginning of a response whose client waits until {@code deadline}. */
    ResponseStallDetector(long deadline, long now) {
        this.deadline = deadline;
        lastSentAt = now;
    }

    /** Called when bytes have been written to the client. */
    void onSent(int bytes, long now) {
        sentBytes += bytes;
        lastSentAt = now;
    }

    /** Nanoseconds until the next check; 0 if the response is to be broken off now, -1 if it never will be. */
    long nanosUntilCheck(long now) {
        if (sentBytes > MAX_SHORT_BYTES) {
            return -1;
        }
        return Math.max(0, Math.max(deadline, lastSentAt + SILENCE_NANOS) - now);
    }
}
