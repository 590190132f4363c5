package thistlefall.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Readiness;

/** Connections to app servers, one request on each at a time, and the attempts on them with their outcomes. */
final class ServerPool {
    static final int MOST_BODY = 64 * 1024;
    private static final long MS = 1_000_000L, SWEEP = 1_000 * MS;

    private final EdgeNode node;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final long idleLimit;
    private final int most;
    private int connections;

    ServerPool(EdgeNode node, EventLoop loop, Config config) {
        this.node = node;
        this.loop = loop;
        // Well before the app server does: a request written to a connection that it closes ends as a reset.
        idleLimit = config.keepAlive() / 2;
        most = Math.max(16, config.sockets() * 3 / 8);
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, config.connectTimeout() / MS))
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpClientCodec(),
                        new HttpObjectAggregator(MOST_BODY), new Connection());
                }
            });
        loop.scheduleAtFixedRate(this::closeIdle, SWEEP, SWEEP, TimeUnit.NANOSECONDS);
    }

    /** One run of an app server at one address; a restart or a move makes a new one. */
    private static final class Endpoint {
        private final InetSocketAddress address;
        private final long startedAt;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        private boolean retired;

        Endpoint(Config.Member member) {
            address = member.address();
            startedAt = member.server().startedAt();
        }

        void retire() {
            retired = true;
            while (!idle.isEmpty()) {
                idle.poll().channel.close();
            }
        }
    }

    /** Follows the list: connections to what is gone, has moved or has restarted are of no more use. */
    void update(Config.Roll roll, boolean whole) {
        Set<String> named = new HashSet<>();
        for (Config.Member member : roll.members()) {
            String id = member.server().id();
            named.add(id);
            Endpoint known = endpoints.get(id);
            boolean gone = member.server().readiness() == Readiness.GONE;
            boolean same = known != null && known.address.equals(member.address())
                && known.startedAt == member.server().startedAt();
            if (known != null && (gone || !same)) {
                known.retire();
                endpoints.remove(id);
            }
            if (!gone && !same) {
                endpoints.put(id, new Endpoint(member));
            }
        }
        if (whole) {
            endpoints.entrySet().removeIf(entry -> {
                boolean left = !named.contains(entry.getKey());
                if (left) {
                    entry.getValue().retire();
                }
                return left;
            });
        }
    }

    /** Begins an attempt; its outcome is told later, never from within this call. */
    void send(OpenRequest of, String server, long patience) {
        Attempt attempt = new Attempt(of, server, patience);
        Endpoint endpoint = endpoints.get(server);
        if (endpoint == null || connections >= most && !makeRoom(endpoint)) {
            loop.execute(() -> attempt.end(Outcome.NOT_SENT, 0, null));
            return;
        }
        attempt.expiry = loop.schedule(attempt::expire, patience, TimeUnit.NANOSECONDS);
        Connection ready = endpoint.idle.poll();
        if (ready != null) {
            ready.write(attempt);
            return;
        }
        connections++;
        ChannelFuture connecting = bootstrap.connect(endpoint.address);
        connecting.channel().closeFuture().addListener(closed -> connections--);
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                attempt.end(Outcome.CONNECT_FAILED, 0, null);
                return;
            }
            Connection made = connecting.channel().pipeline().get(Connection.class);
            made.endpoint = endpoint;
            made.write(attempt);
        });
    }

    /** At the bound on connections another server's longest idle one gives way. */
    private boolean makeRoom(Endpoint wanted) {
        if (!wanted.idle.isEmpty()) {
            return true;
        }
        for (Endpoint endpoint : endpoints.values()) {
            Connection oldest = endpoint.idle.pollLast();
            if (oldest != null) {
                oldest.channel.close();
                return true;
            }
        }
        return false;
    }

    private void closeIdle() {
        long due = System.nanoTime() - idleLimit;
        for (Endpoint endpoint : endpoints.values()) {
            while (!endpoint.idle.isEmpty() && endpoint.idle.peekLast().idleSince - due < 0) {
                endpoint.idle.pollLast().channel.close();
            }
        }
    }

    /** One sending of a request to an app server; it ends exactly once. */
    private final class Attempt {
        private final OpenRequest of;
        private final String server;
        private final long patience, sentAt = System.nanoTime();
        private boolean written, over;
        private Connection on;
        private Future<?> expiry;

        Attempt(OpenRequest of, String server, long patience) {
            this.of = of;
            this.server = server;
            this.patience = patience;
        }

        /** An app server begins a request with its last byte: before that it cannot have run. */
        void broke() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0, null);
        }

        void expire() {
            Connection used = on;
            end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0, null);
            if (used != null) {
                used.channel.close();
            }
        }

        void end(Outcome outcome, double units, ByteBuf body) {
            if (over) {
                return;
            }
            over = true;
            if (expiry != null) {
                expiry.cancel(false);
            }
            if (on != null) {
                on.attempt = null;
            }
            node.attemptEnded(of, outcome, System.nanoTime() - sentAt, server, units, body);
        }

        FullHttpRequest message() {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, of.method, of.uri,
                of.body.retainedDuplicate());
            message.headers().set(HttpHeaderNames.HOST, "app.svc").set("X-Trace-Id", of.request.id())
                .set("X-Expires-In-Ms", Math.max(1, (patience - (System.nanoTime() - sentAt)) / MS));
            if (of.key != null) {
                message.headers().set("Idempotency-Key", of.key);
            }
            if (of.body.isReadable()) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, of.body.readableBytes());
            }
            return message;
        }
    }

    /** A connection to an app server. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Endpoint endpoint;
        private Attempt attempt;
        private long idleSince;

        /** Not in channelActive: a connect's listeners hear of it before the handlers do. */
        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void write(Attempt next) {
            if (next.over) {
                release();
                return;
            }
            attempt = next;
            next.on = this;
            channel.writeAndFlush(next.message()).addListener(done -> {
                next.written = done.isSuccess();
                if (!done.isSuccess()) {
                    next.broke();
                    channel.close();
                }
            });
        }

        private void release() {
            if (endpoint.retired || !channel.isActive()) {
                channel.close();
            } else {
                idleSince = System.nanoTime();
                endpoint.idle.push(this);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            int status = answer.status().code();
            if (status >= 100 && status < 200 && answer.decoderResult().isSuccess()) {
                return;
            }
            Attempt answered = attempt;
            // An answer that only the connection's end closes: without a length that is no sign it is whole.
            boolean framed = channel.isActive();
            if (answered == null || !answered.written || answer.decoderResult().isFailure() || !framed) {
                context.close();
                return;
            }
            Outcome outcome = outcome(answer, status);
            attempt = null;
            answered.on = null;
            if (HttpUtil.isKeepAlive(answer)) {
                release();
            } else {
                context.close();
            }
            answered.end(outcome, outcome == Outcome.OK ? units(answer) : 0, answer.content());
        }

        private Outcome outcome(FullHttpResponse answer, int status) {
            if (status == 200) {
                return Outcome.OK;
            }
            boolean neverRan = (status == 503 || status == 504) && "1".equals(answer.headers().get("X-Never-Ran"));
            return neverRan ? Outcome.FULL : Outcome.ERROR;
        }

        private double units(FullHttpResponse answer) {
            String charged = answer.headers().get("X-Units-Charged");
            try {
                double units = charged == null ? 0 : Double.parseDouble(charged);
                return Double.isFinite(units) && units > 0 ? units : 0;
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (endpoint != null) {
                endpoint.idle.remove(this);
            }
            if (attempt != null) {
                attempt.broke();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A broken connection or an answer that cannot be read; the close tells the attempt.
            context.close();
        }
    }
}
