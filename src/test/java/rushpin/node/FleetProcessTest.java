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

/** A daemon as a real process: started twice, ended early, killed hard. */
@Tag("long")
class FleetProcessTest extends NodeTestBase {
    @TempDir
    Path folder;

    private ServeProcess daemon(String config, String operator) throws IOException {
        ServeProcess made = new ServeProcess(folder, config, operator);
        toClose.add(made);
        return made;
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
    void aSecondStartOnATakenAddressIsOneLineAndStatusOne() throws Exception {
        ServeProcess first = daemon(config(), null);
        int port = first.port();
        ServeProcess second = daemon(config().replace("127.0.0.1:0", "127.0.0.1:" + port), null);
        second.await("cannot start");
        assertEquals(1, second.ended());
        assertTrue(first.process.isAlive());
        assertEquals(
                1,
                second.said.stream()
                        .filter(line -> !line.startsWith("rehearsed") && !line.startsWith("server "))
                        .count(),
                second.said.toString());
    }

    @Test
    void withoutASocketAnInheritedStartIsOneLineAndStatusOne() throws Exception {
        ServeProcess daemon = daemon(config(), ServeProcess.operatorFile("listener = \"inherited\"\n"));
        daemon.await("cannot start: process.listener is inherited");
        assertEquals(1, daemon.ended());
    }

    @Test
    void theWordToEndDuringTheRehearsalEndsItWithZero() throws Exception {
        ServeProcess daemon = daemon(config(), null);
        while (daemon.process.isAlive()) {
            try (Stream<Path> files = Files.list(folder)) {
                if (files.anyMatch(file -> file.getFileName().toString().startsWith("rehearsal-"))) {
                    break;
                }
            }
            Thread.onSpinWait();
        }
        daemon.process.destroy();
        assertEquals(0, daemon.ended());
    }

    private static void awaitHealth(Socket looking, String wanted) throws IOException {
        String health = "";
        while (!health.equals(wanted)) {
            looking.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            health = status(StubServer.read(looking));
        }
    }

    @Test
    void theWordToEndTwiceLosesNothing() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer server = stubServer(respondAfter(go));
        ServeProcess daemon = daemon(config(member("s-0", server.address(), "Ready", 0)), null);
        int port = daemon.port();
        try (Socket client = new Socket("127.0.0.1", port);
                Socket looking = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            looking.setSoTimeout(60_000);
            order(client, "t-1");
            server.next();
            awaitHealth(looking, "200");
            daemon.process.destroy();
            daemon.process.destroy();
            awaitHealth(looking, "503");
            go.complete(null);
            StubServer.Message answer = StubServer.read(client);
            assertNotNull(answer, "what was taken is answered");
            assertEquals("200", status(answer));
            assertEquals("close", answer.headers().get("connection"));
        }
        assertEquals(0, daemon.ended());
    }

    /** Killed with use that no call could tell: the next start tells it, once. */
    @Test
    void useThatAKilledProcessHadNotToldIsToldByTheNext() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        String config = config(member("s-0", server.address(), "Ready", 0));
        ServeProcess first = daemon(
                config.replace(counter.address(), "127.0.0.1:" + ServeProcess.unusedPort()),
                ServeProcess.operatorFile("state = \"state\"\n"));
        int port = first.port();
        int served = 0;
        for (int i = 0; i < 5; i++) {
            served += ask(port, "t-" + i, 2).equals("200") ? 1 : 0;
        }
        assertTrue(served > 0);
        first.process.destroyForcibly();
        first.ended();
        ServeProcess second = daemon(config, ServeProcess.operatorFile("state = \"state\"\n"));
        second.await("a: untold use of 1 customers taken over");
        second.port();
        double told = 0;
        while (told < 2 * served) {
            String call = counter.next().startLine();
            told += Double.parseDouble(call.replaceAll(".*n=([-0-9.]+)&.*", "$1"));
        }
        assertEquals(2 * served, told, 1e-6);
        second.process.destroy();
        assertEquals(0, second.ended());
        ServeProcess third = daemon(config, ServeProcess.operatorFile("state = \"state\"\n"));
        third.port();
        assertTrue(third.said.stream().noneMatch(line -> line.contains("untold use")), third.said.toString());
    }

    @Test
    void twoProcessesMayServeOneAddressWhereBothSaySo() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        String config = config(member("s-0", server.address(), "Ready", 0));
        ServeProcess first = daemon(config, ServeProcess.operatorFile("listener = \"reuseport\"\n"));
        int port = first.port();
        ServeProcess second = daemon(
                config.replace("127.0.0.1:0", "127.0.0.1:" + port), ServeProcess.operatorFile("listener = \"reuseport\"\n"));
        assertEquals(port, second.port());
        first.process.destroy();
        assertEquals(0, first.ended());
        for (int i = 0; i < 10; i++) {
            assertEquals("200", ask(port, "t-" + i, 1));
        }
    }
}
