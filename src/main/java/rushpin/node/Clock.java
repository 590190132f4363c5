package rushpin.node;

import java.util.function.LongSupplier;

/**
 * The pools' clock: wall time at the start, in Unix nanoseconds, advanced by the monotonic clock.
 *
 * <p>Deadlines and durations use it; timestamps of other machines are converted by {@link #ahead}. This is the only
 * class of a node that reads the wall clock. docs/design/clocks.md lists which clock each use of time goes by.
 */
final class Clock {
    private static final long NANOS_PER_MS = 1_000_000L;
    /** Smaller differences are the wall clock's granularity, or a gradual correction that both clocks share. */
    private static final long MIN_JUMP_NANOS = 100 * NANOS_PER_MS;
    /** The clocks are read one after the other; if the process pauses for longer between them, they are read again. */
    private static final long MAX_READ_PAUSE_NANOS = 10 * NANOS_PER_MS;

    private static final int MAX_READINGS = 5;

    private final LongSupplier wallMs;
    private final LongSupplier monotonic;
    private final long offset;

    Clock() {
        this(System::currentTimeMillis);
    }

    /** Uses the given wall clock, in Unix milliseconds. */
    Clock(LongSupplier wallMs) {
        this(wallMs, System::nanoTime);
    }

    /** Uses the given wall clock, in Unix milliseconds, and monotonic clock, in nanoseconds. */
    Clock(LongSupplier wallMs, LongSupplier monotonic) {
        this.wallMs = wallMs;
        this.monotonic = monotonic;
        offset = wallMinusMonotonic();
    }

    /** Returns the time in nanoseconds; it never jumps. */
    long now() {
        return monotonic.getAsLong() + offset;
    }

    /**
     * Returns wall time in Unix milliseconds; only to compare with timestamps of other processes or the file system.
     */
    long wallMs() {
        return wallMs.getAsLong();
    }

    /**
     * Returns how far the wall clock was set ahead of this one since the start, in nanoseconds; 0 for small
     * differences.
     */
    long ahead() {
        long jump = wallMinusMonotonic() - offset;
        return Math.abs(jump) < MIN_JUMP_NANOS ? 0 : jump;
    }

    /** Returns wall time minus monotonic time, from the reading with the shortest pause between the two. */
    private long wallMinusMonotonic() {
        long shortest = Long.MAX_VALUE;
        long difference = 0;
        for (int i = 0; i < MAX_READINGS && shortest > MAX_READ_PAUSE_NANOS; i++) {
            long before = monotonic.getAsLong();
            long wall = wallMs.getAsLong() * NANOS_PER_MS;
            long after = monotonic.getAsLong();
            if (after - before < shortest) {
                shortest = after - before;
                difference = wall - after;
            }
        }
        return difference;
    }
}
