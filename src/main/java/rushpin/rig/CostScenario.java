package rushpin.rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import rushpin.judge.Records;

/**
 * What a request costs the node in CPU, against a bare pass-through on the same library with the same JVM options, or
 * against another build where one is named: all run side by side and are loaded in turn, in an order that is turned round
 * each time, so each pair of figures is of the same seconds of the same machine.
 */
final class CostScenario implements Scenario {
    /** A quota that nobody reaches and servers that nobody fills: what is measured is the node. */
    static final RigConfig.Plan PLAN = new RigConfig.Plan("bulk", 100_000, 100_000, 0, 0, 0);

    static final AppServer.Work WORK = new AppServer.Work(64, 64, 500, 1_500, RigConfig.KEY_WINDOW_MS * 1_000_000);
    private static final double RATE = 1_000;

    /** A program that is measured: CPU a request of each round, what its clients saw, calls to the counter. */
    record Candidate(
            String name, NodeProcess process, Load load, List<Double> micros, Load.Stretch seen, AtomicInteger calls) {
        Candidate(String name, NodeProcess process, Load load) {
            this(name, process, load, new ArrayList<>(), new Load.Stretch(), new AtomicInteger());
        }
    }

    @Override
    public String name() {
        return "cost";
    }

    @Override
    public String line() {
        return "CPU a request through the node, recorded too, against a bare pass-through or, with --other JAR, another build; of a fleet";
    }

    @Override
    public Report play(Options options) throws Exception {
        Report report = new Report(name(), options.seed());
        if (options.size() > 0) {
            new FleetCost(options, report).play();
            return report;
        }
        List<Candidate> all = new ArrayList<>();
        try (Yard yard = new Yard()) {
            Discovery discovery = yard.pool("one", 4, WORK, options.seed());
            Path config = yard.write("node.json", RigConfig.json(1024, 2, discovery, yard.counter, List.of(PLAN)));
            Path pools = yard.write(
                    "pools.toml",
                    "[[pool]]\nname = \"one\"\nsettings = \"platform\"\n\n" + "[[route]]\npool = \"one\"\n");
            try {
                if (options.other() == null) {
                    add(
                            all,
                            yard,
                            "pass-through",
                            NodeProcess.run(
                                    PassThrough.class.getName(),
                                    List.of(yard.servers("one").get(0).address()),
                                    yard.folder),
                            options);
                } else {
                    add(all, yard, "other build", NodeProcess.serveOf(options.other(), yard.folder, config), options);
                }
                add(all, yard, "node", NodeProcess.serve(yard.folder, config, null), options);
                if (options.other() == null) {
                    add(
                            all,
                            yard,
                            "node, one pool by an operator's file",
                            NodeProcess.serve(yard.folder, config, pools),
                            options);
                    yard.write("pseudonyms", "of this play alone, sixteen bytes or more");
                    Path records = yard.write(
                            "records.toml",
                            "[records]\nfolder = \"records\"\npseudonym-key = \"pseudonyms\"\n"
                                    + "[[pool]]\nname = \"one\"\nsettings = \"platform\"\n\n[[route]]\npool = \"one\"\n");
                    add(
                            all,
                            yard,
                            "the same, its traffic recorded",
                            NodeProcess.serve(yard.folder, config, records),
                            options);
                }
                measure(options, report, all, yard.records);
            } finally {
                all.forEach(candidate -> candidate.process.close());
            }
        }
        return report;
    }

    private static void add(List<Candidate> all, Yard yard, String name, NodeProcess process, Options options) {
        Load.Group group = new Load.Group("one", "app.svc", "/api?slot=1", 0.35, 200, "bulk", 2_000, 200, false);
        all.add(new Candidate(
                name, process, new Load(yard.loop(), group, process.address(), yard.records, options.seed())));
    }

    /** Loads all in turn, and puts their figures into the report. */
    static void measure(Options options, Report report, List<Candidate> all, Records records) throws Exception {
        rounds(report, all, records, RATE, options.isShort() ? 2 : 16, options.isShort() ? 1_500 : 2_000);
        report.row(
                "program",
                "CPU us a request, median",
                "least",
                "most",
                "to the first, median",
                "least",
                "most",
                "ready after ms",
                "resident MiB",
                "p50 us",
                "p99 us",
                "calls a request");
        for (Candidate one : all) {
            report.row(
                    one.name,
                    number(median(one.micros)),
                    number(one.micros.stream().min(Double::compare).orElse(0.0)),
                    number(one.micros.stream().max(Double::compare).orElse(0.0)),
                    number(median(ratios(one, all.get(0)))),
                    number(ratios(one, all.get(0)).stream().min(Double::compare).orElse(0.0)),
                    number(ratios(one, all.get(0)).stream().max(Double::compare).orElse(0.0)),
                    TimeUnit.NANOSECONDS.toMillis(one.process.readyAfter()),
                    number(one.process.resident() / 1024.0),
                    one.seen.served.getValueAtPercentile(50),
                    one.seen.served.getValueAtPercentile(99),
                    number(one.calls.get() / (double) Math.max(1, one.seen.ok)));
        }
    }

    /** Loads all in turn, so many rounds of so many milliseconds each, after one that does not count. */
    static void rounds(Report report, List<Candidate> all, Records records, double rate, int rounds, long stretch)
            throws Exception {
        for (int i = -1; i < rounds; i++) {
            // The first round is for the compilers.
            List<Candidate> order = new ArrayList<>(all);
            if (i % 2 == 0) {
                Collections.reverse(order);
            }
            for (Candidate one : order) {
                one.load.turn();
                long cpu = one.process.cpu();
                int calls = records.counted().size();
                one.load.rate(rate);
                Thread.sleep(stretch);
                one.load.rate(0);
                one.load.settle();
                Load.Stretch seen = one.load.turn();
                if (i >= 0) {
                    one.seen.add(seen);
                    one.calls.addAndGet(records.counted().size() - calls);
                    one.micros.add((one.process.cpu() - cpu) / 1e3 / Math.max(1, seen.ok));
                }
                if (i >= 0) {
                    report.claim(
                            one.name + " serves all in round " + i + " (" + seen.ok + " of " + seen.sent + ", "
                                    + seen.turnedAway + " turned away, " + seen.failed + " failed, " + seen.none
                                    + " without an answer)",
                            seen.ok > 0.98 * seen.sent);
                }
            }
        }
    }

    /** Round by round. */
    static List<Double> ratios(Candidate of, Candidate to) {
        List<Double> ratios = new ArrayList<>();
        for (int i = 0; i < of.micros.size(); i++) {
            ratios.add(of.micros.get(i) / to.micros.get(i));
        }
        return ratios;
    }

    static double median(List<Double> of) {
        double[] sorted = of.stream().mapToDouble(x -> x).sorted().toArray();
        int n = sorted.length;
        return n == 0 ? 0 : (sorted[(n - 1) / 2] + sorted[n / 2]) / 2;
    }

    static String number(double x) {
        return String.format(Locale.ROOT, "%.3g", x);
    }
}
