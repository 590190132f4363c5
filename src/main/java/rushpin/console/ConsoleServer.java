package rushpin.console;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * Where operators call: one line a connection, answered by lines, on a thread of its own so that a busy node answers no
 * later. A caller that finishes no line is let go after {@value #PATIENCE_MS} ms, or when {@value #MOST} others are there.
 */
public final class ConsoleServer implements AutoCloseable {
    private static final int MOST = 8, MOST_LINE = 512;
    private static final long PATIENCE_MS = 5_000;

    /** Answers calls. */
    public interface CommandHandler {
        /** The answer to one line, its line ends too; called on the console's thread, which it must not hold up. */
        CompletionStage<String> call(String line);
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(
            1,
            runnable -> {
                Thread thread = new Thread(runnable, "console");
                thread.setDaemon(true);
                return thread;
            },
            NioIoHandler.newFactory());
    private final CommandHandler calls;
    private final Set<Channel> open = new LinkedHashSet<>();
    private final Channel listening;

    /** Listens from now on. */
    public ConsoleServer(SocketAddress at, CommandHandler calls) throws InterruptedException {
        this.calls = calls;
        try {
            listening = new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new LineBasedFrameDecoder(MOST_LINE, true, true), new Caller());
                        }
                    })
                    .bind(at)
                    .sync()
                    .channel();
        } catch (RuntimeException | InterruptedException e) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
    }

    /** Where it listens. */
    public SocketAddress address() {
        return listening.localAddress();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean called;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            Channel channel = context.channel();
            open.add(channel);
            if (open.size() > MOST) {
                open.iterator().next().close();
            }
            context.executor().schedule(() -> channel.close(), PATIENCE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (called) {
                return;
            }
            called = true;
            calls.call(line.toString(StandardCharsets.UTF_8).trim()).whenComplete((answer, trouble) -> {
                String text = trouble == null
                        ? answer
                        : "error " + String.valueOf(trouble.getMessage()).replace('\n', ' ') + "\n";
                context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                        .addListener(ChannelFutureListener.CLOSE);
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            open.remove(context.channel());
        }

        /** A line that is too long, or a caller that has gone. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            called = true;
            context.writeAndFlush(Unpooled.copiedBuffer(
                            "error a line has " + MOST_LINE + " bytes at most\n", StandardCharsets.UTF_8))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }
}
