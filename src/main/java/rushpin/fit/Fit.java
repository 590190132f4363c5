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
 * Fits a day of the model to traffic records. What records can't show is taken from the operator or the model's
 * defaults; a note names each default used. Requests of classes and plans that the settings do not contain are counted
 * and left out.
 */
public final class Fit {
    private static final double SECOND_US = 1e6;
    /** A server first seen later than this after the first request may be cold; its attempts are ignored. */
    private static final long NEW_SERVER_US = 1_000_000;

    /** An attempt sent within this time was not queued, so the rest of the request's time is overhead. */
    private static final long MAX_SEND_DELAY_US = 2_000;

    private static final int MAX_GAPS = 1_000;
    private static final int QUANTILE_STEPS = 100;

    /** Recorded first tries in the columns that the model replays. */
    public record Columns(double[][] figures, long[] customers) {}

    private final Map<String, String> settings;
    private final Map<String, String> day;
    private final List<String> classes;
    private final List<String> plans;
    private final List<String> notes = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    /** The entries that are not marked as repeats. */
    private final List<Entry> firsts = new ArrayList<>();

    private final Map<String, FittedDistribution> workByClass = new TreeMap<>();
    /** Arrival of the first of {@link #firsts}, microseconds of Unix time. */
    private long fromUs;
    /** Arrival of the last of {@link #firsts}, microseconds of Unix time. */
    private long untilUs;

    /**
     * Fits a day.
     *
     * @param recorded the records
     * @param settings path=value pairs under the platform's names
     * @param given keys of the day that the operator provides; {@code servers.cores} is required
     * @param pool the pool whose requests are used
     * @throws IllegalArgumentException if {@code servers.cores} is missing or too few first tries are left
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
        selectEntries(recorded, pool);
        fitArrivals();
        fitCustomers();
        countServers();
        fitWork();
        fitOverhead();
        noteDefaults(given);
    }

    private void selectEntries(RecordedTraffic recorded, String pool) {
        Map<String, Integer> leftOut = new TreeMap<>();
        for (Entry e : recorded.entries()) {
            String why = !e.pool().equals(pool)
                    ? "pool \"" + e.pool() + "\""
                    : !classes.contains(e.requestClass())
                            ? "class " + e.requestClass() + ", which the settings do not contain"
                            : !plans.contains(e.plan())
                                    ? "plan " + e.plan() + ", which the settings do not contain"
                                    : null;
            if (why != null) {
                leftOut.merge(why, 1, Integer::sum);
            } else {
                entries.add(e);
            }
        }
        leftOut.forEach((why, count) -> notes.add(count + " requests left out: " + why));
        entries.stream().filter(e -> !e.repeat()).forEach(firsts::add);
        if (firsts.size() < FittedDistribution.MIN_SAMPLES) {
            throw new IllegalArgumentException(
                    firsts.size() + " first tries of pool \"" + pool + "\" are left, " + FittedDistribution.MIN_SAMPLES
                            + " are required" + (notes.isEmpty() ? "" : ": " + String.join("; ", notes)));
        }
        fromUs = firsts.get(0).at();
        untilUs = firsts.get(firsts.size() - 1).at();
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
            notes.add("no request is marked as a repeat: unmarked retries by clients are counted as new requests");
        }
    }

    private double seconds() {
        return Math.max(1e-3, (untilUs - fromUs) / SECOND_US);
    }

    private static String number(double x) {
        return String.format(Locale.ROOT, "%.6g", x);
    }

    private void fitArrivals() {
        day.putIfAbsent("seconds", number(Math.floor(seconds()) + 1));
        day.put("clients.rate", number(firsts.size() / seconds()));
        for (String name : classes) {
            long count =
                    firsts.stream().filter(e -> e.requestClass().equals(name)).count();
            if (count > 0) {
                day.put("class." + name + ".share", number(count / (double) firsts.size()));
            }
        }
        int step = Math.max(1, firsts.size() / MAX_GAPS);
        double[] gaps = new double[(firsts.size() - 1) / step];
        double sum = 0;
        for (int i = 0; i < gaps.length; i++) {
            gaps[i] = Math.max(
                    1e-7, (firsts.get(i * step + 1).at() - firsts.get(i * step).at()) / SECOND_US);
            sum += gaps[i];
        }
        double p = new KolmogorovSmirnovTest()
                .kolmogorovSmirnovTest(new ExponentialDistribution(null, sum / gaps.length), gaps, false);
        double[] counts = new double[(int) Math.ceil(seconds())];
        firsts.forEach(e -> counts[(int) Math.min(counts.length - 1, (e.at() - fromUs) / 1_000_000)]++);
        DescriptiveStatistics perSecond = new DescriptiveStatistics(counts);
        double dispersion = counts.length < 3 ? 1 : perSecond.getVariance() / Math.max(1e-9, perSecond.getMean());
        notes.add(String.format(
                Locale.ROOT,
                "arrivals: %.1f first tries a second; gaps exponential with p = %.3f; variance of a "
                        + "second's count to its mean %.2f%s",
                firsts.size() / seconds(),
                p,
                dispersion,
                dispersion > 1.5
                        ? ": the rate varies, which a replay reproduces and randomly drawn arrivals do not"
                        : ""));
    }

    /** Fits customers per plan; the skew's weights vary as much as the counts do beyond Poisson noise. */
    private void fitCustomers() {
        for (String plan : plans) {
            Map<Long, Integer> counts = new HashMap<>();
            firsts.stream()
                    .filter(e -> e.plan().equals(plan))
                    .forEach(e -> counts.merge(e.customer(), 1, Integer::sum));
            if (counts.isEmpty()) {
                continue;
            }
            DescriptiveStatistics perCustomer = new DescriptiveStatistics(
                    counts.values().stream().mapToDouble(x -> x).toArray());
            double mean = perCustomer.getMean();
            double variation = Math.max(0, (perCustomer.getVariance() - mean) / (mean * mean));
            int n = counts.size();
            double skew = n < 2 || variation < 1e-3
                    ? 0
                    : squaredVariation(n, 3) <= variation
                            ? 3
                            : new BisectionSolver(1e-3).solve(100, s -> squaredVariation(n, s) - variation, 0, 3);
            day.put("plan." + plan + ".share", number(mean * n / firsts.size()));
            day.put("plan." + plan + ".customers", String.valueOf(n));
            day.put("plan." + plan + ".skew", number(skew));
        }
        DescriptiveStatistics units = new DescriptiveStatistics(
                firsts.stream().mapToDouble(Entry::units).toArray());
        day.put("clients.units-mean", number(Math.max(0.01, units.getMean())));
        day.put("clients.units-most", number(Math.max(units.getMean(), units.getMax())));
        double[] patience = firsts.stream()
                .mapToDouble(e -> e.patience()
                        * 1e3
                        / Double.parseDouble(
                                settings.get("classes." + classes.indexOf(e.requestClass()) + ".deadline-ns")))
                .sorted()
                .toArray();
        day.put(
                "clients.patience",
                number(Math.min(1, patience[patience.length / 50])) + ","
                        + number(Math.min(1, patience[patience.length - 1 - patience.length / 50])));
    }

    /** Returns the squared coefficient of variation of the weights of n customers. */
    private static double squaredVariation(int n, double skew) {
        DescriptiveStatistics weights = new DescriptiveStatistics();
        for (int i = 1; i <= n; i++) {
            weights.addValue(Math.pow(i, -skew));
        }
        return weights.getVariance() / (weights.getMean() * weights.getMean());
    }

    private void countServers() {
        TreeSet<String> seen = new TreeSet<>();
        entries.forEach(e -> e.tries().forEach(t -> seen.add(t.server())));
        day.putIfAbsent("servers.count", String.valueOf(Math.max(1, seen.size())));
    }

    /** An attempt with the class of its request; times are microseconds of Unix time. */
    private record Attempt(long from, long until, String requestClass, String outcome) {}

    /** Fits work to attempts that began while a core was free: their duration is work and network, without queueing. */
    private void fitWork() {
        int cores;
        try {
            cores = (int) Double.parseDouble(day.getOrDefault("servers.cores", ""));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "servers.cores is missing: records do not show how many requests a server "
                            + "works on concurrently");
        }
        double roundTripUs = 2 * Double.parseDouble(day.getOrDefault("network.one-way-us", "100"));
        Map<String, List<Attempt>> byServer = new TreeMap<>();
        Map<String, List<Double>> samples = new TreeMap<>();
        for (Entry e : entries) {
            for (Entry.Try t : e.tries()) {
                byServer.computeIfAbsent(t.server(), s -> new ArrayList<>())
                        .add(new Attempt(
                                e.at() + t.after(), e.at() + t.after() + t.took(), e.requestClass(), t.outcome()));
            }
        }
        int unused = 0;
        for (List<Attempt> attempts : byServer.values()) {
            attempts.sort((a, b) -> Long.compare(a.from, b.from));
            boolean isNew = attempts.get(0).from - fromUs > NEW_SERVER_US;
            PriorityQueue<Long> ends = new PriorityQueue<>();
            for (Attempt attempt : attempts) {
                while (!ends.isEmpty() && ends.peek() <= attempt.from) {
                    ends.poll();
                }
                if (attempt.outcome.equals("OK") && !isNew && ends.size() < cores) {
                    samples.computeIfAbsent(attempt.requestClass, c -> new ArrayList<>())
                            .add(Math.max(1e-3, (attempt.until - attempt.from - roundTripUs) / 1e3));
                } else if (attempt.outcome.equals("OK")) {
                    unused++;
                }
                // A server may still work on an attempt that was abandoned: assume as long again.
                ends.add(attempt.outcome.equals("OK") ? attempt.until : 2 * attempt.until - attempt.from);
            }
        }
        notes.add("work: " + samples.values().stream().mapToInt(List::size).sum()
                + " attempts began while a core was free, " + unused + " others are not used");
        for (String name : classes) {
            List<Double> found = samples.getOrDefault(name, List.of());
            if (!day.containsKey("class." + name + ".share")) {
                continue;
            }
            if (found.size() < FittedDistribution.MIN_SAMPLES) {
                notes.add("class " + name + ": " + found.size() + " attempts are usable to fit its work, "
                        + FittedDistribution.MIN_SAMPLES
                        + " are required: "
                        + (day.containsKey("class." + name + ".work")
                                ? "the operator's value is used"
                                : "provide class." + name + ".work"));
                continue;
            }
            FittedDistribution fitted =
                    FittedDistribution.of(found.stream().mapToDouble(x -> x).toArray());
            workByClass.put(name, fitted);
            day.put("class." + name + ".work", fitted.work());
            notes.add(String.format(
                    Locale.ROOT,
                    "class %s: %s, p = %.3f over %d attempts%s",
                    name,
                    fitted.name(),
                    fitted.p(),
                    fitted.samples(),
                    fitted.kept() ? "" : ": rejected, the records' quantiles are used"));
        }
    }

    /** Fits what a node adds to a request's single attempt, if that was sent without delay. */
    private void fitOverhead() {
        double[] overheadsUs = entries.stream()
                .filter(e -> e.end() == Entry.End.SERVED
                        && e.tries().size() == 1
                        && e.tries().get(0).after() < MAX_SEND_DELAY_US)
                .mapToDouble(e -> e.took() - e.tries().get(0).took())
                .sorted()
                .toArray();
        if (overheadsUs.length > 0) {
            StringBuilder text = new StringBuilder("quantiles");
            for (int i = 0; i <= QUANTILE_STEPS; i++) {
                text.append(' ')
                        .append(number(Math.max(0, overheadsUs[(overheadsUs.length - 1) * i / QUANTILE_STEPS] / 1e3)));
            }
            day.putIfAbsent("fleet.node", text.toString());
        }
    }

    /** Notes the keys that records can't show and the operator did not provide. */
    private void noteDefaults(Map<String, String> given) {
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
                notes.add(key
                        + ": the records can't tell it and the operator gives no value; the model's default is used");
            }
        }
    }

    /** Returns the day as path=value pairs. */
    public Map<String, String> day() {
        return new TreeMap<>(day);
    }

    /** Returns what was found, left out, or could not be determined, one line each. */
    public List<String> notes() {
        return List.copyOf(notes);
    }

    /** Returns the fitted distributions of work by class. */
    public Map<String, FittedDistribution> distributions() {
        return Map.copyOf(workByClass);
    }

    /** Returns the first tries for a replay; the model generates the repeats. */
    public Columns columns() {
        int n = firsts.size();
        double[][] figures = new double[5][n];
        long[] customers = new long[n];
        for (int i = 0; i < n; i++) {
            Entry e = firsts.get(i);
            figures[0][i] = (e.at() - fromUs) * 1e3;
            figures[1][i] = classes.indexOf(e.requestClass());
            figures[2][i] = plans.indexOf(e.plan());
            figures[3][i] = e.units();
            figures[4][i] = e.patience() * 1e3;
            customers[i] = e.customer();
        }
        return new Columns(figures, customers);
    }
}
