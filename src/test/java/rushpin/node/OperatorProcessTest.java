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

/** The operator's file in a real process: at its start, and by signals while it serves. */
@Tag("long")
class OperatorProcessTest extends NodeTestBase {
    private static final String ONE = "[[pool]]\nname = \"%1$s\"\nsettings = \"platform\"\n[[route]]\npool = \"%1$s\"\n"
            + "host = \"%1$s.example\"\n";

    @TempDir
    Path folder;

    private ServeProcess daemon(String config, String operator, String... before) throws Exception {
        ServeProcess made = new ServeProcess(folder, config, operator, List.of(before));
        toClose.add(made);
        return made;
    }

    /** What a process that writes down its classes loaded; for one that has ended. */
    private List<String> loaded() throws Exception {
        return Files.readAllLines(folder.resolve("classes.log"));
    }

    private String[] writesClasses() {
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
    void aFaultyFileEndsTheStartWithEachFault() throws Exception {
        ServeProcess daemon = daemon(config(), "[[pool]]\nnam = \"a\"\nsettings = \"platform\"\n");
        daemon.await(folder.resolve("rushpin.toml") + " cannot be used");
        assertEquals(1, daemon.ended());
        assertTrue(
                daemon.said.stream()
                        .anyMatch(line -> line.contains("line 2: pool[1].nam: is no key here; did you mean name?")),
                daemon.said.toString());
    }

    @Test
    void aReloadIsTheWholeNewFileOrNothing() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        ServeProcess daemon = daemon(config(member("s-0", server.address(), "Ready", 0)), String.format(ONE, "a"));
        Path operator = folder.resolve("rushpin.toml");
        int port = daemon.port();
        assertEquals("200", ask(port, "a.example", "t-1"));
        String half = String.format(ONE, "b");
        Files.writeString(operator, half.substring(0, half.length() / 2));
        daemon.signal("HUP");
        daemon.await("the configuration stays as it was");
        assertEquals("200", ask(port, "a.example", "t-2"));
        assertEquals("404", ask(port, "b.example", "t-3"));
        // Two at once, as by two hands.
        Files.writeString(operator, half);
        daemon.signal("HUP");
        daemon.signal("HUP");
        daemon.await("configuration read again");
        String status = "";
        for (int i = 0; !status.equals("200") && i < 1_000; i++) {
            status = ask(port, "b.example", "u-" + i);
        }
        assertEquals("200", status);
        assertEquals("404", ask(port, "a.example", "t-4"));
        daemon.signal("TERM");
        assertEquals(0, daemon.ended());
    }

    /** A feature that is off costs nothing, not even its classes. */
    @Test
    void withoutTheFileNothingOfItIsLoaded() throws Exception {
        ServeProcess daemon = daemon(config(), null, writesClasses());
        daemon.port();
        daemon.signal("TERM");
        assertEquals(0, daemon.ended());
        List<String> loaded = loaded();
        assertTrue(loaded.stream().anyMatch(line -> line.contains("rushpin.node.PlatformService")));
        for (String off : List.of(
                "rushpin.route.",
                "rushpin.rig.",
                "rushpin.config.OperatorFile",
                "PooledServices",
                "rushpin.budget.Lender",
                "rushpin.budget.FairQueue",
                "rushpin.membership.AddressOwners",
                "org.tomlj",
                "picocli")) {
            assertFalse(loaded.stream().anyMatch(line -> line.contains(off)), off + " was loaded");
        }
    }

    /** The same for what is shared with other processes. */
    @Test
    void withoutATableFleetNothingOfItIsLoaded() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        ServeProcess daemon =
                daemon(config(member("s-0", server.address(), "Ready", 0)), String.format(ONE, "a"), writesClasses());
        assertEquals("200", ask(daemon.port(), "a.example", "t-1"));
        daemon.signal("HUP");
        daemon.await("configuration read again");
        daemon.signal("TERM");
        assertEquals(0, daemon.ended());
        List<String> loaded = loaded();
        assertTrue(loaded.stream().anyMatch(line -> line.contains("rushpin.node.PooledServices")));
        for (String off : List.of(
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
            assertFalse(loaded.stream().anyMatch(line -> line.contains(off)), off + " was loaded");
        }
    }
}
