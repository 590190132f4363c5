package rushpin.accord;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * What processes report of zones: the newest of each, until it is too old by own time. Pure; one thread at a time. What is
 * made of it is a {@link Picture}.
 *
 * <p>Who sent less to a zone than tells anything has its counts of earlier reports added, three quarters of them with each
 * report, so that few requests tell after some seconds what many tell at once.
 *
 * <p>Bounds: {@code most} reports of at most {@link Report#MOST_SEEN} rows. At the bound a new process is not heard until
 * one is too old; the answer says so.
 */
public final class Evidence {
    /** What became of a report. */
    public enum Taken {
        YES,
        NOT_NEWER,
        UNSOUND,
        NO_ROOM
    }

    /**
     * A zone as processes see it, in thousandths of what they sent there: what half of them say at least. With
     * a reporter more or less on one side that is two values: by the lower one something is bad, by the higher one well.
     *
     * @param reporters how many tell; those that sent too little to tell alone count together
     * @param zones how many zones these stand in
     * @param mostFailed the higher one of failed
     * @param mostSlow the higher one of slow
     */
    public record View(
            String zone,
            int reporters,
            int zones,
            int failed,
            int slow,
            int unreachable,
            int mostFailed,
            int mostSlow) {}

    /** Rows are told by zone and class. */
    record Row(String zone, String of) {}

    /** Attempts of one process at servers of a zone, in parts of {@link #PARTS}. */
    record Count(long sent, long failed, long slow, long unreachable) {
        static Count of(Report.Seen seen) {
            return new Count(
                    seen.sent() * PARTS, seen.failed() * PARTS, seen.slow() * PARTS, seen.unreachable() * PARTS);
        }

        Count plus(Count other) {
            return new Count(
                    sent + other.sent, failed + other.failed, slow + other.slow, unreachable + other.unreachable);
        }

        Count faded() {
            return new Count(sent * 3 / 4, failed * 3 / 4, slow * 3 / 4, unreachable * 3 / 4);
        }
    }

    /**
     * A report with what is made of it and of those before it.
     *
     * @param entered requests a second by class
     * @param served answers a second by zone
     */
    record Kept(
            Report report, long at, Map<Row, Count> rows, Map<String, Double> entered, Map<String, Double> served) {}

    /** Counts fade: a single attempt is to be worth something after some reports. */
    static final long PARTS = 256;

    private static final double NANOS = 1e9, LEAST_RATE = 1e-3;
    /** What enters is taken as it is where it is so many times what tells of a zone: it is no matter of seconds. */
    private static final int SURE = 4;

    private final int most, fewestZones;
    private final long age, fewestSent;
    private final Map<String, Kept> reports = new HashMap<>();

    /**
     * An empty table.
     *
     * @param most reports, one a process
     * @param age until a report is too old, nanoseconds of own time
     * @param fewestZones from so many zones somebody has to tell of a zone, for it to be seen by the fleet
     * @param fewestSent who sent less to a zone has not seen enough of it to tell alone
     */
    public Evidence(int most, long age, int fewestZones, long fewestSent) {
        this.most = most;
        this.age = age;
        this.fewestZones = fewestZones;
        this.fewestSent = Math.max(1, fewestSent);
    }

    /** A report has come. */
    public Taken report(Report report, long now) {
        if (!report.isSound()) {
            return Taken.UNSOUND;
        }
        Kept kept = reports.get(report.process());
        if (kept != null
                && (report.session() < kept.report.session()
                        || report.session() == kept.report.session() && report.sequence() <= kept.report.sequence())) {
            return Taken.NOT_NEWER;
        }
        if (kept == null && reports.size() >= most) {
            forget(now);
            if (reports.size() >= most) {
                return Taken.NO_ROOM;
            }
        }
        // What a process saw before its start, elsewhere or long ago is not what it sees.
        boolean goesOn = kept != null
                && kept.report.session() == report.session()
                && now - kept.at < age
                && kept.report.zone().equals(report.zone());
        Map<String, Double> entered = new HashMap<>(), served = new HashMap<>();
        if (report.span() > 0) {
            report.entered()
                    .forEach(each -> entered.merge(each.of(), each.count() * NANOS / report.span(), Double::sum));
            report.seen().forEach(each -> served.merge(each.zone(), each.ok() * NANOS / report.span(), Double::sum));
        }
        if (goesOn && report.span() > 0) {
            smooth(kept.entered, entered, SURE * fewestSent * NANOS / report.span());
            smooth(kept.served, served, fewestSent * NANOS / report.span());
        }
        reports.put(
                report.process(), new Kept(report, now, rows(goesOn ? kept.rows : Map.of(), report), entered, served));
        return Taken.YES;
    }

    /** Of rates below one that tells, a quarter with each report: what comes once in some seconds is no zero between. */
    private static void smooth(Map<String, Double> before, Map<String, Double> rates, double tells) {
        before.forEach((name, old) -> {
            // What was much tells by itself: of it no more goes on than is smoothed at all.
            double rate = rates.getOrDefault(name, 0.0), from = Math.min(old, tells), mixed = from + (rate - from) / 4;
            if (rate < tells && (mixed > LEAST_RATE || rate > 0)) {
                rates.put(name, mixed);
            }
        });
    }

    private Map<Row, Count> rows(Map<Row, Count> before, Report report) {
        Map<Row, Count> rows = new HashMap<>();
        for (Report.Seen seen : report.seen()) {
            Row row = new Row(seen.zone(), seen.of());
            Count count = Count.of(seen), old = before.get(row);
            rows.put(row, old == null || seen.sent() >= fewestSent ? count : count.plus(old.faded()));
        }
        for (Map.Entry<Row, Count> old : before.entrySet()) {
            Count faded = old.getValue().faded();
            if (rows.size() < Report.MOST_SEEN && faded.sent >= PARTS / 8) {
                rows.putIfAbsent(old.getKey(), faded);
            }
        }
        return rows;
    }

    /** Lets go of what is too old; a report that comes again later is taken for new. */
    public void forget(long now) {
        reports.values().removeIf(kept -> now - kept.at >= age);
    }

    /** How many reports there are, those that are too old and not forgotten included. */
    public int size() {
        return reports.size();
    }

    /** All that is not too old, as it stands. */
    public Picture picture(long now) {
        return new Picture(
                reports.values().stream().filter(kept -> now - kept.at < age).toList(), fewestZones, fewestSent);
    }

    /** What each session said of a group's connections and isn't too old; empty lists of who only takes part. */
    public Map<Long, List<Report.Need>> needs(String group, long now) {
        Map<Long, List<Report.Need>> needs = new TreeMap<>();
        for (Kept kept : reports.values()) {
            List<Report.Need> told = kept.report.needs().stream()
                    .filter(need -> need.group().equals(group))
                    .toList();
            if (now - kept.at < age && !told.isEmpty()) {
                needs.put(
                        kept.report.session(),
                        told.stream().filter(need -> !need.tenant().isEmpty()).toList());
            }
        }
        return needs;
    }

    /** The zones that anybody has seen, in order of name. */
    public Set<String> zones(long now) {
        return picture(now).seen();
    }

    /** A zone as the fleet sees it; empty if too few tell of it. */
    public Optional<View> across(String zone, long now) {
        return picture(now).across(zone, "", Set.of());
    }

    /** A zone as it is seen from one zone only; empty if too few there tell of it. */
    public Optional<View> from(String where, String zone, long now) {
        return picture(now).from(where, zone, "");
    }
}
