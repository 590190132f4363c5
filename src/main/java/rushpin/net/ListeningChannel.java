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

    ListeningChannel(ServerSocketChannel listening, Acceptor acceptor) {
        super(listening);
        this.acceptor = acceptor;
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
        SocketChannel next = acceptor.accept(listening);
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
