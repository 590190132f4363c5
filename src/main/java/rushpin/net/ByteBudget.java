package rushpin.net;

/**
 * The bytes that clients' requests may hold over all connections together: each connection's own bound does not
 * keep a thousand of them from outgrowing the memory.
 */
public final class ByteBudget {
    /** Usual requests are small. They have the last quarter to themselves. */
    private static final int SMALL = 4 * 1024;

    private static final long LEAST = 1L << 20, MOST = 8L << 20;

    private final long capacity;
    private long used;

    /** A sixteenth of the memory, within bounds. */
    public ByteBudget(long memory) {
        capacity = capacity(memory);
    }

    /** How many bytes a process of so much memory may hold. */
    public static long capacity(long memory) {
        return Math.max(LEAST, Math.min(MOST, memory / 16));
    }

    /** Whether a request that holds, or will hold, so much may go on growing. */
    public boolean allows(long size) {
        return used < (size > SMALL ? capacity / 4 * 3 : capacity);
    }

    /** Counts bytes taken, or given back if below 0. */
    public void change(long by) {
        used += by;
    }

    long capacity() {
        return capacity;
    }

    public long used() {
        return used;
    }
}
