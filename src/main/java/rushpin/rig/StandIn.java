package rushpin.rig;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on a loopback port that the system gives; its scripted work is its subclass's. */
abstract class StandIn implements AutoCloseable {
    final EventLoop loop;
    private final ServerBootstrap bootstrap;
    private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
    private InetSocketAddress address;
    private Channel listening;

    StandIn(EventLoop loop) {
        this.loop = loop;
        bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.closeFuture().addListener(closed -> connections.remove(channel));
                        channel.pipeline().addLast(new HttpServerCodec(), handler());
                    }
                });
    }

    /** One connection's work. */
    abstract ChannelHandler handler();

    /** Listens, at the port it had before if it had one. */
    final StandIn open() throws InterruptedException {
        if (listening != null && listening.isOpen()) {
            return this;
        }
        listening = bootstrap
                .bind(address == null ? new InetSocketAddress("127.0.0.1", 0) : address)
                .sync()
                .channel();
        address = (InetSocketAddress) listening.localAddress();
        return this;
    }

    /** Takes no connection any more and breaks those it has. */
    final void refuse() {
        listening.close().syncUninterruptibly();
        connections.forEach(Channel::close);
    }

    final InetSocketAddress socket() {
        return address;
    }

    final String address() {
        return "127.0.0.1:" + address.getPort();
    }

    static ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Override
    public void close() {
        refuse();
    }
}
