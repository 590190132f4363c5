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

/** The ends of clients' connections and the failures of accepting, on real sockets; calls for health need no pool. */
@Timeout(120)
class ClientServerTest {
    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: n0\r\n\r\n";
    private static final String EMFILE = "Too many open files", ECONNABORTED = "Software caused connection abort";
    private static final long IDLE = 3_000_000_000L;
    /** Of 16 descriptors 8 are clients'; of these 4 may rest. */
    private static final int SOCKETS = 16, MOST_CLIENTS = 8, MOST_RESTING = 4;

    private static final int MANY_SOCKETS = 1_024;
    /** Connections that end while accepting fails; milliseconds of four pauses, and how many tries may fall into them. */
    private static final int ENDING = 40, PAUSES = 1_000, MOST_TRIES = 8;

    private final EventLoopGroup group = new WatchedLoopGroup();
    private final EventLoop loop = group.next();
    private final List<Socket> clients = new ArrayList<>();
    /** What accepting does instead of the system's call, which it may make. */
    private volatile Acceptor.Source accepts = ServerSocketChannel::accept;

    private ClientServer server;

    private static final class Healthy implements ServerCallbacks {
        @Override
        public Destination route(HttpRequest head) throws RequestRejectedException {
            throw RequestRejectedException.bad("there is no pool");
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
        server = new ClientServer(
                new Healthy(),
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                sockets,
                new ByteBudget(1 << 24),
                false,
                at -> accepts.accept(at));
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

    private static void ask(Socket client) throws IOException {
        client.getOutputStream().write(HEALTH.getBytes(StandardCharsets.UTF_8));
    }

    private static String answer(Socket client) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.UTF_8));
        String first = in.readLine();
        for (String line = first; line != null && !line.isEmpty(); ) {
            line = in.readLine();
        }
        return first;
    }

    private static void assertAnswered(Socket client, String what) throws IOException {
        assertEquals("HTTP/1.1 200 OK", answer(client), what);
    }

    /** Runs work on the loop, of which clients' acts are a part: the loop does not look at its sockets between them. */
    private void onHeldLoop(Act clientsAct, Runnable then) throws Exception {
        CompletableFuture<Void> held = new CompletableFuture<>(), acted = new CompletableFuture<>();
        CompletableFuture<Void> done = CompletableFuture.runAsync(
                () -> {
                    held.complete(null);
                    acted.join();
                    then.run();
                },
                loop);
        held.join();
        try {
            clientsAct.run();
        } finally {
            acted.complete(null);
        }
        done.get(30, TimeUnit.SECONDS);
    }

    private interface Act {
        void run() throws Exception;
    }

    @Test
    void aRequestThatWaitsUnreadWhenItsConnectionIsFoundIdleIsAnswered() throws Exception {
        serve(MANY_SOCKETS);
        Socket used = connect();
        ask(used);
        assertAnswered(used, "the first request");
        Socket fresh = connect();
        while (server.connections() < 2) {
            Thread.onSpinWait();
        }
        onHeldLoop(
                () -> {
                    ask(used);
                    ask(fresh);
                },
                () -> server.endOverdue(System.nanoTime() + IDLE));
        assertAnswered(used, "on a connection that was used");
        assertAnswered(fresh, "on a connection that was not");
    }

    @Test
    void anIdleConnectionThatSaysNothingIsEnded() throws Exception {
        serve(MANY_SOCKETS);
        Socket used = connect();
        ask(used);
        assertAnswered(used, "the first request");
        onHeldLoop(() -> {}, () -> server.endOverdue(System.nanoTime() + IDLE));
        assertEquals(-1, used.getInputStream().read());
    }

    @Test
    void whoIsAskedToMakeRoomAndHasSpokenIsAnswered() throws Exception {
        serve(SOCKETS);
        for (int i = 0; i < MOST_CLIENTS - 1; i++) {
            Socket client = connect();
            if (i < MOST_RESTING - 1) {
                ask(client);
                assertAnswered(client, "the first request");
            }
        }
        while (server.connections() < MOST_CLIENTS - 1) {
            Thread.onSpinWait();
        }
        CompletableFuture<Void> accepted = new CompletableFuture<>(), written = new CompletableFuture<>();
        accepts = at -> {
            SocketChannel next = at.accept();
            if (next != null) {
                accepted.complete(null);
                written.join();
            }
            return next;
        };
        Socket newest = connect();
        accepted.join();
        ask(newest);
        for (Socket client : clients.subList(0, MOST_CLIENTS - 1)) {
            ask(client);
        }
        written.complete(null);
        for (Socket client : clients) {
            assertAnswered(client, "client " + clients.indexOf(client));
        }
    }

    private void endWith(Acceptor.Source failing) throws Exception {
        onHeldLoop(
                () -> {
                    for (int i = 0; i < 3; i++) {
                        ask(connect());
                    }
                },
                () -> {
                    accepts = failing;
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

    /** At the end no second chance comes: who is not taken then is reset by the close. */
    @Test
    void whoWaitsAtTheEndIsTakenThoughAcceptingFailsForAMoment() throws Exception {
        for (String why : List.of(EMFILE, ECONNABORTED)) {
            accepts = ServerSocketChannel::accept;
            serve(MANY_SOCKETS);
            InetSocketAddress at = (InetSocketAddress) server.address();
            AtomicInteger failures = new AtomicInteger();
            endWith(from -> {
                if (failures.getAndIncrement() % 3 < 2) {
                    throw new IOException(why);
                }
                return from.accept();
            });
            for (Socket client : clients) {
                assertEquals("HTTP/1.1 503 Service Unavailable", answer(client), why);
            }
            assertClosed(at);
            clients.clear();
        }
    }

    @Test
    void theEndComesThoughAcceptingFailsForGood() throws Exception {
        serve(MANY_SOCKETS);
        InetSocketAddress at = (InetSocketAddress) server.address();
        AtomicInteger calls = new AtomicInteger();
        endWith(from -> {
            calls.incrementAndGet();
            throw new IOException(EMFILE);
        });
        assertClosed(at);
        assertTrue(calls.get() < 100, "tried " + calls);
    }

    /** Each connection that ends is a reason to try again at once, but not one to try for ever. */
    @Test
    void failuresOfAcceptingDoNotBreedTriesAndItGoesOnBehindThem() throws Exception {
        serve(MANY_SOCKETS);
        for (int i = 0; i < ENDING; i++) {
            Socket client = connect();
            ask(client);
            assertAnswered(client, "client " + i);
        }
        AtomicInteger tries = new AtomicInteger();
        accepts = at -> {
            tries.incrementAndGet();
            throw new IOException(EMFILE);
        };
        Socket waiting = connect();
        ask(waiting);
        for (Socket client : clients.subList(0, ENDING)) {
            int before = tries.get();
            client.close();
            while (tries.get() == before) {
                Thread.onSpinWait();
            }
        }
        int before = tries.get();
        loop.schedule(() -> {}, PAUSES, TimeUnit.MILLISECONDS).get();
        assertTrue(tries.get() - before <= MOST_TRIES, "tried " + (tries.get() - before) + " times");
        accepts = ServerSocketChannel::accept;
        assertAnswered(waiting, "who waited meanwhile");
    }

    /** Of a connection that was aborted only this one is lost. */
    @Test
    void anAbortedConnectionKeepsNobodyWaiting() throws Exception {
        serve(MANY_SOCKETS);
        for (String why : List.of(ECONNABORTED, EMFILE)) {
            AtomicInteger left = new AtomicInteger(Acceptor.MOST_TRIES - 1);
            AtomicInteger failedCalls = new AtomicInteger();
            accepts = at -> {
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
            ask(client);
            assertAnswered(client, why);
            assertEquals(why.equals(EMFILE) ? 1 : Acceptor.MOST_TRIES - 1, failedCalls.get());
        }
    }
}
