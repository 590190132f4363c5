package rushpin.net;

/**
 * Decides whether a client sends its request too slowly: a timeout for the head, then a minimum rate for the body and
 * no silence longer than the timeout. Time in which its connection is not read from does not count. The time comes as
 * an argument; no I/O.
 */
final class RequestReadTimeout {
    /** Maximum time for a head, and maximum silence. */
    static final long TIMEOUT_NANOS = 2_500_000_000L;

    /** Minimum rate of a body, in bytes per millisecond. */
    static final long MIN_BYTES_PER_MS = 40;

    private static final long MS = 1_000_000L;

    private long startedAt;
    private long lastReadAt;
    private long bytes;
    private long pausedAt;
    private long pausedNanos;
    private boolean isPaused;

    /** Starts with a request whose first bytes came at the given time. */
    void begin(long now) {
        startedAt = now;
        lastReadAt = now;
        bytes = 0;
        pausedNanos = 0;
        isPaused = false;
    }

    /** Called when bytes of the body have been read. */
    void bodyReceived(int size, long now) {
        bytes += size;
        lastReadAt = now;
    }

    /** The number of body bytes read so far. */
    long bytes() {
        return bytes;
    }

    /** Called when reading from the client is paused or resumed. */
    void setPaused(boolean paused, long now) {
        if (paused && !isPaused) {
            pausedAt = now;
        } else if (!paused && isPaused) {
            pausedNanos += now - pausedAt;
            // The silence counts from here.
            lastReadAt = now;
        }
        isPaused = paused;
    }

    /** Whether the request is to be rejected. */
    boolean isExceeded(long now) {
        return !isPaused
                && (now - lastReadAt > TIMEOUT_NANOS
                        || now - startedAt - pausedNanos > TIMEOUT_NANOS + bytes * MS / MIN_BYTES_PER_MS);
    }
}
