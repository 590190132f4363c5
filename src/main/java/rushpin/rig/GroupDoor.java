package rushpin.rig;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import rushpin.judge.Connections;

/**
 * What the app servers of a group have open together, from their accept to the end at their side: written down before
 * the other side can hear of it. A connection on which nothing comes for a span, its request in hand or not, is ended: its
 * other side may be gone. Each connection's handler is on its server's loop; the records may be added to by all.
 */
final class GroupDoor {
    private final long halfOpen;
    private final Collection<Open> all = new ConcurrentLinkedQueue<>();

    /** {@code halfOpen} in nanoseconds. */
    GroupDoor(long halfOpen) {
        this.halfOpen = halfOpen;
    }

    /** What was open so far; what still is ends as {@link Long#MAX_VALUE}. */
    List<Connections.Open> opens() {
        List<Connections.Open> found = new ArrayList<>();
        all.forEach(each -> found.add(new Connections.Open(each.server, each.from, each.until)));
        return found;
    }

    /** Requests whose connection was ended by its other side, before their time was over. */
    List<Connections.Under> under() {
        List<Connections.Under> found = new ArrayList<>();
        all.forEach(each -> {
            if (each.under != null) {
                found.add(each.under);
            }
        });
        return found;
    }

    /** How many are open now. */
    int open() {
        return (int) all.stream().filter(each -> each.until == Long.MAX_VALUE).count();
    }

    /** What goes before a server's own handler. */
    ChannelDuplexHandler on(String server) {
        return new Open(server);
    }

    private final class Open extends ChannelDuplexHandler {
        private final String server;
        private volatile long from, until = Long.MAX_VALUE;
        private volatile Connections.Under under;
        private long heardAt;
        private Future<?> look;
        /** The request in hand, null for none, and until when its sender waits. */
        private String request;

        private long due;

        Open(String server) {
            this.server = server;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
            from = System.nanoTime();
            heardAt = from;
            all.add(this);
            look(context);
        }

        private void look(ChannelHandlerContext context) {
            long left = heardAt + halfOpen - System.nanoTime();
            if (left <= 0) {
                context.channel().close();
            } else if (until == Long.MAX_VALUE) {
                look = context.executor().schedule(() -> look(context), left, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            heardAt = System.nanoTime();
            if (message instanceof HttpRequest head) {
                request = head.headers().get("X-Trace-Id");
                String waits = head.headers().get("X-Expires-In-Ms");
                due = heardAt + TimeUnit.MILLISECONDS.toNanos(waits == null ? 0 : Long.parseLong(waits));
            }
            super.channelRead(context, message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
            if (message instanceof HttpResponse) {
                request = null;
            }
            super.write(context, message, promise);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
            if (event instanceof ChannelInputShutdownEvent) {
                leftBy();
                context.channel().close();
            }
            super.userEventTriggered(context, event);
        }

        /** The other side has ended it. */
        private void leftBy() {
            if (request != null && until == Long.MAX_VALUE) {
                under = new Connections.Under(server, request, System.nanoTime(), due);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            leftBy();
            context.channel().close();
        }

        @Override
        public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
            ended();
            super.close(context, promise);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) throws Exception {
            ended();
            super.channelInactive(context);
        }

        private void ended() {
            if (until == Long.MAX_VALUE) {
                until = System.nanoTime();
                look.cancel(false);
            }
        }
    }
}
