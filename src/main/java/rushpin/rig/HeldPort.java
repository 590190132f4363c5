package rushpin.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/**
 * A loopback port that stays its owner's while nobody listens at it: bound and never connected, so that the system gives it
 * to nobody else, refuses who connects, and lets a listener that shares addresses bind beside.
 */
final class HeldPort implements AutoCloseable {
    private final SocketChannel holder;
    private final InetSocketAddress address;

    HeldPort() throws IOException {
        holder = SocketChannel.open();
        holder.setOption(StandardSocketOptions.SO_REUSEADDR, true).bind(new InetSocketAddress("127.0.0.1", 0));
        address = (InetSocketAddress) holder.getLocalAddress();
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public void close() {
        try {
            holder.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
