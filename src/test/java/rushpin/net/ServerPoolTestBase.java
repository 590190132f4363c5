package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;
import rushpin.membership.Member;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;

/** Fixtures of tests of {@link ServerPool}: a pool on a loop of its own, and the socket of its one app server. */
abstract class ServerPoolTestBase {
    /** Longer than any test, in nanoseconds. */
    static final long LONG = 30_000_000_000L;

    static final String SERVER = "s0";

    final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = group.next();
    final BlockingQueue<Outcome> ended = new LinkedBlockingQueue<>();
    final CountedSlots slots = new CountedSlots();
    /** How often a part of a body was said not to be kept. */
    final AtomicInteger bodiesGone = new AtomicInteger();
    /** How much longer clients wait, in nanoseconds. */
    volatile long remainingNanos = LONG;

    volatile boolean endedElsewhere;
    ServerSocket listening;
    ServerPool servers;

    /** Starts the pool with the given bootstrap for its sockets. */
    void start(Bootstrap bootstrap) throws Exception {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Upstream upstream = new Upstream(
                null,
                null,
                1,
                LONG,
                LONG,
                8,
                new Names(List.of("c"), List.of("a"), List.of("z"), List.of("k")),
                "",
                null);
        Member member = new Member(
                new Server(SERVER, 1, 0, 0, 0, Readiness.READY, 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), listening.getLocalPort()));
        onLoop(() -> {
            servers = new ServerPool(new OutcomeListener(), loop, upstream, slots, bootstrap);
            servers.update(new ServerListUpdate(1, true, List.of(member)), true);
            return null;
        });
    }

    @AfterEach
    void end() throws Exception {
        onLoop(() -> {
            servers.close();
            return null;
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        listening.close();
    }

    /** Waits for the outcome of the next attempt that ends. */
    Outcome nextOutcome() throws InterruptedException {
        Outcome next = ended.poll(30, TimeUnit.SECONDS);
        assertNotNull(next, "no attempt ended within 30 s");
        return next;
    }

    /** Creates a stream of a body whose sender heeds nothing; to be used on the loop. */
    BodyStream newBodyStream() {
        return new BodyStream(
                loop,
                new BodyStream.Source() {
                    @Override
                    public void flow(boolean go) {}

                    @Override
                    public void stopped() {}
                },
                loop,
                new BodyStream.BufferBudget(Long.MAX_VALUE));
    }

    <T> T onLoop(Callable<T> work) throws Exception {
        return loop.submit(work).get(30, TimeUnit.SECONDS);
    }

    private final class OutcomeListener implements ServerPool.Listener {
        @Override
        public void attemptEnded(
                OpenRequest of, Outcome outcome, long took, String server, double units, ByteBuf body) {
            endedElsewhere |= !loop.inEventLoop();
            // Runs after the end of the channel, which releases the slot.
            loop.execute(() -> ended.add(outcome));
        }

        @Override
        public void answerStarted(
                OpenRequest of, long took, String server, double units, BodyStream passage, long length) {
            throw new AssertionError("unexpected long answer");
        }

        @Override
        public long remainingNanos(OpenRequest of) {
            return remainingNanos;
        }

        @Override
        public void bodyGone(OpenRequest of) {
            bodiesGone.incrementAndGet();
        }
    }

    /** Counts the connections and connects that the pool holds, without a limit. */
    static final class CountedSlots implements ServerPool.Slots {
        private int connections;
        private int connects;

        @Override
        public boolean acquireConnection() {
            connections++;
            return true;
        }

        @Override
        public void releaseConnection() {
            connections--;
        }

        @Override
        public boolean acquireConnect() {
            connects++;
            return true;
        }

        @Override
        public void releaseConnect() {
            connects--;
        }

        @Override
        public boolean mustShrink() {
            return false;
        }

        @Override
        public String toString() {
            return connections + " connections, " + connects + " connects";
        }
    }
}
