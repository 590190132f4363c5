package rushpin.peer;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.List;

/** A listening socket with a bound on connections: one beyond it is closed at once. Its loop has one thread. */
final class Door extends NioServerSocketChannel {
    private final int most;
    private int open;

    Door(int most) {
        this.most = most;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        int read = super.doReadMessages(accepted);
        if (read <= 0) {
            return read;
        }
        Channel one = (Channel) accepted.get(accepted.size() - 1);
        if (open >= most) {
            accepted.remove(accepted.size() - 1);
            one.unsafe().closeForcibly();
            return 0;
        }
        open++;
        one.closeFuture().addListener(ended -> open--);
        return read;
    }
}
