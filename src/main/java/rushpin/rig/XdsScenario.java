package rushpin.rig;

import com.google.protobuf.Any;
import com.google.protobuf.Duration;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.AggregatedConfigSource;
import io.envoyproxy.envoy.config.core.v3.ConfigSource;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.Metadata;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.Endpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import rushpin.judge.Judge;
import rushpin.judge.Records;

/**
 * A pool by xDS under load, in both forms: drains, removals, empties and bad updates, a thousand a minute, and a
 * management server that is killed and comes back; held against a stretch of the same run with no change. Then what a
 * list of some size costs.
 */
final class XdsScenario implements Scenario {
    private static final String POOL = "yard";
    private static final int SERVERS = 10;
    private static final double RATE = 400;
    private static final long MS = 1_000_000L, EVERY_MS = 60;

    @Override
    public String name() {
        return "xds";
    }

    @Override
    public String line() {
        return "servers by xDS under load: drains, empties, bad updates, a management server killed; size of the list";
    }

    @Override
    public Report play(Options options) throws Exception {
        Report report = new Report(name(), options.seed());
        report.row(
                "form",
                "stretch",
                "changes",
                "tries",
                "served",
                "refused",
                "failed",
                "no answer",
                "not served %",
                "p50 ms",
                "p99 ms",
                "push to last new send ms, p50",
                "p99",
                "most",
                "refusals of updates");
        for (String form : List.of("delta", "sotw")) {
            new Play(options, form, report).run();
        }
        report.row(
                "form",
                "endpoints",
                "ready after ms",
                "resident MiB",
                "CPU ms a change",
                "bytes a change",
                "ack ms, median");
        for (int size : options.isShort() ? List.of(5_000) : List.of(100, 1_000, 5_000)) {
            size(options, "delta", size, report);
        }
        return report;
    }

    static Cluster cluster() {
        return Cluster.newBuilder()
                .setName(POOL)
                .setType(Cluster.DiscoveryType.EDS)
                .setEdsClusterConfig(Cluster.EdsClusterConfig.newBuilder()
                        .setEdsConfig(ConfigSource.newBuilder().setAds(AggregatedConfigSource.getDefaultInstance())))
                .setConnectTimeout(Duration.newBuilder().setNanos(250_000_000))
                .build();
    }

    static LbEndpoint endpoint(String id, String host, int port, HealthStatus health) {
        // Warm for long: what comes back after a slip of the list was not started anew.
        Struct said = Struct.newBuilder()
                .putFields("id", Value.newBuilder().setStringValue(id).build())
                .putFields("started_ms", Value.newBuilder().setNumberValue(0).build())
                .build();
        return LbEndpoint.newBuilder()
                .setHealthStatus(health)
                .setMetadata(Metadata.newBuilder().putFilterMetadata("rushpin", said))
                .setEndpoint(Endpoint.newBuilder()
                        .setAddress(Address.newBuilder()
                                .setSocketAddress(SocketAddress.newBuilder()
                                        .setAddress(host)
                                        .setPortValue(port))))
                .build();
    }

    static ClusterLoadAssignment assignment(Iterable<LbEndpoint> of) {
        return ClusterLoadAssignment.newBuilder()
                .setClusterName(POOL)
                .addEndpoints(LocalityLbEndpoints.newBuilder()
                        .setLocality(Locality.newBuilder().setZone("a"))
                        .addAllLbEndpoints(of))
                .build();
    }

    private static String operator(String form, ManagementServer server) {
        return "[[pool]]\nname = \"" + POOL + "\"\nsettings = \"platform\"\n\n[pool.xds]\nservers = [\""
                + server.address() + "\"]\nform = \"" + form + "\"\n\n[[route]]\npool = \"" + POOL + "\"\n";
    }

    /** One form, with a node and a load of its own. */
    private static final class Play {
        private final Options options;
        private final String form;
        private final Report report;
        private final SplittableRandom random;
        /** What the management server says: health by server; null if it is not named. */
        private final Map<String, HealthStatus> world = new TreeMap<>();

        private final Map<String, AppServer> servers = new HashMap<>();
        private final Map<String, Long> toldAt = new HashMap<>();
        private ManagementServer management;
        private Records records;
        private int changes, refused;

        Play(Options options, String form, Report report) {
            this.options = options;
            this.form = form;
            this.report = report;
            random = new SplittableRandom(options.seed() * 131 + form.hashCode());
        }

        void run() throws Exception {
            RigConfig.Plan plan = new RigConfig.Plan("bulk", 100_000, 100_000, 0, 0, 0);
            AppServer.Work work = new AppServer.Work(8, 16, 15_000, 25_000, RigConfig.KEY_WINDOW_MS * 1_000_000);
            try (Yard yard = new Yard();
                    ManagementServer server = new ManagementServer()) {
                management = server;
                records = yard.records;
                Discovery discovery = yard.pool(POOL, SERVERS, work, options.seed() * 17);
                yard.servers(POOL).forEach(each -> {
                    servers.put(each.id, each);
                    world.put(each.id, HealthStatus.HEALTHY);
                });
                server.set(POOL, cluster());
                server.set(POOL, assignment(endpoints()));
                Path config = yard.write("node.json", RigConfig.json(1024, 1, discovery, yard.counter, List.of(plan)));
                try (NodeProcess node =
                        NodeProcess.serve(yard.folder, config, yard.write("x.toml", operator(form, server)))) {
                    load(yard, node);
                    report.claim(form + ": the node ends its drain with 0", node.stop() == 0);
                }
                toldAt.forEach((id, at) -> records.add(new Records.Told(POOL, id, at, Long.MAX_VALUE)));
                report.add(Judge.judge(records, RigConfig.rules(List.of(plan))));
            }
        }

        private List<LbEndpoint> endpoints() {
            List<LbEndpoint> all = new ArrayList<>();
            world.forEach((id, health) -> {
                if (health != null) {
                    String address = servers.get(id).address();
                    int colon = address.lastIndexOf(':');
                    all.add(endpoint(
                            id, address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)), health));
                }
            });
            return all;
        }

        private void load(Yard yard, NodeProcess node) throws Exception {
            Load load = new Load(
                    yard.loop(),
                    new Load.Group(POOL, "yard.example.org", "/api?slot=1", 0.35, 50, "bulk", 2_000, 400, false),
                    node.address(),
                    yard.records,
                    options.seed() + 1);
            load.rate(RATE);
            Thread.sleep(options.isShort() ? 1_000 : 5_000);
            load.turn();
            Thread.sleep(options.isShort() ? 1_500 : 30_000);
            Load.Stretch calm = load.turn();
            int count = options.isShort() ? 70 : 2_000;
            int killAt = count / 2, backAt = killAt + (options.isShort() ? 10 : 100);
            for (int i = 0; i < count; i++) {
                if (i == killAt) {
                    management.kill();
                } else if (i == backAt) {
                    management.again();
                    awaitNode();
                } else if (i < killAt || i > backAt) {
                    change();
                }
                Thread.sleep(EVERY_MS);
            }
            // The list as it was at first, and time for it to arrive.
            world.replaceAll((id, health) -> HealthStatus.HEALTHY);
            tell();
            Thread.sleep(500);
            Load.Stretch rough = load.turn();
            Thread.sleep(1_000);
            Load.Stretch after = load.turn();
            load.rate(0);
            load.settle();
            countReplies();
            row("calm", calm, false);
            row("changes", rough, true);
            row("after", after, false);
            report.claim(form + ": bad updates are refused by name (" + refused + ")", refused > 0);
            report.claim(form + ": after the last change all is served", after.ok > 0 && after.ok >= 0.99 * after.sent);
        }

        private boolean countReplies() {
            boolean any = false;
            for (ManagementServer.Reply r = management.replies().poll();
                    r != null;
                    r = management.replies().poll()) {
                refused += r.error() == null ? 0 : 1;
                any = true;
            }
            return any;
        }

        /** A change counts as told when it is written to the node: until that is back on a stream nothing is changed. */
        private void awaitNode() throws InterruptedException {
            countReplies();
            long end = System.nanoTime() + 30_000 * MS;
            while (!countReplies() && System.nanoTime() < end) {
                Thread.sleep(5);
            }
            Thread.sleep(200);
        }

        private void change() {
            changes++;
            List<String> ids = new ArrayList<>(world.keySet());
            String id = ids.get(random.nextInt(ids.size()));
            long ready =
                    world.values().stream().filter(HealthStatus.HEALTHY::equals).count();
            int kind = random.nextInt(20);
            if (kind == 0) {
                // Nothing at all, for one change's time.
                Map<String, HealthStatus> before = new TreeMap<>(world);
                world.replaceAll((name, health) -> null);
                tell();
                world.putAll(before);
                return;
            }
            if (kind <= 2) {
                management.say(
                        "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
                        Map.of(
                                POOL,
                                Any.pack(assignment(List.of(
                                        endpoint("bad", "127.0.0.1", kind == 1 ? 0 : 70_000, HealthStatus.HEALTHY))))));
                return;
            }
            if (world.get(id) == HealthStatus.HEALTHY && ready > SERVERS / 2) {
                world.put(id, kind % 2 == 0 ? HealthStatus.DRAINING : null);
            } else {
                world.put(id, HealthStatus.HEALTHY);
            }
            tell();
        }

        /** Says the world, and writes down what the node was told by it and when. */
        private void tell() {
            // Who hears that a server is back may send at once, before this thread goes on.
            long begun = System.nanoTime();
            management.set(POOL, assignment(endpoints()));
            long now = System.nanoTime();
            world.forEach((id, health) -> {
                if (health != HealthStatus.HEALTHY) {
                    toldAt.putIfAbsent(id, now);
                } else if (toldAt.containsKey(id)) {
                    records.add(new Records.Told(POOL, id, toldAt.remove(id), begun));
                }
            });
        }

        /** How long after each push something new still came to a server that it took away, in milliseconds. */
        private List<Double> lags() {
            List<Double> lags = new ArrayList<>();
            Map<String, List<Records.Attempt>> by = new HashMap<>();
            records.attempts()
                    .forEach(a -> by.computeIfAbsent(a.server(), s -> new ArrayList<>())
                            .add(a));
            for (Records.Told told : records.told()) {
                double last = 0;
                for (Records.Attempt a : by.getOrDefault(told.server(), List.of())) {
                    if (a.first() > told.at() && a.first() < told.until()) {
                        last = Math.max(last, (a.first() - told.at()) / 1e6);
                    }
                }
                lags.add(last);
            }
            lags.sort(null);
            return lags;
        }

        private void row(String stretch, Load.Stretch of, boolean rough) {
            int tries = of.ok + of.turnedAway + of.failed + of.none;
            List<Double> lags = rough ? lags() : List.of();
            report.row(
                    form,
                    stretch,
                    rough ? changes : 0,
                    tries,
                    of.ok,
                    of.turnedAway,
                    of.failed,
                    of.none,
                    number(100.0 * (tries - of.ok) / Math.max(1, tries)),
                    number(of.served.getValueAtPercentile(50) / 1e3),
                    number(of.served.getValueAtPercentile(99) / 1e3),
                    rough ? number(lags.get(lags.size() / 2)) : "",
                    rough ? number(lags.get((int) (0.99 * (lags.size() - 1)))) : "",
                    rough ? number(lags.get(lags.size() - 1)) : "",
                    rough ? refused : "");
        }
    }

    /** A list of so many, and one of them that changes a hundred times. */
    private void size(Options options, String form, int size, Report report) throws Exception {
        RigConfig.Plan plan = new RigConfig.Plan("bulk", 100_000, 100_000, 0, 0, 0);
        AppServer.Work work = new AppServer.Work(8, 16, 500, 1_000, RigConfig.KEY_WINDOW_MS * 1_000_000);
        int changes = options.isShort() ? 20 : 200;
        try (Yard yard = new Yard();
                ManagementServer server = new ManagementServer()) {
            Discovery discovery = yard.pool(POOL, 1, work, options.seed());
            List<LbEndpoint> all = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                all.add(endpoint(
                        "s-" + i,
                        "10." + i / 65_536 + "." + i / 256 % 256 + "." + i % 256,
                        8_081,
                        HealthStatus.HEALTHY));
            }
            server.set(POOL, cluster());
            server.set(POOL, assignment(all));
            Path config = yard.write("node.json", RigConfig.json(1024, 1, discovery, yard.counter, List.of(plan)));
            try (NodeProcess node =
                    NodeProcess.serve(yard.folder, config, yard.write("x.toml", operator(form, server)))) {
                Thread.sleep(options.isShort() ? 1_000 : 2_000);
                server.replies().clear();
                List<Double> acks = new ArrayList<>();
                int taken = 0;
                // What a node does that hears of no change is taken off.
                long before = node.cpu(), rest = System.nanoTime();
                Thread.sleep(options.isShort() ? 1_000 : 3_000);
                double idle = (node.cpu() - before) / (double) (System.nanoTime() - rest);
                long cpu = node.cpu(), began = System.nanoTime(), bytes = 0;
                for (int i = 0; i < changes; i++) {
                    all.set(
                            7,
                            endpoint(
                                    "s-7",
                                    "10.0.0.7",
                                    8_081,
                                    i % 2 == 0 ? HealthStatus.DRAINING : HealthStatus.HEALTHY));
                    ClusterLoadAssignment changed = assignment(all);
                    bytes = changed.getSerializedSize();
                    long at = System.nanoTime();
                    server.set(POOL, changed);
                    ManagementServer.Reply reply = server.replies().poll(30, TimeUnit.SECONDS);
                    acks.add((System.nanoTime() - at) / 1e6);
                    taken += reply != null && reply.error() == null ? 1 : 0;
                    Thread.sleep(20);
                }
                acks.sort(null);
                report.row(
                        form,
                        size,
                        node.readyAfter() / MS,
                        number(node.resident() / 1024.0),
                        number((node.cpu() - cpu - idle * (System.nanoTime() - began)) / 1e6 / changes),
                        bytes,
                        number(acks.get(acks.size() / 2)));
                report.claim(
                        size + " endpoints: all changes are taken (" + taken + " of " + changes + ")",
                        taken == changes);
                report.claim(size + " endpoints: the node lives in its heap", node.isAlive());
            }
        }
    }

    private static String number(double x) {
        return String.format(Locale.ROOT, "%.3g", x);
    }
}
