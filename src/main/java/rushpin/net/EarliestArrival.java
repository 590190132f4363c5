package rushpin.net;

/**
 * Lower bound on the time at which the bytes read now from one socket arrived. While the loop polls the socket, the
 * loop's {@link LoopWatch} gives the bound; what arrived while the socket was not polled may be as old as the beginning
 * of that time.
 */
final class EarliestArrival {
    /** The bound is not known: earlier than any time. */
    static final long UNKNOWN = Long.MIN_VALUE;

    private final LoopWatch watch;
    private long unpolledSince;
    /** The first pass of the loop that polls this socket; {@link Long#MAX_VALUE} while it is paused. */
    private long firstPolledPass;

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
        }
    }

    /** Reading has been resumed: the next pass polls the socket again. */
    void resume() {
        if (firstPolledPass == Long.MAX_VALUE) {
            firstPolledPass = watch.passes() + 1;
        }
    }

    /** The bound for bytes that are read now, as {@link System#nanoTime}; {@link #UNKNOWN} if there is none. */
    long nanoTime() {
        return watch.passes() > firstPolledPass ? watch.readUntil() : unpolledSince;
    }

    /** The maximum age, in nanoseconds, of what arrived after the given time. */
    static long age(long arrivedAfter) {
        return arrivedAfter == UNKNOWN ? Long.MAX_VALUE : Math.max(0, System.nanoTime() - arrivedAfter);
    }
}
