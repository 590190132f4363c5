package rushpin.rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rushpin.judge.Judge;

/** A newcomer's first minute: two services behind one node, a line a second, and the curl that books a pickup. */
final class DemoScenario implements Scenario {
    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String line() {
        return "lookups and bookings behind one node, with a server that fails and one that drains, a line a second";
    }

    @Override
    public Report play(Options options) throws Exception {
        Report report = new Report(name(), options.seed());
        List<RigConfig.Plan> plans = List.of(new RigConfig.Plan("bulk", 500, 1_000, 0, 0, 0));
        AppServer.Work work = new AppServer.Work(4, 8, 20_000, 60_000, RigConfig.KEY_WINDOW_MS * 1_000_000);
        int seconds = options.isShort() ? 10 : 45;
        try (Yard yard = new Yard()) {
            for (String pool : List.of("lookups", "bookings")) {
                yard.write(
                        pool + ".json",
                        RigConfig.json(1024, 1, yard.pool(pool, 3, work, options.seed()), yard.counter, plans));
            }
            Path file = yard.write("rushpin.toml", """
                [[pool]]
                name = "lookups"
                settings = "lookups.json"

                [[pool]]
                name = "bookings"
                settings = "bookings.json"

                [[route]]
                pool = "lookups"
                host = "slots.example.org"

                [[route]]
                pool = "bookings"
                host = "orders.example.org"
                """);
            try (NodeProcess node = NodeProcess.serve(yard.folder, yard.folder.resolve("lookups.json"), file)) {
                System.out.println("one edge node, process " + node.pid() + ", two pools of three app servers each");
                System.out.println("book a pickup yourself, while this runs:");
                System.out.println();
                System.out.println(
                        "  curl -i http://127.0.0.1:" + node.address().getPort() + "/api?slot=7 "
                                + "-H 'Host: orders.example.org' -H \"X-Trace-Id: me-$RANDOM\" -H 'X-Qos: order' "
                                + "-H 'X-Plan: bulk' -H 'Cookie: customer=00000000000000aa' -H 'X-Expires-In-Ms: 2000' "
                                + "-H \"Idempotency-Key: mine-$RANDOM\" -H 'X-Quota: units=1,spread=1,first=0' -d '{}'");
                System.out.println();
                show(options, report, yard, node, seconds);
                report.claim("the node ends its drain with 0", node.stop() == 0);
            }
            yard.end();
            report.add(Judge.judge(yard.records, RigConfig.rules(plans)));
        }
        return report;
    }

    private static void show(Options options, Report report, Yard yard, NodeProcess node, int seconds)
            throws Exception {
        Load lookups = new Load(
                yard.loop(),
                new Load.Group("lookups", "slots.example.org", "/api?slot=1", 0, 40, "bulk", 2_000, 200, true),
                node.address(),
                yard.records,
                options.seed());
        Load bookings = new Load(
                yard.loop(),
                new Load.Group("bookings", "orders.example.org", "/api?slot=1", 1, 40, "bulk", 2_000, 200, true),
                node.address(),
                yard.records,
                options.seed() + 1);
        lookups.rate(60);
        bookings.rate(30);
        AppServer failing = yard.servers("lookups").get(0),
                draining = yard.servers("bookings").get(1);
        List<List<Load.Stretch>> seen = new ArrayList<>();
        Load.Stretch allLookups = new Load.Stretch(), allBookings = new Load.Stretch();
        for (int second = 1; second <= seconds; second++) {
            String news = "";
            if (second == seconds / 3) {
                failing.fault(Faults.Kind.FAIL_FAST);
                news = "lookups' " + failing.id + " now fails fast";
            } else if (second == seconds / 2) {
                yard.discovery("bookings").set(draining, "Terminating", 0);
                news = "bookings' " + draining.id + " now drains";
            } else if (second == seconds * 2 / 3) {
                failing.fault(null);
                yard.discovery("bookings").set(draining, "Ready", 0);
                news = "both are well again";
            }
            Thread.sleep(1_000);
            Load.Stretch one = lookups.turn(), two = bookings.turn();
            System.out.printf(
                    Locale.ROOT,
                    "%3d s  lookups %3d served %2d refused %2d failed, p99 %4.0f ms   bookings %3d "
                            + "served %2d refused %2d failed, p99 %4.0f ms   %s%n",
                    second,
                    one.ok,
                    one.turnedAway,
                    one.failed,
                    one.served.getValueAtPercentile(99) / 1e3,
                    two.ok,
                    two.turnedAway,
                    two.failed,
                    two.served.getValueAtPercentile(99) / 1e3,
                    news);
            seen.add(List.of(one, two));
        }
        lookups.rate(0);
        bookings.rate(0);
        lookups.settle();
        bookings.settle();
        // The last answers of a second come in the next one.
        for (List<Load.Stretch> second : seen) {
            allLookups.add(second.get(0));
            allBookings.add(second.get(1));
        }
        report.row("pool", "sent", "served", "refused", "failed");
        report.row("lookups", allLookups.sent, allLookups.ok, allLookups.turnedAway, allLookups.failed);
        report.row("bookings", allBookings.sent, allBookings.ok, allBookings.turnedAway, allBookings.failed);
        report.claim("most lookups are served", allLookups.ok > 0.8 * allLookups.sent);
        report.claim("most bookings are served", allBookings.ok > 0.8 * allBookings.sent);
    }
}
