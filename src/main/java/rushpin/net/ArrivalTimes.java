package rushpin.net;

import java.util.ArrayDeque;

/**
 * Since when, at most, the bytes of a connection may have been waiting: for what has been read and is not decoded yet, the
 * time after which each read's bytes arrived. Not even the first byte of a read can have arrived before that time, so an
 * age that is counted from it is never too low.
 *
 * <p>Bounds: {@value #MOST_READS} reads are told apart; those beyond count as old as the one before them.
 */
final class ArrivalTimes {
    private static final int MOST_READS = 64;
    /** Reads that are no further apart, nanoseconds, are kept as one, as old as the older of them. */
    private static final long TOGETHER = 10_000_000L;

    /** The bytes up to a place in the stream arrived after a moment. */
    private record Read(long end, long after) {}

    private final ArrayDeque<Read> reads = new ArrayDeque<>();
    private long end;

    /** So many bytes were read, which arrived after a moment. */
    void read(int bytes, long after) {
        end += bytes;
        Read last = reads.peekLast();
        if (last != null && (after < last.after + TOGETHER || reads.size() == MOST_READS)) {
            reads.pollLast();
            reads.add(new Read(end, Math.min(after, last.after)));
        } else {
            reads.add(new Read(end, after));
        }
    }

    /** After which moment the last byte arrived that stands before the {@code held} bytes which are not decoded yet. */
    long of(int held) {
        long place = end - held;
        while (reads.size() > 1 && reads.peekFirst().end < place) {
            reads.pollFirst();
        }
        return reads.peekFirst().after;
    }
}
