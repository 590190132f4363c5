package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operator's file in a real process: at its start, and by signals while it serves. */
class OperatorProcessTest extends Stage {
    private static final String ONE = "[[pool]]\nname = \"%1$s\"\nsettings = \"platform\"\n[[route]]\npool = \"%1$s\"\n"
        + "host = \"%1$s.example\"\n";
    @TempDir
    Path folder;
    private final List<String> said = new ArrayList<>();
    private BufferedReader lines;

    private Process start(List<String> options, String config, Path operator) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "rushpin.cli.Main", "serve"));
        if (operator != null) {
            command.addAll(List.of("--operator", operator.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().remove("RUSHPIN_OPERATOR");
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.start();
        toClose.add(process::destroyForcibly);
        lines = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        return process;
    }

    private String await(String start) throws Exception {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            said.add(line);
            if (line.startsWith(start)) {
                return line;
            }
        }
        throw new AssertionError("the process ended before it said '" + start + "': " + said);
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    private String ask(int port, String host, String id) throws Exception {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            Map<String, String> headers = headers(id, "order", "20000");
            headers.put("Host", host);
            write(client, "POST /api", headers, "book");
            Peer.Message answer = Peer.read(client);
            assertNotNull(answer);
            return status(answer);
        }
    }

    @Test
    void aFaultyFileEndsTheStartWithEachFault() throws Exception {
        Path operator = Files.writeString(folder.resolve("rushpin.toml"), "[[pool]]\nnam = \"a\"\nsettings = \"platform\"\n");
        Process process = start(List.of(), config(), operator);
        await(operator + " cannot be used");
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(1, process.exitValue());
        assertTrue(said.stream().anyMatch(line -> line.contains("line 2: pool[1].nam: is no key here; did you mean name?")),
            said.toString());
    }

    @Test
    void aReloadIsTheWholeNewFileOrNothing() throws Exception {
        Peer server = peer(m -> m.answer(Peer.ok("", "x")));
        Path operator = Files.writeString(folder.resolve("rushpin.toml"), String.format(ONE, "a"));
        Process process = start(List.of(), config(member("s-0", server.address(), "Ready", 0)), operator);
        String serving = await("serving on");
        int port = Integer.parseInt(serving.substring(serving.lastIndexOf(':') + 1));
        assertEquals("200", ask(port, "a.example", "t-1"));
        String half = String.format(ONE, "b");
        Files.writeString(operator, half.substring(0, half.length() / 2));
        hangUp(process);
        await("the configuration stays as it was");
        assertEquals("200", ask(port, "a.example", "t-2"));
        assertEquals("404", ask(port, "b.example", "t-3"));
        // Two at once, as by two hands.
        Files.writeString(operator, half);
        hangUp(process);
        hangUp(process);
        await("configuration read again");
        String status = "";
        for (int i = 0; !status.equals("200") && i < 1_000; i++) {
            status = ask(port, "b.example", "u-" + i);
        }
        assertEquals("200", status);
        assertEquals("404", ask(port, "a.example", "t-4"));
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
    }

    /** A feature that is off costs nothing, not even its classes. */
    @Test
    void withoutTheFileNothingOfItIsLoaded() throws Exception {
        Process process = start(List.of("-Xlog:class+load:file=" + folder.resolve("classes.log")), config(), null);
        await("serving on");
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        List<String> loaded = Files.readAllLines(folder.resolve("classes.log"));
        assertTrue(loaded.stream().anyMatch(line -> line.contains("rushpin.node.PlatformService")));
        for (String off : List.of("rushpin.route.", "rushpin.rig.", "rushpin.config.OperatorFile", "PooledServices",
            "rushpin.budget.Lender", "rushpin.budget.Turns", "rushpin.membership.Claims", "org.tomlj", "picocli")) {
            assertFalse(loaded.stream().anyMatch(line -> line.contains(off)), off + " was loaded");
        }
    }

    /** The same for what is shared with other processes. */
    @Test
    void withoutATableFleetNothingOfItIsLoaded() throws Exception {
        Path operator = Files.writeString(folder.resolve("rushpin.toml"), String.format(ONE, "a"));
        Peer server = peer(m -> m.answer(Peer.ok("", "x")));
        Process process = start(List.of("-Xlog:class+load:file=" + folder.resolve("classes.log")),
            config(member("s-0", server.address(), "Ready", 0)), operator);
        String serving = await("serving on");
        assertEquals("200", ask(Integer.parseInt(serving.substring(serving.lastIndexOf(':') + 1)), "a.example", "t-1"));
        hangUp(process);
        await("configuration read again");
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        List<String> loaded = Files.readAllLines(folder.resolve("classes.log"));
        assertTrue(loaded.stream().anyMatch(line -> line.contains("rushpin.node.PooledServices")));
        for (String off : List.of("rushpin.accord.", "rushpin.peer.", "rushpin.failover.", "org.apache.ratis", "io.grpc.",
            "rushpin.node.Together", "rushpin.node.Voter", "rushpin.node.Witness", "rushpin.node.Gathered",
            "rushpin.config.FleetKeys", "rushpin.config.FleetPlan", "rushpin.pooling.", "rushpin.budget.Ration", "GroupGate",
            "ServerPool$Turn", "GroupSide", "rushpin.config.GroupKeys", "rushpin.config.GroupPlan")) {
            assertFalse(loaded.stream().anyMatch(line -> line.contains(off)), off + " was loaded");
        }
    }
}
