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

/** A process that was stopped by a signal and goes on: what it believed is as old as the stop. */
class FrozenProcessTest extends NodeTestBase {
    /** Connections of those who stay, and as many of those who leave: many passes of a loop that accepts a few in each. */
    private static final int MANY = 200;

    @TempDir
    Path folder;
    /** All that there were: one that is not answered in time, as on a crowded machine, is followed by another. */
    private final List<StubServer.Message> watches = new ArrayList<>();

    private String told = "";

    private ServeProcess daemon(String config) throws Exception {
        ServeProcess made = new ServeProcess(folder, config, null);
        toClose.add(made);
        return made;
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    private static void order(Socket to, String id, int expires) throws Exception {
        Map<String, String> headers = headers(id, "order", Integer.toString(expires));
        write(to, "POST /api?slot=4", headers, "book");
    }

    private void watched() throws Exception {
        discovery = stubServer(m -> {
            synchronized (watches) {
                m.answer(UNCHANGED + told);
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

    /** Tells each watch, and those that come later. */
    private void tell(String list) {
        synchronized (watches) {
            told = chunk(list);
            for (StubServer.Message watch : watches) {
                try {
                    watch.answer(told);
                } catch (IOException e) {
                    // One that was left before: the node reads another.
                }
            }
        }
    }

    private static void stopped(ServeProcess daemon) throws Exception {
        daemon.signal("STOP");
        // The signal takes effect when the kernel says so.
        Path stat = Path.of("/proc", Long.toString(daemon.process.pid()), "stat");
        while (!java.nio.file.Files.readString(stat)
                .replaceAll("(?s).*\\) ", "")
                .startsWith("T")) {
            Thread.onSpinWait();
        }
    }

    /** An answer that waits in the socket while the client's time runs out. */
    @Test
    void whatAServerAnsweredInTimeIsNotServedLate() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        CompletableFuture<Void> answered = new CompletableFuture<>();
        StubServer server = stubServer(m -> {
            go.join();
            m.answer(StubServer.ok("", "late"));
            answered.complete(null);
        });
        ServeProcess daemon = daemon(config(member("s-0", server.address(), "Ready", 0)));
        int port = daemon.port();
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            order(client, "t-1", 2_000);
            server.next();
            stopped(daemon);
            go.complete(null);
            answered.get(60, TimeUnit.SECONDS);
            // The claim is about time that passes: 5 s, well beyond the 2 s that the client waits.
            TimeUnit.SECONDS.sleep(5);
            daemon.signal("CONT");
            StubServer.Message answer = StubServer.read(client);
            assertNotEquals("200", status(answer), "answered late as served");
        }
    }

    /** A drain that was told while it stood still holds for what came meanwhile. */
    @Test
    void nothingGoesToAServerThatDrainedMeanwhile() throws Exception {
        watched();
        StubServer gone = stubServer(m -> m.answer(StubServer.ok("", "old")));
        StubServer there = stubServer(m -> m.answer(StubServer.ok("", "new")));
        ServeProcess daemon = daemon(config(member("s-0", gone.address(), "Ready", 0)));
        int port = daemon.port();
        try (Socket client = new Socket("127.0.0.1", port);
                Socket second = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            second.setSoTimeout(60_000);
            order(client, "t-1", 20_000);
            assertEquals("old", StubServer.read(client).body());
            gone.next();
            awaitWatch();
            stopped(daemon);
            // Requests first and the list after them: whoever reads in this order sends by what it knew.
            order(client, "t-2", 20_000);
            order(second, "t-3", 20_000);
            tell("{\"revision\":9,\"complete\":true,\"members\":[" + member("s-0", gone.address(), "Terminating", 0)
                    + "," + member("s-1", there.address(), "Ready", 0) + "]}");
            TimeUnit.MILLISECONDS.sleep(1_500);
            daemon.signal("CONT");
            assertEquals("new", StubServer.read(client).body());
            assertEquals("new", StubServer.read(second).body());
            assertTrue(gone.requests.isEmpty(), "sent to a server that had drained: " + gone.requests);
        }
        daemon.signal("TERM");
        assertTrue(
                daemon.rest().stream().anyMatch(line -> line.startsWith("stood still for ")), daemon.said.toString());
    }

    /** Its client has long given up; it is told at once that nothing was done. */
    @Test
    void aRequestAsOldAsTheStopIsTurnedAwayAndNotSent() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        ServeProcess daemon = daemon(config(member("s-0", server.address(), "Ready", 0)));
        int port = daemon.port();
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            order(client, "t-1", 20_000);
            assertEquals("200", status(StubServer.read(client)));
            server.next();
            stopped(daemon);
            order(client, "t-2", 2_000);
            TimeUnit.MILLISECONDS.sleep(2_100);
            daemon.signal("CONT");
            assertEquals("429", status(StubServer.read(client)), "to come again is harmless");
            assertTrue(server.requests.isEmpty());
        }
    }

    /** Guards against requests that are sent on after their time, since more of them wait than one settling span reads. */
    @Test
    void requestsOnAllNewConnectionsAreAsOldAsTheStop() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        ServeProcess daemon = daemon(config(member("s-0", server.address(), "Ready", 0)));
        int port = daemon.port();
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(60_000);
            order(client, "warm", 20_000);
            assertEquals("200", status(StubServer.read(client)));
        }
        server.next();
        stopped(daemon);
        List<Socket> stay = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            stay.add(new Socket("127.0.0.1", port));
            stay.get(i).setSoTimeout(60_000);
            toClose.add(stay.get(i));
            order(stay.get(i), "stays-" + i, 2_000);
            try (Socket left = new Socket("127.0.0.1", port)) {
                order(left, "left-" + i, 2_000);
            }
        }
        TimeUnit.MILLISECONDS.sleep(2_100);
        daemon.signal("CONT");
        for (Socket client : stay) {
            assertTrue(List.of("429", "503").contains(status(StubServer.read(client))), "to come again is harmless");
        }
        assertTrue(server.requests.isEmpty(), server.requests.size() + " were sent on after their time");
    }
}
