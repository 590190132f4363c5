package thistlefall.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import thistlefall.Ports.Repeat;
import thistlefall.Ports.Request;

/** The listening side: reads clients' requests, turns away what is none, and writes the answers. */
final class ClientServer {
    private static final long MAX_CUSTOMER = 1L << 33;
    private static final int BACKLOG = 512, MOST_WAITING = 8;
    private static final double MOST_UNITS = 1e6;

    private final EdgeNode node;
    private final EventLoop loop;
    private final Config config;
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final int most;
    private Channel listening;
    private boolean draining;
    private CompletableFuture<Void> drained;

    ClientServer(EdgeNode node, EventLoop loop, Config config) {
        this.node = node;
        this.loop = loop;
        this.config = config;
        // Half of the descriptors; app servers have three eighths, the rest is the process's own.
        most = Math.max(8, config.sockets() / 2);
    }

    CompletableFuture<Void> bind() {
        CompletableFuture<Void> bound = new CompletableFuture<>();
        new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpServerCodec(),
                        new HttpObjectAggregator(ServerPool.MOST_BODY), new Session());
                }
            })
            .bind(config.listen()).addListener((ChannelFutureListener) done -> {
                listening = done.channel();
                if (done.isSuccess()) {
                    bound.complete(null);
                } else {
                    bound.completeExceptionally(done.cause());
                }
            });
        return bound;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** From now on each connection ends with its next answer. */
    void closeAfterAnswers() {
        draining = true;
    }

    /** Nobody comes any more: the listening socket and the connections between requests go. */
    void stopAccepting(CompletableFuture<Void> done) {
        drained = done;
        listening.close();
        for (Session session : List.copyOf(sessions)) {
            if (session.current == null && session.waiting.isEmpty()) {
                session.channel.close();
            }
        }
        finishDrain();
    }

    /**
     * Ends the oldest connection between requests, which its client can tell from a loss. Without this, clients
     * that connect and say nothing would hold every place, and nobody else would ever be let in.
     */
    private boolean makeRoom(Session newest) {
        for (Session session : sessions) {
            if (session != newest && !session.closing && session.current == null && session.waiting.isEmpty()) {
                session.closing = true;
                session.channel.close();
                return true;
            }
        }
        return false;
    }

    private void finishDrain() {
        if (drained != null && sessions.isEmpty()) {
            drained.complete(null);
        }
    }

    /** A request that is none: the status says why. */
    private static final class Refusal extends Exception {
        private static final long serialVersionUID = 1L;
        private final HttpResponseStatus status;

        Refusal(HttpResponseStatus status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    private static Refusal bad(String why) {
        return new Refusal(HttpResponseStatus.BAD_REQUEST, why);
    }

    /** Reads a request; what it cannot read it names. */
    private OpenRequest read(FullHttpRequest message, OpenRequest.Answers answers) throws Refusal {
        String uri = message.uri();
        if (!uri.equals("/api") && !uri.startsWith("/api?")) {
            throw new Refusal(HttpResponseStatus.NOT_FOUND, "no such path");
        }
        HttpHeaders headers = message.headers();
        String id = need(headers, "X-Trace-Id");
        if (id.length() > 128) {
            throw bad("X-Trace-Id is too long");
        }
        int requestClass = index(config.names().classes(), headers, "X-Qos");
        int plan = index(config.names().plans(), headers, "X-Plan");
        Repeat repeat = config.settings().classes().get(requestClass).repeat();
        HttpMethod method = repeat == Repeat.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!message.method().equals(method)) {
            throw new Refusal(HttpResponseStatus.METHOD_NOT_ALLOWED, "this class goes by " + method);
        }
        String key = headers.get("Idempotency-Key");
        if (repeat == Repeat.KEYED && (key == null || key.isEmpty())) {
            throw bad("Idempotency-Key is missing");
        }
        long span = whole(need(headers, "X-Expires-In-Ms"), "X-Expires-In-Ms", 1, 3_600_000);
        Map<String, String> quota = quota(need(headers, "X-Quota"));
        int siblings = config.settings().siblings();
        Request request = new Request(id, requestClass, plan, customer(headers),
            node.deadline(node.now(), span * 1_000_000L), units(quota.get("units")),
            (int) whole(quota.get("spread"), "X-Quota spread", 1, siblings),
            (int) whole(quota.get("first"), "X-Quota first", 0, siblings - 1L),
            "1".equals(headers.get("X-Second-Try")));
        return new OpenRequest(request, method, uri, key, message.content().retain(), answers);
    }

    private static String need(HttpHeaders headers, String name) throws Refusal {
        String value = headers.get(name);
        if (value == null || value.isBlank()) {
            throw bad(name + " is missing");
        }
        return value;
    }

    private static int index(List<String> names, HttpHeaders headers, String name) throws Refusal {
        int index = names.indexOf(need(headers, name));
        if (index < 0) {
            throw bad(name + " is unknown");
        }
        return index;
    }

    private static long customer(HttpHeaders headers) throws Refusal {
        for (Cookie cookie : ServerCookieDecoder.LAX.decode(need(headers, "Cookie"))) {
            if (cookie.name().equals("customer") && cookie.value().length() == 16) {
                try {
                    long customer = Long.parseUnsignedLong(cookie.value(), 16);
                    if (customer >= 0 && customer < MAX_CUSTOMER) {
                        return customer;
                    }
                } catch (NumberFormatException e) {
                    // Said below.
                }
            }
        }
        throw bad("the cookie names no customer");
    }

    private static Map<String, String> quota(String text) {
        Map<String, String> parts = new HashMap<>();
        for (String part : text.split(",")) {
            String[] pair = part.trim().split("=", 2);
            parts.put(pair[0].toLowerCase(Locale.ROOT), pair.length > 1 ? pair[1] : "");
        }
        return parts;
    }

    private static double units(String text) throws Refusal {
        try {
            double units = text == null ? 0 : Double.parseDouble(text);
            if (units > 0 && units <= MOST_UNITS) {
                return units;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw bad("X-Quota units is not a number above 0");
    }

    private static long whole(String text, String name, long least, long most) throws Refusal {
        try {
            long value = text == null ? least - 1 : Long.parseLong(text.trim());
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw bad(name + " is not a whole number from " + least + " to " + most);
    }

    /** A client's connection: one request at a time, what comes behind it waits its turn. */
    private final class Session extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Channel channel;
        private OpenRequest current;
        private boolean keepAlive, closing;
        private final ArrayDeque<FullHttpRequest> waiting = new ArrayDeque<>();

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            sessions.add(this);
            if (sessions.size() >= most && !makeRoom(this)) {
                // At the bound on descriptors newcomers wait in the kernel's line until a connection ends.
                listening.config().setAutoRead(false);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
            if (closing) {
                return;
            }
            if (current == null) {
                handle(message);
            } else if (waiting.size() < MOST_WAITING) {
                waiting.add(message.retain());
            } else {
                context.close();
            }
        }

        private void handle(FullHttpRequest message) {
            keepAlive = HttpUtil.isKeepAlive(message);
            if (message.decoderResult().isFailure()) {
                keepAlive = false;
                plain(HttpResponseStatus.BAD_REQUEST, "this is no request that can be read");
                return;
            }
            if (message.uri().equals("/_health")) {
                health(message.method());
                return;
            }
            try {
                OpenRequest taken = read(message, new Reply());
                current = taken;
                if (!node.take(taken)) {
                    current = null;
                    taken.body.release();
                    plain(HttpResponseStatus.CONFLICT, "a request of this id is open");
                }
            } catch (Refusal e) {
                plain(e.status, e.getMessage());
            }
        }

        private void health(HttpMethod method) {
            if (!method.equals(HttpMethod.GET)) {
                plain(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET only");
            } else {
                plain(node.ready() && !draining ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            }
        }

        private void plain(HttpResponseStatus status, String why) {
            write(status, why.isEmpty() ? Unpooled.EMPTY_BUFFER
                : Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8), 0);
        }

        private void write(HttpResponseStatus status, ByteBuf body, long retryAfter) {
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (retryAfter > 0) {
                answer.headers().set(HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", retryAfter / 1e9));
            }
            closing = !keepAlive || draining;
            if (closing) {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            current = null;
            channel.writeAndFlush(answer).addListener(closing ? ChannelFutureListener.CLOSE
                : ChannelFutureListener.CLOSE_ON_FAILURE);
            if (!closing && !waiting.isEmpty()) {
                loop.execute(this::handleWaiting);
            }
        }

        private void handleWaiting() {
            if (current != null || closing || waiting.isEmpty()) {
                return;
            }
            FullHttpRequest next = waiting.poll();
            try {
                handle(next);
            } finally {
                next.release();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            sessions.remove(this);
            if (drained == null) {
                listening.config().setAutoRead(true);
            }
            while (!waiting.isEmpty()) {
                waiting.poll().release();
            }
            OpenRequest left = current;
            current = null;
            closing = true;
            if (left != null) {
                node.clientGone(left);
            }
            finishDrain();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                EdgeNode.trouble("a client's connection", cause);
            }
            context.close();
        }

        /** Writes the one answer of the request in hand. */
        private final class Reply implements OpenRequest.Answers {
            @Override
            public void served(ByteBuf body) {
                write(HttpResponseStatus.OK, body.retain(), 0);
            }

            @Override
            public void refused(long retryAfter) {
                write(retryAfter > 0 ? HttpResponseStatus.TOO_MANY_REQUESTS
                    : HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, retryAfter);
            }

            @Override
            public void failed() {
                write(HttpResponseStatus.BAD_GATEWAY, Unpooled.EMPTY_BUFFER, 0);
            }
        }
    }
}
