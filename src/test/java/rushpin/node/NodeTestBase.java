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

/** What the tests of a node share: scripted peers on loopback sockets, a node between them, and its clients. */
@Timeout(120)
abstract class NodeTestBase {
    static final String UNCHANGED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
    final List<AutoCloseable> toClose = new ArrayList<>();
    StubServer discovery;
    StubServer counter;
    volatile StubServer.Script counting = m -> m.answer(StubServer.ok("", "1"));

    static {
        Leaks.watch();
    }

    @BeforeEach
    void peers() throws IOException {
        discovery = stubServer(m -> m.answer(UNCHANGED));
        counter = stubServer(m -> counting.on(m));
    }

    @AfterEach
    void close() throws Exception {
        for (int i = toClose.size() - 1; i >= 0; i--) {
            toClose.get(i).close();
        }
        Leaks.assertNone();
    }

    StubServer stubServer(StubServer.Script script) throws IOException {
        StubServer peer = new StubServer(script);
        toClose.add(peer);
        return peer;
    }

    static String member(String id, String address, String phase, long since) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\","
                + "\"locality\":\"a\",\"flavor\":\"m\",\"cell\":1,"
                + "\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":" + since + "}";
    }

    String config(String... members) throws IOException {
        return Files.readString(Path.of("src/test/resources/node.json"))
                .replace("DISCOVERY", discovery.address())
                .replace("COUNTER", counter.address())
                .replace("MEMBERS", String.join(",", members));
    }

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
        InetSocketAddress at = (InetSocketAddress) node.address();
        Socket socket = new Socket(at.getAddress(), at.getPort());
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

    static void write(Socket to, String first, Map<String, String> headers, String body) throws IOException {
        StringBuilder text = new StringBuilder(first).append(" HTTP/1.1\r\n");
        headers.forEach(
                (name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        to.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
    }

    static void order(Socket to, String id) throws IOException {
        write(to, "POST /api?slot=4", headers(id, "order", "20000"), "book");
    }

    /** What happens while the node does not look. */
    interface ThrowingRunnable {
        void run() throws Exception;
    }

    /**
     * Holds the node's loop while things happen, as a processor that is taken away would. {@code then} runs on the loop before
     * it looks at its sockets again.
     */
    static void runWhileLoopIsBlocked(EdgeNode node, ThrowingRunnable happening, Runnable then) throws Exception {
        CompletableFuture<Void> held = new CompletableFuture<>();
        CompletableFuture<Void> happened = new CompletableFuture<>();
        CompletableFuture<Void> over = CompletableFuture.runAsync(
                () -> {
                    held.complete(null);
                    happened.join();
                    then.run();
                },
                node.loop());
        held.join();
        try {
            happening.run();
        } finally {
            happened.complete(null);
        }
        over.get(60, TimeUnit.SECONDS);
    }

    /** Answers once it may. */
    static StubServer.Script respondAfter(CompletableFuture<Void> go) {
        return m -> {
            go.join();
            m.answer(StubServer.ok("", "x"));
        };
    }

    /** One line to a console, and all that it says. */
    static String call(int console, String line) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), console)) {
            socket.setSoTimeout(60_000);
            socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    static String status(StubServer.Message answer) {
        assertNotNull(answer, "the connection ended without an answer");
        return answer.startLine().split(" ")[1];
    }

    static String ask(Socket client, String id) throws IOException {
        order(client, id);
        return status(StubServer.read(client));
    }
}
