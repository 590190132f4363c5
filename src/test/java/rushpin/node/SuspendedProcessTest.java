package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A process that is suspended by SIGSTOP and resumed: what it knew is as old as the suspension. */
class SuspendedProcessTest extends NodeTestBase {
    /** Clients that keep waiting, and as many that leave: accepting them takes many iterations of the loop. */
    private static final int CLIENTS = 200;

    @TempDir
    Path folder;
    /** All watches so far: one that gets no response in time, as on a busy machine, is followed by another. */
    private final List<StubServer.Message> watches = new ArrayList<>();

    private String announced = "";

    private ServeProcess startProcess(String config) throws Exception {
        ServeProcess process = new ServeProcess(folder, config, null);
        toClose.add(process);
        return process;
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    private static void order(Socket to, String id, int expires) throws Exception {
        Map<String, String> headers = headers(id, "order", Integer.toString(expires));
        write(to, "POST /api?slot=4", headers, "book");
    }

    private void recordWatches() throws Exception {
        discovery = stubServer(m -> {
            synchronized (watches) {
                m.answer(UNCHANGED + announced);
                watches.add(m);
                watches.notifyAll();
            }
        });
    }

    private void awaitWatch() throws InterruptedException {
        synchronized (watches) {
            while (watches.isEmpty()) {
                watches.wait();
            }
        }
    }

    /** Sends the list on each watch, and on those that come later. */
    private void announce(String list) {
        synchronized (watches) {
            announced = chunk(list);
            for (StubServer.Message watch : watches) {
                try {
                    watch.answer(announced);
                } catch (IOException e) {
                    // The node has closed this watch and reads another.
                }
            }
        }
    }

    private static void suspend(ServeProcess process) throws Exception {
        process.signal("STOP");
        // The signal takes effect asynchronously: wait for the kernel to show the state "stopped".
        Path stat = Path.of("/proc", Long.toString(process.osProcess.pid()), "stat");
        while (!java.nio.file.Files.readString(stat)
                .replaceAll("(?s).*\\) ", "")
                .startsWith("T")) {
            Thread.onSpinWait();
        }
    }

    /** A response that waits in the socket buffer while the client's deadline passes. */
    @Test
    void aResponseReadAfterTheDeadlineIsNotServed() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        CompletableFuture<Void> answered = new CompletableFuture<>();
        StubServer server = stubServer(m -> {
            go.join();
            m.answer(StubServer.ok("", "late"));
            answered.complete(null);
        });
        ServeProcess process = startProcess(config(member("s-0", server.address(), "Ready", 0)));
        int port = process.awaitPort();
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            order(client, "t-1", 2_000);
            server.next();
            suspend(process);
            go.complete(null);
            answered.get(60, TimeUnit.SECONDS);
            // 5 s, well beyond the 2 s that the client waits.
            TimeUnit.SECONDS.sleep(5);
            process.signal("CONT");
            StubServer.Message answer = StubServer.read(client);
            assertNotEquals("200", status(answer), "served after the deadline");
        }
    }

    /** A drain that was announced during the suspension applies to requests that came during it. */
    @Test
    void nothingIsSentToAServerThatDrainedDuringTheSuspension() throws Exception {
        recordWatches();
        StubServer draining = stubServer(m -> m.answer(StubServer.ok("", "old")));
        StubServer remaining = stubServer(m -> m.answer(StubServer.ok("", "new")));
        ServeProcess process = startProcess(config(member("s-0", draining.address(), "Ready", 0)));
        int port = process.awaitPort();
        try (Socket client = new Socket("127.0.0.1", port);
                Socket second = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            second.setSoTimeout(60_000);
            order(client, "t-1", 20_000);
            assertEquals("old", StubServer.read(client).body());
            draining.next();
            awaitWatch();
            suspend(process);
            // Requests first, the list after them: a node that reads in this order would send by its old list.
            order(client, "t-2", 20_000);
            order(second, "t-3", 20_000);
            announce("{\"revision\":9,\"complete\":true,\"members\":["
                    + member("s-0", draining.address(), "Terminating", 0) + ","
                    + member("s-1", remaining.address(), "Ready", 0) + "]}");
            TimeUnit.MILLISECONDS.sleep(1_500);
            process.signal("CONT");
            assertEquals("new", StubServer.read(client).body());
            assertEquals("new", StubServer.read(second).body());
            assertTrue(draining.requests.isEmpty(), "sent to a draining server: " + draining.requests);
        }
        process.signal("TERM");
        assertTrue(
                process.awaitFullOutput().stream().anyMatch(line -> line.startsWith("stood still for ")),
                process.output.toString());
    }

    /** Its client has given up; it is refused at once, with a status that says that nothing was done. */
    @Test
    void aRequestThatExpiredDuringTheSuspensionIsRefusedAndNotSent() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        ServeProcess process = startProcess(config(member("s-0", server.address(), "Ready", 0)));
        int port = process.awaitPort();
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            order(client, "t-1", 20_000);
            assertEquals("200", status(StubServer.read(client)));
            server.next();
            suspend(process);
            order(client, "t-2", 2_000);
            TimeUnit.MILLISECONDS.sleep(2_100);
            process.signal("CONT");
            assertEquals("429", status(StubServer.read(client)), "the refusal must say that a retry is safe");
            assertTrue(server.requests.isEmpty());
        }
    }

    /** Guards against forwarding expired requests when more of them wait than one settling period reads. */
    @Test
    void requestsOnAllNewConnectionsCountAsOldAsTheSuspension() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        ServeProcess process = startProcess(config(member("s-0", server.address(), "Ready", 0)));
        int port = process.awaitPort();
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            order(client, "warm", 20_000);
            assertEquals("200", status(StubServer.read(client)));
        }
        server.next();
        suspend(process);
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            waiting.add(new Socket("127.0.0.1", port));
            waiting.get(i).setSoTimeout(60_000);
            toClose.add(waiting.get(i));
            order(waiting.get(i), "stays-" + i, 2_000);
            try (Socket left = new Socket("127.0.0.1", port)) {
                order(left, "left-" + i, 2_000);
            }
        }
        TimeUnit.MILLISECONDS.sleep(2_100);
        process.signal("CONT");
        for (Socket client : waiting) {
            assertTrue(
                    List.of("429", "503").contains(status(StubServer.read(client))),
                    "the refusal must say that a retry is safe");
        }
        assertTrue(server.requests.isEmpty(), server.requests.size() + " were forwarded after they had expired");
    }
}
