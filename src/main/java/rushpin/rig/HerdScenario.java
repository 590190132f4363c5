package rushpin.rig;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Future;
import rushpin.judge.Judge;

/**
 * Seven in ten nodes of a fleet are killed at one moment, in the middle of a release that replaces half of the app servers, one of
 * which fails fast. What the others then do for all, and whether the fleet is as it was once they are back.
 */
final class HerdScenario implements Scenario {
    private static final String POOL = "herd";
    private static final int CUSTOMERS = 40, HEAVY = 4, SERVERS = 8;
    private static final long MS = 1_000_000L;
    private static final double KILLED = 0.7;
    /** Requests a second that the servers can do, and the parts of that which are asked for by the many and the few. */
    private static final double CAPACITY = 400, MANY = 0.5, FEW = 0.1;

    @Override
    public String name() {
        return POOL;
    }

    @Override
    public String line() {
        return "seven in ten nodes killed at once in the middle of a release, one server failing fast";
    }

    @Override
    public Report play(Options options) throws Exception {
        Report report = new Report(name(), options.seed());
        RigConfig.Plan light =
                new RigConfig.Plan("bulk", CAPACITY * MANY / CUSTOMERS * 2, CAPACITY * MANY / CUSTOMERS * 4, 0, 0, 0);
        RigConfig.Plan heavy =
                new RigConfig.Plan("basic", CAPACITY / 50, CAPACITY / 25, CAPACITY / 25, CAPACITY / 12.5, 8);
        List<RigConfig.Plan> plans = List.of(light, heavy);
        try (Yard yard = new Yard()) {
            yard.pool(
                    POOL,
                    SERVERS,
                    new AppServer.Work(2, 16, 30_000, 50_000, RigConfig.KEY_WINDOW_MS * MS),
                    options.seed() * 17);
            try (Fleet fleet =
                            new Fleet(yard, POOL, options.isShort() ? 10 : 20, FleetNode.Way.OWN, plans, node -> "");
                    FleetFront front = new FleetFront(fleet.nodes, options.seed())) {
                fleet.all(fleet.nodes, FleetNode::start);
                new Play(options, report, yard, fleet, front).run();
            }
            yard.end();
            report.add(Judge.judge(yard.records, RigConfig.rules(plans)));
        }
        return report;
    }

    /** One fleet. */
    private static final class Play {
        private final Options options;
        private final Report report;
        private final Yard yard;
        private final Fleet fleet;
        private final FleetFront front;
        private final List<Load> loads;

        Play(Options options, Report report, Yard yard, Fleet fleet, FleetFront front) {
            this.options = options;
            this.report = report;
            this.yard = yard;
            this.fleet = fleet;
            this.front = front;
            loads = List.of(load("bulk", CUSTOMERS, 1), load("basic", HEAVY, 2));
        }

        private Load load(String plan, int customers, long seed) {
            return new Load(
                    yard.loop(),
                    new Load.Group(POOL, "app.svc", "/api?slot=1", 0.35, customers, plan, 2_500, 500, true),
                    front,
                    yard.records,
                    options.seed() * 31 + seed);
        }

        private void rates(double part) {
            loads.get(0).rate(CAPACITY * MANY * part);
            loads.get(1).rate(CAPACITY * FEW * part);
        }

        void run() throws Exception {
            report.row("stretch", "tries", "served", "refused", "failed", "no answer", "served %", "p99 ms");
            rates(1);
            Thread.sleep(options.isShort() ? 2_500 : 6_000);
            loads.get(0).turn();
            loads.get(1).turn();
            Thread.sleep(options.isShort() ? 4_000 : 15_000);
            double calm = row("calm");
            Future<?> release = fleet.begin(fleet.nodes.get(0), any -> release());
            Thread.sleep(1_000);
            row("release begins");
            herd();
            row("killed, until all serve");
            Fleet.await(List.of(release));
            // Nodes that have just started compile, and half of the servers are cold.
            Thread.sleep(options.isShort() ? 2_000 : 10_000);
            row("release ends");
            Thread.sleep(options.isShort() ? 4_000 : 15_000);
            rates(0);
            for (Load load : loads) {
                load.settle();
            }
            double after = row("behind it");
            report.claim("every node serves at the end", fleet.isHealthy());
            report.claim(
                    String.format(
                            Locale.ROOT,
                            "the fleet is as it was: %.1f%% of the tries served before, %.1f%% behind it",
                            100 * calm,
                            100 * after),
                    after >= calm - 0.1);
        }

        /** Half of the servers, one after another: told of, ended, and back as new ones; one of the others fails fast. */
        private void release() throws Exception {
            List<AppServer> servers = yard.servers(POOL);
            servers.get(SERVERS - 1).fault(Faults.Kind.FAIL_FAST);
            for (AppServer server : servers.subList(0, SERVERS / 2)) {
                yard.discovery(POOL).set(server, "Terminating", 0);
                Thread.sleep(options.isShort() ? 1_200 : 3_000);
                server.restart();
                yard.discovery(POOL).set(server, "Ready", System.currentTimeMillis());
            }
            servers.get(SERVERS - 1).fault(null);
        }

        private void herd() throws Exception {
            List<FleetNode> order = new ArrayList<>(fleet.nodes);
            Collections.shuffle(order, new Random(options.seed()));
            List<FleetNode> killed = order.subList(0, (int) Math.round(KILLED * order.size()));
            killed.forEach(front::died);
            long at = System.nanoTime();
            fleet.all(killed, node -> node.kill(500));
            report.claim(
                    String.format(
                            Locale.ROOT,
                            "%d of %d nodes killed at one moment serve again, %.1f s later",
                            killed.size(),
                            order.size(),
                            (System.nanoTime() - at) / 1e9),
                    killed.stream().allMatch(FleetNode::isHealthy));
        }

        /** Writes a stretch down; returns what part of its tries was served. */
        private double row(String stretch) throws Exception {
            Load.Stretch all = new Load.Stretch();
            for (Load load : loads) {
                Load.Stretch part = load.turn();
                load.settleStretch(part);
                all.add(part);
            }
            int tries = all.ok + all.turnedAway + all.failed + all.none;
            double served = all.ok / (double) Math.max(1, tries);
            report.row(
                    stretch,
                    tries,
                    all.ok,
                    all.turnedAway,
                    all.failed,
                    all.none,
                    String.format(Locale.ROOT, "%.1f", 100 * served),
                    String.format(Locale.ROOT, "%.0f", all.served.getValueAtPercentile(99) / 1e3));
            return served;
        }
    }
}
