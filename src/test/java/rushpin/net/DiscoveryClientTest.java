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

/** Tests watches that end, hang or become silent, on loopback sockets and with short timeouts. */
@Timeout(120)
class DiscoveryClientTest {
    private static final Names NAMES = new Names(List.of(), List.of(), List.of(), List.of());
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** A watch as the server sees it: the first line of its request, and its connection. */
    private record WatchRequest(String requestLine, Socket socket) {
        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Returns when the client has closed the connection. */
        void awaitClosed() throws IOException {
            try {
                assertEquals(-1, socket.getInputStream().read());
            } catch (java.net.SocketException e) {
                // A reset, because the client had unread bytes: closed too.
            }
        }
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<WatchRequest> requests = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> revisions = new LinkedBlockingQueue<>();
    private volatile Runnable onRevision8 = () -> {};
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
                    requests.add(new WatchRequest(first, socket));
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
                    revisions.add(roll.revision());
                    if (roll.revision() == 8) {
                        onRevision8.run();
                    }
                },
                loop,
                NAMES,
                listening.getLocalSocketAddress(),
                new DiscoveryClient.Timeouts(silence, answer, 20, 60_000),
                new Bootstrap().group(loop).channelFactory(sockets));
        loop.submit(() -> client.start(5)).get();
    }

    private WatchRequest next(String after) throws Exception {
        WatchRequest next = requests.poll(60, TimeUnit.SECONDS);
        assertNotNull(next, "no further watch");
        assertTrue(next.requestLine.endsWith("after=" + after + " HTTP/1.1"), next.requestLine);
        return next;
    }

    private static String list(int revision) {
        String text = "{\n \"revision\": " + revision + ",\r\n\n \"complete\": false, \"members\": [\n]}\n";
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void assertRevision(long revision) throws InterruptedException {
        assertEquals(revision, revisions.poll(60, TimeUnit.SECONDS));
    }

    /**
     * A byte read late because of a pause, the timeout, a second pause, one failed watch and one that answers take
     * less than 6 s.
     */
    @Test
    void aSilentWatchIsReplacedBeforeTheNodeCountsAsNotified() {
        DiscoveryClient.Timeouts timeouts = DiscoveryClient.Timeouts.DEFAULT;
        long pause = 1_000;
        long sum = pause
                + timeouts.silence()
                + pause
                + timeouts.readDelay()
                + timeouts.firstAnswer()
                + timeouts.readDelay();
        assertTrue(sum <= 6_000 - 100, "the new watch may answer only after " + sum + " ms");
        assertTrue(
                timeouts.silence() * 9 / 10 >= 2_000 + timeouts.firstAnswer(),
                "a line every 2 s must not count as silence");
    }

    /**
     * With a delay at each step and an agent that takes a second, one watch is given up and the next one is answered
     * in time.
     */
    @Test
    void aSlowAgentAnswersBeforeTheNodeCountsAsNotified() {
        DiscoveryClient.Timeouts timeouts = DiscoveryClient.Timeouts.DEFAULT;
        long hold = 150;
        long agent = 1_000;
        long lookedAt = hold + timeouts.readDelay() + hold;
        long answered = hold + hold + agent;
        double silent = hold + DiscoveryClient.MAX_JITTER_FACTOR * timeouts.silence() + lookedAt;
        double givenUp = DiscoveryClient.MAX_JITTER_FACTOR * timeouts.firstAnswer() + lookedAt;
        double sum = silent + givenUp + answered + hold;
        assertTrue(sum <= 6_000 - 100, "notified " + sum + " ms after the last byte");
        double least = DiscoveryClient.MIN_JITTER_FACTOR * 2 * timeouts.firstAnswer() + timeouts.readDelay();
        assertTrue(least >= answered, "the second try would be given up too");
        assertEquals(0.9, DiscoveryClient.MIN_JITTER_FACTOR, "the other sums rely on this");
    }

    @Test
    void aSilentWatchIsReplacedAndItsLateLinesAreDiscarded() throws Exception {
        watch(300, 60_000);
        WatchRequest old = next("5");
        old.send(HEAD + list(8));
        assertRevision(8);
        WatchRequest fresh = next("8");
        try {
            old.send(list(7) + list(9));
        } catch (IOException e) {
            // It was closed.
        }
        old.awaitClosed();
        fresh.send(HEAD + list(10));
        assertRevision(10);
        assertTrue(revisions.isEmpty(), revisions.toString());
    }

    /**
     * A response head does not count as an answer. An agent may notify only the newer of two watches, so an old watch
     * that was kept open would receive nothing.
     */
    @Test
    void aWatchThatNeverAnswersIsReplacedAndClosed() throws Exception {
        watch(60_000, 500);
        WatchRequest first = next("5");
        first.send(HEAD);
        WatchRequest second = next("5");
        first.awaitClosed();
        WatchRequest third = next("5");
        second.awaitClosed();
        third.send(HEAD + list(8));
        assertRevision(8);
        third.send(list(9));
        assertRevision(9);
        assertTrue(requests.isEmpty(), "opened a watch beside one that answers");
    }

    @Test
    void aPauseOfThisProcessDoesNotCountAsSilence() throws Exception {
        long silence = 400;
        CountDownLatch stands = new CountDownLatch(1);
        onRevision8 = () -> {
            // The pause has to lie between a read and the timers that are due after it.
            stands.countDown();
            long until = System.nanoTime() + 2 * TimeUnit.MILLISECONDS.toNanos(silence);
            for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
                LockSupport.parkNanos(left);
            }
        };
        watch(silence, 60_000);
        WatchRequest first = next("5");
        first.send(HEAD + list(8));
        stands.await();
        first.send(list(9));
        assertRevision(8);
        assertRevision(9);
        assertTrue(requests.isEmpty(), "replaced though it had answered");
    }

    /** If the saved list's revision is still the newest, the client has nothing to wait for. */
    @Test
    void anEmptyFirstLineMeansNoChanges() throws Exception {
        watch(60_000, 60_000);
        WatchRequest first = next("5");
        assertFalse(client.isReady());
        first.send(HEAD + "1\r\n\n\r\n" + "1\r\n{\r\n");
        while (!client.isReady()) {
            Thread.onSpinWait();
        }
        assertTrue(revisions.isEmpty());
    }

    @Test
    void anInvalidListEndsOnlyTheWatch() throws Exception {
        watch(60_000, 60_000);
        WatchRequest bad = next("5");
        bad.send(HEAD + list(8) + "2\r\nx\n\r\n" + list(9));
        bad.awaitClosed();
        assertRevision(8);
        next("8").send(HEAD + list(10));
        assertRevision(10);
    }

    /** The timeouts are so long that only the backoff after an end leads to another try. */
    private void assertRetriedUntilItSucceeds() throws Exception {
        int tries = 8;
        // Lower bounds of the backoffs: half of 100 ms, of 200 ms, and of 250 ms from then on.
        long least = TimeUnit.MILLISECONDS.toNanos(50 + 100 + (tries - 3) * 125);
        long begun = System.nanoTime();
        watch(600_000, 600_000);
        while (sockets.sockets.get() < tries) {
            assertTrue(System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(30), "stopped trying");
            Thread.onSpinWait();
        }
        assertTrue(System.nanoTime() - begun >= least, "tried without a backoff");
        sockets.succeed();
        WatchRequest only = next("5");
        only.send(HEAD + list(8));
        assertRevision(8);
        assertTrue(requests.isEmpty(), "opened a second watch");
    }

    @Test
    void aWatchWithoutASocketIsRetried() throws Exception {
        sockets.refuseSockets();
        assertRetriedUntilItSucceeds();
    }

    @Test
    void aWatchWhoseConnectFailsInTheCallIsRetried() throws Exception {
        sockets.failConnects(new ConnectException("Network is unreachable"));
        assertRetriedUntilItSucceeds();
    }

    /** Each timeout check closes a watch without a socket; the checks must go on afterwards. */
    @Test
    void aWatchWithoutASocketMayTimeOut() throws Exception {
        watch(60_000, 40);
        WatchRequest first = next("5");
        first.send(HEAD);
        sockets.refuseSockets();
        first.awaitClosed();
        sockets.succeed();
        next("5").send(HEAD + list(8));
        assertRevision(8);
    }

    @Test
    void aFailedReadEndsTheWatchAndAnotherIsOpened() throws Exception {
        watch(600_000, 600_000);
        WatchRequest broken = next("5");
        broken.send(HEAD + list(8));
        assertRevision(8);
        sockets.failNextRead(new IOException("Connection timed out"));
        broken.send(list(9));
        next("8").send(HEAD + list(10));
        assertRevision(10);
        broken.awaitClosed();
    }

    @Test
    void aMessageCutOffByTheEndOfTheWatchIsDiscarded() throws Exception {
        watch(600_000, 600_000);
        WatchRequest cut = next("5");
        String half = list(9);
        cut.send(HEAD + list(8) + half.substring(0, half.length() / 2));
        assertRevision(8);
        cut.socket.close();
        next("8").send(HEAD + list(9));
        assertRevision(9);
    }

    @Test
    void afterSeveralMovesOnlyTheLastWatchIsOpen() throws Exception {
        SocketAddress nobody;
        try (ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = gone.getLocalSocketAddress();
        }
        watch(600_000, 600_000);
        WatchRequest left = next("5");
        left.send(HEAD + list(8));
        assertRevision(8);
        loop.submit(() -> client.move(nobody)).get();
        loop.submit(() -> {
                    client.move(listening.getLocalSocketAddress());
                    client.move(nobody);
                    client.move(listening.getLocalSocketAddress());
                })
                .get();
        left.awaitClosed();
        // A restarted discovery counts from a lower revision.
        WatchRequest last = next("8");
        last.send(HEAD + list(3));
        assertRevision(3);
        last.send(list(4));
        assertRevision(4);
        assertTrue(requests.isEmpty(), "opened a second watch");
    }
}
