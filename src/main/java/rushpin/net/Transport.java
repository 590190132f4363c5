package rushpin.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
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
    private Transport() {
    }

    /** For connections to addresses of the kind of {@code like}. */
    public static Bootstrap connecting(EventLoop loop, SocketAddress like) {
        Bootstrap bootstrap = new Bootstrap().group(loop);
        return like instanceof UnixDomainSocketAddress ? bootstrap.channel(NioDomainSocketChannel.class)
            : bootstrap.channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true);
    }

    /** For listening at an address of the kind of {@code like}. */
    public static ServerBootstrap listening(EventLoop loop, SocketAddress like) {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop);
        return like instanceof UnixDomainSocketAddress ? bootstrap.channel(NioServerDomainSocketChannel.class)
            : bootstrap.channel(NioServerSocketChannel.class).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true);
    }
}
