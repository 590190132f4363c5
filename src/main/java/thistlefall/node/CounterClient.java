package thistlefall.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import thistlefall.Ports.Outcome;

/**
 * Calls to the shared counter, written one behind another on a few connections. A name always goes by the same
 * one, so that the calls of a name are counted, and told to the module, in their order.
 */
final class CounterClient {
    private static final int LINES = 4, MOST_PENDING = 256, MOST_ANSWER = 1024;
    private static final long MS = 1_000_000L;
    /** A line with a call unanswered for so many time-outs is taken to lead nowhere and is replaced. */
    private static final int SILENT_TIMEOUTS = 10;

    /** Hears how calls end. */
    interface Listener {
        void counted(long name, Outcome outcome, double total);
    }

    private final Listener listener;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final long timeout;
    private final Bootstrap bootstrap;
    private final Line[] lines = new Line[LINES];

    CounterClient(Listener listener, EventLoop loop, Config config) {
        this.listener = listener;
        this.loop = loop;
        address = config.counter();
        timeout = Math.max(MS, config.settings().counter().timeout());
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, config.connectTimeout() / MS));
    }

    /** Adds to a named number; the outcome is told later, never from within this call. */
    void count(long name, double amount, long lifetime) {
        int at = (int) Long.remainderUnsigned(name, LINES);
        if (lines[at] == null) {
            lines[at] = new Line(at);
            lines[at].connect();
        }
        lines[at].add(new Call(name, amount, lifetime));
    }

    /** One call; it ends exactly once, though its answer may still be on its way and has its place in line. */
    private final class Call {
        private final long name, at = System.nanoTime();
        private final String uri;
        private boolean written, over;

        Call(long name, double amount, long lifetime) {
            this.name = name;
            uri = "/tally/" + Long.toUnsignedString(name) + "?n=" + BigDecimal.valueOf(amount).toPlainString()
                + "&keep_ms=" + Math.max(1, (lifetime + MS - 1) / MS);
        }

        void end(Outcome outcome, double total) {
            if (!over) {
                over = true;
                listener.counted(name, outcome, total);
            }
        }

        /** Before its last byte is written nothing was added; after that nobody knows. */
        void broke() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0);
        }
    }

    /** A connection with its calls in the order in which they are answered. */
    private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int place;
        private final ArrayDeque<Call> waiting = new ArrayDeque<>(), pending = new ArrayDeque<>();
        private Channel channel;
        private boolean flushing, dead;

        Line(int place) {
            this.place = place;
        }

        void connect() {
            ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel made) {
                    made.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_ANSWER),
                        Line.this);
                }
            }).connect(address);
            channel = connecting.channel();
            connecting.addListener(done -> {
                if (done.isSuccess()) {
                    writeWaiting();
                } else {
                    die();
                }
            });
        }

        void add(Call call) {
            if (waiting.size() + pending.size() >= MOST_PENDING) {
                loop.execute(() -> call.end(Outcome.NOT_SENT, 0));
                return;
            }
            waiting.add(call);
            loop.schedule(() -> expire(call), timeout, TimeUnit.NANOSECONDS);
            if (!flushing) {
                // All calls of one turn of the loop go out together.
                flushing = true;
                loop.execute(() -> {
                    flushing = false;
                    writeWaiting();
                });
            }
        }

        private void writeWaiting() {
            if (channel == null || !channel.isActive() || dead) {
                return;
            }
            while (!waiting.isEmpty()) {
                Call call = waiting.poll();
                pending.add(call);
                DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    HttpMethod.POST, call.uri);
                message.headers().set(HttpHeaderNames.HOST, "counter").set(HttpHeaderNames.CONTENT_LENGTH, 0);
                channel.write(message).addListener(done -> call.written = done.isSuccess());
            }
            channel.flush();
        }

        private void expire(Call call) {
            if (call.over) {
                return;
            }
            if (waiting.remove(call)) {
                call.end(Outcome.CONNECT_FAILED, 0);
                return;
            }
            call.end(call.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0);
            Call oldest = pending.peek();
            if (!call.written || oldest != null && System.nanoTime() - oldest.at > SILENT_TIMEOUTS * timeout) {
                // The silence is the connection's: later calls get a new one. An unwritten one must not go out.
                die();
            }
        }

        /** Gives the line up; its calls end in their order and the next call opens another. */
        private void die() {
            if (dead) {
                return;
            }
            dead = true;
            if (lines[place] == this) {
                lines[place] = null;
            }
            channel.close();
            while (!pending.isEmpty()) {
                pending.poll().broke();
            }
            while (!waiting.isEmpty()) {
                waiting.poll().broke();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Call call = pending.poll();
            if (call == null) {
                die();
                return;
            }
            switch (answer.status().code()) {
                case 200 -> {
                    try {
                        double total = Double.parseDouble(answer.content().toString(StandardCharsets.US_ASCII));
                        call.end(Double.isFinite(total) ? Outcome.OK : Outcome.RESET, total);
                    } catch (NumberFormatException e) {
                        // It was added, but the total is not known.
                        call.end(Outcome.RESET, 0);
                    }
                }
                case 503, 400, 404 -> call.end(Outcome.FULL, 0);
                default -> call.end(Outcome.RESET, 0);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            die();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            die();
        }
    }
}
