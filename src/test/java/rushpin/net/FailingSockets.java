package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** Sockets whose calls fail as long as a test wants them to; each is asked of the operating system otherwise. */
final class FailingSockets implements ChannelFactory<Channel> {
    /** How often {@code socket} and {@code connect} were called. */
    final AtomicInteger sockets = new AtomicInteger(), connects = new AtomicInteger();

    private volatile boolean refusing;
    private volatile IOException connect, finish;
    private final AtomicReference<IOException> read = new AtomicReference<>();

    /** {@code EMFILE}, {@code ENFILE}, {@code ENOBUFS}. */
    FailingSockets refuseSockets() {
        refusing = true;
        return this;
    }

    /** {@code connect} itself fails. */
    FailingSockets failConnects(IOException cause) {
        connect = cause;
        return this;
    }

    /** A connect in progress ends with an error, though the other side took it. */
    FailingSockets failFinishing(IOException cause) {
        finish = cause;
        return this;
    }

    /** The next read fails. */
    FailingSockets failNextRead(IOException cause) {
        read.set(cause);
        return this;
    }

    /** All calls are let through again. */
    void succeed() {
        refusing = false;
        connect = null;
        finish = null;
    }

    @Override
    public Channel newChannel() {
        sockets.incrementAndGet();
        if (refusing) {
            // As NioSocketChannel's constructor says it.
            throw new ChannelException("Failed to open a socket.", new SocketException("Too many open files"));
        }
        return new Socket();
    }

    private final class Socket extends NioSocketChannel {
        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            connects.incrementAndGet();
            if (connect != null) {
                // As NioSocketChannel does where the call fails.
                doClose();
                throw connect;
            }
            return super.doConnect(remote, local);
        }

        @Override
        protected void doFinishConnect() throws Exception {
            super.doFinishConnect();
            if (finish != null) {
                throw finish;
            }
        }

        @Override
        protected int doReadBytes(ByteBuf into) throws Exception {
            IOException cause = read.getAndSet(null);
            if (cause != null) {
                throw cause;
            }
            return super.doReadBytes(into);
        }
    }
}
