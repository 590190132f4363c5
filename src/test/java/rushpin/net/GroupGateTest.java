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
import rushpin.pooling.Permit;

/** A pool that keeps to a permit, and servers that count what is open at their side. */
@Timeout(60)
class GroupGateTest {
    private static final long MS = 1_000_000L, LONG = 60_000 * MS;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop loop = group.next(), far = group.next();
    private final AtomicInteger open = new AtomicInteger(), mostOpen = new AtomicInteger();
    private final List<Channel> listening = new ArrayList<>();
    /** Requests that wait at the servers for their answers, and how attempts ended. */
    private final BlockingQueue<ChannelHandlerContext> held = new LinkedBlockingQueue<>();

    private final BlockingQueue<String> ended = new LinkedBlockingQueue<>();
    /** Whether servers hear that the other side has closed. */
    private volatile boolean deaf;

    private final BlockingQueue<ChannelHandlerContext> unheard = new LinkedBlockingQueue<>();
    private long longest = LONG;
    private ServerPool servers;
    private GroupGate gate;

    @BeforeEach
    void begin() throws Exception {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Channel made = new ServerBootstrap()
                    .group(far)
                    .channel(NioServerSocketChannel.class)
                    .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            mostOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
                            channel.pipeline().addLast(new HttpServerCodec(), new Side());
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
                MS,
                1_000 * MS,
                LONG,
                8,
                new Names(List.of("c"), List.of("a", "b"), List.of("z"), List.of("k")),
                "",
                null);
        call(() -> {
            servers = new ServerPool(new Ends(), loop, upstream, new Slots());
            gate = servers.joinGroup(LONG, longest, request -> request.plan() == 0 ? "a" : "b");
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

    private void permit(int most, long lease, int own, Map<String, Integer> tenants) throws Exception {
        long now = System.nanoTime();
        call(() -> {
            gate.setGrant(new Permit(most, own, now + lease, now + LONG, tenants));
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
        ChannelHandlerContext at = held.take();
        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        answer.headers().set("Content-Length", 0);
        at.writeAndFlush(answer);
    }

    /** The lines of the loop's count, until it is as expected. */
    private void awaitOpen(int expected) throws Exception {
        while (call(() -> gate.usage().open()) != expected) {
            Thread.onSpinWait();
        }
    }

    /** Nothing without a permit; then as many as it says, the rest waits, each tenant within its part. */
    @Test
    void opensWhatThePermitSaysAndServesTenantsInTurn() throws Exception {
        send("early", 0, "s0", LONG);
        assertEquals("early NOT_SENT", ended.take());
        permit(3, LONG, 0, Map.of("a", 2, "b", 2));
        for (int i = 0; i < 4; i++) {
            send("a" + i, 0, "s" + i % 2, LONG);
        }
        held.add(held.take());
        held.add(held.take());
        send("b0", 1, "s0", LONG);
        send("b1", 1, "s1", LONG);
        // Both of a's and one of b's; b1 waits for a connection, a's others for their part.
        assertEquals(3, call(() -> gate.usage().open()));
        assertEquals(3, call(() -> gate.usage().waiting()));
        send("hasty", 0, "s0", 20 * MS);
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
        assertEquals(3, mostOpen.get());
    }

    /** Idle ones go at once, one that carries a request after it; a close counts until the other side has ended. */
    @Test
    void closesDownWithoutTakingARequestsConnection() throws Exception {
        permit(2, LONG, 0, Map.of("a", 2));
        send("one", 0, "s0", LONG);
        send("two", 0, "s1", LONG);
        ChannelHandlerContext first = held.take();
        answer();
        String idle = ended.take();
        deaf = true;
        permit(0, LONG, 0, Map.of());
        ChannelHandlerContext closing = unheard.take();
        assertTrue(closing != first, idle);
        assertEquals(2, call(() -> gate.usage().open()));
        permit(2, LONG, 0, Map.of("a", 2));
        send("three", 0, "s1", LONG);
        // The one that carries a request is open, and the other side has not ended the idle one: there is no room.
        assertEquals(1, call(() -> gate.usage().waiting()));
        assertEquals(2, mostOpen.get());
        deaf = false;
        open.decrementAndGet();
        closing.close();
        held.add(first);
        ended.clear();
        answer();
        assertTrue(ended.take().endsWith(" OK"));
        answer();
        assertTrue(ended.take().startsWith("three OK"));
        assertEquals(2, mostOpen.get());
    }

    /** At the end of the lease, without any word, it closes down to its own part, and opens no more than that. */
    @Test
    void theLeasesEndNeedsNoWord() throws Exception {
        permit(2, LONG, 1, Map.of("a", 2));
        send("one", 0, "s0", LONG);
        send("two", 0, "s1", LONG);
        answer();
        answer();
        ended.take();
        ended.take();
        awaitOpen(2);
        permit(2, 50 * MS, 1, Map.of("a", 2));
        awaitOpen(1);
        send("three", 0, "s0", LONG);
        answer();
        assertEquals("three OK", ended.take());
        awaitOpen(1);
        assertEquals(2, mostOpen.get());
    }

    /** Whoever waits is tried at each turn, and only what is carried is remembered. */
    @Test
    void waitingLeavesNothingBehind() throws Exception {
        permit(1, LONG, 0, Map.of("a", 1));
        send("one", 0, "s0", LONG);
        send("two", 0, "s0", LONG);
        for (int i = 0; i < 100; i++) {
            permit(1, LONG, 0, Map.of("a", 1));
        }
        assertEquals(1, call(() -> gate.carrying()));
        answer();
        assertEquals("one OK", ended.take());
        answer();
        assertEquals("two OK", ended.take());
        assertEquals(1, mostOpen.get());
    }

    /** Who comes while the only connection rests behind an answer has it when it has rested, with no other event to help. */
    @Test
    void aConnectionThatRestsIsUsedNext() throws Exception {
        permit(1, LONG, 0, Map.of("a", 1));
        for (int i = 0; i < 20; i++) {
            send("back" + i, 0, "s0", 2_000 * MS);
            answer();
            assertEquals("back" + i + " OK", ended.take());
        }
        assertEquals(1, mostOpen.get());
    }

    /** The part that is kept behind a lease ends with the process's membership: what it carries is cut as well. */
    @Test
    void whatIsCarriedByTheOwnPartIsCutBehindItsEnd() throws Exception {
        longest = 300 * MS;
        begin();
        long now = System.nanoTime(), forget = now + 3_000 * MS;
        call(() -> {
            gate.setGrant(new Permit(1, 1, now, forget, Map.of("a", 1)));
            return null;
        });
        send("one", 0, "s0", LONG);
        held.take();
        awaitOpen(0);
        assertTrue(System.nanoTime() - forget >= 300 * MS);
        assertEquals("one RESET", ended.take());
    }

    /** What is carried at the lease's end is waited for, but for no longer than the fleet waits. */
    @Test
    void aRequestThatIsLongerThanAnyIsCutAfterTheLease() throws Exception {
        longest = 300 * MS;
        begin();
        permit(1, LONG, 0, Map.of("a", 1));
        send("one", 0, "s0", LONG);
        held.take();
        long now = System.nanoTime();
        permit(1, 50 * MS, 0, Map.of("a", 1));
        awaitOpen(0);
        assertTrue(System.nanoTime() - now >= 350 * MS);
        assertEquals("one RESET", ended.take());
    }

    private final class Side extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpRequest) {
                held.add(context);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                if (deaf) {
                    unheard.add(context);
                } else {
                    open.decrementAndGet();
                    context.close();
                }
            }
        }
    }

    private final class Ends implements ServerPool.Listener {
        @Override
        public void attemptEnded(
                OpenRequest of, Outcome outcome, long took, String server, double units, ByteBuf body) {
            ended.add(of.request().id() + " " + outcome);
        }

        @Override
        public void answerStarted(OpenRequest of, long took, String server, double units, BodyStream passage, long length) {
            throw new AssertionError("no long answers here");
        }

        @Override
        public long remainingNanos(OpenRequest of) {
            return LONG;
        }

        @Override
        public void bodyGone(OpenRequest of) {
            // No long bodies here.
        }
    }

    private static final class Slots implements ServerPool.Slots {
        @Override
        public boolean acquireConnection() {
            return true;
        }

        @Override
        public void releaseConnection() {
            // As many as there are.
        }

        @Override
        public boolean acquireConnect() {
            return true;
        }

        @Override
        public void releaseConnect() {
            // As many as there are.
        }

        @Override
        public boolean mustShrink() {
            return false;
        }
    }
}
