package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A node as a real process, and what it has said. */
final class Daemon implements AutoCloseable {
    final List<String> said = new ArrayList<>();
    final Process process;
    final Path config;
    private final BufferedReader lines;

    /** Runs {@code serve}, with an operator's file if there is one. */
    Daemon(Path folder, String config, String operator) throws IOException {
        this(folder, config, operator, List.of());
    }

    /** As above, by a command that runs the one that follows it. */
    Daemon(Path folder, String config, String operator, List<String> before) throws IOException {
        List<String> command = new ArrayList<>(before);
        command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
            System.getProperty("java.class.path"), "rushpin.cli.Main", "serve"));
        if (operator != null) {
            command.addAll(List.of("--operator", Files.writeString(folder.resolve("rushpin.toml"), operator).toString()));
        }
        this.config = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", this.config.toString());
        builder.environment().remove("RUSHPIN_OPERATOR");
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        lines = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    /** One pool with the platform's settings, and lines of the table {@code process}. */
    static String operator(String process) {
        return "[process]\n" + process + "\n[[pool]]\nname = \"a\"\nsettings = \"platform\"\n[[route]]\npool = \"a\"\n";
    }

    /** A port that nobody listens at. */
    static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    String await(String start) throws IOException {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            said.add(line);
            if (line.startsWith(start)) {
                return line;
            }
        }
        throw new AssertionError("the process ended before it said '" + start + "': " + said);
    }

    /** The port of its console, which it says before it serves. */
    int console() throws IOException {
        return port("console on");
    }

    int port() throws IOException {
        return port("serving on");
    }

    private int port(String start) throws IOException {
        String line = await(start);
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    }

    void signal(String name) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
    }

    /** What it said to its end. */
    List<String> rest() throws IOException {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            said.add(line);
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
