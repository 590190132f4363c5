package rushpin.net;

/**
 * Lower bound on the time at which the bytes read now from one socket arrived. While the loop polls the socket, the
 * loop's {@link LoopWatch} gives the bound; what arrived while the socket was not polled may be as old as the beginning
 * of that time. A read takes a limited number of bytes: what it leaves is as old as what it took.
 */
final class EarliestArrival {
    /** The bound is not known: earlier than any time. */
    static final long UNKNOWN = Long.MIN_VALUE;

    private static final long NO_PASS = Long.MIN_VALUE;

    private final LoopWatch watch;
    private long unpolledSince;
    /** The first pass of the loop that polls this socket; {@link Long#MAX_VALUE} while it is paused. */
    private long firstPolledPass;
    /** The pass of the last read if that may have left bytes unread, otherwise {@link #NO_PASS}. */
    private long partialReadPass = NO_PASS;
    /** The bound for the bytes that the last read may have left. */
    private long backlogSince;

    /** For a connection that has waited to be accepted since the given time; the next pass polls it. */
    EarliestArrival(LoopWatch watch, long waitingSince) {
        this.watch = watch;
        unpolledSince = waitingSince;
        firstPolledPass = watch.passes() + 1;
    }

    /** Reading has been paused; does nothing if it already was. */
    void pause() {
        if (firstPolledPass != Long.MAX_VALUE) {
            unpolledSince = nanoTime();
            firstPolledPass = Long.MAX_VALUE;
            partialReadPass = NO_PASS;
        }
    }

    /** Reading has been resumed: the next pass polls the socket again. */
    void resume() {
        if (firstPolledPass == Long.MAX_VALUE) {
            firstPolledPass = watch.passes() + 1;
        }
    }

    /**
     * The socket has been read.
     *
     * @param emptied whether the read took all that was there
     */
    void read(boolean emptied) {
        if (emptied) {
            partialReadPass = NO_PASS;
        } else {
            backlogSince = nanoTime();
            partialReadPass = watch.passes();
        }
    }

    /** Whether bytes may have been left by the last read: the next pass would read them. */
    boolean mayHaveBacklog() {
        return partialReadPass != NO_PASS && watch.passes() <= partialReadPass + 1;
    }

    /** The bound for bytes that are read now, as {@link System#nanoTime}; {@link #UNKNOWN} if there is none. */
    long nanoTime() {
        if (mayHaveBacklog()) {
            return backlogSince;
        }
        return watch.passes() > firstPolledPass ? watch.readUntil() : unpolledSince;
    }

    /** The maximum age, in nanoseconds, of what arrived after the given time. */
    static long age(long arrivedAfter) {
        return arrivedAfter == UNKNOWN ? Long.MAX_VALUE : Math.max(0, System.nanoTime() - arrivedAfter);
    }
}
