package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.NoRouteToHostException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which events {@link Transport#connect} reports when system calls fail, on loopback sockets. */
@Timeout(60)
class ConnectTest {
    /** Number of empty tasks after which all tasks pending on a loop have run. */
    private static final int TURNS = 20;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    private final Transport.ConnectListener listener = new Transport.ConnectListener() {
        @Override
        public void opened(Channel channel) {
            report("opened");
        }

        @Override
        public void failed(Throwable cause) {
            report("failed " + cause.getClass().getSimpleName());
        }

        @Override
        public void ended() {
            report("ended");
        }

        private void report(String what) {
            events.add(
                    loop.inEventLoop()
                            ? what
                            : what + " on " + Thread.currentThread().getName());
        }
    };

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Bootstrap bootstrap(ChannelFactory<Channel> sockets) {
        return new Bootstrap().group(loop).channelFactory(sockets).handler(new ChannelInboundHandlerAdapter());
    }

    private Channel connect(Bootstrap bootstrap, SocketAddress to) throws Exception {
        return loop.submit(() -> {
                    Channel made = Transport.connect(bootstrap, loop, to, listener);
                    assertTrue(events.isEmpty(), "reported from within the call");
                    return made;
                })
                .get();
    }

    private void assertEvents(String... all) throws Exception {
        List<String> actual = new ArrayList<>();
        for (int i = 0; i < all.length; i++) {
            actual.add(events.poll(30, TimeUnit.SECONDS));
        }
        assertEquals(List.of(all), actual);
        for (int i = 0; i < TURNS; i++) {
            loop.submit(() -> {}).get();
        }
        assertTrue(events.isEmpty(), "reported again: " + events);
    }

    private static SocketAddress unusedAddress() throws Exception {
        try (ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return gone.getLocalSocketAddress();
        }
    }

    /** The reason for {@link Transport#connect}. It may be removed when a release of Netty behaves better. */
    @Test
    void nettyReportsAMissingSocketOnAnotherThreadAndNeverItsEnd() throws Exception {
        SocketAddress to = unusedAddress();
        CompletableFuture<Boolean> foreign = new CompletableFuture<>();
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        ChannelFuture connecting = loop.submit(
                        () -> bootstrap(new FailingSockets().refuseSockets()).connect(to))
                .get();
        connecting.addListener(done -> foreign.complete(!loop.inEventLoop()));
        connecting.channel().closeFuture().addListener(done -> ended.complete(true));
        assertTrue(foreign.get(30, TimeUnit.SECONDS));
        assertThrows(IllegalStateException.class, () -> connecting.channel().close());
        for (int i = 0; i < TURNS; i++) {
            loop.submit(() -> {}).get();
        }
        assertFalse(ended.isDone());
    }

    @Test
    void aMissingSocketIsReportedOnTheLoop() throws Exception {
        assertNull(connect(bootstrap(new FailingSockets().refuseSockets()), unusedAddress()));
        assertEvents("failed ChannelException", "ended");
    }

    @Test
    void aConnectThatFailsInTheCallIsReported() throws Exception {
        FailingSockets sockets = new FailingSockets().failConnects(new NoRouteToHostException("No route to host"));
        Channel made = connect(bootstrap(sockets), unusedAddress());
        assertEvents("failed AnnotatedNoRouteToHostException", "ended");
        assertFalse(made.isOpen());
    }

    @Test
    void aRefusedConnectIsReported() throws Exception {
        Channel made = connect(bootstrap(NioSocketChannel::new), unusedAddress());
        assertEvents("failed AnnotatedConnectException", "ended");
        assertFalse(made.isOpen());
    }

    /** The caller may close the channel before the system call, which is the loop's next task. */
    @Test
    void aCancelledConnectIsReported() throws Exception {
        SocketAddress to = unusedAddress();
        loop.submit(() -> Transport.connect(bootstrap(NioSocketChannel::new), loop, to, listener)
                        .close())
                .get();
        assertEvents("failed StacklessClosedChannelException", "ended");
    }

    @Test
    void aConnectionAndItsEndAreReported() throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            assertNotNull(connect(bootstrap(NioSocketChannel::new), listening.getLocalSocketAddress()));
            Socket other = listening.accept();
            assertEvents("opened");
            other.close();
            assertEvents("ended");
        }
    }

    /** Covers errors that end a connect in progress, such as {@code ETIMEDOUT} and {@code EHOSTUNREACH}. */
    @Test
    void aConnectThatFailsLaterIsReported() throws Exception {
        FailingSockets sockets = new FailingSockets().failFinishing(new ConnectException("Connection timed out"));
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            connect(bootstrap(sockets), listening.getLocalSocketAddress());
            assertEvents("failed AnnotatedConnectException", "ended");
        }
    }
}
