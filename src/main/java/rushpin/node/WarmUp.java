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
import rushpin.net.ErrorLog;
import rushpin.net.ServerPool;
import rushpin.net.Transport;

/**
 * Warms the JVM up before a node serves. A second node of the same settings, with its own decision module, answers
 * synthetic requests over Unix domain sockets of this process, so that the code of the request path is compiled before
 * the first client waits for it. No other process takes part.
 *
 * <p>With less than a CPU core, compilation takes seconds. A node that serves meanwhile answers up to half a second
 * late, attributes its own delay to its servers and refuses most of its clients, which retry at once.
 *
 * <p>It runs at every start, including restarts after a crash. During that time the other nodes carry the load, so it
 * is bounded in time; where it cannot run, the node serves without.
 */
public final class WarmUp implements AutoCloseable {
    private static final int SERVER_COUNT = 8;
    private static final int CLIENT_CONNECTIONS = 10;
    private static final int CUSTOMER_COUNT = 499;
    /**
     * Sockets of the second node: 16 of clients and as many to app servers, whose other ends this process holds too.
     * When it could use all sockets of the process, the warm-up reached the descriptor limit on a slow machine.
     */
    private static final int MAX_SOCKETS = 64;
    /** One answer in this many is a refusal that proves the request never ran, so that retries are warmed up too. */
    private static final int REFUSE_EVERY = 17;
    /** One answer in this many is a server error. */
    private static final int FAIL_EVERY = 41;

    /** Added to customer numbers; its hexadecimal digit is cut off again, which keeps leading zeros. */
    private static final long CUSTOMER_BASE = 1L << 60;
    /** Minimum duration, because the module's controllers run once a second. */
    private static final long MIN_DURATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

    private static final byte[] BODY = "x".repeat(300).getBytes(StandardCharsets.US_ASCII);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final List<Path> files = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    private final Config config;
    private final int requests;
    private final Path folder;
    private int sent;
    private int answered;
    private int served;
    /** Attempts that the fake app servers received. */
    private int attempts;

    private WarmUp(Config config, int requests, Path parent) throws IOException {
        this.config = config;
        this.requests = requests;
        // A random name would make the start wait for a secure random source.
        folder = Files.createDirectory(
                parent.resolve("rehearsal-" + ProcessHandle.current().pid()));
    }

    /**
     * Runs a warm-up of the given number of requests, or until the timeout; returns how many were served.
     *
     * @param timeoutMs milliseconds
     * @param parent the folder in which the sockets are created and removed again
     */
    public static int run(Config config, int requests, long timeoutMs, Path parent) {
        try (WarmUp warmUp = new WarmUp(config, requests, parent)) {
            return warmUp.run(timeoutMs);
        } catch (Exception e) {
            ErrorLog.report("no rehearsal", e);
            return 0;
        }
    }

    private SocketAddress socketAddress(String name) {
        files.add(folder.resolve(name));
        return UnixDomainSocketAddress.of(folder.resolve(name));
    }

    /**
     * Fails early where Unix domain sockets are not available: building a second node in vain took 250 ms on part of a
     * CPU core, at each start and on all nodes at the same time.
     */
    private void checkUnixSockets() throws IOException {
        SocketAddress address = socketAddress("try");
        try (ServerSocketChannel listening =
                ServerSocketChannel.open(StandardProtocolFamily.UNIX).bind(address)) {
            SocketChannel.open(address).close();
        }
    }

    private int run(long timeoutMs) throws Exception {
        checkUnixSockets();
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < SERVER_COUNT; i++) {
            SocketAddress address = socketAddress("s" + i);
            Transport.serverBootstrap(loop, address)
                    .childHandler(handlers(() -> new ChannelHandler[] {new HttpServerCodec(), new FakePeer()}))
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
        Config nodeConfig = new Config(
                "rehearsal",
                socketAddress("n"),
                peer,
                config.counter() == null ? null : peer,
                config.seed(),
                Math.min(MAX_SOCKETS, config.sockets()),
                config.memory(),
                new ServerListUpdate(1, true, members),
                config.connectTimeout(),
                config.keepAlive(),
                config.names(),
                withoutCeilings(config.settings()));
        try (EdgeNode node = new EdgeNode(nodeConfig)) {
            node.start();
            for (int i = 0; i < CLIENT_CONNECTIONS; i++) {
                AnswerDecoder decoder = new AnswerDecoder();
                Transport.clientBootstrap(loop, node.address())
                        .handler(handlers(() -> new ChannelHandler[] {decoder, new FakeClient()}))
                        .connect(node.address())
                        .addListener(connected -> {
                            if (!connected.isSuccess()) {
                                done.completeExceptionally(connected.cause());
                            }
                        });
            }
            try {
                done.get(timeoutMs, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                // The warm-up ends incomplete.
            }
        }
        return loop.submit(() -> served).get();
    }

    /** Removes ceilings, which start empty and would refuse all requests. */
    private static Settings withoutCeilings(Settings settings) {
        List<Plan> plans = settings.plans().stream()
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
                settings.me(),
                settings.siblings(),
                settings.zone(),
                settings.tick(),
                settings.sizesAreWeights(),
                settings.reports(),
                settings.classes(),
                plans,
                settings.limits(),
                settings.counter(),
                settings.rules());
    }

    private interface HandlerFactory {
        ChannelHandler[] make();
    }

    private static ChannelInitializer<Channel> handlers(HandlerFactory factory) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(factory.make());
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

    /** A fake app server, counter and discovery in one. */
    private final class FakePeer extends SimpleChannelInboundHandler<HttpObject> {
        private HttpRequest head;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part instanceof HttpRequest request) {
                head = request;
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
                    attempts++;
                    answer(
                            context,
                            attempts % REFUSE_EVERY == 0
                                    ? HttpResponseStatus.SERVICE_UNAVAILABLE
                                    : attempts % FAIL_EVERY == 0
                                            ? HttpResponseStatus.INTERNAL_SERVER_ERROR
                                            : HttpResponseStatus.OK,
                            BODY);
                }
            }
        }

        /** Ignores connection errors: the node closes first, with connections open. */
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

    /** A fake client that sends its next request as soon as it is answered. */
    private final class FakeClient extends AnswerHandler {
        FakeClient() {
            super(ServerPool.MAX_BODY_BYTES);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            send(context.channel());
        }

        private void send(Channel channel) {
            int number = sent++;
            RequestClass requestClass = config.settings()
                    .classes()
                    .get(number % config.settings().classes().size());
            boolean safe = requestClass.repeat() == Repeat.SAFE;
            StringBuilder text = new StringBuilder(safe ? "GET" : "POST")
                    .append(" /api?slot=")
                    .append(number)
                    .append(" HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: r")
                    .append(number)
                    .append("\r\nX-Qos: ")
                    .append(config.names()
                            .classes()
                            .get(number % config.names().classes().size()))
                    .append("\r\nX-Plan: ")
                    .append(config.names()
                            .plans()
                            .get(number / 2 % config.names().plans().size()))
                    .append("\r\nCookie: customer=")
                    .append("0"
                            + Long.toHexString(CUSTOMER_BASE + number % CUSTOMER_COUNT)
                                    .substring(1))
                    .append("\r\nX-Expires-In-Ms: ")
                    .append(requestClass.deadline() / 1_000_000)
                    .append("\r\nX-Quota: units=1,spread=")
                    .append(config.settings().siblings())
                    .append(",first=0\r\n");
            if (!safe) {
                text.append("Idempotency-Key: k")
                        .append(number)
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
            if (++answered >= requests && System.nanoTime() - startNanos > MIN_DURATION_NANOS) {
                done.complete(null);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (!done.isDone()) {
                send(context.channel());
            }
        }

        @Override
        protected void unusable() {
            done.complete(null);
        }
    }
}
