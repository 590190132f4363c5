package rushpin.rig;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import rushpin.fit.Fit;
import rushpin.fit.FittedDistribution;
import rushpin.judge.Judge;
import rushpin.study.Choice;
import rushpin.study.Runner;
import rushpin.study.Study;
import rushpin.traffic.RecordedTraffic;

/**
 * The model held against reality: a loopback fleet is played and recorded, a day is fitted to the records, and what the model then
 * says of further seeds, calm, with a node lost and with servers that fail fast, is held against real runs of those.
 */
final class ModelScenario implements Scenario {
    private static final String POOL = "model";
    private static final int NODES = 3, SERVERS = 6, CORES = 4, LINE = 16, CUSTOMERS = 60, PATIENCE_MS = 2_000;
    private static final long MS = 1_000_000L, LEAST = 30_000, MOST = 60_000, AWAY_MS = 500;
    /** Offered: 0.55 of what the servers can do. */
    private static final double RATE = 0.55 * SERVERS * CORES * 1e6 / ((LEAST + MOST) / 2.0);

    private static final int SEEDS = 40;
    private static final double LEVEL = 0.99;
    private static final List<String> FIGURES = List.of("served-tries", "p50-ms", "p99-ms");

    private enum Situation {
        CALM,
        NODE_LOST,
        SERVERS_FAIL_FAST
    }

    /** What a real run showed. */
    private record Seen(double served, double p50, double p99, double awayMs) {
        double of(String figure) {
            return figure.equals("p50-ms") ? p50 : figure.equals("p99-ms") ? p99 : served;
        }
    }

    @Override
    public String name() {
        return POOL;
    }

    @Override
    public String line() {
        return "records of a real fleet, a model fitted to them, and its forecast against further real runs";
    }

    @Override
    public Report play(Options options) throws Exception {
        Report report = new Report(name(), options.seed());
        RigConfig.Plan plan = new RigConfig.Plan("bulk", RATE / CUSTOMERS * 4, RATE / CUSTOMERS * 12, 0, 0, 0);
        try (Yard yard = new Yard()) {
            yard.pool(
                    POOL,
                    SERVERS,
                    new AppServer.Work(CORES, LINE, LEAST, MOST, RigConfig.KEY_WINDOW_MS * MS),
                    options.seed() * 31);
            yard.write("pseudonyms", "of this play alone, sixteen bytes or more");
            try (Fleet fleet = new Fleet(
                            yard,
                            POOL,
                            NODES,
                            FleetNode.Way.OWN,
                            List.of(plan),
                            node -> "[records]\nfolder = \"records\"\npseudonym-key = \"pseudonyms\"\n");
                    FleetFront front = new FleetFront(fleet.nodes, options.seed())) {
                fleet.all(fleet.nodes, FleetNode::start);
                Load load = new Load(
                        yard.loop(),
                        new Load.Group(POOL, "app.svc", "/api?slot=1", 0.35, CUSTOMERS, "bulk", PATIENCE_MS, 400, true),
                        front,
                        yard.records,
                        options.seed() * 7);
                new Play(options, report, yard, fleet.nodes, front, load).run();
            }
            yard.end();
            report.add(Judge.judge(yard.records, RigConfig.rules(List.of(plan))));
        }
        return report;
    }

    /** One fleet, recorded first and then forecast. */
    private static final class Play {
        private final Options options;
        private final Report report;
        private final Yard yard;
        private final List<FleetNode> fleet;
        private final FleetFront front;
        private final Load load;

        Play(Options options, Report report, Yard yard, List<FleetNode> fleet, FleetFront front, Load load) {
            this.options = options;
            this.report = report;
            this.yard = yard;
            this.fleet = fleet;
            this.front = front;
            this.load = load;
        }

        void run() throws Exception {
            long span = options.isShort() ? 4_000 : 12_000;
            // The first stretch is for the compilers; it is not fitted.
            real(Situation.CALM, options.isShort() ? 2_500 : 6_000);
            long begin = System.currentTimeMillis() * 1_000;
            Seen fitted = real(Situation.CALM, options.isShort() ? 5_000 : 20_000);
            // A block of records ends each second.
            Thread.sleep(1_500);
            long end = System.currentTimeMillis() * 1_000;
            RecordedTraffic all = RecordedTraffic.read(yard.folder.resolve("records"));
            RecordedTraffic recorded = new RecordedTraffic(
                    all.entries().stream()
                            .filter(e -> e.at() >= begin && e.at() <= end)
                            .toList(),
                    all.notes(),
                    all.dropped());
            Path settings = yard.folder.resolve("n0.json");
            Choice choice = Choice.of(settings.toString(), null);
            Fit fit = new Fit(recorded, choice.settings(), given(), POOL);
            for (Map.Entry<String, FittedDistribution> law : fit.distributions().entrySet()) {
                report.claim(
                        String.format(
                                Locale.ROOT,
                                "work of %s is told by %d attempts: %s, p = %.3f",
                                law.getKey(),
                                law.getValue().samples(),
                                law.getValue().kept() ? law.getValue().name() : "its own quantiles",
                                law.getValue().p()),
                        law.getValue().samples() >= FittedDistribution.MIN_SAMPLES);
            }
            Map<String, String> day = fit.day();
            try (Runner runner = new Runner(Math.max(1, Runtime.getRuntime().availableProcessors() / 2), 120)) {
                calibrate(day, choice, runner, fitted);
                report.row("situation", "run", "figure", "forecast from", "to", "measured", "within");
                int rounds = options.isShort() ? 1 : 4, within = 0, held = 0;
                for (int i = 0; i < rounds; i++) {
                    for (Situation situation : Situation.values()) {
                        Seen seen = real(situation, span);
                        List<Map<String, Object>> runs = forecast(day, choice, runner, situation, span, seen.awayMs);
                        for (String figure : FIGURES) {
                            Study.Forecast of = Study.forecast(runs, figure, LEVEL);
                            // What the clients' own process adds no record shows; whole steps of a histogram and of a
                            // share.
                            double slack =
                                    figure.equals("p50-ms") ? 1 : figure.equals("p99-ms") ? 0.1 * of.mean() : 0.005;
                            boolean holds = seen.of(figure) >= of.low() - slack && seen.of(figure) <= of.high() + slack;
                            report.row(
                                    situation.name().toLowerCase(Locale.ROOT),
                                    i + 1,
                                    figure,
                                    number(of.low() - slack),
                                    number(of.high() + slack),
                                    number(seen.of(figure)),
                                    holds ? "yes" : "no");
                            within += holds ? 1 : 0;
                            held++;
                        }
                    }
                }
                report.claim(
                        within + " of " + held + " measured figures lie within the forecast's bars",
                        within >= 0.88 * held);
                report.claim(
                        String.format(Locale.ROOT, "%.0f us of one core a simulated try", runner.microsPerTry()), true);
            }
        }

        private static String number(double x) {
            return String.format(Locale.ROOT, "%.4f", x);
        }

        /** What no record tells. */
        private Map<String, String> given() {
            Map<String, String> given = new TreeMap<>();
            given.put("servers.cores", String.valueOf(CORES));
            given.put("servers.line", String.valueOf(LINE));
            given.put("clients.retries", "2");
            given.put("clients.retry-wait-ms", "100");
            given.put("clients.reconnect-ms", String.valueOf(Load.RECONNECT_MS));
            given.put("network.one-way-us", "50");
            given.put("network.connect-us", "200");
            return given;
        }

        /** What lies before a node's record and behind it, from the run that was fitted: the median's difference. */
        private void calibrate(Map<String, String> day, Choice choice, Runner runner, Seen fitted) throws Exception {
            List<Map<String, Object>> runs = forecast(day, choice, runner, Situation.CALM, 4_000, 0);
            double beside = fitted.p50 - Study.forecast(runs, "p50-ms", LEVEL).mean();
            String[] known = day.getOrDefault("fleet.node", "quantiles 0 0").split(" ");
            for (int i = 1; i < known.length; i++) {
                known[i] = String.valueOf(Math.max(0, Double.parseDouble(known[i]) + beside));
            }
            day.put("fleet.node", String.join(" ", known));
        }

        private List<Map<String, Object>> forecast(
                Map<String, String> fitted,
                Choice choice,
                Runner runner,
                Situation situation,
                long spanMs,
                double awayMs)
                throws Exception {
            Map<String, String> day = new TreeMap<>(fitted);
            day.put("seconds", String.valueOf(spanMs / 1e3));
            if (situation != Situation.CALM) {
                boolean lost = situation == Situation.NODE_LOST;
                day.put("trouble.count", "1");
                day.put("trouble.0.kind", lost ? "nodes-die" : "servers-fail-fast");
                day.put("trouble.0.part", String.valueOf(1.0 / (lost ? NODES : SERVERS)));
                day.put("trouble.0.at-s", String.valueOf(spanMs / 4e3));
                day.put("trouble.0.for-s", String.valueOf(lost ? awayMs / 1e3 : spanMs / 2e3));
                if (!lost) {
                    day.put("trouble.0.chance", "1");
                }
            }
            return new Study(
                            runner, day, null, new Study.Options(LEVEL, 1, SEEDS, SEEDS, options.seed() * 1_000, false))
                    .play(choice, SEEDS);
        }

        /** A real run, with its trouble from a quarter of it on. */
        private Seen real(Situation situation, long spanMs) throws Exception {
            load.turn();
            load.rate(RATE);
            Thread.sleep(spanMs / 4);
            double away = 0;
            if (situation == Situation.NODE_LOST) {
                FleetNode node = fleet.get(NODES - 1);
                front.died(node);
                long begin = System.nanoTime();
                node.kill(AWAY_MS);
                away = (System.nanoTime() - begin) / 1e6;
                Thread.sleep(Math.max(0, spanMs * 3 / 4 - (long) away));
            } else {
                AppServer server = yard.servers(POOL).get(0);
                server.fault(situation == Situation.SERVERS_FAIL_FAST ? Faults.Kind.FAIL_FAST : null);
                Thread.sleep(spanMs / 2);
                server.fault(null);
                Thread.sleep(spanMs / 4);
            }
            load.rate(0);
            load.settle();
            Load.Stretch seen = load.turn();
            load.settleStretch(seen);
            return new Seen(
                    seen.ok / (double) Math.max(1, seen.sent),
                    seen.served.getValueAtPercentile(50) / 1e3,
                    seen.served.getValueAtPercentile(99) / 1e3,
                    away);
        }
    }
}
