package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.FastThreadLocalThread;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rushpin.config.Config;
import rushpin.config.OperatorFile;

/** Several pools in one node, each on its own event loop; {@link PoolsOnOneLoopTest} runs the same on one loop. */
@Timeout(120)
class PoolsTest extends NodeTestBase {
    @TempDir
    Path folder;

    /** Long enough for a pool without requests to end after a reload. */
    private static final int RETIRE_MS = 300;

    private final StringBuilder operatorFile = new StringBuilder();
    /** Opens when the app server has written a long answer, or can't any more. */
    private final CountDownLatch longAnswerEnded = new CountDownLatch(1);

    String loop() {
        return "own";
    }

    /** Adds a pool with a discovery that reports no changes, and a route by its host; returns the discovery. */
    private StubServer pool(String name, String keys, StubServer... servers) throws Exception {
        String[] members = new String[servers.length];
        for (int i = 0; i < members.length; i++) {
            members[i] = member("s-" + i, servers[i].address(), "Ready", 0);
        }
        return poolOf(name, keys, members);
    }

    private StubServer poolOf(String name, String keys, String... members) throws Exception {
        StubServer ownDiscovery = stubServer(m -> m.answer(UNCHANGED));
        settings(name, ownDiscovery, members);
        operatorFile
                .append("[[pool]]\nname = \"")
                .append(name)
                .append("\"\nsettings = \"")
                .append(name)
                .append(".json\"\nloop = \"")
                .append(loop())
                .append("\"\n")
                .append(keys)
                .append('\n');
        route(name, "host = \"" + name + ".example\"");
        return ownDiscovery;
    }

    private void settings(String name, StubServer ownDiscovery, String... members) throws IOException {
        Files.writeString(
                folder.resolve(name + ".json"), config(members).replace(discovery.address(), ownDiscovery.address()));
    }

    private void route(String pool, String keys) {
        operatorFile
                .append("[[route]]\npool = \"")
                .append(pool)
                .append("\"\n")
                .append(keys)
                .append("\n\n");
    }

    private EdgeNode startNode() throws Exception {
        Config config = Config.parse(config());
        EdgeNode node = new EdgeNode(config, OperatorFile.parse(operatorFile.toString(), folder, config));
        toClose.add(node);
        node.start();
        return node;
    }

    private void reload(EdgeNode node) throws Exception {
        Config config = Config.parse(config());
        node.reload(config, OperatorFile.parse(operatorFile.toString(), folder, config));
    }

    /** Changes the settings of pool a and returns once the new one watches its discovery. */
    private void replacePool(EdgeNode node, StubServer watched) throws Exception {
        Path settingsFile = folder.resolve("a.json");
        Files.writeString(
                settingsFile, Files.readString(settingsFile).replace("\"max-attempts\": 6", "\"max-attempts\": 5"));
        reload(node);
        assertTrue(watched.next().startLine().contains("watch=1"), "a new pool a must watch");
    }

    private static void order(Socket to, String pool, String id) throws IOException {
        Map<String, String> headers = headers(id, "order", "20000");
        headers.put("Host", pool + ".example");
        write(to, "POST /api?slot=4", headers, "book");
    }

    private StubServer.Message ask(EdgeNode node, String pool, String id) throws IOException {
        Socket client = client(node);
        order(client, pool, id);
        return StubServer.read(client);
    }

    private StubServer named(String name) throws IOException {
        return stubServer(m -> m.answer(StubServer.ok("", name)));
    }

    @Test
    void requestsAreRoutedByHostPathMethodClassAndHeaderAndForwardedUnchanged() throws Exception {
        StubServer a = named("a");
        StubServer b = named("b");
        StubServer c = named("c");
        StubServer d = named("d");
        pool("a", "", a);
        pool("b", "", b);
        pool("c", "", c);
        pool("d", "", d);
        route("b", "host = \"*.example\"\nprefix = \"/b\"");
        route("c", "host = \"*.example\"\nprefix = \"/b\"\nmethod = \"GET\"\nclass = \"lookup\"");
        route(
                "d",
                "host = \"*.example\"\nprefix = \"/b\"\nmethod = \"GET\"\nclass = \"lookup\"\n[route.headers]\n"
                        + "X-Yard = \"east\"");
        EdgeNode node = startNode();
        Socket client = client(node);
        Map<String, String> get = headers("t-1", "lookup", "20000");
        Map<String, String> post = headers("t-2", "order", "20000");
        post.put("Host", "X.Example.:7");
        write(client, "POST /b/x%20y?q=%2e%2e//;z", post, "book");
        assertEquals("b", StubServer.read(client).body());
        assertEquals("POST /b/x%20y?q=%2e%2e//;z HTTP/1.1", b.requests.peek().startLine());
        assertEquals("X.Example.:7", b.next().headers().get("host"));
        get.put("Host", "x.example");
        write(client, "GET /b", get, "");
        assertEquals("c", StubServer.read(client).body());
        get.put("X-Yard", "east");
        write(client, "GET /b/", get, "");
        assertEquals("d", StubServer.read(client).body());
        get.put("Host", "a.example");
        write(client, "GET http://A.example/b/c?x", get, "");
        assertEquals("a", StubServer.read(client).body());
        StubServer.Message sent = a.next();
        assertEquals("GET /b/c?x HTTP/1.1", sent.startLine(), "an absolute target is forwarded as its path");
        assertEquals("A.example", sent.headers().get("host"));
    }

    @Test
    void ambiguousTargetsAndHostsReachNoServer() throws Exception {
        StubServer a = named("a");
        StubServer b = named("b");
        pool("a", "", a);
        pool("b", "", b);
        route("b", "host = \"a.example\"\nprefix = \"/b\"");
        EdgeNode node = startNode();
        List<String> targets = List.of(
                "/b/../a",
                "/a/%2e%2e/b",
                "//b",
                "/a//b",
                "/b%2f..",
                "/b;x",
                "/%62",
                "/b\\..",
                "http://b.example/b",
                "https://a.example/b",
                "http://a.example:81/b",
                "*",
                "b",
                "/b%00");
        for (String target : targets) {
            Socket client = client(node);
            Map<String, String> headers = headers("t-1", "order", "20000");
            headers.put("Host", "a.example");
            write(client, "POST " + target, headers, "book");
            assertEquals("400", status(StubServer.read(client)), target);
        }
        for (String hosts : List.of(
                "Host: a.example\r\nHost: b.example\r\n",
                "Host: a.example\r\nHost: a.example\r\n",
                "",
                "Host: a.example, b.example\r\n",
                "Host: a.example:\r\n",
                "Host: a..example\r\n",
                "Host: u@a.example\r\n")) {
            Socket client = client(node);
            Map<String, String> headers = headers("t-1", "order", "20000");
            headers.remove("Host");
            StringBuilder text = new StringBuilder("POST /api HTTP/1.1\r\n").append(hosts);
            headers.forEach((name, value) ->
                    text.append(name).append(": ").append(value).append("\r\n"));
            client.getOutputStream()
                    .write(text.append("Content-Length: 0\r\n\r\n").toString().getBytes(StandardCharsets.US_ASCII));
            assertEquals("400", status(StubServer.read(client)), hosts);
        }
        assertTrue(a.requests.isEmpty() && b.requests.isEmpty());
    }

    @Test
    void requestsWithoutARouteOrAServerAreAnsweredAtOnce() throws Exception {
        pool("a", "", named("a"));
        StubServer empty = stubServer(m -> m.answer(watched("{\"revision\":9,\"complete\":true,\"members\":[]}")));
        settings("none", empty);
        operatorFile
                .append("[[pool]]\nname = \"none\"\nsettings = \"none.json\"\nloop = \"")
                .append(loop())
                .append("\"\n\n");
        route("none", "host = \"none.example\"");
        EdgeNode node = startNode();
        empty.next();
        assertEquals("404", status(ask(node, "nowhere", "t-1")));
        String status = status(ask(node, "none", "t-2"));
        assertTrue(status.equals("503") || status.equals("429"), status);
        assertEquals("200", status(ask(node, "a", "t-3")));
    }

    private static String watched(String line) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length() + 1) + "\r\n"
                + line + "\n\r\n";
    }

    @Test
    void poolsWithTheSameServerIdsTraceIdsAndCustomersAreIsolated() throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        StubServer a = stubServer(m -> {
            release.join();
            m.answer(StubServer.ok("", "a"));
        });
        pool("a", "", a);
        pool("b", "", stubServer(m -> {
            release.join();
            m.answer(StubServer.ok("", "b"));
        }));
        EdgeNode node = startNode();
        Socket one = client(node);
        Socket two = client(node);
        orderCounted(one, "a", "same");
        orderCounted(two, "b", "same");
        a.next();
        Socket again = client(node);
        orderCounted(again, "a", "same");
        assertEquals("409", status(StubServer.read(again)), "within a pool an open request ID is unique");
        release.complete(null);
        assertEquals("a", StubServer.read(one).body());
        assertEquals("b", StubServer.read(two).body());
        // The customer and the counter are the same: each pool counts under its own names.
        List<String> spaces = new ArrayList<>();
        while (!spaces.containsAll(List.of("a", "b"))) {
            String counted = counter.next().startLine();
            assertTrue(counted.matches("POST /tally/[ab]\\.[0-9]+\\?.*"), counted);
            spaces.add(counted.substring("POST /tally/".length(), "POST /tally/".length() + 1));
        }
    }

    /** Sends a request of a customer spread over two nodes, so that the counter is called. */
    private static void orderCounted(Socket to, String pool, String id) throws IOException {
        Map<String, String> headers = headers(id, "order", "20000");
        headers.put("Host", pool + ".example");
        headers.put("X-Quota", "units=1,spread=2,first=0");
        write(to, "POST /api", headers, "book");
    }

    @Test
    void aCeilingUsedUpInOnePoolIsUnusedInAnother() throws Exception {
        pool("a", "", named("a"));
        pool("b", "", named("b"));
        for (String name : List.of("a", "b")) {
            Path settingsFile = folder.resolve(name + ".json");
            Files.writeString(
                    settingsFile,
                    Files.readString(settingsFile)
                            .replace("\"hard-rate\": 0", "\"hard-rate\": 4")
                            .replace("\"hard-burst\": 0", "\"hard-burst\": 4"));
        }
        EdgeNode node = startNode();
        // A ceiling starts empty: the customer's first requests are refused until it has filled.
        int refused = 0;
        String status = status(ask(node, "a", "w"));
        for (int i = 0; !status.equals("200") && i < 2_000; i++) {
            status = status(ask(node, "a", "w-" + i));
            Thread.onSpinWait();
        }
        assertEquals("200", status);
        for (int i = 0; i < 30; i++) {
            refused += status(ask(node, "a", "t-" + i)).equals("200") ? 0 : 1;
        }
        assertTrue(refused > 10, "the ceiling must refuse requests in pool a: " + refused);
        String other = status(ask(node, "b", "u"));
        for (int i = 0; !other.equals("200") && i < 2_000; i++) {
            other = status(ask(node, "b", "u-" + i));
        }
        assertEquals("200", other, "the ceiling must not refuse requests in pool b");
    }

    @Test
    void anAddressBelongsToOnePoolUntilItIsReleased() throws Exception {
        StubServer shared = named("x");
        CompletableFuture<Void> drain = new CompletableFuture<>();
        StubServer list = stubServer(m -> {
            drain.join();
            m.answer(watched("{\"revision\":9,\"complete\":false,\"members\":["
                    + member("s-0", shared.address(), "Terminating", 0) + "]}"));
        });
        settings("a", list, member("s-0", shared.address(), "Ready", 0));
        operatorFile
                .append("[[pool]]\nname = \"a\"\nsettings = \"a.json\"\nloop = \"")
                .append(loop())
                .append("\"\n\n");
        route("a", "host = \"a.example\"");
        pool("b", "", shared);
        EdgeNode node = startNode();
        assertEquals("200", status(ask(node, "a", "t-1")));
        assertFalse(status(ask(node, "b", "t-2")).equals("200"), "two pools must not use one server");
        drain.complete(null);
        String status = "";
        for (int i = 0; !status.equals("200") && i < 10_000; i++) {
            status = status(ask(node, "b", "t-3-" + i));
        }
        assertEquals("200", status, "a server that drains in one pool is free for the other");
    }

    @Test
    void requestsOfSeveralPoolsOnOneConnectionAreAnsweredInOrder() throws Exception {
        pool("a", "", named("a"));
        pool("b", "", named("b"));
        EdgeNode node = startNode();
        Socket client = client(node);
        for (int i = 0; i < 50; i++) {
            order(client, i % 3 == 0 ? "a" : "b", "t-" + i);
        }
        for (int i = 0; i < 50; i++) {
            StubServer.Message answer = StubServer.read(client);
            assertEquals("200", status(answer), "request " + i);
            assertEquals(i % 3 == 0 ? "a" : "b", answer.body(), "request " + i);
        }
    }

    @Test
    void aRequestInSingleBytesIsReadAndATooLargeOneIsRefused() throws Exception {
        pool("a", "", named("a"));
        EdgeNode node = startNode();
        Socket slow = client(node);
        slow.setTcpNoDelay(true);
        Map<String, String> headers = headers("t-1", "order", "20000");
        headers.put("Host", "a.example");
        StringBuilder text = new StringBuilder("POST /api HTTP/1.1\r\n");
        headers.forEach(
                (name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        for (byte one : text.append("Content-Length: 4\r\n\r\nbook").toString().getBytes(StandardCharsets.US_ASCII)) {
            slow.getOutputStream().write(one);
        }
        assertEquals("200", status(StubServer.read(slow)));
        Socket large = client(node);
        headers.put("X-Trace-Id", "t-2");
        write(large, "POST /api", headers, "x".repeat(64 * 1024));
        assertEquals("200", status(StubServer.read(large)), "64 KiB are allowed");
        Socket tooLarge = client(node);
        tooLarge.getOutputStream()
                .write(text.toString()
                        .replace("Content-Length: 4", "Content-Length: 40000001")
                        .getBytes(StandardCharsets.US_ASCII));
        assertEquals("413", status(StubServer.read(tooLarge)));
        Socket noise = client(node);
        noise.getOutputStream().write("\u0001\u0002 noise\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals("400", status(StubServer.read(noise)));
    }

    @Test
    void aClassIsKnownOnlyInThePoolThatConfiguresIt() throws Exception {
        pool("a", "", named("a"));
        pool("b", "", named("b"));
        Path settingsFile = folder.resolve("b.json");
        Files.writeString(settingsFile, Files.readString(settingsFile).replace("\"order\"", "\"booking\""));
        EdgeNode node = startNode();
        assertEquals("200", status(ask(node, "a", "t-1")));
        StubServer.Message answer = ask(node, "b", "t-2");
        assertEquals("400", status(answer));
        assertTrue(answer.body().startsWith("X-Qos is unknown"), answer.body());
    }

    @Test
    void aPoolWhoseServersFailHangOrRefuseDoesNotAffectOthers() throws Exception {
        CompletableFuture<Void> end = new CompletableFuture<>();
        toClose.add(() -> end.complete(null));
        pool("failing", "", stubServer(m -> m.answer("HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n")));
        pool("hanging", "", stubServer(m -> end.join()), stubServer(m -> end.join()));
        ServerSocket closed = new ServerSocket(0);
        poolOf("refusing", "", member("s-0", "127.0.0.1:" + closed.getLocalPort(), "Ready", 0));
        closed.close();
        pool("well", "", named("well"));
        EdgeNode node = startNode();
        List<Socket> open = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            Socket client = client(node);
            order(client, "hanging", "h-" + i);
            open.add(client);
            // Each is answered long before its deadline while the hanging pool's requests are in flight.
            assertFalse(status(ask(node, "failing", "f-" + i)).equals("200"));
            assertFalse(status(ask(node, "refusing", "r-" + i)).equals("200"));
            assertEquals("200", status(ask(node, "well", "w-" + i)));
        }
        end.complete(null);
        for (Socket socket : open) {
            socket.close();
        }
    }

    @Test
    void aGuaranteedConnectionIsAvailableWhileTheRestIsLent() throws Exception {
        CompletableFuture<Void> first = new CompletableFuture<>();
        List<StubServer> lentServers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            lentServers.add(stubServer(m -> {
                first.join();
                m.answer(StubServer.ok("", "b"));
            }));
        }
        operatorFile.append("[process]\nconnections = 6\nconnects = 6\n\n");
        pool("a", "guaranteed = { connections = 1, connects = 2 }\n", named("a"), named("a"), named("a"));
        pool("b", "guaranteed = { connections = 1, connects = 2 }\n", lentServers.toArray(StubServer[]::new));
        EdgeNode node = startNode();
        List<Socket> open = new ArrayList<>();
        // Pool b uses its guaranteed connection and the whole rest.
        for (int i = 0, out = 0; out < 5 && i < 200; i++) {
            Socket client = client(node);
            order(client, "b", "b-" + i);
            open.add(client);
            out = lentServers.stream().mapToInt(p -> p.requests.size()).sum();
        }
        // Pool a still has its guaranteed connection, for any number of requests.
        for (int i = 0; i < 20; i++) {
            assertEquals("200", status(ask(node, "a", "a-" + i)));
        }
        first.complete(null);
        int served = 0;
        for (Socket socket : open) {
            StubServer.Message answer = StubServer.read(socket);
            served += answer != null && status(answer).equals("200") ? 1 : 0;
        }
        assertTrue(served >= 1, "requests in flight in pool b must be answered");
    }

    @Test
    void aReloadMovesARouteAndRequestsInFlightEndInTheirPool() throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        StubServer old = stubServer(m -> {
            release.join();
            m.answer(StubServer.ok("", "old"));
        });
        StubServer removed = pool("a", "", old);
        pool("b", "", named("new"));
        EdgeNode node = startNode();
        Socket client = client(node);
        order(client, "a", "t-1");
        old.next();
        removed.next();
        String original = operatorFile.toString();
        operatorFile.setLength(0);
        operatorFile.append(original.substring(original.indexOf("[[pool]]\nname = \"b\"")));
        route("b", "host = \"a.example\"");
        reload(node);
        String body = "";
        for (int i = 0; !"new".equals(body) && i < 10_000; i++) {
            body = ask(node, "a", "u-" + i).body();
        }
        assertEquals("new", body, "new requests follow the new file");
        assertNull(removed.closedConnections.poll(), "a pool with requests in flight still follows its server list");
        release.complete(null);
        assertEquals("old", StubServer.read(client).body());
        assertNotNull(
                removed.closedConnections.poll(60, TimeUnit.SECONDS), "the removed pool ends with its last request");
        assertNotNull(old.closedConnections.poll(60, TimeUnit.SECONDS), "its connections must be closed");
        // The client's connection stays open and is served by the other pool.
        order(client, "a", "t-2");
        assertEquals("new", StubServer.read(client).body());
    }

    @Test
    void aFailedAttemptInARemovedPoolIsAnswered() throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        StubServer first = stubServer(m -> {
            release.join();
            m.socket().close();
        });
        pool("a", "", first, first);
        pool("b", "", named("b"));
        EdgeNode node = startNode();
        Socket client = client(node);
        order(client, "a", "t-1");
        first.next();
        String original = operatorFile.toString();
        operatorFile.setLength(0);
        operatorFile.append(original.substring(original.indexOf("[[pool]]\nname = \"b\"")));
        reload(node);
        release.complete(null);
        String status = status(StubServer.read(client));
        assertTrue(List.of("429", "502", "503").contains(status), status);
        assertEquals("200", status(ask(node, "b", "t-2")));
    }

    @Test
    void aPoolIsReplacedIfItsSettingsChangeAndKeptIfOnlyAddressesDo() throws Exception {
        StubServer a = named("a");
        StubServer before = pool("a", "", a);
        StubServer stays = pool("b", "", named("b"));
        EdgeNode node = startNode();
        before.next();
        stays.next();
        StubServer elsewhere = stubServer(m -> m.answer(UNCHANGED));
        settings("b", elsewhere, member("s-0", "127.0.0.1:1", "Ready", 0));
        Path settingsFile = folder.resolve("a.json");
        Files.writeString(
                settingsFile, Files.readString(settingsFile).replace("\"units-per-s\": 1000", "\"units-per-s\": 900"));
        reload(node);
        assertNotNull(before.closedConnections.poll(60, TimeUnit.SECONDS), "the old pool a must end");
        assertTrue(before.next().startLine().contains("watch=1"), "a new pool a must watch");
        assertTrue(
                elsewhere.next().startLine().contains("watch=1&after=5"),
                "pool b changed its address and kept its list");
        assertEquals("b", ask(node, "b", "t-1").body(), "pool b keeps the servers it knows");
        assertEquals("a", ask(node, "a", "t-2").body());
    }

    /** The halves of a long answer; the second half is written once the future completes. */
    private StubServer longAnswers(byte[] all, CompletableFuture<Void> secondHalf) throws IOException {
        return stubServer(m -> {
            if (!m.headers().get("x-trace-id").equals("long")) {
                m.answer(StubServer.ok("", "short"));
                return;
            }
            m.answer("HTTP/1.1 200 OK\r\nContent-Length: " + all.length + "\r\n\r\n");
            try {
                m.socket().getOutputStream().write(all, 0, all.length / 2);
                secondHalf.join();
                m.socket().getOutputStream().write(all, all.length / 2, all.length - all.length / 2);
            } finally {
                longAnswerEnded.countDown();
            }
        });
    }

    /** Orders from pool a and waits until the node has begun to pass on the long answer. */
    private Socket beginLongAnswer(EdgeNode node) throws Exception {
        Socket client = client(node);
        client.setSoTimeout(10_000);
        order(client, "a", "long");
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
                client.getInputStream().available() == 0; ) {
            assertTrue(System.nanoTime() < end, "no answer began");
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return client;
    }

    /** Guards against a long answer that is cut, its client not told, because its pool ends with a new configuration. */
    @Test
    void aLongAnswerUnderWayIsWholeThoughItsPoolIsReplaced() throws Exception {
        CompletableFuture<Void> secondHalf = new CompletableFuture<>();
        byte[] all = LongBodyTest.randomBytes(1_000_000, 1);
        StubServer server = longAnswers(all, secondHalf);
        StubServer watched = pool("a", "", server);
        EdgeNode node = startNode();
        watched.next();
        Socket client = beginLongAnswer(node);
        replacePool(node, watched);
        TimeUnit.MILLISECONDS.sleep(RETIRE_MS);
        secondHalf.complete(null);
        assertArrayEquals(all, LongBodyTest.readBody(client));
        assertNotNull(server.closedConnections.poll(60, TimeUnit.SECONDS), "the old pool's connection must be closed");
    }

    /**
     * Guards against a pool that refuses everything after a reload, and against connections that add up with each one:
     * the old pool would keep its guarantee, its watch and its calls for as long as a client reads its last answer.
     */
    @Test
    void aReplacedPoolKeepsOnlyWhatItsLastLongAnswersUse() throws Exception {
        CompletableFuture<Void> secondHalf = new CompletableFuture<>();
        byte[] all = LongBodyTest.randomBytes(1_000_000, 2);
        operatorFile.append("[process]\nrequests = 4\nconnections = 8\nconnects = 8\n\n");
        StubServer server = longAnswers(all, secondHalf);
        StubServer watched = pool("a", "guaranteed = { requests = 4, connections = 4, connects = 4 }\n", server);
        EdgeNode node = startNode();
        watched.next();
        Socket client = beginLongAnswer(node);
        replacePool(node, watched);
        assertNotNull(watched.closedConnections.poll(60, TimeUnit.SECONDS), "the old watch must end");
        assertNull(watched.requests.poll(RETIRE_MS, TimeUnit.MILLISECONDS), "it was only renewed after a silence");
        assertEquals("short", ask(node, "a", "t-2").body(), "the new pool has its guarantee");
        secondHalf.complete(null);
        assertArrayEquals(all, LongBodyTest.readBody(client));
    }

    private static Set<Thread> eventLoopThreads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(FastThreadLocalThread.class::isInstance)
                .collect(Collectors.toSet());
    }

    /** Guards against a retired pool that never ends because the client of its last long answer has left. */
    @Test
    void aReplacedPoolEndsWhenTheClientOfItsLastLongAnswerLeaves() throws Exception {
        CompletableFuture<Void> secondHalf = new CompletableFuture<>();
        byte[] all = LongBodyTest.randomBytes(16_000_000, 3);
        StubServer server = longAnswers(all, secondHalf);
        StubServer watched = pool("a", "", server);
        Set<Thread> others = eventLoopThreads();
        EdgeNode node = startNode();
        Set<Thread> nodeThreads = eventLoopThreads();
        nodeThreads.removeAll(others);
        watched.next();
        Socket client = beginLongAnswer(node);
        replacePool(node, watched);
        client.close();
        secondHalf.complete(null);
        assertTrue(longAnswerEnded.await(60, TimeUnit.SECONDS), "its connection must be closed");
        if (loop().equals("own")) {
            for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
                    nodeThreads.stream().allMatch(Thread::isAlive); ) {
                assertTrue(System.nanoTime() < end, "the old pool's loop still runs");
                TimeUnit.MILLISECONDS.sleep(5);
            }
        }
    }

    @Test
    void manyReloadsUnderLoadLoseNoRequest() throws Exception {
        pool("a", "", named("a"));
        pool("b", "", named("b"));
        EdgeNode node = startNode();
        String original = operatorFile.toString();
        Socket client = client(node);
        for (int i = 0; i < 60; i++) {
            operatorFile.setLength(0);
            operatorFile.append(i % 2 == 0 ? original.replace("\"b\"", "\"c\"") : original);
            if (i % 2 == 0) {
                // The same service under another name is another pool with the same addresses.
                reload(node);
            } else {
                reload(node);
                reload(node);
            }
            order(client, "a", "a-" + i);
            assertEquals("200", status(StubServer.read(client)));
            assertEquals("200", status(ask(node, "b", "b-" + i)), "the replacing pool must have the servers");
        }
    }
}
