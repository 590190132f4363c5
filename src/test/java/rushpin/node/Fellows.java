package rushpin.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import rushpin.judge.Accords;
import rushpin.judge.Breach;

/** Nodes of one fleet as real processes, what they said, and what was done to them. Its waits are for lines. */
final class Fellows implements AutoCloseable {
    /** A wait this long is a failure; only a machine at a standstill takes so long for what takes seconds. */
    private static final long MOST = TimeUnit.SECONDS.toNanos(90);

    /** A line of the fleet: {@code fleet kind key=value ...}. */
    record Said(int order, String by, String kind, Map<String, String> values) {
        long number(String key) {
            return Long.parseLong(values.get(key));
        }

        boolean is(String of, String key, String value) {
            return kind.equals(of) && value.equals(values.get(key));
        }
    }

    /** A process over its restarts. */
    final class Fellow {
        final String name;
        final Path folder;
        String zone;
        /** The platform's JSON. */
        String platform = config;

        boolean votes;
        final InetSocketAddress listen;
        Process process;
        Accords.Run run;
        private Thread reader;

        Fellow(int number, boolean votes) throws IOException {
            name = "n" + number;
            zone = "z" + number;
            this.votes = votes;
            folder = Files.createDirectories(root.resolve(name));
            String host = "127.0.3." + (number + 1);
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                listen = new InetSocketAddress(host, free.getLocalPort());
            }
        }

        /** Writes the operator's file as it is to be now. */
        Path configure() throws IOException {
            return Files.writeString(folder.resolve("rushpin.toml"), operator(this, voters()));
        }

        /** Has it read the file again; returns when it has said what came of it. */
        void hangUp(String answer) throws Exception {
            int before = count(name + ": " + answer);
            signal("HUP");
            await(answer, () -> count(name + ": " + answer) > before ? answer : null);
        }

        void start() throws IOException {
            Path file = configure();
            Path json = Files.writeString(folder.resolve("config.json"), platform);
            ProcessBuilder builder = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx96m",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "rushpin.cli.Main",
                            "serve",
                            "--operator",
                            file.toString())
                    .redirectErrorStream(true);
            builder.environment().put("GW_CONFIG", json.toString());
            builder.environment().remove("RUSHPIN_OPERATOR");
            // A folder that is not there: without a rehearsal, of which nothing is asked here.
            builder.environment().put("TMPDIR", folder.resolve("none").toString());
            Process started = builder.start();
            Accords.Run begun = accords.run(name);
            process = started;
            run = begun;
            reader = new Thread(() -> read(started, begun), "lines of " + name);
            reader.setDaemon(true);
            reader.start();
        }

        private void read(Process of, Accords.Run by) {
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(of.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    said(name, line, by);
                }
            } catch (IOException e) {
                said(name, "(unreadable: " + e + ")", by);
            }
        }

        void signal(String signal) throws Exception {
            if (new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                            .start()
                            .waitFor()
                    != 0) {
                throw new AssertionError(name + " could not be sent " + signal);
            }
        }

        /** The size beyond which it can write no file, in bytes: what stands for a full disk. */
        void room(String bytes) throws Exception {
            if (new ProcessBuilder("prlimit", "--pid", Long.toString(process.pid()), "--fsize=" + bytes + ":unlimited")
                            .start()
                            .waitFor()
                    != 0) {
                throw new AssertionError(name + " could not be given a limit");
            }
        }

        /** Stops it as it stands; when that was, for {@link #wake}. */
        long stop() throws Exception {
            long from = System.nanoTime();
            signal("STOP");
            return from;
        }

        /** Lets it go on. */
        void wake(long stoppedAt) throws Exception {
            // Before it is woken: what it says from then on has to come after.
            run.stopped(stoppedAt, System.nanoTime());
            signal("CONT");
        }

        /** Ends it hard; returns when it is gone and all that it said is known. */
        void kill() throws Exception {
            process.destroyForcibly();
            ended();
        }

        /** Tells it to end, and goes on reading what it says; its status. */
        int end() throws Exception {
            signal("TERM");
            ended();
            return process.exitValue();
        }

        /** Else a line of it that is read later would count as said after others' newer ones. */
        private void ended() throws Exception {
            if (!process.waitFor(MOST, TimeUnit.NANOSECONDS)) {
                throw new AssertionError(name + " does not end: " + all());
            }
            run.ended(System.nanoTime());
            reader.join(TimeUnit.NANOSECONDS.toMillis(MOST));
        }

        boolean isThere() {
            return process != null && process.isAlive();
        }

        /** What a voter keeps is gone. */
        void blank() throws IOException {
            try (Stream<Path> files = Files.walk(folder.resolve("fleet"))) {
                for (Path each : files.sorted((a, b) -> b.compareTo(a)).toList()) {
                    Files.delete(each);
                }
            }
        }

        /** How far another voter's log reached by what this one has noted of it; -1 for nothing yet. */
        long noted(String id) throws IOException {
            Path file = folder.resolve("fleet").resolve("era-" + era).resolve("reached");
            for (String line : Files.exists(file) ? Files.readAllLines(file) : List.<String>of()) {
                if (line.startsWith(id + "=")) {
                    return Long.parseLong(line.substring(id.length() + 1));
                }
            }
            return -1;
        }

        /** A copy of what a voter keeps; for a process that does not run. */
        Path copy() throws IOException {
            Path copy = folder.resolve("copy");
            tree(folder.resolve("fleet"), copy);
            return copy;
        }

        /** Puts a copy in place of what it keeps; for a process that does not run. */
        void restore(Path copy) throws IOException {
            blank();
            tree(copy, folder.resolve("fleet"));
        }

        private void tree(Path from, Path to) throws IOException {
            try (Stream<Path> files = Files.walk(from)) {
                for (Path each : files.toList()) {
                    Files.copy(each, to.resolve(from.relativize(each).toString()));
                }
            }
        }
    }

    final Accords accords = new Accords();
    final List<Fellow> all = new ArrayList<>();
    private final Path root;
    private final String config;
    private final int lease, effect;
    int era = 1;
    private final List<String> lines = new ArrayList<>();
    private final List<Said> said = new ArrayList<>();

    /** What the judge knows from when all went by one plan: a newer one may be on its way to some. */
    private List<Accords.Said> atEnd = List.of();

    /** Starts nothing yet; {@code lease} and {@code effect} in milliseconds. */
    Fellows(Path root, String config, int voters, int others, int lease, int effect) throws IOException {
        this.root = root;
        this.config = config;
        this.lease = lease;
        this.effect = effect;
        for (int i = 0; i < voters + others; i++) {
            all.add(new Fellow(i, i < voters));
        }
    }

    Map<String, InetSocketAddress> voters() {
        Map<String, InetSocketAddress> voters = new LinkedHashMap<>();
        all.stream().filter(each -> each.votes).forEach(each -> voters.put(each.name, each.listen));
        return voters;
    }

    String operator(Fellow of, Map<String, InetSocketAddress> voters) {
        StringBuilder text = new StringBuilder("[fleet]\nname = \"" + of.name + "\"\nzone = \"" + of.zone + "\"\nera = "
                + era + "\nlease-ms = " + lease + "\neffect-ms = " + effect + "\n");
        if (of.votes) {
            text.append("listen = \"" + at(of.listen) + "\"\nstate = \"fleet\"\n");
        }
        voters.forEach((name, address) ->
                text.append("[[fleet.voter]]\nname = \"" + name + "\"\naddress = \"" + at(address) + "\"\n"));
        return text + ServeProcess.operatorFile("");
    }

    private static String at(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private synchronized void said(String by, String line, Accords.Run run) {
        lines.add(by + ": " + line);
        run.said(line);
        if (line.startsWith("fleet ")) {
            String[] words = line.split(" ");
            Map<String, String> values = new HashMap<>();
            for (int i = 2; i < words.length; i++) {
                int cut = words[i].indexOf('=');
                values.put(words[i].substring(0, cut), words[i].substring(cut + 1));
            }
            said.add(new Said(said.size(), by, words[1], values));
        }
        notifyAll();
    }

    /** All that was said. */
    synchronized String all() {
        return String.join("\n", lines);
    }

    /** How many lines of the fleet there were so far. */
    synchronized int now() {
        return said.size();
    }

    /** Lines of the fleet from a moment on. */
    synchronized List<Said> since(int order) {
        return List.copyOf(said.subList(order, said.size()));
    }

    /** Waits until lines say something; null says nothing yet. */
    <T> T await(String what, Supplier<T> look) throws InterruptedException {
        long end = System.nanoTime() + MOST;
        synchronized (this) {
            while (true) {
                T found = look.get();
                if (found != null) {
                    return found;
                }
                long left = end - System.nanoTime();
                if (left <= 0) {
                    dump();
                    throw new AssertionError("no sign of " + what + " in\n" + all());
                }
                TimeUnit.NANOSECONDS.timedWait(this, left);
            }
        }
    }

    /** Waits until a voter has noted that another one's log reaches so far: of that no line tells. */
    void awaitNoted(Fellow by, String id, long index) throws Exception {
        long end = System.nanoTime() + MOST;
        while (by.noted(id) < index) {
            if (System.nanoTime() > end) {
                throw new AssertionError(
                        by.name + " has not noted " + index + " of " + id + ", but " + by.noted(id) + " in\n" + all());
            }
            Thread.sleep(50);
        }
    }

    synchronized int count(String start) {
        return (int) lines.stream().filter(line -> line.startsWith(start)).count();
    }

    /** What their threads do goes to the lines. */
    private void dump() {
        try {
            for (Fellow each : all) {
                if (each.isThere()) {
                    each.signal("QUIT");
                }
            }
            wait(3_000);
        } catch (Exception e) {
            lines.add("no dump: " + e);
        }
    }

    /** Waits for a line that is not of the fleet, by any; the first one. */
    String awaitLine(String part) throws InterruptedException {
        return await(
                part,
                () -> lines.stream()
                        .filter(line -> line.contains(part))
                        .findFirst()
                        .orElse(null));
    }

    /** The first line of a kind since a moment that any of some said. */
    Said await(String kind, int since, List<Fellow> of) throws InterruptedException {
        return await(
                kind,
                () -> since(since).stream()
                        .filter(line ->
                                line.kind().equals(kind) && of.stream().anyMatch(each -> each.name.equals(line.by())))
                        .findFirst()
                        .orElse(null));
    }

    /**
     * Waits until all of some have applied one and the same plan that is newer than a number and whose zones are just theirs; that plan's.
     * The number alone says nothing of who is in: a plan made before the last process came is followed by another one without a fault.
     */
    long awaitPlan(long above, List<Fellow> of) throws InterruptedException {
        Set<String> zones = of.stream().map(each -> each.zone).collect(Collectors.toCollection(TreeSet::new));
        return await("a plan above " + above + " of " + zones + " at all", () -> {
            Map<String, Long> last = plans();
            long newest =
                    last.values().stream().mapToLong(Long::longValue).max().orElse(0);
            boolean all = of.stream().allMatch(each -> last.getOrDefault(each.name, 0L) == newest);
            if (newest <= above || !all || !zones.equals(zones(newest))) {
                return null;
            }
            atEnd = accords.said();
            return newest;
        });
    }

    /** Where clients enter by a plan, as whoever was told it last said. */
    private synchronized Set<String> zones(long number) {
        Set<String> zones = new TreeSet<>();
        said.stream()
                .filter(line -> line.kind().equals("agreed") && line.number("number") == number)
                .reduce((before, last) -> last)
                .ifPresent(line -> Stream.of(line.values().get("ways").split(";"))
                        .forEach(way ->
                                zones.add(way.substring(0, way.indexOf('>')).split("/", 2)[0])));
        return zones;
    }

    /** The last plan that each has applied. */
    synchronized Map<String, Long> plans() {
        Map<String, Long> last = new HashMap<>();
        said.stream()
                .filter(line -> line.kind().equals("plan"))
                .forEach(line -> last.put(line.by(), line.number("number")));
        return last;
    }

    Fellow named(String name) {
        return all.stream().filter(each -> each.name.equals(name)).findFirst().orElseThrow();
    }

    /** All but some. */
    List<Fellow> but(Fellow... out) {
        return all.stream().filter(each -> !List.of(out).contains(each)).toList();
    }

    /**
     * Who leads, by the last word of it, once that is one of these. A wait for the next one that says so would be for ever where
     * the lead has gone there already, by itself.
     */
    Fellow leader(List<Fellow> among) throws InterruptedException {
        return named(await("a leader", () -> {
                    Said last = null;
                    for (Said line : since(0)) {
                        last = line.kind().equals("leads") ? line : last;
                    }
                    return last != null && among.contains(named(last.by())) ? last : null;
                })
                .by());
    }

    /** A voter beside one, without which nothing is decided but by that one's vote: of three voters, one of which is that. */
    Fellow voterBeside(Fellow one) throws InterruptedException {
        Fellow leads = leader(all);
        return leads != one
                ? leads
                : all.stream()
                        .filter(each -> each.votes && each != one)
                        .findFirst()
                        .orElseThrow();
    }

    /** Waits until the last that one said of some kinds is of that one; since a moment. */
    Said awaitLast(String kind, int since, Fellow by, List<String> among) throws InterruptedException {
        return await(
                kind + " of " + by.name,
                () -> since(since).stream()
                        .filter(line -> line.by().equals(by.name) && among.contains(line.kind()))
                        .reduce((before, last) -> last)
                        .filter(last -> last.kind().equals(kind))
                        .orElse(null));
    }

    /** Who holds a resource, by the last word of it. */
    Said holder(String resource) throws InterruptedException {
        return await("a holder of " + resource, () -> {
            Said last = null;
            for (Said line : since(0)) {
                last = line.is("holds", "resource", resource)
                        ? line
                        : line.is("yields", "resource", resource)
                                        && last != null
                                        && line.by().equals(last.by())
                                ? null
                                : last;
            }
            return last;
        });
    }

    /** What the judge found, in lines. */
    List<Breach<Accords.Rule>> breaches() {
        return accords.judge(
                new Accords.Bounds(TimeUnit.MILLISECONDS.toNanos(lease), TimeUnit.MILLISECONDS.toNanos(effect)),
                all.stream().filter(Fellow::isThere).map(each -> each.run).toList(),
                atEnd);
    }

    @Override
    public void close() throws Exception {
        for (Fellow each : all) {
            if (each.isThere()) {
                each.kill();
            }
        }
    }
}
