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
    private long waitingSince = Arrival.UNKNOWN;
    private Arrival arrival;

    /** The queue of a socket that {@code isShared} may hold what came before this process was there. */
    ListeningChannel(ServerSocketChannel listening, Acceptor acceptor, LoopWatch watch, boolean isShared) {
        super(listening);
        this.acceptor = acceptor;
        this.watch = watch;
        this.isShared = isShared;
    }

    /** It has been registered with the loop: the next pass polls it. */
    void registered() {
        arrival = new Arrival(watch, isShared ? Arrival.UNKNOWN : watch.readUntil());
    }

    /** After which moment the connection that was accepted last began to wait; {@link Arrival#UNKNOWN} if nobody can tell. */
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
        try {
            return new NioSocketChannel(this, next);
        } catch (RuntimeException e) {
            next.close();
            throw new IOException("a connection can't be used", e);
        }
    }
}
