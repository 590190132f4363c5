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

/** Since when a connection may have waited in the queue of a listening socket. */
class ListeningChannelTest {
    private static final int BACKLOG = 3;

    private final LoopWatch watch = new LoopWatch(0, Runnable::run);
    private final List<SocketChannel> accepted = new ArrayList<>();
    private ServerSocketChannel listening;
    /** How many wait. */
    private int waiting;

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
        if (waiting == 0) {
            return null;
        }
        waiting--;
        accepted.add(SocketChannel.open());
        return accepted.get(accepted.size() - 1);
    }

    private void pass(long at) {
        watch.pollBegins(at);
        watch.socketsRead();
    }

    private ListeningChannel registered(ListeningChannel queue) {
        queue.registered();
        return queue;
    }

    private Acceptor acceptor() {
        return new Acceptor(from -> accept());
    }

    /** Guards against requests that waited for a process to start and counted as new. */
    @Test
    void whatWaitsAtASharedSocketIsOfUnknownAgeUntilAPollFindsNobody() throws Exception {
        ListeningChannel queue = registered(ListeningChannel.shared(listening, acceptor(), watch));
        watch.pollBegins(100);
        waiting = 1;
        queue.next(listening);
        assertEquals(EarliestArrival.UNKNOWN, queue.waitingSince());
        queue.next(listening);
        watch.socketsRead();
        pass(200);
        watch.pollBegins(300);
        waiting = 1;
        queue.next(listening);
        assertEquals(200, queue.waitingSince());
    }

    /** Guards against a crowd behind which everybody would be turned away for as long as the queue is never empty. */
    @Test
    void aQueueThatIsNeverEmptyIsNoOlderThanAFullOneTakes() throws Exception {
        ListeningChannel queue = registered(ListeningChannel.own(listening, acceptor(), watch, BACKLOG));
        pass(100);
        waiting = 1_000;
        for (int pass = 2; pass < 50; pass++) {
            watch.pollBegins(pass * 100L);
            queue.next(listening);
            assertEquals(Math.max(100, (pass - BACKLOG - 1) * 100L), queue.waitingSince(), "pass " + pass);
            watch.socketsRead();
        }
    }

    @Test
    void whatIsLeftInTheQueueIsAsOldAsTheFirstLook() throws Exception {
        ListeningChannel queue = registered(ListeningChannel.shared(listening, acceptor(), watch));
        pass(100);
        pass(200);
        watch.pollBegins(300);
        waiting = 2;
        queue.next(listening);
        watch.socketsRead();
        watch.pollBegins(900);
        queue.next(listening);
        assertEquals(200, queue.waitingSince());
    }
}
