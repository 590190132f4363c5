package rushpin.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;

/**
 * Creates bootstraps for TCP or Unix domain sockets, as the address requires, and connects. Domain sockets serve the
 * warm-up at start, which no other process can reach.
 */
public final class Transport {
    /**
     * Receives the events of one connect: {@code opened} or {@code failed}, then {@code ended}, each once and on the
     * event loop.
     */
    public interface ConnectListener {
        /** The connection is established; its channel handlers are notified after this. */
        void opened(Channel channel);

        /** The connection could not be established. */
        void failed(Throwable cause);

        /** The connect's resources are released: the channel is closed, or there was none. */
        void ended();
    }

    private Transport() {}

    /** Returns a bootstrap for connections to addresses of the same type as {@code like}. */
    public static Bootstrap clientBootstrap(EventLoop loop, SocketAddress like) {
        Bootstrap bootstrap = new Bootstrap().group(loop);
        return like instanceof UnixDomainSocketAddress
                ? bootstrap.channel(NioDomainSocketChannel.class)
                : bootstrap.channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true);
    }

    /** Returns a bootstrap for listening at an address of the same type as {@code like}. */
    public static ServerBootstrap serverBootstrap(EventLoop loop, SocketAddress like) {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop);
        return like instanceof UnixDomainSocketAddress
                ? bootstrap.channel(NioServerDomainSocketChannel.class)
                : bootstrap
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true);
    }

    /**
     * Connects and notifies the listener of the result, never from within this call. Called on the event loop, which
     * must be the bootstrap's.
     *
     * <p>If no socket can be created, Netty notifies the future's listeners on another thread, and the channel can be
     * neither closed nor waited for: its {@code closeFuture} never completes. This method hides that.
     *
     * @return the channel, which can be closed to cancel the connect; null if no socket could be created
     */
    public static Channel connect(
            Bootstrap bootstrap, EventLoop loop, SocketAddress address, ConnectListener listener) {
        ChannelFuture connecting = bootstrap.connect(address);
        if (connecting.isDone()) {
            loop.execute(() -> notifyResult(connecting, listener));
        } else {
            connecting.addListener(done -> runOn(loop, () -> notifyResult(connecting, listener)));
        }
        return connecting.channel().isOpen() ? connecting.channel() : null;
    }

    /**
     * Runs on the loop: a future that waits for a channel's registration also notifies of a failure on another thread.
     */
    private static void runOn(EventLoop loop, Runnable work) {
        if (loop.inEventLoop()) {
            work.run();
        } else {
            loop.execute(work);
        }
    }

    private static void notifyResult(ChannelFuture connected, ConnectListener listener) {
        Channel channel = connected.channel();
        if (connected.isSuccess()) {
            channel.closeFuture().addListener(closed -> listener.ended());
            listener.opened(channel);
            return;
        }
        listener.failed(connected.cause());
        if (channel.isOpen()) {
            channel.closeFuture().addListener(closed -> listener.ended());
            channel.close();
        } else {
            // The channel was never open, or the call that failed has closed it.
            listener.ended();
        }
    }
}
