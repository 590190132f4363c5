package rushpin.lifecycle;

/**
 * Whether the process was stopped for a while, by SIGSTOP, a suspended machine or a host that gave it no core. What it
 * believes of servers, and of when a request came, is then as old as the stall; what has happened meanwhile waits to be
 * read. For a short settling span after it nothing is to be sent by what was known before. No I/O; one thread.
 *
 * <p>Bounds: a stall is a span of {@code least} without a beat; the settling span is a fixed one.
 */
public final class Stalls {
    private final long least, settling;
    private long last, began, until;

    /** Beats from now on; a span of {@code least} nanoseconds without one is a stall. */
    public Stalls(long least, long settling, long now) {
        this.least = least;
        this.settling = settling;
        last = now;
        until = now;
        began = now;
    }

    /** The process runs at this moment. Returns whether a stall has just come to its end. */
    public boolean beat(long now) {
        boolean stalled = now - last >= least;
        if (stalled) {
            // A second stall in the settling span of the first: what waits to be read may be as old as that one.
            began = isSettling(last) ? began : last;
            until = now + settling;
        }
        last = Math.max(last, now);
        return stalled;
    }

    /** Whether what was known before a stall is not to be trusted yet. */
    public boolean isSettling(long now) {
        return now < until;
    }

    /** How long it is, at most, since something came that is read now: nothing but in the settling span of a stall. */
    public long age(long now) {
        return isSettling(now) ? Math.max(0, Math.min(now, until - settling) - began) : 0;
    }

    /** For how much longer the settling span lasts. */
    public long left(long now) {
        return Math.max(0, until - now);
    }
}
