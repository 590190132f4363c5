package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.config.Config;
import rushpin.net.CounterClient;

/** Calls to a counter that answers late or with malformed responses, or whose address changes. */
@Timeout(120)
class CounterClientTest extends NodeTestBase {
    private static final long KEEP_NANOS = 4_000_000_000L;
    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private CounterClient client;

    @BeforeEach
    void client() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        toClose.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly());
        loop = group.next();
        Config config = configWithCounter(counter);
        client = loop.submit(() -> new CounterClient(
                        (name, outcome, total) -> results.add(name + " " + outcome + " " + total),
                        loop,
                        config.upstream()))
                .get();
    }

    private Config configWithCounter(StubServer at) throws Exception {
        return Config.parse(config().replace(counter.address(), at.address())
                .replace("\"count-wait-ns\": 50000000", "\"count-wait-ns\": 2000000000"));
    }

    private void count(long name, double amount) {
        loop.execute(() -> client.count(name, amount, KEEP_NANOS));
    }

    private void assertNextResult(String expected) throws InterruptedException {
        assertEquals(expected, results.poll(60, TimeUnit.SECONDS));
    }

    /** A late response belongs to the call that timed out. Given to the next call, it would shift all later totals. */
    @Test
    void aLateResponseIsSkipped() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        counterScript = m -> {
            if (counter.requests.size() == 1) {
                go.join();
                m.answer(StubServer.ok("", "77"));
            } else {
                m.answer(StubServer.ok("", "88"));
            }
        };
        count(4, 1.5);
        assertNextResult("4 TIMEOUT 0.0");
        count(4, -2.25);
        go.complete(null);
        assertNextResult("4 OK 88.0");
        assertEquals("POST /tally/4?n=1.5&keep_ms=4000 HTTP/1.1", counter.next().startLine());
        assertEquals(
                "POST /tally/4?n=-2.25&keep_ms=4000 HTTP/1.1", counter.next().startLine());
    }

    /**
     * A connection that was kept after a malformed response took the bytes that followed for the next call's response,
     * or waited forever.
     */
    @Test
    void aMalformedResponseReplacesTheConnection() throws Exception {
        for (String malformed : List.of(
                StubServer.ok("", "1d"),
                StubServer.ok("", "0x1p3"),
                StubServer.ok("", ""),
                StubServer.ok("", "NaN"),
                "noise",
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\n1",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n1",
                "HTTP/1.1 200 OK\r\n\r\n1",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")) {
            counterScript = m -> m.answer(malformed);
            count(4, 1);
            assertNextResult("4 RESET 0.0");
            StubServer.Message first = counter.next();
            counterScript = m -> m.answer(StubServer.ok("", "5"));
            count(4, 1);
            assertNextResult("4 OK 5.0");
            assertNotSame(first.socket(), counter.next().socket(), malformed);
        }
    }

    /** A call that got its response on the new connection before the old one would complete out of order. */
    @Test
    void anAddressChangeKeepsTheOrderOfCallsForOneName() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        counterScript = m -> {
            go.join();
            m.answer(StubServer.ok("", "1"));
        };
        StubServer elsewhere = stubServer(m -> m.answer(StubServer.ok("", "2")));
        count(4, 1);
        counter.next();
        Config moved = configWithCounter(elsewhere);
        loop.submit(() -> client.move(moved.counter())).get();
        count(4, 1);
        count(8, 1);
        go.complete(null);
        assertNextResult("4 OK 1.0");
        assertNextResult("4 OK 2.0");
        assertNextResult("8 OK 2.0");
        assertNotNull(counter.closedConnections.poll(60, TimeUnit.SECONDS), "the old connection must be closed");
        assertTrue(counter.requests.isEmpty(), "calls after the move must go to the new address");
    }

    /** When too many calls are unanswered they fail in the order in which they were made, the latest one last. */
    @Test
    void aFullConnectionFailsItsCallsInOrder() throws Exception {
        counterScript = m -> {};
        for (int i = 0; i < 300; i++) {
            count(4L * i, 1);
        }
        for (int i = 0; i < 300; i++) {
            String result = results.poll(60, TimeUnit.SECONDS);
            assertTrue(result != null && result.startsWith(4L * i + " "), "call " + i + " completed as " + result);
        }
    }

    /** After a loop was busy past the timeout, the timer is due while a response that came in time is still unread. */
    @Test
    void anUnreadResponseIsReadBeforeItsCallTimesOut() throws Exception {
        CompletableFuture<Void> secondAnswered = new CompletableFuture<>();
        CompletableFuture<Void> releaseLoop = new CompletableFuture<>();
        CompletableFuture<Void> loopBusy = new CompletableFuture<>();
        counterScript = m -> {
            if (m.startLine().contains("/tally/5?")) {
                // Name 5 uses another connection: its response waits while the loop is busy with name 4's.
                loopBusy.join();
                m.answer(StubServer.ok("", "5"));
                secondAnswered.complete(null);
            } else {
                m.answer(StubServer.ok("", "4"));
            }
        };
        CounterClient blockingClient = loop.submit(() -> new CounterClient(
                        (name, outcome, total) -> {
                            results.add(name + " " + outcome + " " + total);
                            if (name == 4) {
                                loopBusy.complete(null);
                                releaseLoop.join();
                            }
                        },
                        loop,
                        configWithCounter(counter).upstream()))
                .get();
        loop.execute(() -> {
            blockingClient.count(5, 1, KEEP_NANOS);
            blockingClient.count(4, 1, KEEP_NANOS);
        });
        secondAnswered.join();
        for (long start = System.nanoTime(); System.nanoTime() - start < 2_050_000_000L; ) {
            Thread.onSpinWait();
        }
        releaseLoop.complete(null);
        assertNextResult("4 OK 4.0");
        assertNextResult("5 OK 5.0");
    }

    /** A process that was busy past the timeout before it wrote the call took its own delay for a silent counter. */
    @Test
    void theTimeoutOfACallStartsWhenItIsWritten() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        counterScript = m -> {
            go.join();
            m.answer(StubServer.ok("", "5"));
        };
        loop.submit(() -> {
                    client.count(4, 1, KEEP_NANOS);
                    for (long start = System.nanoTime(); System.nanoTime() - start < 2_050_000_000L; ) {
                        Thread.onSpinWait();
                    }
                })
                .get();
        counter.next();
        // After these, all timers that were due have run, also those that reschedule themselves once.
        for (int i = 0; i < 4; i++) {
            loop.schedule(() -> {}, 1, TimeUnit.NANOSECONDS).get();
        }
        go.complete(null);
        assertNextResult("4 OK 5.0");
    }
}
