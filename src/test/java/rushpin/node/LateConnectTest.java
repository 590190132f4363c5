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
 * A connection to an app server that comes up late. The server's queue of connections is kept full, so that the kernel
 * answers the node's connect only when the test takes from that queue: what has changed meanwhile is certain.
 */
class LateConnectTest extends NodeTestBase {
    /** The kernel asks again one second after a connect that found the queue full. */
    private static final String CONNECT_TIMEOUT = "\"connect-timeout-ns\": 20000000000";
    /** Half of it is the longest that the node lets a connection rest. */
    private static final String KEEP_ALIVE = "\"keepalive-ns\": 2000000000";

    /** A queue of one takes two connections. */
    private static final int FILLERS = 2;

    private final BlockingQueue<Socket> ended = new LinkedBlockingQueue<>();
    private ServerSocket server;
    private String connectedTo;

    @BeforeEach
    void listenWithAFullQueue() throws IOException {
        server = new ServerSocket();
        toClose.add(server);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
        connectedTo = "127.0.0.1:" + server.getLocalPort();
        for (int i = 0; i < FILLERS; i++) {
            toClose.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
    }

    private EdgeNode nodeThatWaitsForConnects() throws Exception {
        String config = config(member("s-0", connectedTo, "Ready", 0));
        return start(config.replace("\"connect-timeout-ns\": 250000000", CONNECT_TIMEOUT)
                .replace("\"keepalive-ns\": 30000000000", KEEP_ALIVE));
    }

    /** Lets connections come up from now on; the heads of requests on them come in the order in which they are read. */
    private BlockingQueue<Map<String, String>> takeConnections() throws IOException {
        BlockingQueue<Map<String, String>> heads = new LinkedBlockingQueue<>();
        takeConnections(heads);
        return heads;
    }

    private void takeConnections(BlockingQueue<Map<String, String>> heads) throws IOException {
        for (int i = 0; i < FILLERS; i++) {
            server.accept().close();
        }
        inBackground(() -> {
            while (true) {
                Socket made = server.accept();
                inBackground(() -> readHeads(made, heads));
            }
        });
    }

    private void readHeads(Socket from, BlockingQueue<Map<String, String>> heads) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.US_ASCII));
        while (in.readLine() != null) {
            Map<String, String> head = new TreeMap<>();
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                int colon = line.indexOf(':');
                head.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            in.skip(Long.parseLong(head.getOrDefault("content-length", "0")));
            heads.add(head);
            from.getOutputStream().write(StubServer.ok("", "x").getBytes(StandardCharsets.US_ASCII));
        }
        ended.add(from);
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void inBackground(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The node or the test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns when the kernel has asked for the node's connection: it was not answered, and is asked for again after 1 s. */
    private void awaitConnectUnderWay() throws IOException, InterruptedException {
        String underWay = String.format("(?s).*:%04X 02 .*", server.getLocalPort());
        while (!connections("tcp").matches(underWay) && !connections("tcp6").matches(underWay)) {
            Thread.sleep(1);
        }
    }

    /** Returns when the kernel has made the connection that it was asked for. */
    private void awaitConnected() throws IOException, InterruptedException {
        String underWay = String.format("(?s).*:%04X 02 .*", server.getLocalPort());
        while (connections("tcp").matches(underWay) || connections("tcp6").matches(underWay)) {
            Thread.sleep(1);
        }
    }

    private static String connections(String family) throws IOException {
        return Files.readString(Path.of("/proc/net", family));
    }

    private void awaitConnections(EdgeNode node, int count) throws Exception {
        while (node.connections() != count) {
            Thread.sleep(1);
        }
    }

    @Test
    void aRequestWhoseClientLeftWhileTheConnectionWasMadeIsNotWritten() throws Exception {
        EdgeNode node = nodeThatWaitsForConnects();
        Socket left = client(node);
        order(left, "left");
        awaitConnectUnderWay();
        left.close();
        awaitConnections(node, 0);

        BlockingQueue<Map<String, String>> heads = takeConnections();
        // The connection comes up for nobody, and the node ends it when it has rested for long enough.
        assertNotNull(ended.poll(30, TimeUnit.SECONDS), "the connection is kept");
        assertEquals(List.of(), List.copyOf(heads), "requests that the server saw");
    }

    private static Map<String, String> head(BlockingQueue<Map<String, String>> heads) throws InterruptedException {
        return Objects.requireNonNull(heads.poll(30, TimeUnit.SECONDS), "no request came");
    }

    /** Told by the loop itself, behind its next look at the sockets: by then it knows that the connection is up. */
    private void tellDrain(Iterable<StubServer.Message> watches) {
        String drain = "{\"revision\":6,\"complete\":false,\"members\":[" + member("s-0", connectedTo, "Terminating", 0)
                + "]}\n";
        try {
            for (StubServer.Message watch : watches) {
                watch.answer(Integer.toHexString(drain.length()) + "\r\n" + drain + "\r\n");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The process has no core while the connection comes up; its server's drain is told just after that. */
    @Test
    void aServerThatDrainsWhileItsConnectionIsMadeGetsNothingBehindAPause() throws Exception {
        BlockingQueue<StubServer.Message> watches = new LinkedBlockingQueue<>();
        discovery = stubServer(m -> {
            m.answer(UNCHANGED);
            watches.add(m);
        });
        EdgeNode node = nodeThatWaitsForConnects();
        Socket client = client(node);
        order(client, "r1");
        awaitConnectUnderWay();

        BlockingQueue<Map<String, String>> heads = new LinkedBlockingQueue<>();
        runWhileLoopIsBlocked(
                node,
                () -> {
                    takeConnections(heads);
                    awaitConnected();
                },
                () -> node.loop().schedule(() -> tellDrain(watches), 1, TimeUnit.NANOSECONDS));

        assertNotNull(ended.poll(30, TimeUnit.SECONDS), "the connection is kept");
        assertEquals(List.of(), List.copyOf(heads), "requests that the server saw");
    }

    @Test
    void theDeadlineIsWorkedOutWhenTheRequestIsWritten() throws Exception {
        EdgeNode node = nodeThatWaitsForConnects();
        long before = System.nanoTime();
        Socket client = client(node);
        order(client, "r1");
        awaitConnectUnderWay();
        Map<String, String> head = head(takeConnections());
        long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
        long told = Long.parseLong(head.get("x-expires-in-ms"));
        // The kernel makes the connection a second after it was asked for.
        assertTrue(waited >= 900, "connected after " + waited + " ms");
        assertTrue(told <= 20_000 - 900, "told " + told + " ms of 20,000 after a second");
    }
}
