package rushpin.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import rushpin.rig.Links.Mode;
import rushpin.rig.Links.Way;

/** One link: listens in place of a process and passes on to it, as the link's way says. All on its loop. */
final class Relay {
    /** With so many open it accepts no more: what comes waits in the system's queue, where it is as dumb. */
    private static final int MOST_CONNECTIONS = 512;

    /** What came to a dumb connection is read first, for so long, nanoseconds. */
    private static final long LOOK = 20_000_000L;

    private final EventLoop loop;
    private final HeldPort port = new HeldPort();
    private final ServerBootstrap listen;
    private final Bootstrap connect;
    private final SplittableRandom random;
    private final InetSocketAddress target;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private Way way = Way.THROUGH;
    private Channel listening;
    private boolean closed;
    private long taken;

    /** Listens nowhere yet; {@link #turn} does, at a port that stays its own while nobody is let in. */
    Relay(EventLoop loop, InetSocketAddress target, long seed) throws IOException {
        this.loop = loop;
        this.target = target;
        random = new SplittableRandom(seed);
        listen = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel near) {
                        accepted(near);
                    }
                });
        connect = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    InetSocketAddress address() {
        return port.address();
    }

    /** Bytes that it holds. */
    long held() {
        return connections.stream()
                .mapToLong(each -> each.forth.held() + each.back.held())
                .sum();
    }

    /** Bytes that it has taken so far, from either side. */
    long taken() {
        return taken;
    }

    /** Goes on in another way, for open and for new connections; done when it is in force. */
    Future<Void> turn(Way next) {
        way = next;
        Promise<Void> done = loop.newPromise();
        List<Connection> all = new ArrayList<>(connections);
        if (way.mode() == Mode.REFUSE || way.mode() == Mode.RESET) {
            all.forEach(each -> each.end(way.mode() == Mode.RESET));
        }
        if (way.mode() == Mode.REFUSE) {
            if (listening != null) {
                listening.close();
                listening = null;
            }
            // The system's socket closes with the selector's next turn, and a task that is due later runs after one.
            loop.schedule(() -> done.setSuccess(null), 1, TimeUnit.MILLISECONDS);
            return done;
        }
        all.forEach(Connection::go);
        if (listening == null) {
            open(done);
        } else {
            done.setSuccess(null);
        }
        return done;
    }

    private void open(Promise<Void> done) {
        ChannelFuture binding = listen.bind(port.address());
        listening = binding.channel();
        binding.addListener(bound -> {
            if (bound.isSuccess()) {
                done.setSuccess(null);
            } else {
                done.setFailure(bound.cause());
            }
        });
    }

    private void accepted(Channel near) {
        if (closed || way.mode() == Mode.REFUSE || way.mode() == Mode.RESET) {
            reset(near);
            return;
        }
        Connection made = new Connection(near);
        connections.add(made);
        room();
        made.go();
    }

    private void room() {
        if (listening != null) {
            listening.config().setAutoRead(connections.size() < MOST_CONNECTIONS);
        }
    }

    private static void reset(Channel channel) {
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** Ends all; the port is free again. */
    void close() {
        closed = true;
        if (listening != null) {
            listening.close();
        }
        new ArrayList<>(connections).forEach(each -> each.end(false));
        port.close();
    }

    /** One connection: the side that came and the side that is gone to, with the bytes between. */
    final class Connection {
        private final Channel near;
        private final Lane forth, back;
        private Channel far;
        private boolean asked;
        /** Whether it came while nothing passed: its end may have come since. */
        private boolean dumb;

        private Connection(Channel near) {
            this.near = near;
            forth = new Lane(this, near);
            back = new Lane(this, null);
            near.pipeline().addLast(new Side(forth, back));
            near.closeFuture().addListener(gone -> gone());
        }

        Way way() {
            return way;
        }

        void took(int bytes) {
            taken += bytes;
        }

        /** A direction has come to its end. */
        void done() {
            if (forth.isDone() && back.isDone()) {
                end(false);
            }
        }

        boolean passes(Lane lane) {
            return lane == forth ? way.forth() : way.back();
        }

        long delay() {
            return way.most() == way.least() ? way.least() : random.nextLong(way.least(), way.most());
        }

        EventLoop loop() {
            return loop;
        }

        /** The way was changed, or the connection is new. */
        private void go() {
            if (!asked && way.forth() && way.back()) {
                asked = true;
                long wait = way.mode() == Mode.DELAY ? delay() : dumb ? LOOK : 0;
                if (wait > 0) {
                    loop.schedule(this::reach, wait, TimeUnit.NANOSECONDS);
                } else {
                    reach();
                }
            }
            dumb |= !asked;
            forth.pump();
            back.pump();
        }

        private void reach() {
            if (!near.isOpen()) {
                return;
            }
            if (forth.isOver()) {
                // Who has left meanwhile is nobody to connect for.
                near.close();
                return;
            }
            ChannelFuture reaching =
                    connect.clone().handler(new Side(back, forth)).connect(target);
            far = reaching.channel();
            far.closeFuture().addListener(gone -> gone());
            reaching.addListener(done -> {
                if (done.isSuccess()) {
                    back.from(far);
                    forth.to(far);
                    back.to(near);
                } else {
                    // Nobody listens there: the most that a relay can say of it, since it has taken the connection.
                    reset(near);
                }
            });
        }

        private void end(boolean byReset) {
            if (byReset) {
                reset(near);
                reset(far);
            } else {
                near.close();
                if (far != null) {
                    far.close();
                }
            }
        }

        private void gone() {
            if (!near.isOpen() && (far == null || !far.isOpen())) {
                forth.drop();
                back.drop();
                connections.remove(this);
                room();
            }
        }
    }

    /** A socket's events: what it reads is one lane's, that it takes more is the other's. */
    private static final class Side extends ChannelInboundHandlerAdapter {
        private final Lane out, in;

        Side(Lane out, Lane in) {
            this.out = out;
            this.in = in;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            out.read((ByteBuf) message);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                out.ended(false);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            out.ended(true);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            in.pump();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
