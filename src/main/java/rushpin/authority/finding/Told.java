package rushpin.authority.finding;

import java.util.List;
import java.util.function.Function;
import rushpin.accord.Who;

/**
 * What one process saw of objects and of their holders lately. Late, repeated, reordered and false ones are expected.
 *
 * @param session of the process
 * @param sequence grows by one with each of a session
 * @param room how much its requests for objects it holds may weigh, a second, in all
 * @param rows what it is asked for, whether it holds that or not; {@link #MOST_ROWS} at most, each object once
 * @param holders attempts at others that hold objects; {@link #MOST_HOLDERS} at most, each once
 */
public record Told(long session, long sequence, long room, List<Row> rows, List<Answered> holders) {
    /** The most objects that are told of, and the most bytes of them, in a turn. */
    public static final int MOST_ROWS = 128, MOST_BYTES = 4_096;
    /** The most holders that are told of: those with the most attempts. */
    public static final int MOST_HOLDERS = 64;
    /** The most that anything can weigh: sums over a fleet can't overflow. */
    public static final long MOST = 1L << 32;
    /** Of a row beside its object's name. */
    static final int ROW_BYTES = 8;

    /** Of an object: the weight of requests a second. */
    public record Row(String object, long heat) {}

    /**
     * Attempts at one holder that ended since the last report, and how many of them were slow or ended without an answer.
     *
     * @param holder its session
     */
    public record Answered(long holder, long sent, long slow) {}

    /** Copies. */
    public Told {
        rows = List.copyOf(rows);
        holders = List.copyOf(holders);
    }

    /** Whether it can be true: names, bounds, counts that fit together. */
    public boolean isSound() {
        return session > 0
                && room >= 0
                && room <= MOST
                && rows.size() <= MOST_ROWS
                && holders.size() <= MOST_HOLDERS
                && rows.stream().allMatch(row -> Who.isName(row.object) && row.heat > 0 && row.heat <= MOST)
                && rows.stream()
                                .mapToInt(row -> row.object.length() + ROW_BYTES)
                                .sum()
                        <= MOST_BYTES
                && holders.stream()
                        .allMatch(each -> each.holder > 0
                                && each.holder != session
                                && each.slow >= 0
                                && each.slow <= each.sent
                                && each.sent <= MOST)
                && once(rows, Row::object)
                && once(holders, Answered::holder);
    }

    private static <T> boolean once(List<T> all, Function<T, Object> by) {
        return all.stream().map(by).distinct().count() == all.size();
    }
}
