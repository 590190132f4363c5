package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operator's file in a node process: at its start, and reloaded by SIGHUP while it serves. */
@Tag("long")
class OperatorProcessTest extends NodeTestBase {
    private static final String POOL_TEMPLATE =
            "[[pool]]\nname = \"%1$s\"\nsettings = \"platform\"\n[[route]]\npool = \"%1$s\"\n"
                    + "host = \"%1$s.example\"\n";

    @TempDir
    Path folder;

    private ServeProcess startProcess(String config, String operator, String... launcher) throws Exception {
        ServeProcess process = new ServeProcess(folder, config, operator, List.of(launcher));
        toClose.add(process);
        return process;
    }

    /** The classes that a process started with {@link #classLogLauncher} has loaded; it must have exited. */
    private List<String> loadedClasses() throws Exception {
        return Files.readAllLines(folder.resolve("classes.log"));
    }

    /** A launcher that makes the JVM log each class it loads. */
    private String[] classLogLauncher() {
        return new String[] {"env", "JDK_JAVA_OPTIONS=-Xlog:class+load:file=" + folder.resolve("classes.log")};
    }

    private String ask(int port, String host, String id) throws Exception {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            Map<String, String> headers = headers(id, "order", "20000");
            headers.put("Host", host);
            write(client, "POST /api", headers, "book");
            StubServer.Message answer = StubServer.read(client);
            assertNotNull(answer);
            return status(answer);
        }
    }

    @Test
    void aFaultyFileFailsTheStartAndLogsEachFault() throws Exception {
        ServeProcess process = startProcess(config(), "[[pool]]\nnam = \"a\"\nsettings = \"platform\"\n");
        process.awaitLine(folder.resolve("rushpin.toml") + " cannot be used");
        assertEquals(1, process.awaitExit());
        assertTrue(
                process.output.stream()
                        .anyMatch(line -> line.contains("line 2: pool[1].nam: is no key here; did you mean name?")),
                process.output.toString());
    }

    @Test
    void aReloadAppliesTheWholeNewFileOrNothing() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        ServeProcess process =
                startProcess(config(member("s-0", server.address(), "Ready", 0)), String.format(POOL_TEMPLATE, "a"));
        Path operator = folder.resolve("rushpin.toml");
        int port = process.awaitPort();
        assertEquals("200", ask(port, "a.example", "t-1"));
        String changed = String.format(POOL_TEMPLATE, "b");
        Files.writeString(operator, changed.substring(0, changed.length() / 2));
        process.signal("HUP");
        process.awaitLine("the configuration stays as it was");
        assertEquals("200", ask(port, "a.example", "t-2"));
        assertEquals("404", ask(port, "b.example", "t-3"));
        // Two signals at the same time, as from two operators.
        Files.writeString(operator, changed);
        process.signal("HUP");
        process.signal("HUP");
        process.awaitLine("configuration read again");
        String status = "";
        for (int i = 0; !status.equals("200") && i < 1_000; i++) {
            status = ask(port, "b.example", "u-" + i);
        }
        assertEquals("200", status);
        assertEquals("404", ask(port, "a.example", "t-4"));
        process.signal("TERM");
        assertEquals(0, process.awaitExit());
    }

    /** A feature that is not configured must not cost anything: none of its classes may be loaded. */
    @Test
    void withoutAnOperatorFileNoClassOfItIsLoaded() throws Exception {
        ServeProcess process = startProcess(config(), null, classLogLauncher());
        process.awaitPort();
        process.signal("TERM");
        assertEquals(0, process.awaitExit());
        List<String> loaded = loadedClasses();
        assertTrue(loaded.stream().anyMatch(line -> line.contains("rushpin.node.PlatformService")));
        for (String unused : List.of(
                "rushpin.route.",
                "rushpin.rig.",
                "rushpin.config.OperatorFile",
                "PooledServices",
                "rushpin.budget.Lender",
                "rushpin.budget.FairQueue",
                "rushpin.membership.AddressOwners",
                "org.tomlj",
                "picocli")) {
            assertFalse(loaded.stream().anyMatch(line -> line.contains(unused)), unused + " was loaded");
        }
    }

    /** The same for the features that a fleet of processes shares. */
    @Test
    void withoutATableFleetNoClassOfItIsLoaded() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        ServeProcess process = startProcess(
                config(member("s-0", server.address(), "Ready", 0)),
                String.format(POOL_TEMPLATE, "a"),
                classLogLauncher());
        assertEquals("200", ask(process.awaitPort(), "a.example", "t-1"));
        process.signal("HUP");
        process.awaitLine("configuration read again");
        process.signal("TERM");
        assertEquals(0, process.awaitExit());
        List<String> loaded = loadedClasses();
        assertTrue(loaded.stream().anyMatch(line -> line.contains("rushpin.node.PooledServices")));
        for (String unused : List.of(
                "rushpin.accord.",
                "rushpin.peer.",
                "rushpin.failover.",
                "org.apache.ratis",
                "io.grpc.",
                "rushpin.node.Together",
                "rushpin.node.Voter",
                "rushpin.node.Witness",
                "rushpin.node.Gathered",
                "rushpin.config.FleetTableReader",
                "rushpin.config.FleetConfig",
                "rushpin.pooling.",
                "rushpin.budget.ConnectionBudget",
                "GroupGate",
                "ServerPool$QueuedAttempt",
                "GroupSide",
                "rushpin.config.GroupTableReader",
                "rushpin.config.GroupConfig")) {
            assertFalse(loaded.stream().anyMatch(line -> line.contains(unused)), unused + " was loaded");
        }
    }
}
