package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.budget.ConnectionBudget;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Request;
import rushpin.gateway.Ports.Server;
import rushpin.membership.Member;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;
import rushpin.pooling.ConnectionGrant;

/** Tests a pool limited by a connection grant, with servers that count the connections open at their side. */
@Timeout(60)
class GroupGateTest {
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final long LONG = 60_000 * NANOS_PER_MS;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final EventLoop serverLoop = group.next();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger maxOpen = new AtomicInteger();
    private final List<Channel> listening = new ArrayList<>();
    /** Requests that the servers have received and not answered. */
    private final BlockingQueue<ChannelHandlerContext> unanswered = new LinkedBlockingQueue<>();

    /** Ids and outcomes of the attempts that have ended. */
    private final BlockingQueue<String> ended = new LinkedBlockingQueue<>();
    /** Whether servers ignore that the client has closed its side of a connection. */
    private volatile boolean ignoreClose;

    private final BlockingQueue<ChannelHandlerContext> ignoredCloses = new LinkedBlockingQueue<>();
    private long gracePeriod = LONG;
    private ServerPool servers;
    private GroupGate gate;

    @BeforeEach
    void begin() throws Exception {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Channel made = new ServerBootstrap()
                    .group(serverLoop)
                    .channel(NioServerSocketChannel.class)
                    .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            maxOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
                            channel.pipeline().addLast(new HttpServerCodec(), new ServerHandler());
                        }
                    })
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .sync()
                    .channel();
            listening.add(made);
            members.add(new Member(
                    new Server("s" + i, 1, 0, 0, 0, Readiness.READY, 0), (InetSocketAddress) made.localAddress()));
        }
        Upstream upstream = new Upstream(
                null,
                null,
                NANOS_PER_MS,
                1_000 * NANOS_PER_MS,
                LONG,
                8,
                new Names(List.of("c"), List.of("a", "b"), List.of("z"), List.of("k")),
                "",
                null);
        call(() -> {
            servers = new ServerPool(new OutcomeListener(), loop, upstream, new ServerPoolTestBase.CountedSlots());
            gate = servers.joinGroup(LONG, gracePeriod, request -> request.plan() == 0 ? "a" : "b");
            servers.update(new ServerListUpdate(1, true, members), true);
            return null;
        });
    }

    @AfterEach
    void end() throws Exception {
        call(() -> {
            servers.close();
            return null;
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private <T> T call(Callable<T> what) throws Exception {
        return loop.submit(what).get(30, TimeUnit.SECONDS);
    }

    private void grant(int max, long lease, int own, Map<String, Integer> tenants) throws Exception {
        long now = System.nanoTime();
        call(() -> {
            gate.setGrant(new ConnectionGrant(max, own, now + lease, now + LONG, tenants));
            return null;
        });
    }

    private void send(String id, int plan, String server, long patience) throws Exception {
        Request request = new Request(id, 0, plan, 1, System.nanoTime() + LONG, 1, 1, 0, false);
        OpenRequest of = new OpenRequest(
                request, "c", HttpMethod.GET, "/", null, "h", Unpooled.EMPTY_BUFFER, null, null, 0, LONG);
        call(() -> {
            servers.send(of, server, patience);
            return null;
        });
    }

    private void answer() throws Exception {
        ChannelHandlerContext at = unanswered.take();
        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        answer.headers().set("Content-Length", 0);
        at.writeAndFlush(answer);
    }

    /** Waits until the gate counts the expected number of connections. */
    private void awaitOpen(int expected) throws Exception {
        while (call(() -> gate.usage().open()) != expected) {
            Thread.onSpinWait();
        }
    }

    /**
     * Without a grant nothing is opened. With one, at most that number is open and the rest waits, each tenant within
     * its share.
     */
    @Test
    void opensWhatTheGrantAllowsAndServesTenantsInTurn() throws Exception {
        send("early", 0, "s0", LONG);
        assertEquals("early NOT_SENT", ended.take());
        grant(3, LONG, 0, Map.of("a", 2, "b", 2));
        for (int i = 0; i < 4; i++) {
            send("a" + i, 0, "s" + i % 2, LONG);
        }
        unanswered.add(unanswered.take());
        unanswered.add(unanswered.take());
        send("b0", 1, "s0", LONG);
        send("b1", 1, "s1", LONG);
        // Open are both connections of a and one of b; b1 waits for a connection, the other attempts of a for their
        // share.
        assertEquals(3, call(() -> gate.usage().open()));
        assertEquals(3, call(() -> gate.usage().waiting()));
        send("hasty", 0, "s0", 20 * NANOS_PER_MS);
        assertEquals("hasty NOT_SENT", ended.take());
        for (int i = 0; i < 2 * ConnectionBudget.MAX_WAITING_PER_CONNECTION - 2; i++) {
            send("more", 0, "s0", LONG);
        }
        send("one too many", 0, "s0", LONG);
        assertEquals("one too many NOT_SENT", ended.take());
        for (int i = 0; i < 4 + 2 * ConnectionBudget.MAX_WAITING_PER_CONNECTION; i++) {
            answer();
            ended.take();
        }
        assertEquals(3, maxOpen.get());
    }

    /**
     * Idle connections are closed now, one in use after its request. A closed connection counts until the peer has
     * closed it.
     */
    @Test
    void closesDownWithoutCuttingARequest() throws Exception {
        grant(2, LONG, 0, Map.of("a", 2));
        send("one", 0, "s0", LONG);
        send("two", 0, "s1", LONG);
        ChannelHandlerContext first = unanswered.take();
        answer();
        String idle = ended.take();
        ignoreClose = true;
        grant(0, LONG, 0, Map.of());
        ChannelHandlerContext closing = ignoredCloses.take();
        assertTrue(closing != first, idle);
        assertEquals(2, call(() -> gate.usage().open()));
        grant(2, LONG, 0, Map.of("a", 2));
        send("three", 0, "s1", LONG);
        // One connection is in use and the peer has not closed the idle one: there is no room.
        assertEquals(1, call(() -> gate.usage().waiting()));
        assertEquals(2, maxOpen.get());
        ignoreClose = false;
        open.decrementAndGet();
        closing.close();
        unanswered.add(first);
        ended.clear();
        answer();
        assertTrue(ended.take().endsWith(" OK"));
        answer();
        assertTrue(ended.take().startsWith("three OK"));
        assertEquals(2, maxOpen.get());
    }

    /**
     * At the end of the lease, without a message, the pool closes connections down to its own part and opens no more
     * than that.
     */
    @Test
    void theEndOfTheLeaseNeedsNoMessage() throws Exception {
        grant(2, LONG, 1, Map.of("a", 2));
        send("one", 0, "s0", LONG);
        send("two", 0, "s1", LONG);
        answer();
        answer();
        ended.take();
        ended.take();
        awaitOpen(2);
        grant(2, 50 * NANOS_PER_MS, 1, Map.of("a", 2));
        awaitOpen(1);
        send("three", 0, "s0", LONG);
        answer();
        assertEquals("three OK", ended.take());
        awaitOpen(1);
        assertEquals(2, maxOpen.get());
    }

    /** Queued attempts are tried at each turn, and only the uses of connections are kept. */
    @Test
    void queuedAttemptsLeaveNoUses() throws Exception {
        grant(1, LONG, 0, Map.of("a", 1));
        send("one", 0, "s0", LONG);
        send("two", 0, "s0", LONG);
        for (int i = 0; i < 100; i++) {
            grant(1, LONG, 0, Map.of("a", 1));
        }
        assertEquals(1, call(() -> gate.activeUses()));
        answer();
        assertEquals("one OK", ended.take());
        answer();
        assertEquals("two OK", ended.take());
        assertEquals(1, maxOpen.get());
    }

    /**
     * An attempt that arrives during the reuse delay of the only connection gets it after the delay, without any other
     * event.
     */
    @Test
    void aConnectionIsUsedAgainAfterTheReuseDelay() throws Exception {
        grant(1, LONG, 0, Map.of("a", 1));
        for (int i = 0; i < 20; i++) {
            send("back" + i, 0, "s0", 2_000 * NANOS_PER_MS);
            answer();
            assertEquals("back" + i + " OK", ended.take());
        }
        assertEquals(1, maxOpen.get());
    }

    /**
     * The part that remains after a lease ends with the process's membership: connections in use are then closed too.
     */
    @Test
    void usesOfTheOwnPartAreCutAfterItsEnd() throws Exception {
        gracePeriod = 300 * NANOS_PER_MS;
        begin();
        long now = System.nanoTime();
        long forget = now + 3_000 * NANOS_PER_MS;
        call(() -> {
            gate.setGrant(new ConnectionGrant(1, 1, now, forget, Map.of("a", 1)));
            return null;
        });
        send("one", 0, "s0", LONG);
        unanswered.take();
        awaitOpen(0);
        assertTrue(System.nanoTime() - forget >= 300 * NANOS_PER_MS);
        assertEquals("one RESET", ended.take());
    }

    /** Requests in flight at the end of a lease may finish, but within the grace period. */
    @Test
    void aRequestLongerThanTheGracePeriodIsCut() throws Exception {
        gracePeriod = 300 * NANOS_PER_MS;
        begin();
        grant(1, LONG, 0, Map.of("a", 1));
        send("one", 0, "s0", LONG);
        unanswered.take();
        long now = System.nanoTime();
        grant(1, 50 * NANOS_PER_MS, 0, Map.of("a", 1));
        awaitOpen(0);
        assertTrue(System.nanoTime() - now >= 350 * NANOS_PER_MS);
        assertEquals("one RESET", ended.take());
    }

    private final class ServerHandler extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpRequest) {
                unanswered.add(context);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                if (ignoreClose) {
                    ignoredCloses.add(context);
                } else {
                    open.decrementAndGet();
                    context.close();
                }
            }
        }
    }

    private final class OutcomeListener implements ServerPool.Listener {
        @Override
        public void attemptEnded(
                OpenRequest of, Outcome outcome, long took, String server, double units, ByteBuf body) {
            ended.add(of.request().id() + " " + outcome);
        }

        @Override
        public void answerStarted(
                OpenRequest of, long took, String server, double units, BodyStream passage, long length) {
            throw new AssertionError("unexpected long answer");
        }

        @Override
        public long remainingNanos(OpenRequest of) {
            return LONG;
        }

        @Override
        public void bodyGone(OpenRequest of) {
            // No long bodies in these tests.
        }
    }
}
