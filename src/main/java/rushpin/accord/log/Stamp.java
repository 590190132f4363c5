package rushpin.accord.log;

/**
 * Log time as one voter counts it: from the greatest stamp that it knows of its log, on by its own clock since it learned it.
 * A stamp stands for a moment at or before the one at which it is learned, so the count is never ahead of the log's time by
 * more than the clocks' drift. Before the first entry of its log there is nothing to count from: a voter that waited alone for an
 * hour must not carry this hour into a log that others have begun.
 *
 * <p>Decides alone: own time, monotonic nanoseconds, comes as an argument. Not for several threads at once.
 */
final class Stamp {
    private boolean known;
    /** The count at {@code at}. */
    private long count;

    private long at;

    /** An entry of the log was learned, or a snapshot whose last entry it is. */
    void learned(long stamp, long own) {
        if (!known || stamp > counted(own)) {
            known = true;
            count = stamp;
            at = own;
        }
    }

    /** The stamp of the entry that this voter, which leads, appends now; not before any in its log. */
    long next(long own) {
        learned(known ? counted(own) : 0, own);
        return counted(own);
    }

    private long counted(long own) {
        return count + Math.max(0, own - at);
    }
}
