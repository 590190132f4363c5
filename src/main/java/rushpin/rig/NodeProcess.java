package rushpin.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A program of this repository as a real process: an edge node, or what it is compared with. */
final class NodeProcess implements AutoCloseable {
    /** The options of `run` in deploy/balancer.toml that decide what a request costs. */
    private static final List<String> OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:C1MaxInlineSize=8",
            "-XX:C1MaxInlineLevel=2",
            "-Dio.netty.jfr.enabled=false",
            "-Xms24m",
            "-Xmx40m",
            "-Xmn8m",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=24m",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:-UsePerfData",
            "-XX:+ExitOnOutOfMemoryError");

    private static final int READY_S = 60, KEPT_LINES = 200;

    /** The words that start an edge node; {@code operator} may be null. */
    static List<String> words(Path operator) {
        List<String> all = new ArrayList<>();
        all.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        all.addAll(OPTIONS);
        all.addAll(List.of("-cp", System.getProperty("java.class.path"), "rushpin.cli.Main", "serve"));
        if (operator != null) {
            all.addAll(List.of("--operator", operator.toString()));
        }
        return all;
    }

    private final Process process;
    private final Deque<String> said = new ArrayDeque<>();
    private final CompletableFuture<InetSocketAddress> serving = new CompletableFuture<>();
    private volatile int console;
    private final long startedAt = System.nanoTime();
    private long readyAfter;
    private final Consumer<String> heard;

    private NodeProcess(String classPath, List<String> command, Path folder, Path config) throws IOException {
        this(classPath, command, folder, config, line -> {});
    }

    private NodeProcess(String classPath, List<String> command, Path folder, Path config, Consumer<String> heard)
            throws IOException {
        this.heard = heard;
        List<String> all = new ArrayList<>();
        all.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        all.addAll(OPTIONS);
        all.add("-cp");
        all.add(classPath);
        all.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(all).redirectErrorStream(true);
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().remove("RUSHPIN_OPERATOR");
        if (config != null) {
            builder.environment().put("GW_CONFIG", config.toString());
        }
        process = builder.start();
        Thread reader = new Thread(this::read, "said by " + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts an edge node; {@code operator} may be null. Returns when it serves. */
    static NodeProcess serve(Path folder, Path config, Path operator) throws Exception {
        List<String> command = new ArrayList<>(List.of("rushpin.cli.Main", "serve"));
        if (operator != null) {
            command.addAll(List.of("--operator", operator.toString()));
        }
        return started(new NodeProcess(System.getProperty("java.class.path"), command, folder, config));
    }

    /**
     * The same, which tells each line that it says, on a thread of its own and in order; its heap is nearly full while {@code ballast} is
     * there.
     */
    static NodeProcess serve(Path folder, Path config, Path operator, Path ballast, Consumer<String> heard)
            throws Exception {
        return started(new NodeProcess(
                System.getProperty("java.class.path"),
                Ballast.words(ballast, List.of("rushpin.cli.Main", "serve", "--operator", operator.toString())),
                folder,
                config,
                heard));
    }

    /** Starts the edge node of another jar. */
    static NodeProcess serveOf(Path jar, Path folder, Path config) throws Exception {
        NodeProcess made = new NodeProcess(jar.toString(), List.of("-jar", jar.toString(), "serve"), folder, config);
        return started(made);
    }

    /** Starts a main class of this program that says {@code serving on HOST:PORT}. */
    static NodeProcess run(String main, List<String> arguments, Path folder) throws Exception {
        List<String> command = new ArrayList<>(List.of(main));
        command.addAll(arguments);
        return started(new NodeProcess(System.getProperty("java.class.path"), command, folder, null));
    }

    private static NodeProcess started(NodeProcess node) throws Exception {
        try {
            node.serving.get(READY_S, TimeUnit.SECONDS);
            return node;
        } catch (Exception e) {
            node.close();
            throw new IOException("the process did not serve: " + String.join(" | ", node.said()), e);
        }
    }

    private void read() {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                heard.accept(line);
                synchronized (said) {
                    said.add(line);
                    if (said.size() > KEPT_LINES) {
                        said.poll();
                    }
                }
                if (line.startsWith("console on ")) {
                    console = port(line);
                } else if (line.startsWith("serving on ")) {
                    readyAfter = System.nanoTime() - startedAt;
                    serving.complete(new InetSocketAddress("127.0.0.1", port(line)));
                }
            }
        } catch (IOException e) {
            // The process is over.
        }
        serving.completeExceptionally(new IOException("it ended"));
    }

    private static int port(String line) {
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    }

    InetSocketAddress address() {
        return serving.join();
    }

    /** The port of its console, once it serves; 0 for none. */
    int console() {
        return console;
    }

    long pid() {
        return process.pid();
    }

    /** Nanoseconds from the start to the line that it serves. */
    long readyAfter() {
        return readyAfter;
    }

    /** Its last lines. */
    List<String> said() {
        synchronized (said) {
            return List.copyOf(said);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** CPU it has used, in nanoseconds; the system counts in steps of 10 ms. */
    long cpu() {
        return process.toHandle()
                .info()
                .totalCpuDuration()
                .map(Duration::toNanos)
                .orElse(0L);
    }

    /** Resident memory in KiB; 0 where the system does not tell. */
    long resident() {
        return status("VmRSS:");
    }

    /** Its threads; 0 where the system does not tell. */
    long threads() {
        return status("Threads:");
    }

    /** KiB of its heap in use, after a full collection; 0 where the JVM's own command is not there. */
    long heap() throws Exception {
        jcmd("GC.run");
        long used = 0;
        // As the serial collector tells it: "tenured generation   total 32768K, used 9174K [...".
        for (String line : jcmd("GC.heap_info").split("\n")) {
            int at = line.indexOf("K, used ");
            if (line.contains(" generation ") && at > 0) {
                used += Long.parseLong(line.substring(at + 8, line.indexOf('K', at + 8)));
            }
        }
        return used;
    }

    private String jcmd(String command) throws Exception {
        Path program = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        if (!Files.exists(program)) {
            return "";
        }
        Process asked = new ProcessBuilder(program.toString(), Long.toString(pid()), command)
                .redirectErrorStream(true)
                .start();
        String said = new String(asked.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        asked.waitFor();
        return said;
    }

    private long status(String key) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid()), "status"))) {
                if (line.startsWith(key)) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (IOException e) {
            // Not told here.
        }
        return 0;
    }

    /** Sends a signal by name. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
    }

    /** The size in bytes beyond which it can write no file, or {@code unlimited}: what stands for a full disk. */
    void room(String bytes) throws Exception {
        if (new ProcessBuilder("prlimit", "--pid", Long.toString(pid()), "--fsize=" + bytes + ":unlimited")
                        .start()
                        .waitFor()
                != 0) {
            throw new IOException("a process could not be given a limit");
        }
    }

    /** Ends it the planned way; its exit status. */
    int stop() throws InterruptedException {
        process.destroy();
        return process.waitFor(30, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    /** Kills it outright; returns when it has ended. */
    void kill() throws Exception {
        process.destroyForcibly();
        process.onExit().get(READY_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
