package rushpin.authority.finding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.datasketches.frequencies.ErrorType;
import org.apache.datasketches.frequencies.ItemsSketch;
import rushpin.accord.Who;

/**
 * Finds the objects that one process is asked for most: a sketch of frequent items, faded with each turn. One thread at a time.
 *
 * <p>Bounds: {@link #MOST_NAMES} names, whatever is asked for: 14 KiB, and 170 bytes a name of 100 letters at most; twice
 * that within {@link #turn}. What is told of an object is never more than it was asked for, and less by 3.5 / {@link #SIZE} of
 * all that was asked for at most, both as rates that are smoothed alike, and by what is rounded down.
 */
public final class Finder {
    /** A look-up's weight, and that of an order: orders go through a holder one by one, which look-ups don't. */
    public static final int LOOK = 1, ORDER = 4;
    /** Of the library's table, in slots; three quarters of them may be in use. */
    static final int SIZE = 1_024, MOST_NAMES = SIZE * 3 / 4;
    /** What is left of a count after a second: of a rate that jumps, two thirds are seen after four. */
    static final double KEEPS = 0.75;

    /** Counts fade: a single request is to be worth something for some turns. */
    private static final long PARTS = 256;

    private static final double SECOND = 1e9;
    private static final long PRIME = (1L << 61) - 1;

    /** A name under a hash that nobody knows beforehand: names chosen to collide would make each look-up a long walk. */
    private record Key(String name, int hash) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Key key && key.hash == hash && key.name.equals(name);
        }

        @Override
        public int hashCode() {
            return hash;
        }
    }

    private final long secret;
    private ItemsSketch<Key> sketch = new ItemsSketch<>(SIZE);

    /**
     * An empty one.
     *
     * @param chance drawn at each start and told to nobody
     */
    public Finder(long chance) {
        secret = new SplittableRandom(chance).nextLong(PRIME / 4, PRIME);
    }

    /** An object is asked for; what can't be a name counts for nothing. */
    public void looked(String object) {
        count(object, LOOK);
    }

    /** An object is written. */
    public void ordered(String object) {
        count(object, ORDER);
    }

    private void count(String object, int weight) {
        if (Who.isName(object)) {
            sketch.update(new Key(object, hash(object)), weight * PARTS);
        }
    }

    /** The letters as a polynomial at a secret place: two names have the same value at 100 places of 2^61 at most. */
    int hash(String name) {
        long sum = 1;
        for (int i = 0; i < name.length(); i++) {
            long high = Math.multiplyHigh(sum, secret), low = sum * secret;
            sum = reduced(reduced((low & PRIME) + (high << 3 | low >>> 61)) + name.charAt(i));
        }
        return (int) (sum * 0x9E37_79B9_7F4A_7C15L >>> 32);
    }

    private static long reduced(long sum) {
        return sum >= PRIME ? sum - PRIME : sum;
    }

    /** How many names there are. */
    public int size() {
        return sketch.getNumActiveItems();
    }

    /**
     * Ends a turn: what is to be told, at most {@link Told#MOST_ROWS} rows and {@link Told#MOST_BYTES}. Hottest first, to a
     * factor of two; among these by name, so that processes which see the same tell of the same.
     *
     * @param span since the last turn, nanoseconds; nothing happens unless it is above 0
     */
    public List<Told.Row> turn(long span) {
        if (span <= 0) {
            return List.of();
        }
        double keeps = Math.pow(KEEPS, span / SECOND);
        // What a steady rate has come to before it fades: rate * span / (1 - keeps).
        double rate = (1 - keeps) * SECOND / span / PARTS;
        ItemsSketch<Key> next = new ItemsSketch<>(SIZE);
        List<Told.Row> rows = new ArrayList<>();
        for (ItemsSketch.Row<Key> row : sketch.getFrequentItems(0, ErrorType.NO_FALSE_NEGATIVES)) {
            long faded = (long) (row.getLowerBound() * keeps), heat = (long) (row.getLowerBound() * rate);
            if (faded > 0) {
                next.update(row.getItem(), faded);
            }
            if (heat > 0) {
                rows.add(new Told.Row(row.getItem().name, Math.min(heat, Told.MOST)));
            }
        }
        sketch = next;
        rows.sort(Comparator.comparingInt((Told.Row row) -> Long.numberOfLeadingZeros(row.heat()))
                .thenComparing(Told.Row::object));
        int bytes = 0, many = 0;
        while (many < rows.size()
                && many < Told.MOST_ROWS
                && (bytes += rows.get(many).object().length() + Told.ROW_BYTES) <= Told.MOST_BYTES) {
            many++;
        }
        return List.copyOf(rows.subList(0, many));
    }
}
