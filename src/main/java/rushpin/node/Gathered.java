package rushpin.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.accord.Who;

/**
 * What the pools of this process saw since its last report, put together; one thread. Counts of equal zones and classes are
 * added up; of a pool's servers and demand the newest account stands for what it told before.
 *
 * <p>Bounds: the rows and bytes of a report; what was sent to most, or asked for most, stays.
 */
final class Gathered {
    /** Bytes for stocks and for demand at most; rows of attempts have what these leave of a report. */
    private static final int STOCK_BYTES = 4 << 10, ENTERED_BYTES = 3 << 10;
    /** Of a row without its names: tags, lengths, and five numbers at their longest. */
    private static final int ROW_BYTES = 40;
    /** The report itself: its process, zone and numbers. */
    private static final int HEAD_BYTES = 300;

    private record Row(String zone, String of) {}

    /** Sums of one pool since the last report. */
    private static final class OfPool {
        long span, late;
        List<Report.Stock> stocks = List.of();
    }

    private final int mostBytes;
    private final Map<Witness, OfPool> pools = new HashMap<>();
    private final Map<Row, Report.Seen> seen = new HashMap<>();
    private final Map<String, Long> entered = new TreeMap<>();

    /** Empty; a report has so many bytes at most. */
    Gathered(int mostBytes) {
        this.mostBytes = mostBytes;
    }

    void add(Witness.Account account) {
        OfPool pool = pools.computeIfAbsent(account.by(), first -> new OfPool());
        pool.span += account.span();
        pool.late += account.late();
        pool.stocks = account.stocks();
        for (Report.Seen row : account.seen()) {
            if (Who.isName(row.zone())) {
                seen.merge(new Row(row.zone(), row.of()), row, Gathered::sum);
            }
        }
        account.entered().forEach(row -> entered.merge(row.of(), row.count(), Long::sum));
    }

    private static Report.Seen sum(Report.Seen one, Report.Seen other) {
        return new Report.Seen(
                one.zone(),
                one.of(),
                one.sent() + other.sent(),
                one.ok() + other.ok(),
                one.failed() + other.failed(),
                one.slow() + other.slow(),
                one.unreachable() + other.unreachable());
    }

    /** The report, after which all is counted anew. */
    Report report(Who who, long session, long sequence, List<Report.Need> needs) {
        long span = 0;
        long trouble = 0;
        Map<String, Report.Stock> stocks = new TreeMap<>();
        for (OfPool pool : pools.values()) {
            span = Math.max(span, pool.span);
            trouble = Math.max(trouble, pool.span == 0 ? 0 : Plan.WHOLE * pool.late / pool.span);
            for (Report.Stock each : pool.stocks) {
                stocks.merge(
                        each.zone(),
                        each,
                        (one, other) -> new Report.Stock(
                                one.zone(),
                                one.ready() + other.ready(),
                                Math.min(Report.MOST, one.warm() + other.warm()),
                                one.held() + other.held()));
            }
        }
        List<Report.Stock> toldStocks = cut(
                stocks.values().stream()
                        .sorted(Comparator.comparingLong(Report.Stock::warm).reversed())
                        .toList(),
                Plan.MOST_ZONES,
                STOCK_BYTES,
                row -> row.zone().length());
        List<Report.Entered> toldEntered = cut(
                entered.entrySet().stream()
                        .map(each -> new Report.Entered(each.getKey(), each.getValue()))
                        .sorted(Comparator.comparingLong(Report.Entered::count).reversed())
                        .toList(),
                Report.MOST_ENTERED,
                ENTERED_BYTES,
                row -> row.of().length());
        int left = mostBytes
                - HEAD_BYTES
                - bytes(toldStocks, row -> row.zone().length())
                - bytes(toldEntered, row -> row.of().length())
                - bytes(needs, row -> row.group().length() + row.tenant().length());
        List<Report.Seen> toldSeen = cut(
                seen.values().stream()
                        .sorted(Comparator.comparingLong(Report.Seen::sent)
                                .reversed()
                                .thenComparing(Report.Seen::zone)
                                .thenComparing(Report.Seen::of))
                        .toList(),
                Report.MOST_SEEN,
                left,
                row -> row.zone().length() + row.of().length());
        clear();
        return new Report(
                session,
                sequence,
                who.name(),
                who.zone(),
                span,
                (int) Math.min(Plan.WHOLE, trouble),
                toldSeen,
                toldStocks,
                toldEntered,
                needs);
    }

    /** What was seen is told to nobody. */
    void clear() {
        pools.clear();
        seen.clear();
        entered.clear();
    }

    private static <T> int bytes(List<T> rows, ToIntFunction<T> names) {
        return rows.stream().mapToInt(row -> ROW_BYTES + names.applyAsInt(row)).sum();
    }

    private static <T> List<T> cut(List<T> rows, int most, int mostBytes, ToIntFunction<T> names) {
        List<T> kept = new ArrayList<>();
        int bytes = 0;
        for (T row : rows) {
            bytes += ROW_BYTES + names.applyAsInt(row);
            if (kept.size() >= most || bytes > mostBytes) {
                break;
            }
            kept.add(row);
        }
        return kept;
    }
}
