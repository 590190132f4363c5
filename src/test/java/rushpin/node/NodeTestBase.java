package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import rushpin.config.Config;

/** Fixtures shared by a node's tests: scripted servers on loopback sockets, a node that uses them, and its clients. */
@Timeout(120)
abstract class NodeTestBase {
    /** Discovery's response to a watch whose server list has not changed yet; it stays open. */
    static final String UNCHANGED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";

    final List<AutoCloseable> toClose = new ArrayList<>();
    StubServer discovery;
    StubServer counter;
    /** What the counter does with a call; a test may replace it at any time. */
    volatile StubServer.Script counterScript = m -> m.answer(StubServer.ok("", "1"));

    static {
        BufferLeakDetector.install();
    }

    @BeforeEach
    void startDiscoveryAndCounter() throws IOException {
        discovery = stubServer(m -> m.answer(UNCHANGED));
        counter = stubServer(m -> counterScript.handle(m));
    }

    @AfterEach
    void close() throws Exception {
        for (int i = toClose.size() - 1; i >= 0; i--) {
            toClose.get(i).close();
        }
        BufferLeakDetector.assertNone();
    }

    /** Starts a server that is closed after the test. */
    StubServer stubServer(StubServer.Script script) throws IOException {
        StubServer server = new StubServer(script);
        toClose.add(server);
        return server;
    }

    /** A server as discovery's list has it; {@code since} is its start in milliseconds of Unix time. */
    static String member(String id, String address, String phase, long since) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\","
                + "\"locality\":\"a\",\"flavor\":\"m\",\"cell\":1,"
                + "\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":" + since + "}";
    }

    /** The platform's settings with this test's discovery and counter, and the given servers as the list. */
    String config(String... members) throws IOException {
        return Files.readString(Path.of("src/test/resources/node.json"))
                .replace("DISCOVERY", discovery.address())
                .replace("COUNTER", counter.address())
                .replace("MEMBERS", String.join(",", members));
    }

    /** Starts a node whose server list has the given servers, {@code s-0} and so on. */
    EdgeNode node(StubServer... servers) throws Exception {
        String[] members = new String[servers.length];
        for (int i = 0; i < members.length; i++) {
            members[i] = member("s-" + i, servers[i].address(), "Ready", 0);
        }
        return start(config(members));
    }

    EdgeNode start(String config) throws Exception {
        EdgeNode node = new EdgeNode(Config.parse(config));
        toClose.add(node);
        node.start();
        return node;
    }

    Socket client(EdgeNode node) throws IOException {
        InetSocketAddress address = (InetSocketAddress) node.address();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(60_000);
        toClose.add(socket);
        return socket;
    }

    static Map<String, String> headers(String id, String requestClass, String expires) {
        Map<String, String> headers = new TreeMap<>(Map.of(
                "Host",
                "app.svc",
                "X-Trace-Id",
                id,
                "X-Qos",
                requestClass,
                "X-Plan",
                "bulk",
                "Cookie",
                "customer=0000000000000007",
                "X-Expires-In-Ms",
                expires,
                "X-Quota",
                "units=1,spread=1,first=0"));
        if (requestClass.equals("order")) {
            headers.put("Idempotency-Key", "key-" + id);
        }
        return headers;
    }

    /** Writes a request; {@code requestLine} is its start without the HTTP version. */
    static void write(Socket to, String requestLine, Map<String, String> headers, String body) throws IOException {
        StringBuilder text = new StringBuilder(requestLine).append(" HTTP/1.1\r\n");
        headers.forEach(
                (name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        to.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Writes the head of a request of the class {@code order} with the given framing, a whole header line. */
    static void writeHead(Socket to, String id, String expires, String framing) throws IOException {
        StringBuilder head = new StringBuilder("POST /api?slot=4 HTTP/1.1\r\n");
        headers(id, "order", expires)
                .forEach((name, value) ->
                        head.append(name).append(": ").append(value).append("\r\n"));
        head.append(framing).append("\r\n\r\n");
        to.getOutputStream().write(head.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a request of the class {@code order}, without reading the response. */
    static void order(Socket to, String id) throws IOException {
        write(to, "POST /api?slot=4", headers(id, "order", "20000"), "book");
    }

    /** A step of a test that may throw. */
    interface ThrowingRunnable {
        void run() throws Exception;
    }

    /**
     * Runs {@code action} while the node's event loop is blocked, as in a process without a CPU core. {@code then} runs
     * on the loop before it polls its sockets again.
     */
    static void runWhileLoopIsBlocked(EdgeNode node, ThrowingRunnable action, Runnable then) throws Exception {
        CompletableFuture<Void> blocked = new CompletableFuture<>();
        CompletableFuture<Void> actionDone = new CompletableFuture<>();
        CompletableFuture<Void> loopTask = CompletableFuture.runAsync(
                () -> {
                    blocked.complete(null);
                    actionDone.join();
                    then.run();
                },
                node.loop());
        blocked.join();
        try {
            action.run();
        } finally {
            actionDone.complete(null);
        }
        loopTask.get(60, TimeUnit.SECONDS);
    }

    /** Answers each request with 200 once {@code go} is complete. */
    static StubServer.Script respondAfter(CompletableFuture<Void> go) {
        return m -> {
            go.join();
            m.answer(StubServer.ok("", "x"));
        };
    }

    /** Sends one line to the console on this port and returns its whole response. */
    static String call(int console, String line) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), console)) {
            socket.setSoTimeout(60_000);
            socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** The status code of a response. */
    static String status(StubServer.Message answer) {
        assertNotNull(answer, "the connection ended without a response");
        return answer.startLine().split(" ")[1];
    }

    /** Sends an order and returns the status code of its response. */
    static String ask(Socket client, String id) throws IOException {
        order(client, id);
        return status(StubServer.read(client));
    }
}
