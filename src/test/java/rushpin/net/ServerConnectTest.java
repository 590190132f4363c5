package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Request;
import rushpin.gateway.Ports.Server;
import rushpin.membership.Member;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;

/**
 * Tests attempts whose system calls fail: each ends once, on the event loop, as one that never ran, and releases its
 * connection slot.
 */
@Timeout(60)
class ServerConnectTest {
    private static final long LONG = 30_000_000_000L;
    private static final int ATTEMPTS = 5;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final FailingSockets sockets = new FailingSockets();
    private final BlockingQueue<Outcome> ended = new LinkedBlockingQueue<>();
    private final CountedSlots slots = new CountedSlots();
    private volatile boolean endedElsewhere;
    private ServerSocket listening;
    private ServerPool servers;

    @BeforeEach
    void begin() throws Exception {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Upstream upstream = new Upstream(
                null,
                null,
                1,
                LONG,
                LONG,
                8,
                new Names(List.of("c"), List.of("a"), List.of("z"), List.of("k")),
                "",
                null);
        Member member = new Member(
                new Server("s0", 1, 0, 0, 0, Readiness.READY, 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), listening.getLocalPort()));
        onLoop(() -> {
            servers = new ServerPool(
                    new OutcomeListener(),
                    loop,
                    upstream,
                    slots,
                    new Bootstrap().group(loop).channelFactory(sockets));
            servers.update(new ServerListUpdate(1, true, List.of(member)), true);
            return null;
        });
    }

    @AfterEach
    void end() throws Exception {
        onLoop(() -> {
            servers.close();
            return null;
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        listening.close();
    }

    static Stream<Consumer<FailingSockets>> failures() {
        return Stream.of(
                FailingSockets::refuseSockets,
                all -> all.failConnects(new ConnectException("Network is unreachable")),
                all -> all.failConnects(new IOException("Cannot assign requested address")),
                all -> all.failConnects(new NoRouteToHostException("No route to host")),
                all -> all.failFinishing(new IOException("Connection timed out")));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void anAttemptThatCannotConnectReleasesItsSlot(Consumer<FailingSockets> failure) throws Exception {
        failure.accept(sockets);
        for (int i = 0; i < ATTEMPTS; i++) {
            send("r" + i);
            assertEquals(Outcome.CONNECT_FAILED, ended.poll(30, TimeUnit.SECONDS));
        }
        assertEquals(0, ended.size());
        assertEquals(ATTEMPTS, sockets.sockets.get(), "only the gateway retries");
        assertEquals("0 connections, 0 connects", onLoop(slots::toString));
        assertTrue(!endedElsewhere, "an attempt ended on another thread");

        sockets.succeed();
        Thread closing = new Thread(this::closeAcceptedConnections);
        closing.setDaemon(true);
        closing.start();
        send("last");
        assertEquals(Outcome.RESET, ended.poll(30, TimeUnit.SECONDS));
    }

    /**
     * The connection was established and the attempt was decided in time, but by the time it could be written the
     * servers had forgotten its idempotency key.
     */
    @Test
    void anAttemptIsNotWrittenAfterItsStartTimeout() throws Exception {
        long moment = TimeUnit.MILLISECONDS.toNanos(1);
        onLoop(() -> {
            servers.send(request("late"), "s0", LONG, moment);
            for (long sent = System.nanoTime(); System.nanoTime() - sent <= moment; ) {
                Thread.onSpinWait();
            }
            return null;
        });
        assertEquals(Outcome.NOT_SENT, ended.poll(30, TimeUnit.SECONDS));
        Socket made = listening.accept();
        onLoop(() -> {
            servers.close();
            return null;
        });
        assertEquals(-1, made.getInputStream().read(), "a byte of the request was written");
    }

    /** Also closes connections of attempts that failed on the client's side only. */
    private void closeAcceptedConnections() {
        try {
            while (true) {
                listening.accept().close();
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private static OpenRequest request(String id) {
        Request request = new Request(id, 0, 0, 1, System.nanoTime() + LONG, 1, 1, 0, false);
        return new OpenRequest(
                request, "c", HttpMethod.GET, "/", null, "h", Unpooled.EMPTY_BUFFER, null, null, 0, LONG);
    }

    private void send(String id) throws Exception {
        onLoop(() -> {
            servers.send(request(id), "s0", LONG);
            return null;
        });
    }

    private <T> T onLoop(Callable<T> work) throws Exception {
        return loop.submit(work).get(30, TimeUnit.SECONDS);
    }

    private final class OutcomeListener implements ServerPool.Listener {
        @Override
        public void attemptEnded(
                OpenRequest of, Outcome outcome, long took, String server, double units, ByteBuf body) {
            endedElsewhere |= !loop.inEventLoop();
            // Runs after the end of the channel, which releases the slot.
            loop.execute(() -> ended.add(outcome));
        }

        @Override
        public void answerStarted(
                OpenRequest of, long took, String server, double units, BodyStream passage, long length) {
            throw new AssertionError("unexpected long answer");
        }

        @Override
        public long remainingNanos(OpenRequest of) {
            return LONG;
        }

        @Override
        public void bodyGone(OpenRequest of) {
            throw new AssertionError("unexpected long body");
        }
    }

    private static final class CountedSlots implements ServerPool.Slots {
        private int connections;
        private int connects;

        @Override
        public boolean acquireConnection() {
            connections++;
            return true;
        }

        @Override
        public void releaseConnection() {
            connections--;
        }

        @Override
        public boolean acquireConnect() {
            connects++;
            return true;
        }

        @Override
        public void releaseConnect() {
            connects--;
        }

        @Override
        public boolean mustShrink() {
            return false;
        }

        @Override
        public String toString() {
            return connections + " connections, " + connects + " connects";
        }
    }
}
