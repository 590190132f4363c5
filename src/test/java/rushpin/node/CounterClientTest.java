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

/** Calls to a counter that is late, spoils its answers or moves. */
@Timeout(120)
class CounterClientTest extends NodeTestBase {
    private static final long LIFE = 4_000_000_000L;
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private CounterClient client;

    @BeforeEach
    void client() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        toClose.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly());
        loop = group.next();
        Config config = counting(counter);
        client = loop.submit(() -> new CounterClient(
                        (name, outcome, total) -> told.add(name + " " + outcome + " " + total),
                        loop,
                        config.upstream()))
                .get();
    }

    private Config counting(StubServer at) throws Exception {
        return Config.parse(config().replace(counter.address(), at.address())
                .replace("\"count-wait-ns\": 50000000", "\"count-wait-ns\": 2000000000"));
    }

    private void count(long name, double amount) {
        loop.execute(() -> client.count(name, amount, LIFE));
    }

    private void assertTold(String end) throws InterruptedException {
        assertEquals(end, told.poll(60, TimeUnit.SECONDS));
    }

    /** A late answer belongs to the call that timed out; were it given to the next, totals would shift for good. */
    @Test
    void aLateTotalIsSkippedInLine() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        counting = m -> {
            if (counter.requests.size() == 1) {
                go.join();
                m.answer(StubServer.ok("", "77"));
            } else {
                m.answer(StubServer.ok("", "88"));
            }
        };
        count(4, 1.5);
        assertTold("4 TIMEOUT 0.0");
        count(4, -2.25);
        go.complete(null);
        assertTold("4 OK 88.0");
        assertEquals("POST /tally/4?n=1.5&keep_ms=4000 HTTP/1.1", counter.next().startLine());
        assertEquals(
                "POST /tally/4?n=-2.25&keep_ms=4000 HTTP/1.1", counter.next().startLine());
    }

    /** A line that went on after such an answer took what followed for the next call's, or waited for ever. */
    @Test
    void afterAnAnswerThatCannotBeReadTheLineIsReplaced() throws Exception {
        for (String spoilt : List.of(
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
            counting = m -> m.answer(spoilt);
            count(4, 1);
            assertTold("4 RESET 0.0");
            StubServer.Message first = counter.next();
            counting = m -> m.answer(StubServer.ok("", "5"));
            count(4, 1);
            assertTold("4 OK 5.0");
            assertNotSame(first.socket(), counter.next().socket(), spoilt);
        }
    }

    /** Answered on the new line before the old one, the calls would be told in the wrong order. */
    @Test
    void aMoveKeepsTheOrderOfANamesCalls() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        counting = m -> {
            go.join();
            m.answer(StubServer.ok("", "1"));
        };
        StubServer elsewhere = stubServer(m -> m.answer(StubServer.ok("", "2")));
        count(4, 1);
        counter.next();
        Config moved = counting(elsewhere);
        loop.submit(() -> client.move(moved.counter())).get();
        count(4, 1);
        count(8, 1);
        go.complete(null);
        assertTold("4 OK 1.0");
        assertTold("4 OK 2.0");
        assertTold("8 OK 2.0");
        assertNotNull(counter.closedConnections.poll(60, TimeUnit.SECONDS), "the old line is of no more use");
        assertTrue(counter.requests.isEmpty(), "calls after the move must go to the new address");
    }

    /** Too many calls without an answer end in their order: a newcomer's end must not be told first. */
    @Test
    void aLineThatIsFullEndsItsCallsInOrder() throws Exception {
        counting = m -> {};
        for (int i = 0; i < 300; i++) {
            count(4L * i, 1);
        }
        for (int i = 0; i < 300; i++) {
            String end = told.poll(60, TimeUnit.SECONDS);
            assertTrue(end != null && end.startsWith(4L * i + " "), "call " + i + " was told as " + end);
        }
    }

    /** A loop that is busy past the time-out finds the timer due and the answer unread: it had come in time. */
    @Test
    void anAnswerThatLiesUnreadIsReadBeforeItsCallIsGivenUp() throws Exception {
        CompletableFuture<Void> second = new CompletableFuture<>(), free = new CompletableFuture<>();
        CompletableFuture<Void> busy = new CompletableFuture<>();
        counting = m -> {
            if (m.startLine().contains("/tally/5?")) {
                // Whose calls go by another connection: its answer waits while the loop is busy with this one's.
                busy.join();
                m.answer(StubServer.ok("", "5"));
                second.complete(null);
            } else {
                m.answer(StubServer.ok("", "4"));
            }
        };
        CounterClient slow = loop.submit(() -> new CounterClient(
                        (name, outcome, total) -> {
                            told.add(name + " " + outcome + " " + total);
                            if (name == 4) {
                                busy.complete(null);
                                free.join();
                            }
                        },
                        loop,
                        counting(counter).upstream()))
                .get();
        loop.execute(() -> {
            slow.count(5, 1, LIFE);
            slow.count(4, 1, LIFE);
        });
        second.join();
        for (long at = System.nanoTime(); System.nanoTime() - at < 2_050_000_000L; ) {
            Thread.onSpinWait();
        }
        free.complete(null);
        assertTold("4 OK 4.0");
        assertTold("5 OK 5.0");
    }

    /** A process busy past the time-out between asking and writing took its own lateness for the counter's silence. */
    @Test
    void theTimeOfACallBeginsWhenItIsWritten() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        counting = m -> {
            go.join();
            m.answer(StubServer.ok("", "5"));
        };
        loop.submit(() -> {
                    client.count(4, 1, LIFE);
                    for (long at = System.nanoTime(); System.nanoTime() - at < 2_050_000_000L; ) {
                        Thread.onSpinWait();
                    }
                })
                .get();
        counter.next();
        // Timers that were due have had their turns, also those that look once more.
        for (int i = 0; i < 4; i++) {
            loop.schedule(() -> {}, 1, TimeUnit.NANOSECONDS).get();
        }
        go.complete(null);
        assertTold("4 OK 5.0");
    }
}
