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

/** A real process whose descriptors are all in use. */
class DescriptorsProcessTest extends NodeTestBase {
    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: n0\r\n\r\n";

    @TempDir
    Path folder;

    private Socket client(int port) throws IOException {
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(60_000);
        toClose.add(client);
        write(client);
        return client;
    }

    private static void write(Socket to) throws IOException {
        to.getOutputStream().write(HEALTH.getBytes(StandardCharsets.US_ASCII));
    }

    /** From now on no descriptor is given to it that has this number or a greater one; what is open stays open. */
    private static void room(Process process, int numbers) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("prlimit", "--pid", Long.toString(process.pid()), "--nofile=" + numbers + ":")
                        .start()
                        .waitFor());
    }

    /** A newcomer waits and is served later; nothing that is said of it ends the event loop, and with it the process. */
    @Test
    void whereNoneIsLeftNewcomersWaitAndTheOthersAreServed() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        ServeProcess daemon = new ServeProcess(folder, config(member("s-0", server.address(), "Ready", 0)), null);
        toClose.add(daemon);
        int port = daemon.port();
        Socket first = client(port);
        // Until it has heard of its servers it is not ready.
        while (!status(StubServer.read(first)).equals("200")) {
            write(first);
        }
        // Fewer numbers than newcomers: not all can be taken, however many are free below.
        room(daemon.process, 20);
        List<Socket> newcomers = new ArrayList<>();
        for (int i = 0; i < 25; i++) {
            newcomers.add(client(port));
        }
        daemon.await("a new connection is not taken: java.io.IOException: Too many open files");
        write(first);
        assertEquals("200", status(StubServer.read(first)));
        room(daemon.process, 1_000);
        for (Socket newcomer : newcomers) {
            assertEquals("200", status(StubServer.read(newcomer)));
        }
        daemon.signal("TERM");
        assertEquals(0, daemon.ended());
    }
}
