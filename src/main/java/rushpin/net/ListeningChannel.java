package rushpin.net;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * A listening socket that accepts through an {@link Acceptor} and keeps track of how long connections may have waited
 * in its backlog.
 */
final class ListeningChannel extends NioServerSocketChannel {
    private final Acceptor acceptor;
    private final LoopWatch watch;
    private final boolean isShared;
    /** Whether the last accept may have left connections in the backlog. */
    private boolean mayHoldMore;
    /** The earliest time since which the connection accepted last may have waited. */
    private long waitingSince = EarliestArrival.UNKNOWN;

    private EarliestArrival arrival;
    /**
     * Times of the latest accepts, as many as the backlog is long, as a ring; empty if the length of the backlog is not
     * known.
     */
    private final long[] acceptedAt;

    private long acceptedCount;

    /** For a socket that this process opened; the kernel queues one connection more than {@code backlog}. */
    static ListeningChannel own(ServerSocketChannel listening, Acceptor acceptor, LoopWatch watch, int backlog) {
        return new ListeningChannel(listening, acceptor, watch, false, backlog + 1);
    }

    /** For a socket that another process opened: its backlog may hold connections older than this process. */
    static ListeningChannel shared(ServerSocketChannel listening, Acceptor acceptor, LoopWatch watch) {
        return new ListeningChannel(listening, acceptor, watch, true, 0);
    }

    private ListeningChannel(
            ServerSocketChannel listening, Acceptor acceptor, LoopWatch watch, boolean isShared, int backlogLength) {
        super(listening);
        this.acceptor = acceptor;
        this.watch = watch;
        this.isShared = isShared;
        acceptedAt = new long[backlogLength];
    }

    /** Called once the channel is registered with its loop: the next pass polls it. */
    void registered() {
        arrival = new EarliestArrival(watch, isShared ? EarliestArrival.UNKNOWN : watch.readUntil());
    }

    /**
     * The earliest time since which the connection accepted last may have waited; {@link EarliestArrival#UNKNOWN} if
     * there is no bound.
     */
    long waitingSince() {
        return waitingSince;
    }

    /** Stops accepting: connections that come meanwhile wait in the backlog from now on. */
    void pause() {
        arrival.pause();
        config().setAutoRead(false);
    }

    /** Resumes accepting. */
    void resume() {
        arrival.resume();
        config().setAutoRead(true);
    }

    /**
     * Raises the bound by the length of the backlog: a connection accepted now came after the one accepted a full
     * backlog earlier had left it. Otherwise, while the backlog is never found empty, all would count as old as the
     * first in it.
     */
    private void tightenBound() {
        if (acceptedAt.length == 0) {
            return;
        }
        int index = (int) (acceptedCount % acceptedAt.length);
        if (acceptedCount >= acceptedAt.length) {
            waitingSince = Math.max(waitingSince, acceptedAt[index]);
        }
        acceptedAt[index] = watch.polledAt();
        acceptedCount++;
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

    /** Accepts the next connection, or returns null if there is none; works after the channel was deregistered too. */
    NioSocketChannel next(ServerSocketChannel listening) throws IOException {
        if (!mayHoldMore) {
            waitingSince = arrival.nanoTime();
        }
        SocketChannel next = acceptor.accept(listening);
        mayHoldMore = next != null;
        if (next == null) {
            return null;
        }
        tightenBound();
        try {
            return new NioSocketChannel(this, next);
        } catch (RuntimeException e) {
            next.close();
            throw new IOException("cannot create a channel for the accepted connection", e);
        }
    }
}
