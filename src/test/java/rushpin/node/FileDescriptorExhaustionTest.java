package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A node process that has run out of file descriptors. */
class FileDescriptorExhaustionTest extends NodeTestBase {
    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: n0\r\n\r\n";

    @TempDir
    Path folder;

    private Socket client(int port) throws IOException {
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(60_000);
        toClose.add(client);
        writeHealthCheck(client);
        return client;
    }

    private static void writeHealthCheck(Socket to) throws IOException {
        to.getOutputStream().write(HEALTH.getBytes(StandardCharsets.US_ASCII));
    }

    /** Limits the numbers of new descriptors to those below {@code limit}; open descriptors stay open. */
    private static void limitDescriptors(Process process, int limit) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("prlimit", "--pid", Long.toString(process.pid()), "--nofile=" + limit + ":")
                        .start()
                        .waitFor());
    }

    /** New connections wait and are served later. Guards against a failed accept that ends the loop and the process. */
    @Test
    void withoutDescriptorsNewConnectionsWaitAndOpenOnesAreServed() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        ServeProcess process = new ServeProcess(folder, config(member("s-0", server.address(), "Ready", 0)), null);
        toClose.add(process);
        int port = process.awaitPort();
        Socket first = client(port);
        // The node is not ready until it has its server list.
        while (!status(StubServer.read(first)).equals("200")) {
            writeHealthCheck(first);
        }
        // Fewer numbers than new connections: not all can be accepted, however many numbers below are free.
        limitDescriptors(process.osProcess, 20);
        List<Socket> newClients = new ArrayList<>();
        for (int i = 0; i < 25; i++) {
            newClients.add(client(port));
        }
        process.awaitLine("a new connection is not taken: java.io.IOException: Too many open files");
        writeHealthCheck(first);
        assertEquals("200", status(StubServer.read(first)));
        limitDescriptors(process.osProcess, 1_000);
        for (Socket newClient : newClients) {
            assertEquals("200", status(StubServer.read(newClient)));
        }
        process.signal("TERM");
        assertEquals(0, process.awaitExit());
    }
}
