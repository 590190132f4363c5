package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The bound on how long a connection has waited in the backlog of a listening socket. */
class ListeningChannelTest {
    private static final int BACKLOG = 3;

    private final LoopWatch watch = new LoopWatch(0, Runnable::run);
    private final List<SocketChannel> accepted = new ArrayList<>();
    private ServerSocketChannel listening;
    /** The number of connections in the backlog. */
    private int backlog;

    @BeforeEach
    void open() throws Exception {
        listening = ServerSocketChannel.open();
    }

    @AfterEach
    void close() throws Exception {
        for (SocketChannel each : accepted) {
            each.close();
        }
        listening.close();
    }

    private SocketChannel accept() throws IOException {
        if (backlog == 0) {
            return null;
        }
        backlog--;
        accepted.add(SocketChannel.open());
        return accepted.get(accepted.size() - 1);
    }

    private void pass(long at) {
        watch.pollBegins(at);
        watch.socketsRead();
    }

    private ListeningChannel registered(ListeningChannel channel) {
        channel.registered();
        return channel;
    }

    private Acceptor acceptor() {
        return new Acceptor(from -> accept());
    }

    /** Guards against treating requests as new that waited for the process to start. */
    @Test
    void connectionsOfASharedSocketAreOfUnknownAgeUntilItsBacklogWasEmpty() throws Exception {
        ListeningChannel channel = registered(ListeningChannel.shared(listening, acceptor(), watch));
        watch.pollBegins(100);
        backlog = 1;
        channel.next(listening);
        assertEquals(EarliestArrival.UNKNOWN, channel.waitingSince());
        channel.next(listening);
        watch.socketsRead();
        pass(200);
        watch.pollBegins(300);
        backlog = 1;
        channel.next(listening);
        assertEquals(200, channel.waitingSince());
    }

    /** Guards against rejecting every request as too old while the backlog is never empty. */
    @Test
    void theBoundIsNoOlderThanAFullBacklog() throws Exception {
        ListeningChannel channel = registered(ListeningChannel.own(listening, acceptor(), watch, BACKLOG));
        pass(100);
        backlog = 1_000;
        for (int pass = 2; pass < 50; pass++) {
            watch.pollBegins(pass * 100L);
            channel.next(listening);
            assertEquals(Math.max(100, (pass - BACKLOG - 1) * 100L), channel.waitingSince(), "pass " + pass);
            watch.socketsRead();
        }
    }

    @Test
    void connectionsLeftInTheBacklogKeepItsBound() throws Exception {
        ListeningChannel channel = registered(ListeningChannel.shared(listening, acceptor(), watch));
        pass(100);
        pass(200);
        watch.pollBegins(300);
        backlog = 2;
        channel.next(listening);
        watch.socketsRead();
        watch.pollBegins(900);
        channel.next(listening);
        assertEquals(200, channel.waitingSince());
    }
}
