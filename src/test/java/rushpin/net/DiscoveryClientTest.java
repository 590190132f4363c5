package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.membership.Names;

/** A watch that ends, hangs or falls silent, on loopback sockets and by short spans. */
@Timeout(120)
class DiscoveryClientTest {
    private static final Names NAMES = new Names(List.of(), List.of(), List.of(), List.of());
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private record Asked(String first, Socket socket) {
        void say(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Returns once the other side has ended it. */
        void ended() throws IOException {
            try {
                assertEquals(-1, socket.getInputStream().read());
            } catch (java.net.SocketException e) {
                // Reset, because it had bytes to read: ended too.
            }
        }
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Asked> asked = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> heard = new LinkedBlockingQueue<>();
    private volatile Runnable still = () -> {};
    private ServerSocket listening;
    private DiscoveryClient client;
    private final FailingSockets sockets = new FailingSockets();

    @BeforeEach
    void listen() throws IOException {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    socket.setSoTimeout(60_000);
                    BufferedReader in =
                            new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                    String first = in.readLine();
                    for (String line = first; line != null && !line.isEmpty(); ) {
                        line = in.readLine();
                    }
                    asked.add(new Asked(first, socket));
                }
            } catch (IOException e) {
                // The test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void end() throws Exception {
        if (client != null) {
            loop.submit(client::close).get();
        }
        listening.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void watch(long silence, long answer) throws Exception {
        client = new DiscoveryClient(
                (roll, kind) -> {
                    heard.add(roll.revision());
                    if (roll.revision() == 8) {
                        still.run();
                    }
                },
                loop,
                NAMES,
                listening.getLocalSocketAddress(),
                new DiscoveryClient.Spans(silence, answer, 20, 60_000),
                new Bootstrap().group(loop).channelFactory(sockets));
        loop.submit(() -> client.start(5)).get();
    }

    private Asked next(String after) throws Exception {
        Asked next = asked.poll(60, TimeUnit.SECONDS);
        assertNotNull(next, "no further watch");
        assertTrue(next.first.endsWith("after=" + after + " HTTP/1.1"), next.first);
        return next;
    }

    private static String list(int revision) {
        String text = "{\n \"revision\": " + revision + ",\r\n\n \"complete\": false, \"members\": [\n]}\n";
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void assertHeard(long revision) throws InterruptedException {
        assertEquals(revision, heard.poll(60, TimeUnit.SECONDS));
    }

    /** A byte read late by a pause, the span, a second pause, one try in vain and the one that speaks: below 6 s. */
    @Test
    void aSilentWatchIsMadeUpForBeforeItCountsAsTold() {
        DiscoveryClient.Spans spans = DiscoveryClient.Spans.USUAL;
        long pause = 1_000,
                sum = pause + spans.silence() + pause + spans.settling() + spans.answer() + spans.settling();
        assertTrue(sum <= 6_000 - 100, "the new watch may speak only after " + sum + " ms");
        assertTrue(spans.silence() * 9 / 10 >= 2_000 + spans.answer(), "a line every 2 s is no silence");
    }

    /** Held up at each step, by an agent that takes a second: one try is given up, and the one behind it is answered. */
    @Test
    void aSlowAgentIsHeardBeforeItCountsAsTold() {
        DiscoveryClient.Spans spans = DiscoveryClient.Spans.USUAL;
        long hold = 150, agent = 1_000;
        long lookedAt = hold + spans.settling() + hold;
        long answered = hold + hold + agent;
        double silent = hold + DiscoveryClient.MOST_PART * spans.silence() + lookedAt;
        double givenUp = DiscoveryClient.MOST_PART * spans.answer() + lookedAt;
        double sum = silent + givenUp + answered + hold;
        assertTrue(sum <= 6_000 - 100, "heard " + sum + " ms after the last byte came");
        double least = DiscoveryClient.LEAST_PART * 2 * spans.answer() + spans.settling();
        assertTrue(least >= answered, "the second try would be given up too");
        assertEquals(0.9, DiscoveryClient.LEAST_PART, "the other sums count on this");
    }

    @Test
    void aWatchThatFellSilentIsBegunAnewAndItsLateLinesAreNothing() throws Exception {
        watch(300, 60_000);
        Asked old = next("5");
        old.say(HEAD + list(8));
        assertHeard(8);
        Asked fresh = next("8");
        try {
            old.say(list(7) + list(9));
        } catch (IOException e) {
            // It was closed.
        }
        old.ended();
        fresh.say(HEAD + list(10));
        assertHeard(10);
        assertTrue(heard.isEmpty(), heard.toString());
    }

    /** A head is no word. Of two watches an agent may tell only the newer one: kept beside it, the older heard nothing. */
    @Test
    void oneThatNeverSpeaksIsBegunAnewAndThereIsOnlyOne() throws Exception {
        watch(60_000, 500);
        Asked first = next("5");
        first.say(HEAD);
        Asked second = next("5");
        first.ended();
        Asked third = next("5");
        second.ended();
        third.say(HEAD + list(8));
        assertHeard(8);
        third.say(list(9));
        assertHeard(9);
        assertTrue(asked.isEmpty(), "one watch that speaks is enough");
    }

    @Test
    void aPauseOfThisProcessIsNotTheSilenceOfAnother() throws Exception {
        long silence = 400;
        CountDownLatch stands = new CountDownLatch(1);
        still = () -> {
            // The claim is about time that passes between a read and the timers that are due behind it.
            stands.countDown();
            long until = System.nanoTime() + 2 * TimeUnit.MILLISECONDS.toNanos(silence);
            for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
                LockSupport.parkNanos(left);
            }
        };
        watch(silence, 60_000);
        Asked first = next("5");
        first.say(HEAD + list(8));
        stands.await();
        first.say(list(9));
        assertHeard(8);
        assertHeard(9);
        assertTrue(asked.isEmpty(), "begun anew though it had spoken");
    }

    /** With the saved list's revision still the newest there is nothing to wait for. */
    @Test
    void anEmptyFirstLineSaysThatNothingHasChanged() throws Exception {
        watch(60_000, 60_000);
        Asked first = next("5");
        assertFalse(client.isReady());
        first.say(HEAD + "1\r\n\n\r\n" + "1\r\n{\r\n");
        while (!client.isReady()) {
            Thread.onSpinWait();
        }
        assertTrue(heard.isEmpty());
    }

    @Test
    void whatIsNoListEndsTheWatchAndNothingElse() throws Exception {
        watch(60_000, 60_000);
        Asked bad = next("5");
        bad.say(HEAD + list(8) + "2\r\nx\n\r\n" + list(9));
        bad.ended();
        assertHeard(8);
        next("8").say(HEAD + list(10));
        assertHeard(10);
    }

    /** No span is so short that it could help: only the wait behind an end leads to a further try. */
    private void assertTriedAgainUntilItSucceeds() throws Exception {
        int tries = 8;
        // The waits' lower bounds: half of 100 ms, of 200 ms, and of 250 ms from then on.
        long least = TimeUnit.MILLISECONDS.toNanos(50 + 100 + (tries - 3) * 125);
        long begun = System.nanoTime();
        watch(600_000, 600_000);
        while (sockets.sockets.get() < tries) {
            assertTrue(System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(30), "tried no more");
            Thread.onSpinWait();
        }
        assertTrue(System.nanoTime() - begun >= least, "tried in a hot loop");
        sockets.succeed();
        Asked only = next("5");
        only.say(HEAD + list(8));
        assertHeard(8);
        assertTrue(asked.isEmpty(), "one watch is enough");
    }

    @Test
    void aWatchThatHadNoSocketIsTriedAgain() throws Exception {
        sockets.refuseSockets();
        assertTriedAgainUntilItSucceeds();
    }

    @Test
    void aWatchWhoseConnectFailsInTheCallIsTriedAgain() throws Exception {
        sockets.failConnects(new ConnectException("Network is unreachable"));
        assertTriedAgainUntilItSucceeds();
    }

    /** Each look at such a watch closes it; that must not be the last look. */
    @Test
    void aWatchThatHadNoSocketMayBeFoundSilent() throws Exception {
        watch(60_000, 40);
        Asked first = next("5");
        first.say(HEAD);
        sockets.refuseSockets();
        first.ended();
        sockets.succeed();
        next("5").say(HEAD + list(8));
        assertHeard(8);
    }

    @Test
    void aReadThatFailsEndsTheWatchAndItIsOpenedAnew() throws Exception {
        watch(600_000, 600_000);
        Asked broken = next("5");
        broken.say(HEAD + list(8));
        assertHeard(8);
        sockets.failNextRead(new IOException("Connection timed out"));
        broken.say(list(9));
        next("8").say(HEAD + list(10));
        assertHeard(10);
        broken.ended();
    }

    @Test
    void aWatchThatEndsWithinAMessageHasNotToldIt() throws Exception {
        watch(600_000, 600_000);
        Asked cut = next("5");
        String half = list(9);
        cut.say(HEAD + list(8) + half.substring(0, half.length() / 2));
        assertHeard(8);
        cut.socket.close();
        next("8").say(HEAD + list(9));
        assertHeard(9);
    }

    @Test
    void ofSeveralMovesOnlyTheLastOneLeavesAWatch() throws Exception {
        SocketAddress nobody;
        try (ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = gone.getLocalSocketAddress();
        }
        watch(600_000, 600_000);
        Asked left = next("5");
        left.say(HEAD + list(8));
        assertHeard(8);
        loop.submit(() -> client.move(nobody)).get();
        loop.submit(() -> {
                    client.move(listening.getLocalSocketAddress());
                    client.move(nobody);
                    client.move(listening.getLocalSocketAddress());
                })
                .get();
        left.ended();
        // A discovery that has begun anew counts from a lower revision.
        Asked last = next("8");
        last.say(HEAD + list(3));
        assertHeard(3);
        last.say(list(4));
        assertHeard(4);
        assertTrue(asked.isEmpty(), "one watch is enough");
    }
}
