package rushpin.peer;

/**
 * Spans of streams and requests, in nanoseconds. All must be above 0, and {@code silent} above {@code beat}.
 *
 * @param beat between two beats of a process on its stream; the voter answers each
 * @param silent nothing heard for so long: the stream is given up, by either side
 * @param patience a request that has no answer for so long is uncertain
 * @param firstWait between two streams that came to nothing, at first; it doubles
 * @param mostWait the most of it
 */
public record Pace(long beat, long silent, long patience, long firstWait, long mostWait) {
    private static final long MS = 1_000_000;

    /** Checks the bounds. */
    public Pace {
        if (beat <= 0 || silent <= beat || patience <= 0 || firstWait <= 0 || mostWait < firstWait) {
            throw new IllegalArgumentException("pace out of bounds: beat " + beat + ", silent " + silent + ", patience "
                    + patience + ", first wait " + firstWait + ", most wait " + mostWait);
        }
    }

    /**
     * For a lease of so many nanoseconds: three streams can be tried within one lease, and a renewal that is lost once still
     * has time for another.
     */
    public static Pace of(long lease) {
        return new Pace(
                Math.max(1, lease / 20),
                Math.max(2, lease / 5),
                Math.max(1, lease / 4),
                Math.max(1, lease / 200),
                Math.max(1, Math.min(lease / 10, 1_000 * MS)));
    }
}
