package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.config.Config;

/** An edge node between scripted peers on loopback sockets; tests wait for events, not for fixed times. */
@Timeout(120)
class EdgeNodeTest extends NodeTestBase {
    @Test
    void forwardsRequestsAndAnswersOverOneConnection() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("X-Units-Charged: 3\r\n", "done")));
        Socket client = client(node(server));
        for (String id : List.of("t-1", "t-2")) {
            order(client, id);
            StubServer.Message answer = StubServer.read(client);
            assertEquals("200", status(answer));
            assertEquals("done", answer.body());
            StubServer.Message sent = server.next();
            assertEquals("POST /api?slot=4 HTTP/1.1", sent.startLine());
            assertEquals("book", sent.body());
            assertEquals(id, sent.headers().get("x-trace-id"));
            assertEquals("key-" + id, sent.headers().get("idempotency-key"));
            assertTrue(Long.parseLong(sent.headers().get("x-expires-in-ms")) <= 20_000);
        }
        assertTrue(server.closedConnections.isEmpty(), "the second request must not need a second connection");
    }

    /** Regression: a null channel in the connect listener failed the first request on every connection. */
    @Test
    void theFirstRequestOnANewConnectionIsServed() throws Exception {
        assertEquals("200", ask(client(node(stubServer(m -> m.answer(StubServer.ok("", "x"))))), "t-1"));
    }

    @Test
    void invalidRequestsAreRefusedAtOnce() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        EdgeNode node = node(server);
        Map<String, String> bad = new TreeMap<>(Map.of(
                "X-Trace-Id",
                "",
                "X-Qos",
                "nonsense",
                "X-Plan",
                "gold",
                "Cookie",
                "customer=zz",
                "X-Expires-In-Ms",
                "soon",
                "X-Quota",
                "units=NaN,spread=1,first=0",
                "Idempotency-Key",
                ""));
        for (Map.Entry<String, String> one : bad.entrySet()) {
            Map<String, String> headers = headers("t-1", "order", "20000");
            headers.put(one.getKey(), one.getValue());
            Socket client = client(node);
            write(client, "POST /api", headers, "");
            assertEquals("400", status(StubServer.read(client)), one.getKey());
        }
        for (String quota : List.of(
                "units=1,spread=0,first=0",
                "units=1,spread=1,first=99",
                "units=-1,spread=1,first=0",
                "spread=1,first=0",
                "units=1")) {
            Map<String, String> headers = headers("t-1", "order", "20000");
            headers.put("X-Quota", quota);
            Socket client = client(node);
            write(client, "POST /api", headers, "");
            assertEquals("400", status(StubServer.read(client)), quota);
        }
        Map<String, String> good = headers("t-1", "order", "20000");
        for (Map.Entry<String, String> one :
                Map.of("GET /api", "405", "POST /elsewhere", "404").entrySet()) {
            Socket client = client(node);
            write(client, one.getKey(), good, "");
            assertEquals(one.getValue(), status(StubServer.read(client)), one.getKey());
        }
        assertTrue(server.requests.isEmpty(), "no invalid request may reach an app server");
    }

    @Test
    void aDuplicateOfAnOpenRequestIsRefusedAndTheFirstIsServed() throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        StubServer server = stubServer(respondAfter(release));
        EdgeNode node = node(server);
        Socket first = client(node);
        order(first, "t-1");
        server.next();
        assertEquals("409", ask(client(node), "t-1"));
        release.complete(null);
        assertEquals("200", status(StubServer.read(first)));
    }

    @Test
    void aRefusedAttemptIsRetriedElsewhere() throws Exception {
        StubServer full = stubServer(m -> m.answer("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"));
        StubServer gone = stubServer(m -> {});
        gone.close();
        StubServer good = stubServer(m -> m.answer(StubServer.ok("", "x")));
        Socket client = client(node(full, gone, good));
        for (int i = 0; i < 8; i++) {
            assertEquals("200", ask(client, "t-" + i));
        }
    }

    /** An unsafe request that may have run is failed, not refused, because a refusal invites the client to retry. */
    @Test
    void anUnsafeRequestThatMayHaveRunIsNotRetried() throws Exception {
        for (String answer : List.of(
                "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf")) {
            StubServer server = stubServer(m -> {
                m.answer(answer);
                if (!answer.startsWith("HTTP/1.1 50")) {
                    m.socket().close();
                }
            });
            Socket client = client(node(server));
            write(client, "POST /api", headers("t-1", "strict", "20000"), "book");
            assertEquals("502", status(StubServer.read(client)), answer);
            server.next();
            assertTrue(server.requests.isEmpty(), "the request must have been sent only once: " + answer);
        }
    }

    /** If a server does not answer, the client gets an answer before its deadline, and the attempt ends. */
    @Test
    void aSilentServerTimesOutAndItsConnectionIsClosed() throws Exception {
        StubServer server = stubServer(m -> {});
        Socket client = client(node(server));
        write(client, "POST /api", headers("t-1", "strict", "2500"), "book");
        assertEquals("502", status(StubServer.read(client)));
        server.next();
        assertNotNull(server.closedConnections.poll(60, TimeUnit.SECONDS), "the silent connection must be closed");
    }

    /** Regression: silent connections could occupy all sockets for good. */
    @Test
    void silentClientsAreClosedForNewOnes() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        EdgeNode node = start(
                config(member("s-0", server.address(), "Ready", 0)).replace("\"sockets\": 1024", "\"sockets\": 16"));
        for (int i = 0; i < 30; i++) {
            client(node);
        }
        assertEquals("200", ask(client(node), "t-1"));
    }

    @Test
    void aDrainAnswersAcceptedRequestsAndClosesConnections() throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        StubServer server = stubServer(respondAfter(release));
        EdgeNode node = node(server);
        Socket busy = client(node);
        order(busy, "t-1");
        server.next();
        CompletableFuture<Integer> drained = node.drain();
        // New connections arrive for a while after SIGTERM, and their requests must be answered.
        Socket late = client(node);
        order(late, "t-2");
        server.next();
        assertFalse(drained.isDone());
        release.complete(null);
        for (Socket client : List.of(busy, late)) {
            StubServer.Message answer = StubServer.read(client);
            assertEquals("200", status(answer));
            assertEquals("close", answer.headers().get("connection"));
            assertNull(StubServer.read(client));
        }
        drained.get(60, TimeUnit.SECONDS);
        // The kernel closes a listening socket when the selector next runs; until then connects may succeed.
        assertThrows(IOException.class, () -> {
            while (true) {
                client(node).close();
            }
        });
    }

    @Test
    void aWatchThatEndsIsResumedAfterItsLastRevision() throws Exception {
        StubServer moved = stubServer(m -> m.answer(StubServer.ok("", "new")));
        StubServer old = stubServer(m -> m.answer(StubServer.ok("", "old")));
        String line = "{\"revision\":8,\"complete\":false,\"members\":["
                + member("s-0", moved.address(), "Ready", System.currentTimeMillis() - 60_000) + "]}\n";
        CompletableFuture<Void> release = new CompletableFuture<>();
        discovery = stubServer(m -> {
            if (m.startLine().contains("after=5")) {
                release.join();
                m.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                        + "\r\n" + line + "\r\n0\r\n\r\n");
            }
        });
        EdgeNode node = node(old);
        Socket client = client(node);
        order(client, "t-1");
        assertEquals("old", StubServer.read(client).body());
        release.complete(null);
        StubServer.Message watch = discovery.next();
        assertTrue(watch.startLine().contains("watch=1&after=5"));
        while (watch.startLine().contains("after=5")) {
            // A slow watch is duplicated.
            watch = discovery.next();
        }
        assertTrue(watch.startLine().contains("watch=1&after=8"));
        // The server restarted at another address: connections to the old one are closed, the new one is used.
        assertNotNull(old.closedConnections.poll(60, TimeUnit.SECONDS));
        order(client, "t-2");
        assertEquals("new", StubServer.read(client).body());
    }

    /** Drains that discovery knows of bind from the start of a process, whatever the saved list contains. */
    @Test
    void nothingIsSentByTheSavedListBeforeDiscoveryAnswers() throws Exception {
        StubServer gone = stubServer(m -> m.answer(StubServer.ok("", "old")));
        StubServer there = stubServer(m -> m.answer(StubServer.ok("", "new")));
        String line =
                "{\"revision\":8,\"complete\":false,\"members\":[" + member("s-0", gone.address(), "Terminating", 0)
                        + "," + member("s-1", there.address(), "Ready", 0) + "]}\n";
        boolean timely = false;
        for (int i = 0; !timely; i++) {
            // The node waits 250 ms for discovery: a round in which the test took longer is repeated.
            CompletableFuture<Void> release = new CompletableFuture<>();
            discovery = stubServer(m -> {
                release.join();
                m.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                        + "\r\n" + line + "\r\n");
            });
            gone.requests.clear();
            long began = System.nanoTime();
            EdgeNode node = node(gone);
            Socket client = client(node);
            order(client, "t-" + i);
            // A node that did not wait would have sent the request by the time a second client is answered.
            Socket probe = client(node);
            write(probe, "GET /_health", java.util.Map.of("Host", "app.svc"), "");
            boolean waits = status(StubServer.read(probe)).equals("503");
            release.complete(null);
            timely = waits && System.nanoTime() - began < 200_000_000L;
            String body = StubServer.read(client).body();
            if (timely) {
                assertEquals("new", body);
                assertTrue(gone.requests.isEmpty(), "sent to a server that drains according to discovery");
            }
            node.close();
        }
    }

    /** If an address kept its old ID, the new app server there would get requests after its own drain. */
    @Test
    void anAddressBelongsToTheServerThatStartedThereLast() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        List<CompletableFuture<Void>> release = List.of(new CompletableFuture<>(), new CompletableFuture<>());
        discovery = stubServer(m -> {
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < 2; i++) {
                release.get(i).join();
                String line = "{\"revision\":" + (8 + i) + ",\"complete\":false,\"members\":["
                        + member(
                                "s-1",
                                server.address(),
                                i == 0 ? "Ready" : "Terminating",
                                System.currentTimeMillis() - 60_000)
                        + "]}\n";
                m.answer(head + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                head.setLength(0);
            }
        });
        EdgeNode node = node(server);
        for (int i = 0; i < 2; i++) {
            assertEquals("200", ask(client(node), "t-" + i));
            server.next();
            release.get(i).complete(null);
            assertNotNull(server.closedConnections.poll(60, TimeUnit.SECONDS), "its connections must be closed");
        }
        Socket client = client(node);
        write(client, "POST /api", headers("t-2", "order", "1500"), "");
        StubServer.Message refusal = StubServer.read(client);
        assertEquals("429", status(refusal));
        double after = Double.parseDouble(refusal.headers().get("retry-after"));
        assertTrue(after > 0 && after <= 0.5, "Retry-After must be present and short enough for the client to follow");
        assertTrue(server.requests.isEmpty());
    }

    /** Regression: an error's body was read as a server list, because closing does not discard data already read. */
    @Test
    void anErrorBodyOfDiscoveryIsNotAServerList() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        String list = "{\"revision\":9,\"complete\":true,\"members\":[]}\n";
        discovery =
                stubServer(m -> m.answer("HTTP/1.1 404 No\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
        EdgeNode node = node(server);
        discovery.next();
        assertTrue(discovery.next().startLine().contains("after=5"), "the revision in an error's body was applied");
        assertEquals("200", ask(client(node), "t-1"));
    }

    @Test
    void anInvalidConfigurationNamesItsKey() throws Exception {
        String good = config();
        Map<String, String> broken = new TreeMap<>(Map.of(
                good.replace("\"listen\"", "\"listenx\""),
                "listen is missing",
                good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""),
                "listen is not host:port",
                good.replace("\"my-number\": 0", "\"my-number\": \"x\""),
                "settings.my-number is not a number",
                good.replace("\"aim-ns\"", "\"aim\""),
                "settings.classes.0.aim-ns is missing",
                good.replace("\"tariffs\"", "\"plans\""),
                "tariffs is missing",
                "{",
                "the configuration is not JSON"));
        for (Map.Entry<String, String> one : broken.entrySet()) {
            String message = assertThrows(Config.Invalid.class, () -> Config.parse(one.getKey()))
                    .getMessage();
            assertTrue(message.startsWith(one.getValue()), message);
            assertFalse(message.contains("\n"), message);
        }
    }
}
