package rushpin.traffic;

/** Limits events to a number per second, which bounds the CPU spent on records. Not thread-safe. */
public final class PerSecondLimit {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private final int max;
    private long second = Long.MIN_VALUE;
    private int used;

    /** Creates a limit of {@code max} events in each second. */
    public PerSecondLimit(int max) {
        this.max = max;
    }

    /** Whether one more event is allowed at {@code nowNanos}, the nanoseconds of a monotonic clock. */
    public boolean take(long nowNanos) {
        long index = Math.floorDiv(nowNanos, SECOND_NANOS);
        if (index != second) {
            second = index;
            used = 0;
        }
        return used++ < max;
    }
}
