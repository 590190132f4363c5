package rushpin.net;

/**
 * Decides whether a streamed response of unknown length is to be broken off because it has stalled. A client waits for
 * the last byte of a short response: if no more comes, a cut connection tells it that the response failed before it
 * counts as lost, which an open one would not. A longer response has met the deadline with its first bytes and may go
 * on for as long as its app server sends. The time comes as an argument; no I/O.
 */
final class ResponseStallDetector {
    /** Size in bytes up to which a response's last byte has to meet the deadline (the operators' page on size). */
    static final int MAX_SHORT_BYTES = 64 * 1024;
    /**
     * Nanoseconds without a byte after which no more is expected once the time for a late response is over.
     */
    static final long SILENCE_NANOS = 250_000_000L;

    /**
     * Nanoseconds after the deadline for which a silent response is kept: its server may only pause. Up to half a
     * second late a response earns nothing and is not lost; the request may be 50 ms older than it is taken to be.
     */
    static final long LATENESS_NANOS = 450_000_000L;

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
        return Math.max(0, Math.max(deadline + LATENESS_NANOS, lastSentAt + SILENCE_NANOS) - now);
    }
}
