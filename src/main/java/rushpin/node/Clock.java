package rushpin.node;

/** The pools' clock: the wall's time at the start, in nanoseconds, going on by the clock that never jumps. */
final class Clock {
    private final long offset = System.currentTimeMillis() * 1_000_000L - System.nanoTime();

    long now() {
        return System.nanoTime() + offset;
    }
}
