package rushpin.net;

/**
 * After which moment what is read now from one socket can only have arrived. While the loop polls the socket that is what
 * the loop's watch says; what came while nobody did may be as old as the time at which that began.
 */
final class EarliestArrival {
    /** Before anything that this process knows of. */
    static final long UNKNOWN = Long.MIN_VALUE;

    private final LoopWatch watch;
    private long unpolledSince;
    /** The first pass whose poll has this socket in it. */
    private long polledFrom;

    /** A connection that waited to be accepted since a moment; the next pass polls it. */
    EarliestArrival(LoopWatch watch, long waitingSince) {
        this.watch = watch;
        unpolledSince = waitingSince;
        polledFrom = watch.passes() + 1;
    }

    /** From now on nothing is read; asked again while it is so it changes nothing. */
    void pause() {
        if (polledFrom != Long.MAX_VALUE) {
            unpolledSince = after();
            polledFrom = Long.MAX_VALUE;
        }
    }

    /** The next pass reads again. */
    void resume() {
        if (polledFrom == Long.MAX_VALUE) {
            polledFrom = watch.passes() + 1;
        }
    }

    /** Of what is read now, {@link System#nanoTime}; {@link #UNKNOWN} if nobody can tell. */
    long after() {
        return watch.passes() > polledFrom ? watch.readUntil() : unpolledSince;
    }

    /** How old something is at most that arrived after a moment, nanoseconds. */
    static long age(long after) {
        return after == UNKNOWN ? Long.MAX_VALUE : Math.max(0, System.nanoTime() - after);
    }
}
