package rushpin.accord.log;

/**
 * Whether this voter's disk hangs: entries wait for it too long, or the library does not even answer. Counts looks at it, not
 * time: a process that was stopped for a minute has not looked meanwhile, and finds nothing to have hung.
 *
 * <p>Decides alone. Not for several threads at once.
 */
final class Hang {
    private final int most;
    /** Looks in a row that brought no answer. */
    private int silent;
    /** The index that is waited for, and looks since it was seen first. */
    private long awaited = -1;

    private int waited;

    /** Hangs after {@code most} looks in a row without a sign of life. */
    Hang(int most) {
        this.most = most;
    }

    /** The last look has not come back yet. */
    void silent() {
        silent++;
    }

    /** A look came back: the index of the last entry, and that up to which entries are on the disk. */
    void seen(long last, long stored) {
        silent = 0;
        // a log that was cut to a new leader's has nothing to store any more of what went
        if (stored >= awaited || last < awaited) {
            awaited = last;
            waited = 0;
        }
        if (stored < awaited) {
            waited++;
        }
    }

    boolean hangs() {
        return silent >= most || waited >= most;
    }
}
