package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A connection to an app server that is established late. The server's backlog is kept full, so that the kernel
 * completes the node's connect only when the test accepts from the backlog: the test decides what changes until then.
 */
class LateConnectTest extends NodeTestBase {
    /** The kernel repeats a connect that found the backlog full after one second; 20 s leave room for that. */
    private static final String CONNECT_TIMEOUT = "\"connect-timeout-ns\": 20000000000";
    /** The node closes a connection that has been idle for half of this. */
    private static final String KEEP_ALIVE = "\"keepalive-ns\": 2000000000";

    /** A backlog of one takes two connections. */
    private static final int BACKLOG_CONNECTIONS = 2;

    private final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
    private ServerSocket server;
    private String serverAddress;

    @BeforeEach
    void listenWithAFullBacklog() throws IOException {
        server = new ServerSocket();
        toClose.add(server);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
        serverAddress = "127.0.0.1:" + server.getLocalPort();
        for (int i = 0; i < BACKLOG_CONNECTIONS; i++) {
            toClose.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
    }

    private EdgeNode startNodeWithLongConnectTimeout() throws Exception {
        String config = config(member("s-0", serverAddress, "Ready", 0));
        return start(config.replace("\"connect-timeout-ns\": 250000000", CONNECT_TIMEOUT)
                .replace("\"keepalive-ns\": 30000000000", KEEP_ALIVE));
    }

    /** Accepts connections from now on; returns a queue that gets the header maps of the requests on them. */
    private BlockingQueue<Map<String, String>> acceptConnections() throws IOException {
        BlockingQueue<Map<String, String>> requestHeaders = new LinkedBlockingQueue<>();
        acceptConnections(requestHeaders);
        return requestHeaders;
    }

    private void acceptConnections(BlockingQueue<Map<String, String>> requestHeaders) throws IOException {
        for (int i = 0; i < BACKLOG_CONNECTIONS; i++) {
            server.accept().close();
        }
        runInBackground(() -> {
            while (true) {
                Socket connection = server.accept();
                runInBackground(() -> serveRequests(connection, requestHeaders));
            }
        });
    }

    private void serveRequests(Socket from, BlockingQueue<Map<String, String>> requestHeaders) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.US_ASCII));
        while (in.readLine() != null) {
            Map<String, String> headers = new TreeMap<>();
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            in.skip(Long.parseLong(headers.getOrDefault("content-length", "0")));
            requestHeaders.add(headers);
            from.getOutputStream().write(StubServer.ok("", "x").getBytes(StandardCharsets.US_ASCII));
        }
        closedConnections.add(from);
    }

    private interface SocketTask {
        void run() throws IOException;
    }

    private static void runInBackground(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The node has closed the connection, or the test has finished.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Waits for the kernel's state SYN_SENT: the connect got no answer, and is repeated after 1 s. */
    private void awaitSynSent() throws IOException, InterruptedException {
        String synSent = String.format("(?s).*:%04X 02 .*", server.getLocalPort());
        while (!kernelConnections("tcp").matches(synSent)
                && !kernelConnections("tcp6").matches(synSent)) {
            Thread.sleep(1);
        }
    }

    /** Waits until the kernel has established the connection. */
    private void awaitConnected() throws IOException, InterruptedException {
        String synSent = String.format("(?s).*:%04X 02 .*", server.getLocalPort());
        while (kernelConnections("tcp").matches(synSent)
                || kernelConnections("tcp6").matches(synSent)) {
            Thread.sleep(1);
        }
    }

    private static String kernelConnections(String protocol) throws IOException {
        return Files.readString(Path.of("/proc/net", protocol));
    }

    private void awaitClientConnections(EdgeNode node, int count) throws Exception {
        while (node.connections() != count) {
            Thread.sleep(1);
        }
    }

    @Test
    void aRequestWhoseClientLeftDuringTheConnectIsNotWritten() throws Exception {
        EdgeNode node = startNodeWithLongConnectTimeout();
        Socket left = client(node);
        order(left, "left");
        awaitSynSent();
        left.close();
        awaitClientConnections(node, 0);

        BlockingQueue<Map<String, String>> requestHeaders = acceptConnections();
        // No request needs the connection by now: the node closes it once it has been idle for long enough.
        assertNotNull(closedConnections.poll(30, TimeUnit.SECONDS), "the idle connection must be closed");
        assertEquals(List.of(), List.copyOf(requestHeaders), "requests that the server received");
    }

    private static Map<String, String> nextHeaders(BlockingQueue<Map<String, String>> requestHeaders)
            throws InterruptedException {
        return Objects.requireNonNull(requestHeaders.poll(30, TimeUnit.SECONDS), "no request came");
    }

    /** Announces the drain. Runs on the loop after its next poll, when it knows that the connection is established. */
    private void announceDrain(Iterable<StubServer.Message> watches) {
        String drain = "{\"revision\":6,\"complete\":false,\"members\":["
                + member("s-0", serverAddress, "Terminating", 0) + "]}\n";
        try {
            for (StubServer.Message watch : watches) {
                watch.answer(Integer.toHexString(drain.length()) + "\r\n" + drain + "\r\n");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The loop is blocked while the connection is established; the server's drain is announced just after that. */
    @Test
    void aServerThatDrainsDuringAConnectAndAPauseGetsNoRequest() throws Exception {
        BlockingQueue<StubServer.Message> watches = new LinkedBlockingQueue<>();
        discovery = stubServer(m -> {
            m.answer(UNCHANGED);
            watches.add(m);
        });
        EdgeNode node = startNodeWithLongConnectTimeout();
        Socket client = client(node);
        order(client, "r1");
        awaitSynSent();

        BlockingQueue<Map<String, String>> requestHeaders = new LinkedBlockingQueue<>();
        runWhileLoopIsBlocked(
                node,
                () -> {
                    acceptConnections(requestHeaders);
                    awaitConnected();
                },
                () -> node.loop().schedule(() -> announceDrain(watches), 1, TimeUnit.NANOSECONDS));

        assertNotNull(closedConnections.poll(30, TimeUnit.SECONDS), "the idle connection must be closed");
        assertEquals(List.of(), List.copyOf(requestHeaders), "requests that the server received");
    }

    @Test
    void theDeadlineHeaderIsComputedWhenTheRequestIsWritten() throws Exception {
        EdgeNode node = startNodeWithLongConnectTimeout();
        long start = System.nanoTime();
        Socket client = client(node);
        order(client, "r1");
        awaitSynSent();
        Map<String, String> headers = nextHeaders(acceptConnections());
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        long expiresInMs = Long.parseLong(headers.get("x-expires-in-ms"));
        // The kernel establishes the connection one second after the first attempt.
        assertTrue(waitedMs >= 900, "connected after " + waitedMs + " ms");
        assertTrue(expiresInMs <= 20_000 - 900, "header has " + expiresInMs + " ms of 20,000 after a second");
    }
}
