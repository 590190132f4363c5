package rushpin.lifecycle;

/**
 * Whether the process was stopped for a while, by SIGSTOP, a suspended machine or a host that gave it no core. No I/O; one
 * thread.
 */
public final class Stalls {
    private final long least;
    private long last;

    /** Beats from now on; a span of {@code least} nanoseconds without one is a stall. */
    public Stalls(long least, long now) {
        this.least = least;
        last = now;
    }

    /** The process runs at this moment. Returns for how long it did not, nanoseconds; 0 if that was no stall. */
    public long beat(long now) {
        long span = now - last;
        last = Math.max(last, now);
        return span >= least ? span : 0;
    }
}
