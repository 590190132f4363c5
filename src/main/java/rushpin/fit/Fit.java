package rushpin.fit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.math3.analysis.solvers.BisectionSolver;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import org.apache.commons.math3.stat.inference.KolmogorovSmirnovTest;
import rushpin.model.Play;
import rushpin.traffic.Entry;
import rushpin.traffic.RecordedTraffic;

/**
 * What records tell of a day, put into the model's words; what they can't tell is taken from the operator and said. It keeps
 * to what the settings know: requests of other classes and plans are counted and left out.
 */
public final class Fit {
    private static final double US = 1e6;
    /** A server that is first seen so long after the first request may be cold; it says nothing of work. */
    private static final long NEW_US = 1_000_000;
    /** A request is waited for by its node only where nothing was in its way. */
    private static final long AT_ONCE_US = 2_000;

    private static final int MOST_GAPS = 1_000, STEPS = 100;

    /** Recorded first tries, a column each as the model takes them. */
    public record Columns(double[][] figures, long[] customers) {}

    private final Map<String, String> settings, day;
    private final List<String> classes, plans;
    private final List<String> notes = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>(), firsts = new ArrayList<>();
    private final Map<String, FittedDistribution> work = new TreeMap<>();
    private long from, until;

    /**
     * Fits.
     *
     * @param settings path=value pairs, with names
     * @param given what the operator says of the day; {@code servers.cores} has to be among it
     * @param pool the pool whose requests are meant
     * @throws IllegalArgumentException if nothing of the records can be used
     */
    public Fit(RecordedTraffic recorded, Map<String, String> settings, Map<String, String> given, String pool) {
        this.settings = settings;
        day = new TreeMap<>(given);
        classes = Play.names(settings, "classes");
        plans = Play.names(settings, "tariffs");
        notes.addAll(recorded.notes());
        if (recorded.dropped() > 0) {
            notes.add(recorded.dropped() + " requests were not written by the nodes: rates are too low by as many");
        }
        choose(recorded, pool);
        arrivals();
        customers();
        servers();
        work();
        overhead();
        untold(given);
    }

    private void choose(RecordedTraffic recorded, String pool) {
        Map<String, Integer> left = new TreeMap<>();
        for (Entry e : recorded.entries()) {
            String why = !e.pool().equals(pool)
                    ? "pool \"" + e.pool() + "\""
                    : !classes.contains(e.requestClass())
                            ? "class " + e.requestClass() + ", which the settings don't know"
                            : !plans.contains(e.plan()) ? "plan " + e.plan() + ", which the settings don't know" : null;
            if (why != null) {
                left.merge(why, 1, Integer::sum);
            } else {
                entries.add(e);
            }
        }
        left.forEach((why, count) -> notes.add(count + " requests left out: " + why));
        entries.stream().filter(e -> !e.repeat()).forEach(firsts::add);
        if (firsts.size() < FittedDistribution.MIN_SAMPLES) {
            throw new IllegalArgumentException(firsts.size() + " first tries of pool \"" + pool + "\" are left, "
                    + FittedDistribution.MIN_SAMPLES + " at least are needed" + (notes.isEmpty() ? "" : ": " + String.join("; ", notes)));
        }
        from = firsts.get(0).at();
        until = firsts.get(firsts.size() - 1).at();
        TreeSet<String> nodes = new TreeSet<>();
        entries.forEach(e -> nodes.add(e.node()));
        int siblings = (int) Double.parseDouble(settings.getOrDefault("siblings", "1"));
        if (nodes.size() < siblings) {
            notes.add("records of " + nodes.size() + " nodes (" + String.join(", ", nodes) + "), the settings know of "
                    + siblings + ": rates are too low by what the others took");
        }
        day.putIfAbsent("fleet.nodes", String.valueOf(siblings));
        day.putIfAbsent(
                "fleet.spread",
                String.valueOf(Math.min(
                        siblings, entries.stream().mapToInt(Entry::spread).max().orElse(1))));
        if (entries.size() == firsts.size()) {
            notes.add("no request is marked as a repeat: if clients come again unmarked, they are counted as new ones");
        }
    }

    private double seconds() {
        return Math.max(1e-3, (until - from) / US);
    }

    private static String number(double x) {
        return String.format(Locale.ROOT, "%.6g", x);
    }

    private void arrivals() {
        day.putIfAbsent("seconds", number(Math.floor(seconds()) + 1));
        day.put("clients.rate", number(firsts.size() / seconds()));
        for (String name : classes) {
            long count =
                    firsts.stream().filter(e -> e.requestClass().equals(name)).count();
            if (count > 0) {
                day.put("class." + name + ".share", number(count / (double) firsts.size()));
            }
        }
        int step = Math.max(1, firsts.size() / MOST_GAPS);
        double[] gaps = new double[(firsts.size() - 1) / step];
        double sum = 0;
        for (int i = 0; i < gaps.length; i++) {
            gaps[i] = Math.max(
                    1e-7, (firsts.get(i * step + 1).at() - firsts.get(i * step).at()) / US);
            sum += gaps[i];
        }
        double p = new KolmogorovSmirnovTest()
                .kolmogorovSmirnovTest(new ExponentialDistribution(null, sum / gaps.length), gaps, false);
        double[] counts = new double[(int) Math.ceil(seconds())];
        firsts.forEach(e -> counts[(int) Math.min(counts.length - 1, (e.at() - from) / 1_000_000)]++);
        DescriptiveStatistics perSecond = new DescriptiveStatistics(counts);
        double dispersion = counts.length < 3 ? 1 : perSecond.getVariance() / Math.max(1e-9, perSecond.getMean());
        notes.add(String.format(
                Locale.ROOT,
                "arrivals: %.1f first tries a second; gaps exponential with p = %.3f; variance of a "
                        + "second's count to its mean %.2f%s",
                firsts.size() / seconds(),
                p,
                dispersion,
                dispersion > 1.5 ? ": the rate changes, replay keeps that and a drawn day does not" : ""));
    }

    /** The skew whose weights vary as the counts do beyond chance. */
    private void customers() {
        for (String plan : plans) {
            Map<Long, Integer> counts = new HashMap<>();
            firsts.stream()
                    .filter(e -> e.plan().equals(plan))
                    .forEach(e -> counts.merge(e.customer(), 1, Integer::sum));
            if (counts.isEmpty()) {
                continue;
            }
            DescriptiveStatistics of = new DescriptiveStatistics(
                    counts.values().stream().mapToDouble(x -> x).toArray());
            double mean = of.getMean(), beyond = Math.max(0, (of.getVariance() - mean) / (mean * mean));
            int n = counts.size();
            double skew = n < 2 || beyond < 1e-3
                    ? 0
                    : variation(n, 3) <= beyond
                            ? 3
                            : new BisectionSolver(1e-3).solve(100, s -> variation(n, s) - beyond, 0, 3);
            day.put("plan." + plan + ".share", number(mean * n / firsts.size()));
            day.put("plan." + plan + ".customers", String.valueOf(n));
            day.put("plan." + plan + ".skew", number(skew));
        }
        DescriptiveStatistics units = new DescriptiveStatistics(
                firsts.stream().mapToDouble(Entry::units).toArray());
        day.put("clients.units-mean", number(Math.max(0.01, units.getMean())));
        day.put("clients.units-most", number(Math.max(units.getMean(), units.getMax())));
        double[] parts = firsts.stream()
                .mapToDouble(e -> e.patience()
                        * 1e3
                        / Double.parseDouble(
                                settings.get("classes." + classes.indexOf(e.requestClass()) + ".deadline-ns")))
                .sorted()
                .toArray();
        day.put(
                "clients.patience",
                number(Math.min(1, parts[parts.length / 50])) + ","
                        + number(Math.min(1, parts[parts.length - 1 - parts.length / 50])));
    }

    private static double variation(int n, double skew) {
        DescriptiveStatistics weights = new DescriptiveStatistics();
        for (int i = 1; i <= n; i++) {
            weights.addValue(Math.pow(i, -skew));
        }
        return weights.getVariance() / (weights.getMean() * weights.getMean());
    }

    private void servers() {
        TreeSet<String> seen = new TreeSet<>();
        entries.forEach(e -> e.tries().forEach(t -> seen.add(t.server())));
        day.putIfAbsent("servers.count", String.valueOf(Math.max(1, seen.size())));
    }

    /** An attempt with the class of its request. */
    private record Attempt(long from, long until, String requestClass, String outcome) {}

    /** Spans of attempts that began while a core was free: what they took is work and two ways, and no wait. */
    private void work() {
        int cores;
        try {
            cores = (int) Double.parseDouble(day.getOrDefault("servers.cores", ""));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "servers.cores is missing: no record can tell how many requests a server works " + "on at once");
        }
        double ways = 2 * Double.parseDouble(day.getOrDefault("network.one-way-us", "100"));
        Map<String, List<Attempt>> byServer = new TreeMap<>();
        Map<String, List<Double>> samples = new TreeMap<>();
        for (Entry e : entries) {
            for (Entry.Try t : e.tries()) {
                byServer.computeIfAbsent(t.server(), s -> new ArrayList<>())
                        .add(new Attempt(
                                e.at() + t.after(), e.at() + t.after() + t.took(), e.requestClass(), t.outcome()));
            }
        }
        int waited = 0;
        for (List<Attempt> attempts : byServer.values()) {
            attempts.sort((a, b) -> Long.compare(a.from, b.from));
            boolean isNew = attempts.get(0).from - from > NEW_US;
            PriorityQueue<Long> ends = new PriorityQueue<>();
            for (Attempt each : attempts) {
                while (!ends.isEmpty() && ends.peek() <= each.from) {
                    ends.poll();
                }
                if (each.outcome.equals("OK") && !isNew && ends.size() < cores) {
                    samples.computeIfAbsent(each.requestClass, c -> new ArrayList<>())
                            .add(Math.max(1e-3, (each.until - each.from - ways) / 1e3));
                } else if (each.outcome.equals("OK")) {
                    waited++;
                }
                // What was given up may be worked on still: as long again stands for that.
                ends.add(each.outcome.equals("OK") ? each.until : 2 * each.until - each.from);
            }
        }
        notes.add("work: " + samples.values().stream().mapToInt(List::size).sum() + " attempts began with a core free, "
                + waited + " others say nothing of work");
        for (String name : classes) {
            List<Double> found = samples.getOrDefault(name, List.of());
            if (!day.containsKey("class." + name + ".share")) {
                continue;
            }
            if (found.size() < FittedDistribution.MIN_SAMPLES) {
                notes.add("class " + name + ": " + found.size() + " attempts tell of its work, " + FittedDistribution.MIN_SAMPLES
                        + " are needed: "
                        + (day.containsKey("class." + name + ".work")
                                ? "the operator's figure stands"
                                : "say class." + name + ".work"));
                continue;
            }
            FittedDistribution law = FittedDistribution.of(found.stream().mapToDouble(x -> x).toArray());
            work.put(name, law);
            day.put("class." + name + ".work", law.work());
            notes.add(String.format(
                    Locale.ROOT,
                    "class %s: %s, p = %.3f over %d attempts%s",
                    name,
                    law.name(),
                    law.p(),
                    law.samples(),
                    law.kept() ? "" : ": turned down, the records' quantiles are used"));
        }
    }

    /** What a node adds to its one attempt, where that was sent at once. */
    private void overhead() {
        double[] spans = entries.stream()
                .filter(e -> e.end() == Entry.End.SERVED
                        && e.tries().size() == 1
                        && e.tries().get(0).after() < AT_ONCE_US)
                .mapToDouble(e -> e.took() - e.tries().get(0).took())
                .sorted()
                .toArray();
        if (spans.length > 0) {
            StringBuilder text = new StringBuilder("quantiles");
            for (int i = 0; i <= STEPS; i++) {
                text.append(' ').append(number(Math.max(0, spans[(spans.length - 1) * i / STEPS] / 1e3)));
            }
            day.putIfAbsent("fleet.node", text.toString());
        }
    }

    private void untold(Map<String, String> given) {
        for (String key : List.of(
                "servers.line",
                "servers.cancel-stops",
                "clients.retries",
                "clients.retry-wait-ms",
                "clients.reconnect-ms",
                "clients.heed-retry-after",
                "network.one-way-us",
                "network.connect-us",
                "front.notice-ms",
                "discovery.delay-ms",
                "counter.call-us")) {
            if (!given.containsKey(key)) {
                notes.add(
                        key
                                + ": the records can't tell it and the operator does not say; the model's own default is taken");
            }
        }
    }

    /** The day in the model's words. */
    public Map<String, String> day() {
        return new TreeMap<>(day);
    }

    /** What was found, left out, or could not be told, a line each. */
    public List<String> notes() {
        return List.copyOf(notes);
    }

    /** The laws of work by class. */
    public Map<String, FittedDistribution> distributions() {
        return Map.copyOf(work);
    }

    /** The first tries for a replay. Repeats are the model's to make. */
    public Columns columns() {
        int n = firsts.size();
        double[][] figures = new double[5][n];
        long[] customers = new long[n];
        for (int i = 0; i < n; i++) {
            Entry e = firsts.get(i);
            figures[0][i] = (e.at() - from) * 1e3;
            figures[1][i] = classes.indexOf(e.requestClass());
            figures[2][i] = plans.indexOf(e.plan());
            figures[3][i] = e.units();
            figures[4][i] = e.patience() * 1e3;
            customers[i] = e.customer();
        }
        return new Columns(figures, customers);
    }
}
