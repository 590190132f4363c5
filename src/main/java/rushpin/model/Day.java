package rushpin.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What surrounds the decisions on a day: fleet, servers, network, clients, troubles. Made from pairs so that it passes
 * between builds as plain text.
 */
public final class Day {
    private static final double HOUR_S = 3_600;
    /** More tries than this are not played: some 300 bytes of heap each. */
    static final int MOST_TRIES = 2_000_000;
    /** What can go wrong, as a trouble's {@code kind}. */
    enum Kind {
        NODES_DIE,
        SERVERS_FAIL_FAST,
        SERVERS_SLOW,
        SERVERS_PAUSE,
        SERVERS_REPLACED,
        ZONE_LOST,
        COUNTER_SILENT,
        COUNTER_BLANK,
        OVERLOAD,
        HEAVY_CUSTOMER;

        String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }

        static List<String> words() {
            return java.util.Arrays.stream(values()).map(Kind::word).toList();
        }
    }

    /** A trouble: from when, for how long, of which part, how strong. */
    record Trouble(Kind kind, long at, long span, double part, double strength, int zone, boolean counter) {}

    /** Requests of a class: their part of all, and the work of one. */
    record ClassLoad(double share, Work work) {}

    /** Customers of a plan: their part of all requests, how many, and by how much the first ask more than the last. */
    record PlanLoad(double share, int customers, double skew) {}

    final long span, warmUp;
    final int nodes, spread, zones;
    /** What a node adds to a try, half of it before the module and half behind. */
    final Work node;

    final double[] notice;
    final int servers, cores, line;
    final boolean cancelStops;
    final long drainSpan;
    final long oneWay, betweenZones, connect, connectTimeout;
    final double[] tellMs;
    final double tellsPerSecond;
    final int counterParts;
    final long countSpan;
    final double rate;
    final int retries;
    final long retryWait;
    /** A client that finds a node dead tries to connect once more after so long. */
    final long reconnect;

    final boolean heed;
    final double[] patience;
    final double unitsMean;
    final double unitsMost;
    final Map<String, ClassLoad> classes = new TreeMap<>();
    final Map<String, PlanLoad> plans = new TreeMap<>();
    final List<Trouble> troubles = new ArrayList<>();

    private Day(Pairs p) {
        span = p.span("seconds", 60, HOUR_S * 2) * 1_000;
        warmUp = p.span("warm-up-s", 0, HOUR_S) * 1_000;
        nodes = p.whole("fleet.nodes", 3, 1, 200);
        spread = p.whole("fleet.spread", Math.min(3, nodes), 1, 200);
        zones = p.whole("fleet.zones", 1, 1, 16);
        Work adds = null;
        try {
            adds = Work.of(p.text("fleet.node", "fixed 0"));
        } catch (IllegalArgumentException e) {
            p.fault("fleet.node", e.getMessage());
        }
        node = adds;
        notice = p.range("front.notice-ms", 820, 4_000, 60_000);
        servers = p.whole("servers.count", Double.NaN, 1, 1_000);
        cores = p.whole("servers.cores", Double.NaN, 1, 1_024);
        line = p.whole("servers.line", 16, 0, 1_000_000);
        cancelStops = p.flag("servers.cancel-stops", false);
        drainSpan = p.span("servers.drain-ms", 6_000, 600_000);
        oneWay = p.span("network.one-way-us", 100, 1e7) / 1_000;
        betweenZones = p.span("network.between-zones-us", 600, 1e7) / 1_000;
        connect = p.span("network.connect-us", 200, 1e7) / 1_000;
        connectTimeout = p.span("network.connect-timeout-ms", 250, 60_000);
        tellMs = p.range("discovery.delay-ms", 100, 2_000, 600_000);
        tellsPerSecond = p.number("discovery.tells-per-s", 10_000, 1, 1e9);
        counterParts = p.whole("counter.parts", 2, 1, 64);
        countSpan = p.span("counter.call-us", 1_000, 1e7) / 1_000;
        rate = p.number("clients.rate", Double.NaN, 0, 1e6);
        retries = p.whole("clients.retries", 2, 0, 10);
        retryWait = p.span("clients.retry-wait-ms", 100, 600_000);
        reconnect = p.span("clients.reconnect-ms", 0, 60_000);
        heed = p.flag("clients.heed-retry-after", true);
        patience = p.range("clients.patience", 0.5, 1, 1);
        unitsMean = p.number("clients.units-mean", 1, 0.01, 1e6);
        unitsMost = p.number("clients.units-most", 1, 0.01, 1e6);
        for (String name : p.below("class.")) {
            String text = p.text("class." + name + ".work", "");
            Work work = null;
            try {
                work = Work.of(text);
            } catch (IllegalArgumentException e) {
                p.fault("class." + name + ".work", e.getMessage());
            }
            classes.put(name, new ClassLoad(p.number("class." + name + ".share", Double.NaN, 0, 1), work));
        }
        for (String name : p.below("plan.")) {
            plans.put(
                    name,
                    new PlanLoad(
                            p.number("plan." + name + ".share", Double.NaN, 0, 1),
                            p.whole("plan." + name + ".customers", Double.NaN, 1, 1_000_000),
                            p.number("plan." + name + ".skew", 0, 0, 4)));
        }
        if (classes.isEmpty() || plans.isEmpty()) {
            p.fault(classes.isEmpty() ? "class" : "plan", "a table for each, [class.NAME] and [plan.NAME]");
        }
        int count = p.whole("trouble.count", 0, 0, 1_000);
        p.text("trouble", "");
        for (int i = 0; i < count; i++) {
            trouble(p, "trouble." + i + ".");
        }
        if (spread > nodes) {
            p.fault("fleet.spread", "1 to fleet.nodes, " + nodes);
        }
        if (warmUp >= span) {
            p.fault("warm-up-s", "less than seconds");
        }
        if (unitsMost < unitsMean) {
            p.fault("clients.units-most", "clients.units-mean, " + unitsMean + ", or more");
        }
        p.done();
    }

    private void trouble(Pairs p, String at) {
        String word = p.word(at + "kind", Kind.words());
        if (!Kind.words().contains(word)) {
            return;
        }
        Kind kind = Kind.values()[Kind.words().indexOf(word)];
        double strength = switch (kind) {
            case SERVERS_FAIL_FAST -> p.number(at + "chance", 0.9, 0, 1);
            case SERVERS_SLOW, OVERLOAD -> p.number(at + "factor", 2, 0.01, 1_000);
            case HEAVY_CUSTOMER -> p.number(at + "factor", 0.3, 0.01, 1_000);
            default -> 0;
        };
        boolean parts = switch (kind) {
            case NODES_DIE, SERVERS_FAIL_FAST, SERVERS_SLOW, SERVERS_PAUSE, SERVERS_REPLACED -> true;
            default -> false;
        };
        troubles.add(new Trouble(
                kind,
                p.span(at + "at-s", Double.NaN, HOUR_S * 2) * 1_000,
                kind == Kind.COUNTER_BLANK ? 0 : p.span(at + "for-s", Double.NaN, HOUR_S * 2) * 1_000,
                parts ? p.number(at + "part", Double.NaN, 0, 1) : 0,
                strength,
                kind == Kind.ZONE_LOST ? p.whole(at + "zone", 0, 0, zones - 1) : 0,
                kind == Kind.ZONE_LOST && p.flag(at + "counter", false)));
    }

    /** Reads the pairs; an {@link IllegalArgumentException} names all that is wrong. */
    public static Day of(Map<String, String> pairs) {
        return new Day(new Pairs(pairs));
    }

    /** How long of it is counted, in seconds. */
    public double counted() {
        return (span - warmUp) / 1e9;
    }

    /** What all work asked for takes of the servers, from 0: above 1 the day can't be served. */
    public double load() {
        double share = classes.values().stream().mapToDouble(ClassLoad::share).sum();
        double mean = classes.values().stream()
                        .mapToDouble(c -> c.share * c.work.mean())
                        .sum()
                / Math.max(1e-9, share);
        return rate * mean / 1e3 / (servers * (double) cores);
    }
}
