package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A node as a real process, and what it has said. */
final class ServeProcess implements AutoCloseable {
    private static final String END = "(the end)";
    private static final int MOST_S = 90;
    final List<String> said = new ArrayList<>();
    final Process process;
    final Path config;
    /** What has not been asked for yet; the end is a line of its own. */
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

    /** Runs {@code serve}, with an operator's file if there is one. */
    ServeProcess(Path folder, String config, String operator) throws IOException {
        this(folder, config, operator, List.of());
    }

    /** As above, by a command that runs the one that follows it. */
    ServeProcess(Path folder, String config, String operator, List<String> before) throws IOException {
        List<String> command = new ArrayList<>(before);
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "rushpin.cli.Main",
                "serve"));
        if (operator != null) {
            command.addAll(List.of(
                    "--operator",
                    Files.writeString(folder.resolve("rushpin.toml"), operator).toString()));
        }
        this.config = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", this.config.toString());
        builder.environment().remove("RUSHPIN_OPERATOR");
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        // A read of a process that says nothing more can't be interrupted: it would outlast every time limit.
        Thread reader = new Thread(this::read, "lines of " + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader from =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            from.lines().forEach(lines::add);
        } catch (IOException | UncheckedIOException e) {
            lines.add("(unreadable: " + e + ")");
        }
        lines.add(END);
    }

    /** The next line, null at its end. */
    private String next() throws InterruptedException {
        String line = lines.poll(MOST_S, TimeUnit.SECONDS);
        if (line == null) {
            throw new AssertionError("the process says nothing more: " + said);
        } else if (line.equals(END)) {
            lines.add(END);
            return null;
        }
        said.add(line);
        return line;
    }

    /** One pool with the platform's settings, and lines of the table {@code process}. */
    static String operatorFile(String process) {
        return "[process]\n" + process + "\n[[pool]]\nname = \"a\"\nsettings = \"platform\"\n[[route]]\npool = \"a\"\n";
    }

    /** A port that nobody listens at. */
    static int unusedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    String await(String start) throws InterruptedException {
        for (String line = next(); line != null; line = next()) {
            if (line.startsWith(start)) {
                return line;
            }
        }
        throw new AssertionError("the process ended before it said '" + start + "': " + said);
    }

    /** The port of its console, which it says before it serves. */
    int console() throws InterruptedException {
        return port("console on");
    }

    int port() throws InterruptedException {
        return port("serving on");
    }

    int port(String start) throws InterruptedException {
        String line = await(start);
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    }

    void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /** What it said to its end. */
    List<String> rest() throws InterruptedException {
        while (next() != null) {
            // All that there is.
        }
        return said;
    }

    int ended() throws InterruptedException {
        assertTrue(process.waitFor(60, TimeUnit.SECONDS), "the process must end");
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
