package rushpin.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import rushpin.gateway.Ports.Repeat;
import rushpin.gateway.Ports.Request;
import rushpin.gateway.Ports.RequestClass;

/** The listening side: reads clients' requests, turns away what is none, and writes the answers. */
final class ClientServer {
    private static final long MAX_CUSTOMER = 1L << 33;
    private static final int CUSTOMER_DIGITS = 16, MOST_DIGITS = 15;
    private static final int BACKLOG = 512, MOST_NAME = 128;
    /** How much of one read, and how much that came ahead of its turn, a connection holds. */
    private static final int READ = 8 * 1024, MOST_AHEAD = ServerPool.MOST_BODY;
    /**
     * How long a whole request may take, from the connect or, on a connection that has asked before, from its
     * first byte; how long a connection may stand idle; and how often this is looked at.
     */
    private static final long MS = 1_000_000L, WHOLE = 2_500 * MS, IDLE = 2_000 * MS, SWEEP = 250 * MS;

    private final EdgeNode node;
    private final EventLoop loop;
    private final Config config;
    private final ByteBudget budget;
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final int most, mostKept;
    private Channel listening;
    private boolean draining;
    private CompletableFuture<Void> drained;

    ClientServer(EdgeNode node, EventLoop loop, Config config, ByteBudget budget) {
        this.node = node;
        this.budget = budget;
        this.loop = loop;
        this.config = config;
        // Half of the descriptors; app servers have three eighths, the rest is the process's own.
        most = Math.max(8, config.sockets() / 2);
        mostKept = Math.max(4, config.sockets() / 6);
        loop.scheduleAtFixedRate(() -> List.copyOf(sessions).forEach(Session::limit), SWEEP, SWEEP,
            TimeUnit.NANOSECONDS);
    }

    CompletableFuture<Void> bind() {
        CompletableFuture<Void> bound = new CompletableFuture<>();
        Transport.listening(loop, config.listen()).option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 1024, READ))
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    Session session = new Session(channel);
                    channel.pipeline().addLast(session.decoder, new HttpResponseEncoder(), session);
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

    SocketAddress address() {
        return listening.localAddress();
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
            if (session.isBetween()) {
                session.channel.close();
            }
        }
        finishDrain();
    }

    /**
     * Ends a connection that no request is open on, so that its client can tell it from a loss: one that never
     * brought a whole request, the oldest first, else the one that has been idle longest. Without this, clients
     * that connect and say nothing would hold every place, and nobody else would ever be let in.
     */
    private boolean makeRoom(Session newest) {
        Session least = null;
        for (Session session : sessions) {
            if (session == newest || session.closing || session.current != null) {
                continue;
            }
            if (!session.asked) {
                least = session;
                break;
            }
            if (session.isBetween() && (least == null || session.since - least.since < 0)) {
                least = session;
            }
        }
        if (least != null) {
            least.closing = true;
            least.channel.close();
        }
        return least != null;
    }

    /**
     * Whether so many connections stand idle that none more is kept after its answer. Clients hold a third of
     * the descriptors at most: where some ask once and keep their connection, the others would find none left
     * long before an idle one's time is up, and nothing of that would be seen here but a calm node. The answer
     * says so, since to end an idle one unasked may cross its client's next request. It covers crowds of such
     * clients; it could hurt where so many usual clients take turns, each of which then connects again.
     */
    private boolean crowded() {
        int idle = 0;
        for (Session session : sessions) {
            idle += session.asked && session.isBetween() && !session.closing ? 1 : 0;
        }
        return idle >= mostKept;
    }

    /** How many connections are open. */
    int connections() throws Exception {
        return loop.submit(sessions::size).get();
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

    /** Reads a request; what it cannot read it names. Nothing is taken that means different things to readers. */
    private OpenRequest read(HttpRequest head, ByteBuf body, OpenRequest.Answers answers) throws Refusal {
        String uri = head.uri();
        if (!uri.equals("/api") && !uri.startsWith("/api?")) {
            throw new Refusal(HttpResponseStatus.NOT_FOUND, "no such path");
        }
        HttpHeaders headers = head.headers();
        String id = name(need(headers, "X-Trace-Id"), "X-Trace-Id");
        int requestClass = index(config.names().classes(), headers, "X-Qos");
        int plan = index(config.names().plans(), headers, "X-Plan");
        RequestClass spec = config.settings().classes().get(requestClass);
        HttpMethod method = spec.repeat() == Repeat.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!head.method().equals(method)) {
            throw new Refusal(HttpResponseStatus.METHOD_NOT_ALLOWED, "this class goes by " + method);
        }
        String key = only(headers, "Idempotency-Key");
        if (key != null || spec.repeat() == Repeat.KEYED) {
            name(need(headers, "Idempotency-Key"), "Idempotency-Key");
        }
        // No client waits longer than its class lets it, whatever it says: its request would only be held.
        long span = whole(need(headers, "X-Expires-In-Ms"), "X-Expires-In-Ms", 1, 2 * spec.deadline() / MS);
        Map<String, String> quota = quota(need(headers, "X-Quota"));
        int siblings = config.settings().siblings();
        Request request = new Request(id, requestClass, plan, customer(headers),
            node.deadline(node.now(), span * MS), units(quota.get("units")),
            (int) whole(quota.get("spread"), "X-Quota spread", 1, siblings),
            (int) whole(quota.get("first"), "X-Quota first", 0, siblings - 1L),
            "1".equals(headers.get("X-Second-Try")));
        return new OpenRequest(request, method, uri, key, body, answers);
    }

    /** A header that stands once at most; null if it does not stand there. */
    private static String only(HttpHeaders headers, String name) throws Refusal {
        Iterator<String> values = headers.valueStringIterator(name);
        String value = values.hasNext() ? values.next() : null;
        if (values.hasNext()) {
            throw bad(name + " stands there twice");
        }
        return value;
    }

    private static String need(HttpHeaders headers, String name) throws Refusal {
        String value = only(headers, name);
        if (value == null || value.isBlank()) {
            throw bad(name + " is missing");
        }
        return value;
    }

    /** These go on to app servers and must arrive there as they came. */
    private static String name(String value, String header) throws Refusal {
        boolean good = value.length() <= MOST_NAME;
        for (int i = 0; good && i < value.length(); i++) {
            good = value.charAt(i) > ' ' && value.charAt(i) < 127;
        }
        if (!good) {
            throw bad(header + " is no name");
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
        String found = null;
        for (Cookie cookie : ServerCookieDecoder.LAX.decodeAll(need(headers, "Cookie"))) {
            if (cookie.name().equals("customer")) {
                if (found != null) {
                    throw bad("the cookie names two customers");
                }
                found = cookie.value();
            }
        }
        if (found != null && found.length() == CUSTOMER_DIGITS && isOf(found, 16)) {
            long customer = Long.parseUnsignedLong(found, 16);
            if (customer >= 0 && customer < MAX_CUSTOMER) {
                return customer;
            }
        }
        throw bad("the cookie names no customer");
    }

    private static Map<String, String> quota(String text) throws Refusal {
        Map<String, String> parts = new HashMap<>();
        for (String part : text.split(",")) {
            String[] pair = part.trim().split("=", 2);
            if (parts.put(pair[0], pair.length > 1 ? pair[1] : "") != null) {
                throw bad("X-Quota says " + pair[0] + " twice");
            }
        }
        return parts;
    }

    private double units(String text) throws Refusal {
        double units = Figures.amount(text, config.settings().counter().largest());
        if (Double.isNaN(units)) {
            throw bad("X-Quota units is not a number above 0 that one request may count");
        }
        return units;
    }

    private static boolean isOf(String text, int radix) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) > 127 || Character.digit(text.charAt(i), radix) < 0) {
                return false;
            }
        }
        return true;
    }

    private static long whole(String text, String name, long least, long most) throws Refusal {
        if (text != null && !text.isEmpty() && text.length() <= MOST_DIGITS && isOf(text, 10)) {
            long value = Long.parseLong(text);
            if (value >= least && value <= most) {
                return value;
            }
        }
        throw bad(name + " is not a whole number from " + least + " to " + most);
    }

    /** A client's connection: one request at a time; what comes behind it waits undecoded. */
    private final class Session extends SimpleChannelInboundHandler<HttpObject> {
        private final RequestDecoder decoder = new RequestDecoder(this::arrived);
        private final Body body = new Body(ServerPool.MOST_BODY);
        private final Channel channel;
        private HttpRequest head;
        private OpenRequest current;
        /** {@code begun}: a part of a request has come; {@code asked}: a whole one has, ever. */
        private boolean begun, asked, keepAlive, closing;
        /** When the request that is coming, or else the silence, began. */
        private long since = System.nanoTime();
        private int held;

        Session(Channel channel) {
            this.channel = channel;
        }

        boolean isBetween() {
            return current == null && !begun;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            sessions.add(this);
            if (sessions.size() >= most && !makeRoom(this)) {
                // At the bound on descriptors newcomers wait in the kernel's line until a connection ends.
                // Asked of the channel itself: the first clients are here before the bind is told.
                channel.parent().config().setAutoRead(false);
            }
        }

        /** After each read. A client that sends ahead is not read from any more until its turn comes. */
        private void arrived() {
            if (isBetween() && !closing && decoder.held() > 0) {
                begin();
            }
            account();
            if (current != null && decoder.held() > 0
                && (decoder.held() > MOST_AHEAD || !budget.allows(decoder.held()))) {
                channel.config().setAutoRead(false);
            } else if (head != null && !closing && !budget.allows(held)) {
                refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for this body");
            }
        }

        private void begin() {
            begun = true;
            if (asked) {
                since = System.nanoTime();
            }
        }

        private void account() {
            int holds = decoder.held() + body.size();
            budget.change(holds - held);
            held = holds;
        }

        /** Ends what takes too long. Never while a request is open: that would lose it. */
        private void limit() {
            long age = System.nanoTime() - since;
            if (current != null) {
                return;
            }
            if (begun && !closing && age > WHOLE) {
                refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the request takes too long to come");
            } else if ((closing || !begun) && age > IDLE) {
                closing = true;
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (closing) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                refuse(HttpResponseStatus.BAD_REQUEST, "this is no request that can be read");
                return;
            }
            if (part instanceof HttpRequest coming) {
                head = coming;
                begin();
                weigh(coming);
            }
            if (part instanceof HttpContent content && !closing && !body.add(content.content())) {
                refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            }
            if (part instanceof LastHttpContent && !closing) {
                handle();
            }
        }

        /** Turns a body away that is too large by what the head says, before any of it is read. */
        private void weigh(HttpRequest coming) {
            long length = HttpUtil.getContentLength(coming, 0L);
            if (length > ServerPool.MOST_BODY) {
                refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            } else if (!budget.allows(length)) {
                refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for this body");
            } else if (HttpUtil.is100ContinueExpected(coming)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER));
            }
        }

        private void handle() {
            HttpRequest whole = head;
            ByteBuf content = body.take();
            head = null;
            begun = false;
            asked = true;
            keepAlive = HttpUtil.isKeepAlive(whole);
            if (whole.uri().equals("/_health")) {
                content.release();
                health(whole.method());
                return;
            }
            try {
                OpenRequest taken = read(whole, content, new Reply());
                current = taken;
                if (!node.take(taken)) {
                    current = null;
                    throw new Refusal(HttpResponseStatus.CONFLICT, "a request of this id is open");
                }
            } catch (Refusal e) {
                content.release();
                refuse(e.status, e.getMessage());
            }
        }

        private void health(HttpMethod method) {
            if (!method.equals(HttpMethod.GET)) {
                refuse(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET only");
            } else {
                write(node.ready() && !draining ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    Unpooled.EMPTY_BUFFER, 0);
            }
        }

        /** Turns away what is no request. Nothing behind it is read: it may be a part of it. */
        private void refuse(HttpResponseStatus status, String why) {
            keepAlive = false;
            head = null;
            body.take().release();
            decoder.stop();
            channel.config().setAutoRead(false);
            write(status, Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8), 0);
        }

        private void write(HttpResponseStatus status, ByteBuf content, long retryAfter) {
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            if (retryAfter > 0) {
                answer.headers().set(HttpHeaderNames.RETRY_AFTER,
                    BigDecimal.valueOf((retryAfter + MS - 1) / MS, 3).toPlainString());
            }
            closing = !keepAlive || draining || crowded();
            if (closing) {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            current = null;
            begun = false;
            since = System.nanoTime();
            channel.writeAndFlush(answer).addListener(closing ? ChannelFutureListener.CLOSE
                : ChannelFutureListener.CLOSE_ON_FAILURE);
            if (!closing) {
                loop.execute(this::next);
            }
        }

        /** Goes on to what came meanwhile, unless the client does not even read its answers. */
        private void next() {
            if (current != null || closing || !channel.isActive() || !channel.isWritable()) {
                return;
            }
            channel.config().setAutoRead(true);
            try {
                decoder.resume();
            } catch (Exception e) {
                exceptionCaught(null, e);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            next();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            sessions.remove(this);
            body.take().release();
            account();
            if (drained == null) {
                channel.parent().config().setAutoRead(true);
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
            if (!(cause instanceof IOException || cause instanceof DecoderException)) {
                EdgeNode.trouble("a client's connection", cause);
            }
            channel.close();
        }

        /** Writes the one answer of the request in hand. */
        private final class Reply implements OpenRequest.Answers {
            @Override
            public void served(ByteBuf content) {
                write(HttpResponseStatus.OK, content.retain(), 0);
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
