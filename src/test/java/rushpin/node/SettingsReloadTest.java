package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushpin.config.Config;

/** Settings that change while clients are served: in this process, and in a process of its own by SIGHUP. */
class SettingsReloadTest extends NodeTestBase {
    @TempDir
    Path folder;

    private static String ask(Socket client, String id, String requestClass) throws Exception {
        Map<String, String> headers = headers(id, requestClass, "20000");
        headers.put("Idempotency-Key", "key-" + id);
        write(client, "POST /api", headers, "x");
        return status(StubServer.read(client));
    }

    @Test
    void aNewClassIsServedAndARemovedOneUntilItsDeadline() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        String before = config(member("s-0", server.address(), "Ready", 0));
        EdgeNode node = start(before);
        Socket client = client(node);
        assertEquals("400", ask(client(node), "t-0", "urgent"));
        assertEquals("200", ask(client, "t-1", "strict"));
        String changed = before.replace("\"strict\"", "\"urgent\"");
        node.reload(Config.parse(changed));
        node.loop().submit(() -> {}).sync();
        assertEquals("200", ask(client, "t-2", "urgent"));
        assertEquals("200", ask(client, "t-3", "strict"), "a client that began with this class may still retry");
        assertEquals("200", ask(client, "t-4", "order"));
    }

    @Test
    void aRemovedClassIsRefusedAfterItsDeadline() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        String before = config(member("s-0", server.address(), "Ready", 0))
                .replace("\"deadline-ns\": 30000000000", "\"deadline-ns\": 300000000")
                .replace("\"aim-ns\": 10000000000", "\"aim-ns\": 200000000");
        EdgeNode node = start(before);
        node.reload(Config.parse(before.replace("\"strict\"", "\"urgent\"")));
        node.loop().submit(() -> {}).sync();
        Socket client = client(node);
        for (int i = 0; ; i++) {
            Map<String, String> headers = headers("t-" + i, "strict", "300");
            write(client, "POST /api", headers, "x");
            if (status(StubServer.read(client)).equals("400")) {
                break;
            }
            assertTrue(i < 10_000, "the removed class is still served");
        }
        assertEquals("200", ask(client(node), "last", "urgent", "300"));
    }

    /** Each reload removes another class; none may prolong a class that an earlier reload removed. */
    @Test
    void laterReloadsDoNotProlongARemovedClass() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        String before = config(member("s-0", server.address(), "Ready", 0))
                .replace("\"deadline-ns\": 30000000000", "\"deadline-ns\": 600000000")
                .replace("\"aim-ns\": 10000000000", "\"aim-ns\": 400000000");
        EdgeNode node = start(before);
        Socket client = client(node);
        String answer = "";
        for (int i = 0; !answer.equals("400"); i++) {
            assertTrue(i < 200, "still served: " + answer);
            node.reload(Config.parse(before.replace("\"strict\"", "\"class-" + i + "\"")));
            node.loop().submit(() -> {}).sync();
            write(client, "POST /api", headers("t-" + i, "strict", "600"), "x");
            answer = status(StubServer.read(client));
            Thread.sleep(50);
        }
    }

    private static String ask(Socket client, String id, String requestClass, String expires) throws Exception {
        write(client, "POST /api", headers(id, requestClass, expires), "x");
        return status(StubServer.read(client));
    }

    /** The idempotency of a request's class changes while an attempt is in flight: the request keeps the old rule. */
    @Test
    void aRequestInFlightKeepsTheRulesOfItsArrival() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        CountDownLatch inFlight = new CountDownLatch(1);
        CountDownLatch reloaded = new CountDownLatch(1);
        StubServer server = stubServer(m -> {
            if (m.headers().get("x-trace-id").equals("held") && attempts.incrementAndGet() == 1) {
                inFlight.countDown();
                try {
                    reloaded.await(60, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                m.answer("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
            } else {
                m.answer(StubServer.ok("", "x"));
            }
        });
        String before = config(member("s-0", server.address(), "Ready", 0));
        EdgeNode node = start(before);
        Socket client = client(node);
        write(client, "POST /api", headers("held", "strict", "20000"), "x");
        assertTrue(inFlight.await(60, TimeUnit.SECONDS));
        node.reload(Config.parse(before.replace("\"fragile\"", "\"dedup\"")
                .replace("\"key-ttl-ns\": 4000000000", "\"key-ttl-ns\": 30000000000")));
        node.loop().submit(() -> {}).sync();
        reloaded.countDown();
        assertEquals(
                "502", status(StubServer.read(client)), "it may have run, and its class on arrival allows no retry");
        assertEquals(1, attempts.get());
    }

    @Test
    void aFaultyFileChangesNothingAndIsCounted() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        String good = config(member("s-0", server.address(), "Ready", 0));
        String withConsole = good.replaceFirst("\"listen\"", "\"console\": \"127.0.0.1:0\", \"listen\"");
        try (ServeProcess process = new ServeProcess(folder, withConsole, null)) {
            int console = process.awaitConsolePort();
            Socket client = new Socket("127.0.0.1", process.awaitPort());
            toClose.add(client);
            client.setSoTimeout(60_000);
            String urgent = withConsole.replace("\"strict\"", "\"urgent\"");
            for (String broken : new String[] {
                "",
                urgent.substring(0, urgent.length() / 2),
                urgent.replace("\"max-attempts\": 6", "\"max-attempts\": 0"),
                urgent.replace("\"caps\"", "\"cups\"")
            }) {
                Files.writeString(process.config, broken);
                process.signal("HUP");
                process.awaitLine("the configuration stays as it was");
            }
            assertEquals("400", ask(client, "t-1", "urgent"));
            Files.writeString(process.config, urgent);
            process.signal("HUP");
            process.awaitLine("configuration read again");
            Socket newClient =
                    new Socket("127.0.0.1", ((java.net.InetSocketAddress) client.getRemoteSocketAddress()).getPort());
            toClose.add(newClient);
            newClient.setSoTimeout(60_000);
            assertEquals("200", ask(newClient, "t-2", "urgent"));
            String metrics = call(console, "STATS");
            assertTrue(
                    metrics.contains("node.config_applied:1|c\n") && metrics.contains("node.config_rejected:4|c\n"),
                    metrics);
        }
    }
}
