package rushpin.net;

import java.util.ArrayDeque;

/**
 * Keeps, for the bytes of a connection that were read and are not decoded yet, the earliest time at which each read's
 * bytes can have arrived. Not even the first byte of a read arrived before that time, so an age counted from it is
 * never too low.
 *
 * <p>Bounds: {@value #MAX_READS} reads are kept apart; further ones count as old as the one before them.
 */
final class ArrivalTimes {
    private static final int MAX_READS = 64;
    /** Reads within this many nanoseconds are kept as one, as old as the older of them. */
    private static final long MERGE_NANOS = 10_000_000L;

    /** The bytes up to the stream position {@code end} arrived after {@code earliest}. */
    private record Read(long end, long earliest) {}

    private final ArrayDeque<Read> reads = new ArrayDeque<>();
    private long end;

    /** Adds a read whose bytes arrived after {@code earliest}. */
    void add(int bytes, long earliest) {
        end += bytes;
        Read last = reads.peekLast();
        if (last != null && (earliest < last.earliest + MERGE_NANOS || reads.size() == MAX_READS)) {
            reads.pollLast();
            reads.add(new Read(end, Math.min(earliest, last.earliest)));
        } else {
            reads.add(new Read(end, earliest));
        }
    }

    /** The earliest time at which the last decoded byte can have arrived; {@code undecoded} bytes follow it. */
    long lastDecoded(int undecoded) {
        long position = end - undecoded;
        while (reads.size() > 1 && reads.peekFirst().end < position) {
            reads.pollFirst();
        }
        return reads.peekFirst().earliest;
    }
}
