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
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * Serves operators' commands: one line for each connection, answered by lines. It has its own thread, so that a busy
 * node answers without delay. A connection is closed after its answer, after {@value #TIMEOUT_MS} ms, or when it is the
 * oldest of more than {@value #MAX_CONNECTIONS}.
 */
public final class ConsoleServer implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 8;
    private static final int MAX_LINE_BYTES = 512;
    private static final long TIMEOUT_MS = 5_000;

    /** Answers commands. */
    public interface CommandHandler {
        /**
         * Returns the answer to one line, with its line ends; called on the console's thread, which it must not block.
         */
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
    private final CommandHandler handler;
    private final Set<Channel> open = new LinkedHashSet<>();
    private final Channel listening;

    /** Binds to the address and serves until closed. */
    public ConsoleServer(SocketAddress address, CommandHandler handler) throws InterruptedException {
        this.handler = handler;
        try {
            listening = new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(
                                            new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true), new CallerHandler());
                        }
                    })
                    .bind(address)
                    .sync()
                    .channel();
        } catch (RuntimeException | InterruptedException e) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
    }

    /** The address that it listens on. */
    public SocketAddress address() {
        return listening.localAddress();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private final class CallerHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean answered;
        private Future<?> timeout;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            Channel channel = context.channel();
            open.add(channel);
            if (open.size() > MAX_CONNECTIONS) {
                open.iterator().next().close();
            }
            timeout = context.executor().schedule(() -> channel.close(), TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (answered) {
                return;
            }
            answered = true;
            handler.call(line.toString(StandardCharsets.UTF_8).trim()).whenComplete((answer, error) -> {
                String text = error == null
                        ? answer
                        : "error " + String.valueOf(error.getMessage()).replace('\n', ' ') + "\n";
                context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                        .addListener(ChannelFutureListener.CLOSE);
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            open.remove(context.channel());
            // The timer would keep the closed connection in memory.
            timeout.cancel(false);
        }

        /** Reached by a line that is too long, or by a connection that broke. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            answered = true;
            context.writeAndFlush(Unpooled.copiedBuffer(
                            "error a line may have at most " + MAX_LINE_BYTES + " bytes\n", StandardCharsets.UTF_8))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }
}
