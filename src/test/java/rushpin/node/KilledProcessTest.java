package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Node processes that keep a record of use, killed or stopped at critical moments. */
@Tag("long")
class KilledProcessTest extends NodeTestBase {
    private static final String STATE = ServeProcess.operatorFile("state = \"state\"\n");

    @TempDir
    Path folder;

    private ServeProcess startProcess(String config, List<String> launcher) throws IOException {
        ServeProcess process = new ServeProcess(folder, config, STATE, launcher);
        toClose.add(process);
        return process;
    }

    private static void ask(Socket client, String id, int units) throws IOException {
        Map<String, String> headers = headers(id, "order", "20000");
        headers.put("X-Quota", "units=" + units + ",spread=2,first=0");
        write(client, "POST /api", headers, "book");
    }

    private Socket client(int port) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(60_000);
        toClose.add(socket);
        return socket;
    }

    /** Waits until the counter has answered calls for at least {@code minUnits} in all; returns their sum. */
    private double awaitReportedUnits(double minUnits) throws InterruptedException {
        double reported = 0;
        while (reported < minUnits) {
            reported += Double.parseDouble(counter.next().startLine().replaceAll(".*n=([-0-9.]+)&.*", "$1"));
        }
        return reported;
    }

    /**
     * A process is killed while it drains, with one response half received and one request sent: the next process
     * reports the use of all requests that app servers have seen.
     */
    @Test
    void aKillDuringTheDrainLosesNoUseThatServersSaw() throws Exception {
        CompletableFuture<Void> never = new CompletableFuture<>();
        StubServer server = stubServer(m -> {
            if (m.startLine().contains("half")) {
                m.answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal");
            }
            never.join();
        });
        String config = config(member("s-0", server.address(), "Ready", 0));
        // No call reaches the counter: one that broke off may have been counted, and is taken as reported.
        String unreachableCounter = config.replace(counter.address(), "127.0.0.1:" + ServeProcess.unusedPort());
        ServeProcess first = startProcess(unreachableCounter, List.of());
        int port = first.awaitPort();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Socket client = client(port);
            Map<String, String> headers = headers("t-" + i, "order", "20000");
            headers.put("X-Quota", "units=3,spread=2,first=0");
            write(client, "POST /api?" + (i == 0 ? "half" : "sent"), headers, "book");
            clients.add(client);
            server.next();
        }
        first.osProcess.destroy();
        try (Socket healthClient = client(port)) {
            String health = "";
            while (!health.equals("503")) {
                healthClient
                        .getOutputStream()
                        .write("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                health = status(StubServer.read(healthClient));
            }
        }
        first.osProcess.destroyForcibly();
        first.awaitExit();
        ServeProcess second = startProcess(config, List.of());
        second.awaitLine("a: untold use of 1 customers taken over");
        second.awaitPort();
        assertEquals(6, awaitReportedUnits(6), 1e-6, "three units each of the two that the server saw");
        second.osProcess.destroy();
        assertEquals(0, second.awaitExit());
    }

    /** A limit on file sizes stands for a full disk: a write fails in the middle of creating the record. */
    @Test
    void aFullDiskLogsOneLineAndServiceContinues() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        // 256 blocks of 512 or 1,024 bytes, less than the record's 1 MiB. Class archive and libraries are only read.
        ServeProcess process = startProcess(
                config(member("s-0", server.address(), "Ready", 0)),
                List.of("sh", "-c", "ulimit -f 256; exec \"$@\"", "sh"));
        int port = process.awaitPort();
        for (int i = 0; i < 3; i++) {
            Socket client = client(port);
            ask(client, "t-" + i, 1);
            assertEquals("200", status(StubServer.read(client)));
        }
        process.signal("TERM");
        assertEquals(0, process.awaitExit());
        assertEquals(
                1,
                process.awaitFullOutput().stream()
                        .filter(line -> line.contains("use is not kept over a hard kill"))
                        .count(),
                process.output.toString());
        try (var files = Files.list(folder.resolve("state"))) {
            assertEquals(List.of(), files.toList(), "a record that was not created completely must leave no file");
        }
    }

    /** SIGHUPs faster than reloads complete, with a SIGTERM among them, while requests are in flight. */
    @Test
    void aSigtermAmongReloadsLosesNoRequest() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer server = stubServer(respondAfter(go));
        String config = config(member("s-0", server.address(), "Ready", 0));
        ServeProcess process = startProcess(config, List.of());
        int port = process.awaitPort();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Socket client = client(port);
            ask(client, "t-" + i, 1);
            clients.add(client);
            server.next();
        }
        for (int i = 0; i < 10; i++) {
            process.signal("HUP");
        }
        process.signal("TERM");
        for (int i = 0; i < 3; i++) {
            process.signal("HUP");
        }
        go.complete(null);
        for (Socket client : clients) {
            assertEquals("200", status(StubServer.read(client)));
        }
        assertEquals(0, process.awaitExit());
        assertTrue(server.requests.isEmpty(), "nothing is sent twice: " + server.requests);
    }
}
