import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** An edge node: the program of the deploy file, as a process of its own. */
final class Node {
    static final String[] ZONES = {"yard-office", "customs-block"};
    static final Path ROOT = Path.of(System.getProperty("root")).toAbsolutePath().normalize();

    final String name;
    final Path folder;
    final Path config;
    final int port;
    final Record record;
    Process process;
    volatile boolean serving;

    Node(String name, Path folder, Record record) throws IOException {
        this.name = name;
        this.record = record;
        this.folder = Files.createDirectories(folder.resolve(name));
        config = this.folder.resolve("config.json");
        port = freePort();
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    /** The settings of kality-pickup's small deployment, as the wire page shows them. */
    static String settings(int number, int siblings, String classes, String plans) {
        return "{\"my-number\":" + number + ",\"siblings\":" + siblings + ",\"my-zone\":" + number % 2
                + ",\"tick-ns\":2000000,\"weights\":\"rough\",\"discovery\":\"automatic\",\"kind-of-service\":\"gate\""
                + ",\"failure-domains\":[\"yard-office\",\"customs-block\"],\"skus\":[\"std-4core\"]"
                + ",\"caps\":{\"cancel\":true,\"max-attempts\":6,\"max-open\":21230,\"connect-timeout-ns\":250000000"
                + ",\"keepalive-ns\":30000000000,\"may-duplicate\":false,\"probes\":false,\"retry-after\":false"
                + ",\"max-retry-after-ns\":500000000,\"multiplex\":100,\"may-tell\":false}"
                + ",\"clients\":{\"marks-retry\":true}"
                + ",\"domain\":{\"count-wait-ns\":50000000,\"has-counter\":true,\"trued-up\":true,\"units-top\":8"
                + ",\"call-price\":0.02,\"mail-per-s\":0,\"meter-period-ns\":0}"
                + ",\"rules\":{\"answer-slack-ns\":8000000,\"ask-within-ns\":10000000000,\"cold-from\":0.21"
                + ",\"ramp-time-ns\":18000000000,\"overload-factor\":2.5,\"tip-after-ns\":2000000000"
                + ",\"stop-sending-within-ns\":1000000000}"
                + ",\"load-info\":{\"names\":[],\"source\":\"off\"},\"classes\":[" + classes + "],\"tariffs\":[" + plans
                + "]}";
    }

    static final String CLASSES = "{\"name\":\"window-lookup\",\"aim-ns\":1500000000,\"deadline-ns\":4000000000"
            + ",\"idempotency\":\"retryable\",\"group\":\"all\",\"key-ttl-ns\":5000000000,\"late-value\":0.2"
            + ",\"streamed\":false,\"worth\":1.0},{\"name\":\"pickup-order\",\"aim-ns\":1200000000"
            + ",\"deadline-ns\":4000000000,\"idempotency\":\"dedup\",\"group\":\"all\",\"key-ttl-ns\":4000000000"
            + ",\"late-value\":0.2,\"streamed\":false,\"worth\":5.0}";
    static final String PLANS = "{\"name\":\"basic\",\"units-per-s\":3.3,\"peak-units\":16.0,\"at-once\":0"
            + ",\"price\":1.3,\"beyond-earns\":0.0,\"beyond-costs\":1.0,\"hard-rate\":5.5,\"hard-burst\":27.0"
            + ",\"hard-slack\":8.0},{\"name\":\"bulk\",\"units-per-s\":30.0,\"peak-units\":60.0,\"at-once\":0"
            + ",\"price\":1.6,\"beyond-earns\":0.0,\"beyond-costs\":0.8,\"hard-rate\":0.0,\"hard-burst\":0.0"
            + ",\"hard-slack\":0.0}";

    void configure(Discovery discovery, Counter counter, String settings) throws IOException {
        Path draft = folder.resolve("draft.json");
        Files.writeString(
                draft,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                        + discovery.address() + "\",\"seed\":\"" + Long.toHexString(System.nanoTime())
                        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"counter\":\""
                        + counter.address() + "\",\"known\":" + discovery.list(0, true) + ",\"settings\":" + settings
                        + "}");
        Files.move(
                draft,
                config,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    /** The command under a key of the deploy file. */
    static String command(String key) throws IOException {
        for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    /** Starts the process in an empty TMPDIR and waits until it listens. */
    void start() throws Exception {
        start(Files.createTempDirectory(folder, "tmp"), "", null);
    }

    /** As above, with more of the environment and what follows the command. */
    void start(Path tmp, String more, String console) throws Exception {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command("run") + more);
        builder.directory(ROOT.toFile()).redirectErrorStream(true);
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        builder.environment().remove("GW_CONSOLE");
        if (console != null) {
            builder.environment().put("GW_CONSOLE", console);
        }
        serving = false;
        Process made = builder.start();
        process = made;
        Runtime.getRuntime().addShutdownHook(new Thread(made::destroyForcibly));
        Server.thread(() -> {
            try (BufferedReader lines = new BufferedReader(new InputStreamReader(made.getInputStream()))) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    record.line("log " + name + " " + line);
                    serving |= line.startsWith("serving on");
                }
            }
        });
        for (long end = System.nanoTime() + 30_000_000_000L; !serving; Thread.sleep(5)) {
            if (!made.isAlive() || System.nanoTime() - end > 0) {
                throw new IOException(name + " does not start");
            }
        }
        record.line("node " + name + " serves");
    }

    void signal(String what) throws Exception {
        record.line("signal " + what + " to " + name);
        signalQuietly(process, what);
    }

    static void signalQuietly(Process to, String what) throws Exception {
        new ProcessBuilder("kill", "-" + what, Long.toString(to.pid())).start().waitFor();
    }

    boolean ends(long ms) throws Exception {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : (Iterable<Path>) all.sorted(Comparator.reverseOrder())::iterator) {
                Files.deleteIfExists(path);
            }
        }
    }

    static List<String> ids(int count) {
        return Stream.iterate(1, i -> i + 1).limit(count).map(i -> "s-" + i).toList();
    }
}
