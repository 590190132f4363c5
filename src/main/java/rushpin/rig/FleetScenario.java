package rushpin.rig;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import rushpin.judge.Judge;
import rushpin.judge.Records;
import rushpin.rig.FleetNode.Way;

/**
 * A fleet of real processes behind a front: half of them restarted one after another, a quarter all at once, some killed
 * hard, reloads in bursts, under load. A calm stretch of the same run is what the restarts are held against.
 */
final class FleetScenario implements Scenario {
    private static final int CUSTOMERS = 24, HEAVY = 3;
    private static final String POOL = "fleet";

    @Override
    public String name() {
        return "fleet";
    }

    @Override
    public String line() {
        return "twenty nodes, half restarted under load, some killed hard: by each way of restarting";
    }

    @Override
    public Report play(Options options) throws Exception {
        Report report = new Report(name(), options.seed());
        report.row(
                "way",
                "nodes",
                "stretch",
                "tries",
                "served",
                "refused",
                "failed",
                "no answer",
                "not served %",
                "p99 ms",
                "restarts or kills",
                "gap ms, median",
                "most");
        List<Way> ways = options.isShort() ? List.of(Way.INHERITED) : List.of(Way.OWN, Way.REUSEPORT, Way.INHERITED);
        for (Way way : ways) {
            new Play(options, way, report).run();
        }
        return report;
    }

    /** One way of restarting, with a fleet of its own. */
    private static final class Play {
        private final Options options;
        private final Way way;
        private final Report report;
        private Fleet all;
        private List<FleetNode> fleet;
        private final List<Long> gaps = Collections.synchronizedList(new ArrayList<>());
        private int restarts, kills;
        private Load.Stretch rest;

        Play(Options options, Way way, Report report) {
            this.options = options;
            this.way = way;
            this.report = report;
        }

        void run() throws Exception {
            int count = options.isShort() ? 4 : 20;
            double capacity = options.isShort() ? 300 : 1_000;
            RigConfig.Plan light =
                    new RigConfig.Plan("bulk", capacity / CUSTOMERS * 2, capacity / CUSTOMERS * 4, 0, 0, 0);
            RigConfig.Plan heavy =
                    new RigConfig.Plan("basic", capacity / 50, capacity / 25, capacity / 25, capacity / 12.5, 8);
            List<RigConfig.Plan> plans = List.of(light, heavy);
            AppServer.Work work = new AppServer.Work(4, 16, 30_000, 50_000, RigConfig.KEY_WINDOW_MS * 1_000_000);
            try (Yard yard = new Yard()) {
                yard.pool(POOL, (int) (capacity / 100), work, options.seed() * 17);
                try (Fleet made = new Fleet(
                                yard,
                                POOL,
                                count,
                                way,
                                plans,
                                node -> "[process]\nlistener = \"" + way.name().toLowerCase(Locale.ROOT)
                                        + "\"\nstate = \"state-" + node + "\"\n");
                        FleetFront front = new FleetFront(made.nodes, options.seed())) {
                    all = made;
                    fleet = made.nodes;
                    made.all(fleet, FleetNode::start);
                    load(yard, front, capacity);
                }
                yard.end();
                List<Judge.Breach> found = Judge.judge(yard.records, RigConfig.rules(plans));
                report.add(found);
                use(yard.records);
            }
        }

        private void load(Yard yard, FleetFront front, double capacity) throws Exception {
            Load many = new Load(
                    yard.loop(),
                    new Load.Group(POOL, "fleet.example.org", "/api?slot=1", 0.35, CUSTOMERS, "bulk", 3_000, 800, true),
                    front,
                    yard.records,
                    options.seed() + 1);
            Load few = new Load(
                    yard.loop(),
                    new Load.Group(POOL, "fleet.example.org", "/api?slot=1", 0.35, HEAVY, "basic", 3_000, 300, true),
                    front,
                    yard.records,
                    options.seed() + 2);
            // Together some 80% of what the servers do; the few ask for three times their quota.
            many.rate(0.74 * capacity);
            few.rate(0.18 * capacity);
            Thread.sleep(options.isShort() ? 2_000 : 5_000);
            many.turn();
            few.turn();
            long calmMs = options.isShort() ? 4_000 : 20_000;
            Thread.sleep(calmMs);
            Load.Stretch calm = many.turn();
            Load.Stretch calmFew = few.turn();
            // As long without any restart, with the same load: what the restarts are held against.
            Thread.sleep(options.isShort() ? 4_000 : 20_000);
            rest = many.turn();
            few.turn();
            trouble(yard, front);
            Load.Stretch planned = many.turn();
            Load.Stretch plannedFew = few.turn();
            hard(yard, front);
            Thread.sleep(1_000);
            Load.Stretch rough = many.turn();
            Load.Stretch roughFew = few.turn();
            many.rate(0);
            few.rate(0);
            many.settle();
            few.settle();
            // What was taken last is told within a second or two.
            Thread.sleep(3_000);
            row("calm", calm, "");
            row("calm again", rest, "");
            row("restarts", planned, Integer.toString(restarts));
            row("kills, freeze", rough, kills + " and 1");
            row("calm, heavy", calmFew, "");
            row("restarts, heavy", plannedFew, Integer.toString(restarts));
            row("kills, freeze, heavy", roughFew, kills + " and 1");
            double more = notServed(planned) - notServed(rest);
            report.row(
                    way,
                    fleet.size(),
                    "a restart",
                    String.format(
                            Locale.ROOT,
                            "%.1f tries not served more than in the calm",
                            more * tries(planned) / Math.max(1, restarts)));
            report.claim(way + ": every node of the fleet serves at the end", all.isHealthy());
            if (way == Way.INHERITED) {
                report.claim(way + ": the longest gap of a restart is " + most() + " ms", most() < 250);
            }
        }

        private void trouble(Yard yard, FleetFront front) throws Exception {
            List<FleetNode> order = new ArrayList<>(fleet);
            Collections.shuffle(order, new Random(options.seed()));
            int half = fleet.size() / 2;
            // One after another, each in the middle of the drain of the one before.
            List<Future<?>> running = new ArrayList<>();
            for (FleetNode node : order.subList(0, half)) {
                running.add(all.begin(node, each -> restart(each, front)));
                Thread.sleep(options.isShort() ? 400 : 700);
            }
            Fleet.await(running);
            // A burst of reloads at the others.
            for (int i = 0; i < 10; i++) {
                all.all(order.subList(half, fleet.size()), node -> node.signal("HUP"));
                Thread.sleep(100);
            }
            // A server starts anew while a quarter of the nodes do: nobody may push it over, and each learns of it at
            // once.
            AppServer cold = yard.servers(POOL).get(0);
            cold.restart();
            yard.discovery(POOL).set(cold, "Ready", System.currentTimeMillis());
            // A quarter at once.
            all.all(order.subList(half, half + Math.max(1, fleet.size() / 4)), node -> restart(node, front));
        }

        private void hard(Yard yard, FleetFront front) throws Exception {
            List<FleetNode> order = new ArrayList<>(fleet);
            Collections.shuffle(order, new Random(options.seed()));
            // One is given settings that cannot be read, and stays with those that it has.
            FleetNode odd = order.get(0);
            String good = Files.readString(odd.config());
            Files.writeString(odd.config(), good.replace("\"units-top\"", "\"units-tip\""));
            odd.signal("HUP");
            // One stands still for 5 s; meanwhile a server drains, and is back when it has gone on for a while.
            FleetNode still = order.get(1);
            AppServer drained = yard.servers(POOL).get(1);
            Future<?> freezing = all.begin(still, node -> node.freeze(5_000));
            front.died(still);
            Thread.sleep(500);
            yard.discovery(POOL).set(drained, "Terminating", 0);
            freezing.get(30, TimeUnit.SECONDS);
            Thread.sleep(1_500);
            yard.discovery(POOL).set(drained, "Ready", 0);
            report.claim(way + ": a node whose settings went bad goes on", odd.isHealthy());
            Files.writeString(odd.config(), good);
            odd.signal("HUP");
            // Some killed hard, and started again when the platform has noticed.
            kills = options.isShort() ? 1 : 3;
            all.all(order.subList(fleet.size() - kills, fleet.size()), node -> {
                front.died(node);
                node.kill(1_500);
            });
        }

        /** One planned restart, with the span in which nobody answered at its address. */
        private void restart(FleetNode node, FleetFront front) throws Exception {
            AtomicBoolean over = new AtomicBoolean();
            CompletableFuture<Long> gap = CompletableFuture.supplyAsync(() -> gap(node, over), all.threads());
            synchronized (this) {
                restarts++;
            }
            if (way == Way.OWN) {
                front.ends(node);
                node.stop();
                node.start();
            } else {
                node.handOver();
            }
            Thread.sleep(300);
            over.set(true);
            gaps.add(gap.get(30, TimeUnit.SECONDS));
        }

        private static long gap(FleetNode node, AtomicBoolean over) {
            long last = System.nanoTime(), longest = 0;
            while (!over.get()) {
                if (node.isHealthy()) {
                    long now = System.nanoTime();
                    longest = Math.max(longest, now - last);
                    last = now;
                }
                try {
                    Thread.sleep(5);
                } catch (InterruptedException e) {
                    return longest / 1_000_000;
                }
            }
            return Math.max(longest, System.nanoTime() - last) / 1_000_000;
        }

        private long most() {
            return gaps.stream().mapToLong(x -> x).max().orElse(0);
        }

        private static int tries(Load.Stretch of) {
            return of.ok + of.turnedAway + of.failed + of.none;
        }

        private static double notServed(Load.Stretch of) {
            return (tries(of) - of.ok) / (double) Math.max(1, tries(of));
        }

        private void row(String stretch, Load.Stretch of, String trouble) {
            boolean rough = trouble.equals(Integer.toString(restarts));
            List<Long> sorted = gaps.stream().sorted().collect(Collectors.toList());
            report.row(
                    way,
                    fleet.size(),
                    stretch,
                    tries(of),
                    of.ok,
                    of.turnedAway,
                    of.failed,
                    of.none,
                    String.format(Locale.ROOT, "%.2f", 100 * notServed(of)),
                    String.format(Locale.ROOT, "%.0f", of.served.getValueAtPercentile(99) / 1e3),
                    trouble,
                    rough ? sorted.get(sorted.size() / 2) : "",
                    rough ? most() : "");
        }

        /** Units that servers saw against units that the counter was told. */
        private void use(Records records) {
            Map<String, Double> units = records.exchanges().stream()
                    .collect(Collectors.toMap(Records.Exchange::id, Records.Exchange::units, (a, b) -> a));
            double sent = records.attempts().stream()
                    .map(Records.Attempt::id)
                    .distinct()
                    .mapToDouble(id -> units.getOrDefault(id, 0.0))
                    .sum();
            AtomicLong told = new AtomicLong();
            records.counted().forEach(call -> told.addAndGet(Math.round(call.amount() * 1_000)));
            double error = told.get() / 1e3 - sent;
            report.row(
                    way,
                    fleet.size(),
                    "use",
                    String.format(Locale.ROOT, "%.0f units sent on", sent),
                    String.format(Locale.ROOT, "%.0f told", told.get() / 1e3),
                    String.format(Locale.ROOT, "%+.1f", error));
            // Pushes are a second apart at most: a kill leaves no more in doubt than a node takes in that time.
            double bound = kills * (options.isShort() ? 300.0 : 1_000.0) / fleet.size();
            report.claim(
                    String.format(
                            Locale.ROOT,
                            "%s: the counter was told %+.1f units beyond what was sent on, the bound is"
                                    + " %.0f either way",
                            way,
                            error,
                            bound),
                    Math.abs(error) <= bound);
        }
    }
}
