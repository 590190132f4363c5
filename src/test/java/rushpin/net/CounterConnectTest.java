package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.membership.Names;

/** Tests calls to a counter whose connections can't be established or accept no more bytes. */
@Timeout(60)
class CounterConnectTest {
    private static final long LIFE_NANOS = 4_000_000_000L;
    private static final long LONG_NANOS = 30_000_000_000L;
    private static final int TURNS = 20;
    /** A long prefix, so that a few calls fill the smallest buffers. */
    private static final String PREFIX = "p".repeat(200);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private final FailingSockets sockets = new FailingSockets();
    private final Bootstrap bootstrap = new Bootstrap().group(loop).channelFactory(sockets);
    private ServerSocket counter;
    private CounterClient client;

    @BeforeEach
    void listen() throws IOException {
        counter = new ServerSocket();
        counter.setReceiveBufferSize(1);
        counter.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void end() throws Exception {
        loop.submit(client::close).get();
        counter.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void client(long timeout) throws Exception {
        Upstream upstream = new Upstream(
                null,
                counter.getLocalSocketAddress(),
                timeout,
                LONG_NANOS,
                0,
                0,
                new Names(List.of(), List.of(), List.of(), List.of()),
                PREFIX,
                null);
        client = loop.submit(() -> new CounterClient(
                        (name, outcome, total) -> {
                            String where = loop.inEventLoop()
                                    ? ""
                                    : " on " + Thread.currentThread().getName();
                            outcomes.add(name + " " + outcome + where);
                        },
                        loop,
                        upstream,
                        bootstrap))
                .get();
    }

    private void count(long... names) throws Exception {
        loop.submit(() -> {
                    for (long name : names) {
                        client.count(name, 1, LIFE_NANOS);
                    }
                })
                .get();
    }

    private void move(SocketAddress to) throws Exception {
        loop.submit(() -> client.move(to)).get();
    }

    private void assertOutcomes(String... all) throws InterruptedException {
        List<String> actual = new ArrayList<>();
        for (int i = 0; i < all.length; i++) {
            actual.add(outcomes.poll(30, TimeUnit.SECONDS));
        }
        assertEquals(List.of(all), actual);
    }

    private void drain() throws Exception {
        for (int i = 0; i < TURNS; i++) {
            loop.submit(() -> {}).get();
        }
    }

    /** Accepts the next connection and reads one call from it. */
    private static Socket acceptCall(ServerSocket by) throws IOException {
        Socket made = by.accept();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) made.getInputStream().read());
        }
        return made;
    }

    private static void answer(Socket to) throws IOException {
        to.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7".getBytes(StandardCharsets.US_ASCII));
    }

    /** Names 4, 8 and 12 belong to one partition. */
    private void assertFailsOnceAndRecovers() throws Exception {
        client(LONG_NANOS);
        count(4, 8, 12);
        assertOutcomes("4 CONNECT_FAILED", "8 CONNECT_FAILED", "12 CONNECT_FAILED");
        drain();
        assertTrue(outcomes.isEmpty(), "reported again: " + outcomes);
        assertEquals(1, sockets.sockets.get(), "reconnected without a call");
        sockets.succeed();
        count(4);
        answer(acceptCall(counter));
        assertOutcomes("4 OK");
    }

    @Test
    void withoutASocketNothingIsAddedAndTheNextCallReconnects() throws Exception {
        sockets.refuseSockets();
        assertFailsOnceAndRecovers();
    }

    @Test
    void afterAFailedConnectNothingIsAddedAndTheNextCallReconnects() throws Exception {
        sockets.failConnects(new ConnectException("Network is unreachable"));
        assertFailsOnceAndRecovers();
    }

    /**
     * After a move an earlier call of a name may still be in flight on the old connection. The later call must not be
     * reported before it.
     */
    @Test
    void aFailedConnectAfterAMoveKeepsTheOrder() throws Exception {
        client(LONG_NANOS);
        count(4);
        Socket old = acceptCall(counter);
        sockets.failConnects(new ConnectException("Network is unreachable"));
        // In one turn of the loop: a call made after the new connection has failed would rightly open another.
        loop.submit(() -> {
                    client.move(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
                    client.count(4, 1, LIFE_NANOS);
                })
                .get();
        drain();
        assertTrue(outcomes.isEmpty(), "reported before the call in flight: " + outcomes);
        assertEquals(2, sockets.sockets.get(), "reconnected though nothing may be written");
        answer(old);
        assertOutcomes("4 OK", "4 CONNECT_FAILED");
    }

    /**
     * While a call is in flight on the old connection nothing may be written to the new one, so it must not be opened
     * again and again.
     */
    @Test
    void aConnectionClosedAfterAMoveIsNotReopenedInALoop() throws Exception {
        client(LONG_NANOS);
        count(4);
        Socket old = acceptCall(counter);
        try (ServerSocket elsewhere = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            move(elsewhere.getLocalSocketAddress());
            count(4);
            Socket ended = elsewhere.accept();
            ended.shutdownOutput();
            assertEquals(-1, ended.getInputStream().read());
            drain();
            assertEquals(2, sockets.sockets.get());
            answer(old);
            assertOutcomes("4 OK");
            answer(acceptCall(elsewhere));
            assertOutcomes("4 OK");
        }
    }

    @Test
    void theQueueBehindACallOnTheOldConnectionIsBounded() throws Exception {
        client(LONG_NANOS);
        count(0);
        acceptCall(counter);
        sockets.failConnects(new ConnectException("Network is unreachable"));
        move(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        long[] names = LongStream.rangeClosed(1, 300).map(i -> 4 * i).toArray();
        count(names);
        assertOutcomes("0 TIMEOUT");
        for (long name : names) {
            assertOutcomes(name + " CONNECT_FAILED");
        }
    }

    @Test
    void callsQueuedBehindACallOnTheOldConnectionEndAfterItsTimeout() throws Exception {
        client(200_000_000L);
        count(4);
        Socket old = acceptCall(counter);
        sockets.failConnects(new ConnectException("Network is unreachable"));
        move(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        count(4, 8, 12);
        assertOutcomes("4 TIMEOUT", "4 CONNECT_FAILED", "8 CONNECT_FAILED", "12 CONNECT_FAILED");
        while (old.getInputStream().read() >= 0) {
            // Reads the request and then the end: the old connection is closed.
        }
    }

    /**
     * A call that a full buffer has not accepted was not written: the counter never gets all of it, even if it reads
     * on.
     */
    @Test
    void onlyCompletelyWrittenCallsMayHaveBeenAdded() throws Exception {
        bootstrap.option(ChannelOption.SO_SNDBUF, 1);
        client(500_000_000L);
        int calls = 200;
        long[] names = new long[calls];
        for (int i = 0; i < calls; i++) {
            names[i] = 4L * i;
        }
        count(names);
        Socket slow = counter.accept();
        List<String> added = new ArrayList<>();
        List<String> unknown = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            String end = outcomes.poll(30, TimeUnit.SECONDS);
            assertTrue(end != null && end.startsWith(names[i] + " "), "call " + i + " was reported as " + end);
            if (!end.endsWith(" CONNECT_FAILED")) {
                unknown.add(Long.toString(names[i]));
            }
        }
        String read = new String(slow.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        Matcher whole = Pattern.compile("POST /tally/p+(\\d+)\\?[^\r]*\r\n(?:[^\r]+\r\n)*\r\n")
                .matcher(read);
        while (whole.find()) {
            added.add(whole.group(1));
        }
        assertEquals(added, unknown);
        assertTrue(!added.isEmpty() && added.size() < calls, "the buffers took " + added.size() + " of the calls");
    }
}
