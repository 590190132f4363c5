package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command {@code serve} as a process: started twice, stopped early, killed. */
@Tag("long")
class ServeProcessTest extends NodeTestBase {
    @TempDir
    Path folder;

    private ServeProcess startProcess(String config, String operator) throws IOException {
        ServeProcess process = new ServeProcess(folder, config, operator);
        toClose.add(process);
        return process;
    }

    private static String ask(int port, String id, int spread) throws IOException {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            Map<String, String> headers = headers(id, "order", "20000");
            headers.put("X-Quota", "units=2,spread=" + spread + ",first=0");
            write(client, "POST /api", headers, "book");
            return status(StubServer.read(client));
        }
    }

    @Test
    void aStartOnAnAddressInUseLogsOneLineAndExitsWithOne() throws Exception {
        ServeProcess first = startProcess(config(), null);
        int port = first.awaitPort();
        ServeProcess second = startProcess(config().replace("127.0.0.1:0", "127.0.0.1:" + port), null);
        second.awaitLine("cannot start");
        assertEquals(1, second.awaitExit());
        assertTrue(first.osProcess.isAlive());
        assertEquals(
                1,
                second.output.stream()
                        .filter(line -> !line.startsWith("rehearsed") && !line.startsWith("server "))
                        .count(),
                second.output.toString());
    }

    @Test
    void anInheritedListenerWithoutASocketExitsWithOne() throws Exception {
        ServeProcess process = startProcess(config(), ServeProcess.operatorFile("listener = \"inherited\"\n"));
        process.awaitLine("cannot start: process.listener is inherited");
        assertEquals(1, process.awaitExit());
    }

    @Test
    void aSigtermDuringTheWarmUpExitsWithZero() throws Exception {
        ServeProcess process = startProcess(config(), null);
        while (process.osProcess.isAlive()) {
            try (Stream<Path> files = Files.list(folder)) {
                if (files.anyMatch(file -> file.getFileName().toString().startsWith("rehearsal-"))) {
                    break;
                }
            }
            Thread.onSpinWait();
        }
        process.osProcess.destroy();
        assertEquals(0, process.awaitExit());
    }

    private static void awaitHealth(Socket client, String expectedStatus) throws IOException {
        String health = "";
        while (!health.equals(expectedStatus)) {
            client.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            health = status(StubServer.read(client));
        }
    }

    @Test
    void aSecondSigtermLosesNoRequest() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer server = stubServer(respondAfter(go));
        ServeProcess process = startProcess(config(member("s-0", server.address(), "Ready", 0)), null);
        int port = process.awaitPort();
        try (Socket client = new Socket("127.0.0.1", port);
                Socket healthClient = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            healthClient.setSoTimeout(60_000);
            order(client, "t-1");
            server.next();
            awaitHealth(healthClient, "200");
            process.osProcess.destroy();
            process.osProcess.destroy();
            awaitHealth(healthClient, "503");
            go.complete(null);
            StubServer.Message answer = StubServer.read(client);
            assertNotNull(answer, "an accepted request must be answered");
            assertEquals("200", status(answer));
            assertEquals("close", answer.headers().get("connection"));
        }
        assertEquals(0, process.awaitExit());
    }

    /** A process is killed with use that it could not report to the counter: the next start reports it, once. */
    @Test
    void unreportedUseOfAKilledProcessIsReportedByTheNext() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        String config = config(member("s-0", server.address(), "Ready", 0));
        ServeProcess first = startProcess(
                config.replace(counter.address(), "127.0.0.1:" + ServeProcess.unusedPort()),
                ServeProcess.operatorFile("state = \"state\"\n"));
        int port = first.awaitPort();
        int served = 0;
        for (int i = 0; i < 5; i++) {
            served += ask(port, "t-" + i, 2).equals("200") ? 1 : 0;
        }
        assertTrue(served > 0);
        first.osProcess.destroyForcibly();
        first.awaitExit();
        ServeProcess second = startProcess(config, ServeProcess.operatorFile("state = \"state\"\n"));
        second.awaitLine("a: untold use of 1 customers taken over");
        second.awaitPort();
        double reported = 0;
        while (reported < 2 * served) {
            String call = counter.next().startLine();
            reported += Double.parseDouble(call.replaceAll(".*n=([-0-9.]+)&.*", "$1"));
        }
        assertEquals(2 * served, reported, 1e-6);
        second.osProcess.destroy();
        assertEquals(0, second.awaitExit());
        ServeProcess third = startProcess(config, ServeProcess.operatorFile("state = \"state\"\n"));
        third.awaitPort();
        assertTrue(third.output.stream().noneMatch(line -> line.contains("untold use")), third.output.toString());
    }

    @Test
    void twoProcessesServeOneAddressIfBothUseReuseport() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        String config = config(member("s-0", server.address(), "Ready", 0));
        ServeProcess first = startProcess(config, ServeProcess.operatorFile("listener = \"reuseport\"\n"));
        int port = first.awaitPort();
        ServeProcess second = startProcess(
                config.replace("127.0.0.1:0", "127.0.0.1:" + port),
                ServeProcess.operatorFile("listener = \"reuseport\"\n"));
        assertEquals(port, second.awaitPort());
        first.osProcess.destroy();
        assertEquals(0, first.awaitExit());
        for (int i = 0; i < 10; i++) {
            assertEquals("200", ask(port, "t-" + i, 1));
        }
    }
}
