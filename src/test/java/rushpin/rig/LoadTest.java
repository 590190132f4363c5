package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.judge.Records;

/** Clients of the rig: what the judge is given is whole. */
@Timeout(60)
class LoadTest {
    private static final int TRIES = 20;

    /** Clients that were told to come again do not once the load has ended: what they sent then had no record of theirs. */
    @Test
    void nothingIsSentOnceAllIsSettled() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        AtomicInteger came = new AtomicInteger();
        CountDownLatch enough = new CountDownLatch(TRIES);
        Records records = new Records();
        try (StandIn refuses = new Refuses(loop, came, enough)) {
            refuses.open();
            Load load = new Load(
                    loop,
                    new Load.Group("one", "one.example.org", "/", 0, 4, "bulk", 3_000, 100, true),
                    refuses.socket(),
                    records,
                    7);
            load.rate(200);
            enough.await();
            load.rate(0);
            load.settle();
            int settled = came.get();
            assertEquals(settled, records.exchanges().size(), "seed 7");
            // Behind all that the loop would have sent: each was told to come again after half a second.
            loop.schedule(() -> {}, 1, TimeUnit.SECONDS).sync();
            loop.submit(() -> {}).sync();
            assertEquals(settled, came.get(), "seed 7");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    /** Clients that went away and came back are one row of requests, each asked when it is due: its time can be told. */
    @Test
    void whoComesBackAsksNothingBeforeItIsDue() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        CountDownLatch enough = new CountDownLatch(TRIES);
        try (StandIn refuses = new Refuses(loop, new AtomicInteger(), enough)) {
            refuses.open();
            Load load = new Load(
                    loop,
                    new Load.Group("one", "one.example.org", "/", 0, 4, "bulk", 3_000, 100, false),
                    refuses.socket(),
                    new Records(),
                    7);
            for (int i = 0; i < TRIES; i++) {
                load.rate(0);
                load.rate(20);
            }
            enough.await();
            load.rate(0);
            load.settle();
            Load.Stretch all = load.turn();
            assertEquals(all.sent, all.turnedAway, "seed 7");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private static final class Refuses extends StandIn {
        private final AtomicInteger came;
        private final CountDownLatch enough;

        Refuses(EventLoop loop, AtomicInteger came, CountDownLatch enough) {
            super(loop);
            this.came = came;
            this.enough = enough;
        }

        @Override
        ChannelHandler handler() {
            return new SimpleChannelInboundHandler<HttpObject>() {
                @Override
                protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
                    if (part instanceof HttpRequest) {
                        came.incrementAndGet();
                        enough.countDown();
                        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
                        answer.headers().set("Content-Length", 0).set("Retry-After", "0.5");
                        context.writeAndFlush(answer);
                    }
                }
            };
        }
    }
}
