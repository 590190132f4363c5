package rushpin.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import rushpin.judge.Judge;
import rushpin.judge.Records;

/**
 * One node whose process is replaced again and again while it serves: by the console each time a server is taken out,
 * restarts, and is put back at the next process; settings come by SIGHUP, every second time broken. What the processes
 * report is held against what clients and app servers saw.
 */
final class ReplaceScenario implements Scenario {
    private static final int SERVERS = 6;
    private static final RigConfig.Plan BULK = new RigConfig.Plan("bulk", 40, 80, 0, 0, 0),
            BASIC = new RigConfig.Plan("basic", 4, 16, 8, 24, 8);

    /** The figures of one process, as it told them last. */
    private static final class Figures {
        private long ok, shed, errors, tries, applied, rejected, active, listed, avoided;

        static Figures of(String lines) {
            Figures read = new Figures();
            for (String line : lines.split("\n")) {
                int colon = line.indexOf(':'), bar = line.indexOf('|');
                if (colon > 0 && bar > colon) {
                    read.add(line.substring(0, colon), Long.parseLong(line.substring(colon + 1, bar)));
                }
            }
            return read;
        }

        private void add(String name, long value) {
            switch (name.split("\\.")[1]) {
                case "ok" -> ok += value;
                case "shed" -> shed += value;
                case "errors" -> errors += value;
                case "tries" -> tries += value;
                case "config_applied" -> applied += value;
                case "config_rejected" -> rejected += value;
                case "active" -> active += value;
                case "pool_size" -> listed += value;
                case "pool_ejected" -> avoided += value;
                default -> throw new IllegalArgumentException("no such figure: " + name);
            }
        }

        void add(Figures other) {
            ok += other.ok;
            shed += other.shed;
            errors += other.errors;
            tries += other.tries;
            applied += other.applied;
            rejected += other.rejected;
        }
    }

    /** One process of the node and its console. */
    private record Running(NodeProcess process, int console, Path config) {}

    @Override
    public String name() {
        return "replace";
    }

    @Override
    public String line() {
        return "a node's process replaced under load, servers out by hand, settings taken again; figures against what was seen";
    }

    private static String call(int console, String line) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), console)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Override
    public Report play(Options options) throws Exception {
        Report report = new Report(name(), options.seed());
        SplittableRandom random = new SplittableRandom(options.seed());
        int times = options.isShort() ? 2 : 10;
        AppServer.Work work = new AppServer.Work(4, 8, 30_000, 50_000, RigConfig.KEY_WINDOW_MS * 1_000_000);
        List<RigConfig.Plan> plans = List.of(BULK, BASIC);
        try (Yard yard = new Yard()) {
            Discovery discovery = yard.pool("one", SERVERS, work, options.seed());
            // Both ports from the system; the next processes share the first one's.
            String any = RigConfig.json("rig", "127.0.0.1:0", 0, 1024, 1, discovery, yard.counter, plans)
                    .replaceFirst("\\{", "{\"console\" : \"127.0.0.1:0\",");
            Running serving = start(yard, any, 0);
            String json = any.replaceFirst(
                    "\"listen\" : \"127.0.0.1:0\"",
                    "\"listen\" : \"127.0.0.1:" + serving.process.address().getPort() + "\"");
            Load bulk = new Load(
                    yard.loop(),
                    new Load.Group("one", "app.svc", "/api?slot=1", 0.35, 20, "bulk", 2_000, 150, true),
                    serving.process.address(),
                    yard.records,
                    options.seed());
            Load basic = new Load(
                    yard.loop(),
                    new Load.Group("one", "app.svc", "/api?slot=1", 0.35, 12, "basic", 2_000, 150, true),
                    serving.process.address(),
                    yard.records,
                    options.seed() + 1);
            // Within quota and beyond it: 12 customers with 4 a second each, some of which ask for more by chance.
            bulk.rate(180);
            basic.rate(36);
            Thread.sleep(2_000);
            Tally calm = new Tally(), change = new Tally();
            Figures all = new Figures();
            int applied = 0, rejected = 0, ended = 0, calls = 0, good = 0;
            long readyMost = 0;
            try {
                for (int i = 1; i <= times; i++) {
                    begin(bulk, basic);
                    Thread.sleep(2_500);
                    calm.add(bulk, basic);
                    AppServer out = yard.servers("one").get(random.nextInt(SERVERS));
                    boolean yes = call(serving.console, "DISABLE " + out.id).equals("done\n");
                    long from = System.nanoTime();
                    boolean broken = i % 2 == 0;
                    String changed =
                            json.replace("\"max-attempts\" : 6", "\"max-attempts\" : " + (broken ? 0 : 3 + i % 3));
                    yard.write(serving.config.getFileName().toString(), changed);
                    serving.process.signal("HUP");
                    applied += broken ? 0 : 1;
                    rejected += broken ? 1 : 0;
                    out.restart();
                    discovery.set(out, "Ready", System.currentTimeMillis());
                    Running next = start(yard, json, i);
                    readyMost = Math.max(readyMost, next.process.readyAfter());
                    boolean ready = call(next.console, "READY").equals("done\n");
                    Thread.sleep(300);
                    Figures last = end(serving);
                    ended += serving.process.stop() == 0 ? 1 : 0;
                    all.add(last);
                    // Before the call: it is in use from the moment in which that takes effect, not from its answer on.
                    yard.records.add(new Records.Told("one", out.id, from, System.nanoTime()));
                    boolean back = call(next.console, "ENABLE " + out.id).equals("done\n");
                    boolean no = call(next.console, "DISABLE s-99").startsWith("error");
                    calls += 4;
                    good += (yes ? 1 : 0) + (ready ? 1 : 0) + (back ? 1 : 0) + (no ? 1 : 0);
                    serving = next;
                    Thread.sleep(1_000);
                    change.add(bulk, basic);
                }
                bulk.rate(0);
                basic.rate(0);
                bulk.settle();
                basic.settle();
                calm.settle(bulk, basic);
                change.settle(bulk, basic);
                Thread.sleep(500);
                Figures last = Figures.of(call(serving.console, "STATS"));
                all.add(last);
                report.claim(
                        "nothing is active at the end, and all are listed: " + last.active + ", " + last.listed,
                        last.active == 0 && last.listed == SERVERS);
                ended += serving.process.stop() == 0 ? 1 : 0;
            } finally {
                serving.process.close();
            }
            yard.end();
            report.row("stretch", "plan", "tries", "not served, %", "no answer", "p50 ms", "p99 ms");
            calm.rows(report, "calm");
            change.rows(report, "replaced");
            long ok = seen(yard, 200, 200), shed = seen(yard, 429, 503), errors = seen(yard, 500, 502);
            report.row("figure", "told", "seen", "", "", "", "");
            report.row("ok", all.ok, ok);
            report.row("shed", all.shed, shed);
            report.row("errors", all.errors, errors);
            report.row("tries", all.tries, yard.records.attempts().size());
            report.claim(
                    "served, refused, failed as told: within 1 % or 3 for each process",
                    near(all.ok, ok, times) && near(all.shed, shed, times) && near(all.errors, errors, times));
            report.claim(
                    "attempts as told: within 2 % or 3 for each process",
                    near(all.tries, yard.records.attempts().size(), 2 * times));
            report.claim(
                    "files taken and turned down: " + all.applied + " and " + all.rejected + " of " + applied + " and "
                            + rejected,
                    all.applied == applied && all.rejected == rejected);
            report.claim("console calls answered as they must be: " + good + " of " + calls, good == calls);
            report.claim("processes that ended with 0: " + ended + " of " + (times + 1), ended == times + 1);
            report.claim(
                    "tries with no answer: " + (calm.none() + change.none()) + ", 1 a replacement at most",
                    calm.none() + change.none() <= times);
            report.claim(
                    String.format(Locale.ROOT, "a process takes clients after %.1f s at most", readyMost / 1e9), true);
            report.add(Judge.judge(yard.records, RigConfig.rules(plans)));
        }
        return report;
    }

    private static Running start(Yard yard, String json, int number) throws Exception {
        Path config = yard.write("node-" + number + ".json", json);
        NodeProcess process = NodeProcess.serve(yard.folder, config, null);
        return new Running(process, process.console(), config);
    }

    /** Ends a process and listens to its figures until it is gone. */
    private static Figures end(Running of) throws Exception {
        Figures last = Figures.of(call(of.console, "STATS"));
        of.process.signal("TERM");
        while (of.process.isAlive()) {
            try {
                String told = call(of.console, "STATS");
                last = told.endsWith("end\n") ? Figures.of(told) : last;
            } catch (IOException e) {
                // It ends just now.
            }
            Thread.sleep(2);
        }
        return last;
    }

    private static long seen(Yard yard, int one, int other) {
        return yard.records.exchanges().stream()
                .filter(e -> e.status() == one || e.status() == other)
                .count();
    }

    private static boolean near(long told, long seen, int processes) {
        return Math.abs(told - seen) <= Math.max(seen / 100, 3L * (processes + 1));
    }

    private static void begin(Load bulk, Load basic) throws Exception {
        bulk.turn();
        basic.turn();
    }

    /** What both groups saw in all stretches of one kind. */
    private static final class Tally {
        private final List<Load.Stretch> bulk = new ArrayList<>(), basic = new ArrayList<>();

        void add(Load ofBulk, Load ofBasic) throws Exception {
            bulk.add(ofBulk.turn());
            basic.add(ofBasic.turn());
        }

        void settle(Load ofBulk, Load ofBasic) throws Exception {
            for (Load.Stretch stretch : bulk) {
                ofBulk.settleStretch(stretch);
            }
            for (Load.Stretch stretch : basic) {
                ofBasic.settleStretch(stretch);
            }
        }

        int none() {
            return bulk.stream().mapToInt(s -> s.none).sum()
                    + basic.stream().mapToInt(s -> s.none).sum();
        }

        void rows(Report report, String kind) {
            row(report, kind, "bulk", bulk);
            row(report, kind, "basic", basic);
        }

        private static void row(Report report, String kind, String plan, List<Load.Stretch> all) {
            Load.Stretch sum = new Load.Stretch();
            all.forEach(sum::add);
            report.row(
                    kind,
                    plan,
                    sum.sent,
                    String.format(Locale.ROOT, "%.2f", 100.0 * (sum.sent - sum.ok) / Math.max(1, sum.sent)),
                    sum.none,
                    String.format(Locale.ROOT, "%.1f", sum.served.getValueAtPercentile(50) / 1e3),
                    String.format(Locale.ROOT, "%.1f", sum.served.getValueAtPercentile(99) / 1e3));
        }
    }
}
