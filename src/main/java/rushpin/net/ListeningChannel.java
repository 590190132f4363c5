package rushpin.net;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listening socket whose connections come by way of an {@link Acceptor}. */
final class ListeningChannel extends NioServerSocketChannel {
    private final Acceptor acceptor;
    private final LoopWatch watch;
    private final boolean isShared;
    /** Whether the last look at the queue left connections in it, and since when at most the first of them has waited. */
    private boolean left;

    private long waitingSince = EarliestArrival.UNKNOWN;
    private EarliestArrival arrival;
    /** When those were accepted that a full queue's length ago were; empty where nobody knows how long the queue is. */
    private final long[] acceptedAt;

    private long accepted;

    /** The queue of a socket of one's own, which holds one more than {@code backlog}. */
    static ListeningChannel own(ServerSocketChannel listening, Acceptor acceptor, LoopWatch watch, int backlog) {
        return new ListeningChannel(listening, acceptor, watch, false, backlog + 1);
    }

    /** The queue of a socket that another process made: it may hold what came before this one was there. */
    static ListeningChannel shared(ServerSocketChannel listening, Acceptor acceptor, LoopWatch watch) {
        return new ListeningChannel(listening, acceptor, watch, true, 0);
    }

    private ListeningChannel(
            ServerSocketChannel listening, Acceptor acceptor, LoopWatch watch, boolean isShared, int longest) {
        super(listening);
        this.acceptor = acceptor;
        this.watch = watch;
        this.isShared = isShared;
        acceptedAt = new long[longest];
    }

    /** It has been registered with the loop: the next pass polls it. */
    void registered() {
        arrival = new EarliestArrival(watch, isShared ? EarliestArrival.UNKNOWN : watch.readUntil());
    }

    /** After which moment the connection that was accepted last began to wait; {@link EarliestArrival#UNKNOWN} if nobody can tell. */
    long waitingSince() {
        return waitingSince;
    }

    /** Nothing is accepted for a while: what comes meanwhile waits from now on. */
    void pause() {
        arrival.pause();
        config().setAutoRead(false);
    }

    /** Goes on accepting. */
    void resume() {
        arrival.resume();
        config().setAutoRead(true);
    }

    /**
     * A queue that is never found empty would count as old as the crowd at it: whoever is accepted now came when the one
     * before it by a full queue had left.
     */
    private void narrow() {
        if (acceptedAt.length == 0) {
            return;
        }
        int place = (int) (accepted % acceptedAt.length);
        if (accepted >= acceptedAt.length) {
            waitingSince = Math.max(waitingSince, acceptedAt[place]);
        }
        acceptedAt[place] = watch.polledAt();
        accepted++;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        NioSocketChannel next = next(javaChannel());
        if (next == null) {
            return 0;
        }
        accepted.add(next);
        return 1;
    }

    /** The next connection of a queue that this channel may not be registered for any more; null if none waits. */
    NioSocketChannel next(ServerSocketChannel listening) throws IOException {
        if (!left) {
            waitingSince = arrival.after();
        }
        SocketChannel next = acceptor.accept(listening);
        left = next != null;
        if (next == null) {
            return null;
        }
        narrow();
        try {
            return new NioSocketChannel(this, next);
        } catch (RuntimeException e) {
            next.close();
            throw new IOException("a connection can't be used", e);
        }
    }
}
