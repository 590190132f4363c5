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

/** Real processes with a record of use, killed or told to end at the worst moments. */
@Tag("long")
class KilledProcessTest extends NodeTestBase {
    private static final String STATE = ServeProcess.operatorFile("state = \"state\"\n");

    @TempDir
    Path folder;

    private ServeProcess daemon(String config, List<String> before) throws IOException {
        ServeProcess made = new ServeProcess(folder, config, STATE, before);
        toClose.add(made);
        return made;
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

    /** Waits until the counter has been told so much in all by the calls that it answered. */
    private double told(double wanted) throws InterruptedException {
        double told = 0;
        while (told < wanted) {
            told += Double.parseDouble(counter.next().startLine().replaceAll(".*n=([-0-9.]+)&.*", "$1"));
        }
        return told;
    }

    /**
     * Killed in its drain with one request half answered, one sent and one queued: what servers saw is told by the next,
     * and what was only queued is told too much by at most that.
     */
    @Test
    void aKillInTheDrainForgetsNothingThatServersSaw() throws Exception {
        CompletableFuture<Void> never = new CompletableFuture<>();
        StubServer server = stubServer(m -> {
            if (m.startLine().contains("half")) {
                m.answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal");
            }
            never.join();
        });
        String config = config(member("s-0", server.address(), "Ready", 0));
        // No call gets through at all: a call that broke may have been added, and counts as told.
        String deaf = config.replace(counter.address(), "127.0.0.1:" + ServeProcess.unusedPort());
        ServeProcess first = daemon(deaf, List.of());
        int port = first.port();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Socket client = client(port);
            Map<String, String> headers = headers("t-" + i, "order", "20000");
            headers.put("X-Quota", "units=3,spread=2,first=0");
            write(client, "POST /api?" + (i == 0 ? "half" : "sent"), headers, "book");
            clients.add(client);
            server.next();
        }
        first.process.destroy();
        try (Socket looking = client(port)) {
            String health = "";
            while (!health.equals("503")) {
                looking.getOutputStream()
                        .write("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                health = status(StubServer.read(looking));
            }
        }
        first.process.destroyForcibly();
        first.ended();
        ServeProcess second = daemon(config, List.of());
        second.await("a: untold use of 1 customers taken over");
        second.port();
        assertEquals(6, told(6), 1e-6, "three units each of the two that the server saw");
        second.process.destroy();
        assertEquals(0, second.ended());
    }

    /** A limit on the size of files stands for a disk without room: a write fails in the middle of the record. */
    @Test
    void aDiskWithoutRoomIsOneLineAndServiceGoesOn() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        // 256 blocks of 512 or 1,024 bytes, below the record's mebibyte; the class archive and libraries are only read.
        ServeProcess daemon = daemon(
                config(member("s-0", server.address(), "Ready", 0)),
                List.of("sh", "-c", "ulimit -f 256; exec \"$@\"", "sh"));
        int port = daemon.port();
        for (int i = 0; i < 3; i++) {
            Socket client = client(port);
            ask(client, "t-" + i, 1);
            assertEquals("200", status(StubServer.read(client)));
        }
        daemon.signal("TERM");
        assertEquals(0, daemon.ended());
        assertEquals(
                1,
                daemon.rest().stream()
                        .filter(line -> line.contains("use is not kept over a hard kill"))
                        .count(),
                daemon.said.toString());
        try (var files = Files.list(folder.resolve("state"))) {
            assertEquals(List.of(), files.toList(), "a record that was not begun whole leaves nothing");
        }
    }

    /** Reloads that come faster than they are read, with the word to end among them, under open requests. */
    @Test
    void theWordToEndAmongReloadsLosesNothing() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer server = stubServer(respondAfter(go));
        String config = config(member("s-0", server.address(), "Ready", 0));
        ServeProcess daemon = daemon(config, List.of());
        int port = daemon.port();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Socket client = client(port);
            ask(client, "t-" + i, 1);
            clients.add(client);
            server.next();
        }
        for (int i = 0; i < 10; i++) {
            daemon.signal("HUP");
        }
        daemon.signal("TERM");
        for (int i = 0; i < 3; i++) {
            daemon.signal("HUP");
        }
        go.complete(null);
        for (Socket client : clients) {
            assertEquals("200", status(StubServer.read(client)));
        }
        assertEquals(0, daemon.ended());
        assertTrue(server.requests.isEmpty(), "nothing is sent twice: " + server.requests);
    }
}
