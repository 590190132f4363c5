package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.gateway.Ports;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Settings;
import rushpin.membership.Names;

/** Closing of client connections and failures of accepting, on real sockets; health requests need no pool. */
@Timeout(120)
class ClientServerTest {
    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: n0\r\n\r\n";
    private static final String EMFILE = "Too many open files";
    private static final String ECONNABORTED = "Software caused connection abort";
    /** Longer than the idle timeout. */
    private static final long IDLE_NANOS = 3_000_000_000L;
    /** Of 16 descriptors clients may hold 8; 4 of these may be idle. */
    private static final int SOCKETS = 16;

    private static final int MAX_CLIENTS = 8;
    private static final int MAX_IDLE = 4;

    private static final int MANY_SOCKETS = 1_024;
    /** Connections that are closed while accepting fails. */
    private static final int CLOSED_CLIENTS = 40;
    /** Milliseconds of four retry delays, and the maximum number of accepts in them. */
    private static final int FOUR_DELAYS_MS = 1_000;

    private static final int MAX_ACCEPTS = 8;

    private final EventLoopGroup group = new WatchedLoopGroup();
    private final EventLoop loop = group.next();
    private final List<Socket> clients = new ArrayList<>();
    /** The accept call that the server makes. */
    private volatile Acceptor.Source acceptCall = ServerSocketChannel::accept;

    private ClientServer server;

    private static final class HealthyNode implements ServerCallbacks {
        private final Service pool;

        /** Creates a node with the given pool; null for none. */
        HealthyNode(Service pool) {
            this.pool = pool;
        }

        @Override
        public Destination route(HttpRequest head) throws RequestRejectedException {
            if (pool == null) {
                throw RequestRejectedException.badRequest("there is no pool");
            }
            return new Destination(pool, null);
        }

        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public void connectionEnded(int open) {}

        @Override
        public long now() {
            return System.nanoTime();
        }
    }

    private void serve(int sockets) throws Exception {
        serve(sockets, null);
    }

    private void serve(int sockets, Service pool) throws Exception {
        server = new ClientServer(
                new HealthyNode(pool),
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                sockets,
                new ByteBudget(1 << 24),
                false,
                at -> acceptCall.accept(at));
        server.bind().get();
    }

    @AfterEach
    void close() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private Socket connect() throws IOException {
        InetSocketAddress at = (InetSocketAddress) server.address();
        Socket socket = new Socket(at.getAddress(), at.getPort());
        socket.setSoTimeout(30_000);
        clients.add(socket);
        return socket;
    }

    private static void sendRequest(Socket client) throws IOException {
        client.getOutputStream().write(HEALTH.getBytes(StandardCharsets.UTF_8));
    }

    private static String readStatusLine(Socket client) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.UTF_8));
        String first = in.readLine();
        for (String line = first; line != null && !line.isEmpty(); ) {
            line = in.readLine();
        }
        return first;
    }

    private static void assertAnswered(Socket client, String what) throws IOException {
        assertEquals("HTTP/1.1 200 OK", readStatusLine(client), what);
    }

    /** Blocks the loop while clients act, then runs a task on it: the loop does not poll its sockets in between. */
    private void onBlockedLoop(ClientAction clientAction, Runnable then) throws Exception {
        CompletableFuture<Void> blocked = new CompletableFuture<>();
        CompletableFuture<Void> acted = new CompletableFuture<>();
        CompletableFuture<Void> done = CompletableFuture.runAsync(
                () -> {
                    blocked.complete(null);
                    acted.join();
                    then.run();
                },
                loop);
        blocked.join();
        try {
            clientAction.run();
        } finally {
            acted.complete(null);
        }
        done.get(30, TimeUnit.SECONDS);
    }

    private interface ClientAction {
        void run() throws Exception;
    }

    @Test
    void anUnreadRequestIsAnsweredWhenItsConnectionTimesOut() throws Exception {
        serve(MANY_SOCKETS);
        Socket used = connect();
        sendRequest(used);
        assertAnswered(used, "the first request");
        Socket fresh = connect();
        while (server.connections() < 2) {
            Thread.onSpinWait();
        }
        onBlockedLoop(
                () -> {
                    sendRequest(used);
                    sendRequest(fresh);
                },
                () -> server.closeTimedOut(System.nanoTime() + IDLE_NANOS));
        assertAnswered(used, "on a connection that had a request");
        assertAnswered(fresh, "on a new connection");
    }

    /** A pool whose event loop has ended, as after a new configuration. */
    private static final class EndedPool implements Service {
        private final EventLoop ended;

        EndedPool() throws InterruptedException {
            EventLoopGroup ownGroup = new WatchedLoopGroup();
            ended = ownGroup.next();
            ownGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }

        @Override
        public String name() {
            return "ended";
        }

        @Override
        public EventLoop loop() {
            return ended;
        }

        @Override
        public Names names() {
            return new Names(List.of("order"), List.of("bulk"), List.of("z"), List.of("k"));
        }

        @Override
        public Settings settings() {
            RequestClass order =
                    new RequestClass(IDLE_NANOS, IDLE_NANOS, Ports.Repeat.SAFE, Ports.Group.ALL, IDLE_NANOS, 0, 1);
            return new Settings(
                    0,
                    1,
                    0,
                    1,
                    false,
                    List.of(),
                    List.of(order),
                    List.of(),
                    new Ports.Limits(1, 1, false, false, 0, false),
                    new Ports.Counter(false, 1, false, 8),
                    new Ports.Rules(1, 0.5, 1, 2, 1));
        }

        @Override
        public void take(OpenRequest request) {
            throw new AssertionError("on an ended loop");
        }

        @Override
        public void bodyReceived(OpenRequest request, long age) {
            throw new AssertionError("on an ended loop");
        }

        @Override
        public void limitDeadline(OpenRequest request, long latestNanos) {
            throw new AssertionError("on an ended loop");
        }

        @Override
        public void clientGone(OpenRequest request) {
            throw new AssertionError("on an ended loop");
        }
    }

    /** Guards against a request without an answer: its pool ended before it was handed over. */
    @Test
    void aRequestWhosePoolHasEndedIsRefused() throws Exception {
        serve(MANY_SOCKETS, new EndedPool());
        Socket client = connect();
        client.getOutputStream()
                .write(("GET /api HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t-1\r\nX-Qos: order\r\nX-Plan: bulk\r\n"
                                + "Cookie: customer=0000000000000007\r\nX-Expires-In-Ms: 2000\r\n"
                                + "X-Quota: units=1,spread=1,first=0\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8));
        assertEquals("HTTP/1.1 503 Service Unavailable", readStatusLine(client));
        sendRequest(client);
        assertAnswered(client, "the next request on this connection");
    }

    @Test
    void anIdleConnectionIsClosed() throws Exception {
        serve(MANY_SOCKETS);
        Socket used = connect();
        sendRequest(used);
        assertAnswered(used, "the first request");
        onBlockedLoop(() -> {}, () -> server.closeTimedOut(System.nanoTime() + IDLE_NANOS));
        assertEquals(-1, used.getInputStream().read());
    }

    @Test
    void aConnectionChosenForEvictionIsAnsweredIfItHasSentARequest() throws Exception {
        serve(SOCKETS);
        for (int i = 0; i < MAX_CLIENTS - 1; i++) {
            Socket client = connect();
            if (i < MAX_IDLE - 1) {
                sendRequest(client);
                assertAnswered(client, "the first request");
            }
        }
        while (server.connections() < MAX_CLIENTS - 1) {
            Thread.onSpinWait();
        }
        CompletableFuture<Void> accepted = new CompletableFuture<>();
        CompletableFuture<Void> written = new CompletableFuture<>();
        acceptCall = at -> {
            SocketChannel next = at.accept();
            if (next != null) {
                accepted.complete(null);
                written.join();
            }
            return next;
        };
        Socket newest = connect();
        accepted.join();
        sendRequest(newest);
        for (Socket client : clients.subList(0, MAX_CLIENTS - 1)) {
            sendRequest(client);
        }
        written.complete(null);
        for (Socket client : clients) {
            assertAnswered(client, "client " + clients.indexOf(client));
        }
    }

    private void stopWith(Acceptor.Source failing) throws Exception {
        onBlockedLoop(
                () -> {
                    for (int i = 0; i < 3; i++) {
                        sendRequest(connect());
                    }
                },
                () -> {
                    acceptCall = failing;
                    server.closeAfterAnswers();
                    server.stopAccepting(true);
                });
    }

    private void assertClosed(InetSocketAddress at) throws Exception {
        while (loop.submit(() -> server.openConnections()).get() > 0) {
            Thread.onSpinWait();
        }
        assertThrows(ConnectException.class, () -> new Socket(at.getAddress(), at.getPort()).close());
    }

    /** Guards against the close of the listening socket, which resets connections that are still in its backlog. */
    @Test
    void theBacklogIsAcceptedBeforeTheCloseThoughAcceptingFailsForAMoment() throws Exception {
        for (String why : List.of(EMFILE, ECONNABORTED)) {
            acceptCall = ServerSocketChannel::accept;
            serve(MANY_SOCKETS);
            InetSocketAddress at = (InetSocketAddress) server.address();
            AtomicInteger failures = new AtomicInteger();
            stopWith(from -> {
                if (failures.getAndIncrement() % 3 < 2) {
                    throw new IOException(why);
                }
                return from.accept();
            });
            for (Socket client : clients) {
                assertEquals("HTTP/1.1 503 Service Unavailable", readStatusLine(client), why);
            }
            assertClosed(at);
            clients.clear();
        }
    }

    @Test
    void theSocketIsClosedThoughAcceptingFailsForGood() throws Exception {
        serve(MANY_SOCKETS);
        InetSocketAddress at = (InetSocketAddress) server.address();
        AtomicInteger calls = new AtomicInteger();
        stopWith(from -> {
            calls.incrementAndGet();
            throw new IOException(EMFILE);
        });
        assertClosed(at);
        assertTrue(calls.get() < 100, "tried " + calls);
    }

    /** Guards against retries that multiply: each closed connection causes one accept at once, but no lasting ones. */
    @Test
    void failedAcceptsDoNotMultiplyAndAcceptingResumes() throws Exception {
        serve(MANY_SOCKETS);
        for (int i = 0; i < CLOSED_CLIENTS; i++) {
            Socket client = connect();
            sendRequest(client);
            assertAnswered(client, "client " + i);
        }
        AtomicInteger tries = new AtomicInteger();
        acceptCall = at -> {
            tries.incrementAndGet();
            throw new IOException(EMFILE);
        };
        Socket waiting = connect();
        sendRequest(waiting);
        for (Socket client : clients.subList(0, CLOSED_CLIENTS)) {
            int before = tries.get();
            client.close();
            while (tries.get() == before) {
                Thread.onSpinWait();
            }
        }
        int before = tries.get();
        loop.schedule(() -> {}, FOUR_DELAYS_MS, TimeUnit.MILLISECONDS).get();
        assertTrue(tries.get() - before <= MAX_ACCEPTS, "tried " + (tries.get() - before) + " times");
        acceptCall = ServerSocketChannel::accept;
        assertAnswered(waiting, "the client that waited meanwhile");
    }

    /** An aborted connection does not delay the next one. */
    @Test
    void anAbortedConnectionDoesNotDelayOthers() throws Exception {
        serve(MANY_SOCKETS);
        for (String why : List.of(ECONNABORTED, EMFILE)) {
            AtomicInteger left = new AtomicInteger(Acceptor.MAX_ATTEMPTS - 1);
            AtomicInteger failedCalls = new AtomicInteger();
            acceptCall = at -> {
                if (left.getAndDecrement() > 0) {
                    failedCalls.incrementAndGet();
                    throw new IOException(why);
                }
                return at.accept();
            };
            if (why.equals(EMFILE)) {
                left.set(1);
            }
            Socket client = connect();
            sendRequest(client);
            assertAnswered(client, why);
            assertEquals(why.equals(EMFILE) ? 1 : Acceptor.MAX_ATTEMPTS - 1, failedCalls.get());
        }
    }
}
