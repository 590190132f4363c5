package rushpin.net;

/**
 * Limits the bytes that requests of all client connections hold together: a limit for each connection would not keep a
 * thousand of them from exhausting the memory.
 */
public final class ByteBudget {
    /** Requests up to this size are usual; the last quarter of the budget is kept for them. */
    private static final int SMALL_REQUEST = 4 * 1024;

    private static final long MIN_CAPACITY = 1L << 20;
    private static final long MAX_CAPACITY = 8L << 20;

    private final long capacity;
    private long used;

    /** Creates the budget of a process with the given memory, in bytes. */
    public ByteBudget(long memory) {
        capacity = capacity(memory);
    }

    /** The bytes that requests may hold in a process with the given memory: a sixteenth, from 1 to 8 MiB. */
    public static long capacity(long memory) {
        return Math.max(MIN_CAPACITY, Math.min(MAX_CAPACITY, memory / 16));
    }

    /** Whether a request that holds, or will hold, this many bytes may grow further. */
    public boolean allows(long size) {
        return used < (size > SMALL_REQUEST ? capacity / 4 * 3 : capacity);
    }

    /** Adds bytes that a request holds, or subtracts released ones if negative. */
    public void change(long delta) {
        used += delta;
    }

    long capacity() {
        return capacity;
    }

    /** The bytes held now. */
    public long used() {
        return used;
    }
}
