package rushpin.traffic;

/** So many in a second and no more, whatever comes: the bound on the CPU that records take. One thread's. */
public final class PerSecondLimit {
    private static final long SECOND = 1_000_000_000L;
    private final int most;
    private long second = Long.MIN_VALUE;
    private int used;

    /** {@code most} in each second. */
    public PerSecondLimit(int most) {
        this.most = most;
    }

    /** Whether one more is allowed now; {@code now} is nanoseconds of a clock that never runs backwards. */
    public boolean take(long now) {
        long index = Math.floorDiv(now, SECOND);
        if (index != second) {
            second = index;
            used = 0;
        }
        return used++ < most;
    }
}
