package rushpin.node;

import java.util.function.LongSupplier;

/**
 * The pools' clock: the wall's time at the start, in nanoseconds, going on by the clock that never jumps. Deadlines and
 * spans go by it; what other machines have dated is carried over by {@link #ahead}. The only class of a node that reads
 * the wall's clock; what each use of time goes by stands in docs/design/clocks.md.
 */
final class Clock {
    private static final long MS = 1_000_000L;
    /** Less than this is the granularity of the wall's clock, or a slow correction that both clocks share. */
    private static final long LEAST_JUMP = 100 * MS;
    /** The two clocks are read one after the other: a process that stood still for longer between them reads again. */
    private static final long MOST_PAUSE = 10 * MS;

    private static final int MOST_READINGS = 5;

    private final LongSupplier wallMs;
    private final LongSupplier monotonic;
    private final long offset;

    Clock() {
        this(System::currentTimeMillis);
    }

    /** With a wall's clock of one's own, in Unix milliseconds. */
    Clock(LongSupplier wallMs) {
        this(wallMs, System::nanoTime);
    }

    /** As above, and with a clock of one's own that never jumps, in nanoseconds. */
    Clock(LongSupplier wallMs, LongSupplier monotonic) {
        this.wallMs = wallMs;
        this.monotonic = monotonic;
        offset = wallBeforeMonotonic();
    }

    long now() {
        return monotonic.getAsLong() + offset;
    }

    /** The wall's clock, in Unix milliseconds: only for what other processes or the file system date. */
    long wallMs() {
        return wallMs.getAsLong();
    }

    /** How far the wall's clock has been set ahead of this one since the start, in nanoseconds; 0 for hardly. */
    long ahead() {
        long by = wallBeforeMonotonic() - offset;
        return Math.abs(by) < LEAST_JUMP ? 0 : by;
    }

    /** How far the wall's clock is before the other, by the reading with the shortest pause between the two. */
    private long wallBeforeMonotonic() {
        long shortest = Long.MAX_VALUE, difference = 0;
        for (int i = 0; i < MOST_READINGS && shortest > MOST_PAUSE; i++) {
            long before = monotonic.getAsLong();
            long wall = wallMs.getAsLong() * MS;
            long after = monotonic.getAsLong();
            if (after - before < shortest) {
                shortest = after - before;
                difference = wall - after;
            }
        }
        return difference;
    }
}
