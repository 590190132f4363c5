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

/** The kind of socket that goes with an address: TCP, or a file's for a rehearsal that nobody else can reach. */
public final class Transport {
    /** Hears of one connect: {@code opened} or {@code failed}, then {@code ended}, each once and on the loop. */
    public interface ConnectListener {
        /** The connection is made. Its handlers hear of it after this. */
        void opened(Channel channel);

        /** There is no connection and will be none. */
        void failed(Throwable cause);

        /** What the connect has taken is free again: the channel is closed, or there never was one. */
        void ended();
    }

    private Transport() {}

    /** For connections to addresses of the kind of {@code like}. */
    public static Bootstrap clientBootstrap(EventLoop loop, SocketAddress like) {
        Bootstrap bootstrap = new Bootstrap().group(loop);
        return like instanceof UnixDomainSocketAddress
                ? bootstrap.channel(NioDomainSocketChannel.class)
                : bootstrap.channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true);
    }

    /** For listening at an address of the kind of {@code like}. */
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
     * Connects, and tells how it went, never from within this call. Called on the loop, which is the bootstrap's.
     *
     * <p>Where no socket can be had, Netty's own future tells its listeners on a foreign thread, and its channel can be
     * neither closed nor waited for: its {@code closeFuture} never completes.
     *
     * @return the channel, by which the connect may be given up; null if no socket could be had
     */
    public static Channel connect(
            Bootstrap bootstrap, EventLoop loop, SocketAddress address, ConnectListener listener) {
        ChannelFuture connecting = bootstrap.connect(address);
        if (connecting.isDone()) {
            loop.execute(() -> settle(connecting, listener));
        } else {
            connecting.addListener(done -> runOn(loop, () -> settle(connecting, listener)));
        }
        return connecting.channel().isOpen() ? connecting.channel() : null;
    }

    /** A future that waits for a channel's registration tells of a failed one on a foreign thread too. */
    private static void runOn(EventLoop loop, Runnable work) {
        if (loop.inEventLoop()) {
            work.run();
        } else {
            loop.execute(work);
        }
    }

    private static void settle(ChannelFuture connected, ConnectListener listener) {
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
            // Never opened, or closed by the call that failed.
            listener.ended();
        }
    }
}
