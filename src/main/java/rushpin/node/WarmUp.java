package rushpin.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import rushpin.config.Config;
import rushpin.gateway.Ports.Plan;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Repeat;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Server;
import rushpin.gateway.Ports.Settings;
import rushpin.membership.Member;
import rushpin.membership.ServerListUpdate;
import rushpin.net.AnswerDecoder;
import rushpin.net.AnswerHandler;
import rushpin.net.ServerPool;
import rushpin.net.Transport;
import rushpin.net.ErrorLog;

/**
 * What a node does before it serves: a second node of the same settings, with a module of its own, answers made-up
 * requests over sockets that are files of this process, so that the JVM compiles what every request passes before
 * the first client waits for it. On a part of a core that takes seconds, in which a node that serves already is
 * late by half a second, takes its own lateness for its servers', and turns most of its clients away, who come
 * again at once. No peer hears of it.
 *
 * <p>It covers each start: the first one, a planned restart, one after a crash. It could hurt where the other nodes
 * can't bear the load for its span, so it is bounded in time, and where it can't be held the node serves without.
 */
public final class WarmUp implements AutoCloseable {
    private static final int SERVERS = 8, CLIENTS = 10, CUSTOMERS = 499;
    /**
     * The descriptors of the second node: 16 of clients and as many to app servers, whose other ends this process holds too. With all that the
     * process may have a slow machine's rehearsal met its limit.
     */
    private static final int DESCRIPTORS = 64;
    /** One answer in so many is a refusal unseen, or an error: further attempts are rehearsed too. */
    private static final int REFUSED = 17, FAILED = 41;
    /** A first digit that is cut off again, so that leading zeros stand there. */
    private static final long FIRST_CUSTOMER = 1L << 60;
    /** The module's controllers come once a second: a fast machine waits for them. */
    private static final long INTERVALS = TimeUnit.MILLISECONDS.toNanos(1_300);

    private static final byte[] BODY = "x".repeat(300).getBytes(StandardCharsets.US_ASCII);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final List<Path> files = new ArrayList<>();
    private final long begun = System.nanoTime();
    private final Config config;
    private final int requests;
    private final Path folder;
    private int sent, answered, served, taken;

    private WarmUp(Config config, int requests, Path parent) throws IOException {
        this.config = config;
        this.requests = requests;
        // A name by chance would cost the start a search for the system's source of it.
        folder = Files.createDirectory(
                parent.resolve("rehearsal-" + ProcessHandle.current().pid()));
    }

    /**
     * Holds one of so many requests, shorter if it takes longer than {@code span} milliseconds; returns how many
     * were served.
     */
    public static int run(Config config, int requests, long span, Path parent) {
        try (WarmUp warmUp = new WarmUp(config, requests, parent)) {
            return rehearsal.play(span);
        } catch (Exception e) {
            ErrorLog.report("no rehearsal", e);
            return 0;
        }
    }

    private SocketAddress file(String name) {
        files.add(folder.resolve(name));
        return UnixDomainSocketAddress.of(folder.resolve(name));
    }

    /**
     * Where such sockets are refused that is known at once: a second node that is made in vain took a quarter of a
     * second on a part of a core, at each start, of all nodes at the same time.
     */
    private void tryOut() throws IOException {
        SocketAddress address = file("try");
        try (ServerSocketChannel listening =
                ServerSocketChannel.open(StandardProtocolFamily.UNIX).bind(address)) {
            SocketChannel.open(address).close();
        }
    }

    private int play(long span) throws Exception {
        tryOut();
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            SocketAddress address = file("s" + i);
            Transport.listening(loop, address)
                    .childHandler(handlers(() -> new ChannelHandler[] {new HttpServerCodec(), new StandIn()}))
                    .bind(address)
                    .sync();
            long started = i > 0 ? 0 : new Clock().now();
            members.add(new Member(
                    new Server(
                            "rehearsal-" + i,
                            1,
                            i % Math.max(1, config.names().zones().size()),
                            i,
                            0,
                            Readiness.READY,
                            started),
                    address));
        }
        SocketAddress peer = members.get(0).address();
        Config mine = new Config(
                "rehearsal",
                file("n"),
                peer,
                config.counter() == null ? null : peer,
                config.seed(),
                Math.min(DESCRIPTORS, config.sockets()),
                config.memory(),
                new ServerListUpdate(1, true, members),
                config.connectTimeout(),
                config.keepAlive(),
                config.names(),
                unceiled(config.settings()));
        try (EdgeNode node = new EdgeNode(mine)) {
            node.start();
            for (int i = 0; i < CLIENTS; i++) {
                AnswerDecoder decoder = new AnswerDecoder();
                Transport.connecting(loop, node.address())
                        .handler(handlers(() -> new ChannelHandler[] {decoder, new Client()}))
                        .connect(node.address())
                        .addListener(made -> {
                            if (!made.isSuccess()) {
                                done.completeExceptionally(made.cause());
                            }
                        });
            }
            try {
                done.get(span, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                // So much of it must do.
            }
        }
        return loop.submit(() -> served).get();
    }

    /** A ceiling starts with nothing and would turn away all that is asked at once. */
    private static Settings unceiled(Settings of) {
        List<Plan> plans = of.plans().stream()
                .map(plan -> new Plan(
                        plan.rate(),
                        plan.burst(),
                        plan.maxConcurrent(),
                        plan.price(),
                        plan.beyondEarns(),
                        plan.beyondCosts(),
                        0,
                        0,
                        0))
                .toList();
        return new Settings(
                of.me(),
                of.siblings(),
                of.zone(),
                of.tick(),
                of.sizesAreWeights(),
                of.reports(),
                of.classes(),
                plans,
                of.limits(),
                of.counter(),
                of.rules());
    }

    private interface Handlers {
        ChannelHandler[] make();
    }

    private static ChannelInitializer<Channel> handlers(Handlers of) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(of.make());
            }
        };
    }

    @Override
    public void close() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        for (Path file : files) {
            Files.deleteIfExists(file);
        }
        Files.delete(folder);
    }

    /** An app server, the counter and discovery in one. */
    private final class StandIn extends SimpleChannelInboundHandler<HttpObject> {
        private HttpRequest head;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part instanceof HttpRequest begun) {
                head = begun;
            }
            if (part instanceof LastHttpContent) {
                if (head.uri().startsWith("/catalog")) {
                    HttpResponse list = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                    list.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
                    context.write(list);
                    context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[] {'\n'})));
                } else if (head.uri().startsWith("/tally")) {
                    answer(context, HttpResponseStatus.OK, new byte[] {'1'});
                } else {
                    taken++;
                    answer(
                            context,
                            taken % REFUSED == 0
                                    ? HttpResponseStatus.SERVICE_UNAVAILABLE
                                    : taken % FAILED == 0
                                            ? HttpResponseStatus.INTERNAL_SERVER_ERROR
                                            : HttpResponseStatus.OK,
                            BODY);
                }
            }
        }

        /** The node goes first, with connections open: their ends are no news. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void answer(ChannelHandlerContext context, HttpResponseStatus status, byte[] body) {
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
                answer.headers().set("X-Never-Ran", "1");
            }
            context.writeAndFlush(answer);
        }
    }

    /** Asks again as soon as it is answered. */
    private final class Client extends AnswerHandler {
        Client() {
            super(ServerPool.MOST_BODY);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ask(context.channel());
        }

        private void ask(Channel channel) {
            int n = sent++;
            RequestClass spec = config.settings()
                    .classes()
                    .get(n % config.settings().classes().size());
            boolean safe = spec.repeat() == Repeat.SAFE;
            StringBuilder text = new StringBuilder(safe ? "GET" : "POST")
                    .append(" /api?slot=")
                    .append(n)
                    .append(" HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: r")
                    .append(n)
                    .append("\r\nX-Qos: ")
                    .append(config.names()
                            .classes()
                            .get(n % config.names().classes().size()))
                    .append("\r\nX-Plan: ")
                    .append(config.names()
                            .plans()
                            .get(n / 2 % config.names().plans().size()))
                    .append("\r\nCookie: customer=")
                    .append("0"
                            + Long.toHexString(FIRST_CUSTOMER + n % CUSTOMERS).substring(1))
                    .append("\r\nX-Expires-In-Ms: ")
                    .append(spec.deadline() / 1_000_000)
                    .append("\r\nX-Quota: units=1,spread=")
                    .append(config.settings().siblings())
                    .append(",first=0\r\n");
            if (!safe) {
                text.append("Idempotency-Key: k")
                        .append(n)
                        .append("\r\nContent-Length: ")
                        .append(BODY.length)
                        .append("\r\n");
            }
            ByteBuf message = channel.alloc().buffer();
            message.writeCharSequence(text.append("\r\n"), StandardCharsets.US_ASCII);
            channel.writeAndFlush(safe ? message : message.writeBytes(BODY));
        }

        @Override
        protected boolean expectsAnswer() {
            return true;
        }

        @Override
        protected void answered(HttpResponse answer, ByteBuf body) {
            served += answer.status().equals(HttpResponseStatus.OK) ? 1 : 0;
            if (++answered >= requests && System.nanoTime() - begun > INTERVALS) {
                done.complete(null);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (!done.isDone()) {
                ask(context.channel());
            }
        }

        @Override
        protected void spoilt() {
            done.complete(null);
        }
    }
}
