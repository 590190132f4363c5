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

/** Creates sockets whose calls fail on a test's request; other calls go to the operating system. */
final class FailingSockets implements ChannelFactory<Channel> {
    /** Number of calls of {@code socket}. */
    final AtomicInteger sockets = new AtomicInteger();
    /** Number of calls of {@code connect}. */
    final AtomicInteger connects = new AtomicInteger();

    private volatile boolean refusing;
    private volatile IOException connectFailure;
    private volatile IOException finishFailure;
    private final AtomicReference<IOException> nextReadFailure = new AtomicReference<>();

    /** Creating a socket fails, as with {@code EMFILE}, {@code ENFILE} or {@code ENOBUFS}. */
    FailingSockets refuseSockets() {
        refusing = true;
        return this;
    }

    /** The call of {@code connect} fails. */
    FailingSockets failConnects(IOException cause) {
        connectFailure = cause;
        return this;
    }

    /** A connect in progress ends with an error, although the peer accepted it. */
    FailingSockets failFinishing(IOException cause) {
        finishFailure = cause;
        return this;
    }

    /** The next read fails. */
    FailingSockets failNextRead(IOException cause) {
        nextReadFailure.set(cause);
        return this;
    }

    /** All calls go to the operating system again. */
    void succeed() {
        refusing = false;
        connectFailure = null;
        finishFailure = null;
    }

    @Override
    public Channel newChannel() {
        sockets.incrementAndGet();
        if (refusing) {
            // The exception that NioSocketChannel's constructor throws.
            throw new ChannelException("Failed to open a socket.", new SocketException("Too many open files"));
        }
        return new Socket();
    }

    private final class Socket extends NioSocketChannel {
        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            connects.incrementAndGet();
            if (connectFailure != null) {
                // What NioSocketChannel does when the call fails.
                doClose();
                throw connectFailure;
            }
            return super.doConnect(remote, local);
        }

        @Override
        protected void doFinishConnect() throws Exception {
            super.doFinishConnect();
            if (finishFailure != null) {
                throw finishFailure;
            }
        }

        @Override
        protected int doReadBytes(ByteBuf into) throws Exception {
            IOException cause = nextReadFailure.getAndSet(null);
            if (cause != null) {
                throw cause;
            }
            return super.doReadBytes(into);
        }
    }
}
