package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushpin.config.Config;

/** The warm-up of a node, which must not contact other processes. */
class WarmUpTest extends NodeTestBase {
    @TempDir
    Path folder;

    private long fileCount() throws Exception {
        try (Stream<Path> files = Files.list(folder)) {
            return files.count();
        }
    }

    @Test
    void requestsPassTheWholeNodeAndReachNoPeer() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "real")));
        Config config = Config.parse(config(member("s-0", server.address(), "Ready", 0)));
        assertTrue(WarmUp.run(config, 200, 60_000, folder) > 100);
        assertNull(server.requests.poll());
        assertNull(counter.requests.poll());
        assertNull(discovery.requests.poll());
        assertEquals(0, fileCount(), "the warm-up must leave no file");
    }

    @Test
    void itEndsAtItsTimeoutAndIsSkippedWithoutAFolder() throws Exception {
        Config config = Config.parse(config());
        WarmUp.run(config, Integer.MAX_VALUE, 1, folder);
        assertEquals(0, fileCount());
        assertEquals(0, WarmUp.run(config, 1, 60_000, folder.resolve("none")));
    }

    /**
     * A node that served without warm-up refused most of its first clients, so the warm-up must end before it listens.
     */
    @Test
    void theProgramWarmsUpBeforeItServes() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "real")));
        Path file = folder.resolve("config.json");
        Files.writeString(file, config(member("s-0", server.address(), "Ready", 0)));
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "rushpin.cli.Main",
                        "serve")
                .redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.start();
        toClose.add(process::destroyForcibly);
        BufferedReader output =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = output.readLine();
        while (line != null && !line.startsWith("rehearsed with")) {
            assertTrue(!line.startsWith("serving on"), "the node serves before the warm-up ended");
            line = output.readLine();
        }
        assertTrue(Integer.parseInt(line.split(" ")[2]) > 0, line);
        line = output.readLine();
        assertTrue(line.startsWith("serving on"), line);
        try (Socket client = new Socket("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)))) {
            client.setSoTimeout(60_000);
            assertEquals("200", ask(client, "t-1"));
        }
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
        assertEquals(1, fileCount(), "only the configuration must be left");
    }
}
