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

/** What is told of a connect whose calls fail, on loopback sockets. */
@Timeout(60)
class ConnectTest {
    /** How often a loop is waited for so that whatever it still holds has run. */
    private static final int TURNS = 20;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();

    private final Transport.ConnectListener listener = new Transport.ConnectListener() {
        @Override
        public void opened(Channel channel) {
            tell("opened");
        }

        @Override
        public void failed(Throwable cause) {
            tell("failed " + cause.getClass().getSimpleName());
        }

        @Override
        public void ended() {
            tell("ended");
        }

        private void tell(String what) {
            told.add(
                    loop.inEventLoop()
                            ? what
                            : what + " on " + Thread.currentThread().getName());
        }
    };

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Bootstrap over(ChannelFactory<Channel> sockets) {
        return new Bootstrap().group(loop).channelFactory(sockets).handler(new ChannelInboundHandlerAdapter());
    }

    private Channel connect(Bootstrap bootstrap, SocketAddress to) throws Exception {
        return loop.submit(() -> {
                    Channel made = Transport.connect(bootstrap, loop, to, listener);
                    assertTrue(told.isEmpty(), "told from within the call");
                    return made;
                })
                .get();
    }

    private void assertTold(String... all) throws Exception {
        List<String> heard = new ArrayList<>();
        for (int i = 0; i < all.length; i++) {
            heard.add(told.poll(30, TimeUnit.SECONDS));
        }
        assertEquals(List.of(all), heard);
        for (int i = 0; i < TURNS; i++) {
            loop.submit(() -> {}).get();
        }
        assertTrue(told.isEmpty(), "told once more: " + told);
    }

    private static SocketAddress nobody() throws Exception {
        try (ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return gone.getLocalSocketAddress();
        }
    }

    /** Why {@link Transport#connect} is there. Where a Netty does better, it may go. */
    @Test
    void nettyTellsOfAMissingSocketOnAForeignThreadAndNeverOfItsEnd() throws Exception {
        SocketAddress to = nobody();
        CompletableFuture<Boolean> foreign = new CompletableFuture<>(), ended = new CompletableFuture<>();
        ChannelFuture connecting = loop.submit(
                        () -> over(new FailingSockets().refuseSockets()).connect(to))
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
    void aMissingSocketIsToldOnTheLoopAndEnds() throws Exception {
        assertNull(connect(over(new FailingSockets().refuseSockets()), nobody()));
        assertTold("failed ChannelException", "ended");
    }

    @Test
    void aConnectThatFailsInTheCallIsToldAndEnds() throws Exception {
        FailingSockets sockets = new FailingSockets().failConnects(new NoRouteToHostException("No route to host"));
        Channel made = connect(over(sockets), nobody());
        assertTold("failed AnnotatedNoRouteToHostException", "ended");
        assertFalse(made.isOpen());
    }

    @Test
    void aRefusedConnectIsToldAndEnds() throws Exception {
        Channel made = connect(over(NioSocketChannel::new), nobody());
        assertTold("failed AnnotatedConnectException", "ended");
        assertFalse(made.isOpen());
    }

    /** A caller may give it up before the call to connect, which is the loop's next task. */
    @Test
    void aConnectThatIsGivenUpIsToldAndEnds() throws Exception {
        SocketAddress to = nobody();
        loop.submit(() -> Transport.connect(over(NioSocketChannel::new), loop, to, listener)
                        .close())
                .get();
        assertTold("failed StacklessClosedChannelException", "ended");
    }

    @Test
    void aConnectionIsToldAndSoIsItsEnd() throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            assertNotNull(connect(over(NioSocketChannel::new), listening.getLocalSocketAddress()));
            Socket other = listening.accept();
            assertTold("opened");
            other.close();
            assertTold("ended");
        }
    }

    /** For the errors that come behind a connect in progress, as {@code ETIMEDOUT} and {@code EHOSTUNREACH} do. */
    @Test
    void aConnectThatFailsLaterIsToldAndEnds() throws Exception {
        FailingSockets sockets = new FailingSockets().failFinishing(new ConnectException("Connection timed out"));
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            connect(over(sockets), listening.getLocalSocketAddress());
            assertTold("failed AnnotatedConnectException", "ended");
        }
    }
}
