package rushpin.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;

/** The least that a proxy on this library can do: reads whole requests and answers, and decides nothing. */
final class PassThrough {
    private static final int MOST_BODY = 64 * 1024;

    private PassThrough() {}

    /** Serves on a port that the system gives, in front of the one address it is told. */
    public static void main(String[] args) throws Exception {
        int colon = args[0].lastIndexOf(':');
        InetSocketAddress target =
                new InetSocketAddress(args[0].substring(0, colon), Integer.parseInt(args[0].substring(colon + 1)));
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Bootstrap towards =
                new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true);
        Channel listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        towards.clone()
                                .handler(new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel server) {
                                        server.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(MOST_BODY),
                                                        new Pass(client));
                                    }
                                })
                                .connect(target)
                                .addListener(done -> {
                                    if (done.isSuccess()) {
                                        Channel server = ((ChannelFuture) done).channel();
                                        client.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MOST_BODY),
                                                        new Pass(server));
                                        client.config().setAutoRead(true);
                                    } else {
                                        client.close();
                                    }
                                });
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        System.out.println("serving on " + listening.localAddress());
    }

    /** Writes what it reads to the other side. */
    private static final class Pass extends ChannelInboundHandlerAdapter {
        private final Channel other;

        Pass(Channel other) {
            this.other = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            other.writeAndFlush(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            other.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
