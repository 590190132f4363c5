package rushpin.node;

import java.util.function.LongSupplier;

/**
 * The pools' clock: the wall's time at the start, in nanoseconds, going on by the clock that never jumps. Deadlines and
 * spans go by it; what other machines have dated is carried over by {@link #ahead}.
 */
final class Clock {
    /** Less than this is the granularity of the wall's clock, or a slow correction that both clocks share. */
    private static final long LEAST_JUMP = 100_000_000L;

    private final LongSupplier wallMs;
    private final long offset;

    Clock() {
        this(System::currentTimeMillis);
    }

    /** With a wall's clock of one's own, in Unix milliseconds. */
    Clock(LongSupplier wallMs) {
        this.wallMs = wallMs;
        offset = wallMs.getAsLong() * 1_000_000L - System.nanoTime();
    }

    long now() {
        return System.nanoTime() + offset;
    }

    /** How far the wall's clock has been set ahead of this one since the start, in nanoseconds; 0 for hardly. */
    long ahead() {
        long by = wallMs.getAsLong() * 1_000_000L - now();
        return Math.abs(by) < LEAST_JUMP ? 0 : by;
    }
}
