package rushpin.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.SocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import rushpin.gateway.Ports.ListKind;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;
import rushpin.membership.discovery.ServerListStream;

/**
 * Watches discovery's list of app servers, starting from the last revision received, and opens a new watch whenever
 * one ends or becomes silent.
 *
 * <p>Only messages of the current watch are accepted, in their order; whatever arrives on a replaced watch is
 * discarded. A lower revision is accepted: a discovery that has been restarted may count anew.
 *
 * <p>Bounds: one watch at a time. All methods are called on the event loop, unless noted otherwise.
 */
public final class DiscoveryClient {
    /**
     * Timeouts of a watch, in milliseconds. Together they stay below the time after which a node counts as notified of
     * a change that it missed: docs/design/many-nodes.md, "Silence of a watch".
     *
     * @param silence maximum silence of a watch that has sent a byte, and the upper bound of {@code firstAnswer} with
     *     its doublings: discovery sends a line every 2,000 ms at least
     * @param firstAnswer maximum time until a watch sends its first byte, doubled with each watch in a row that sends
     *     none; an agent was seen to take 400 ms for its first answer
     * @param readDelay time to read pending input before a watch is replaced: after a pause of this process timers may
     *     run before reads
     * @param startup maximum wait for a first message at the start, and again from when the first watch was requested
     */
    record Timeouts(long silence, long firstAnswer, long readDelay, long startup) {
        static final Timeouts DEFAULT = new Timeouts(3_060, 750, 20, 250);
    }

    /**
     * Backoff of the first reconnect. Backoffs are short because agents run on the nodes' own machines, and a node
     * counts as notified of the changes that its agent holds.
     */
    private static final long INITIAL_BACKOFF_MS = 100;

    private static final long MAX_BACKOFF_MS = 250;

    private static final long NANOS_PER_MS = 1_000_000L;
    /** Each watch multiplies its timeouts by a random factor: the lower bound. */
    static final double MIN_JITTER_FACTOR = 0.9;
    /** The upper bound of the factor. With a higher one, a slow agent's watch is replaced too late. */
    static final double MAX_JITTER_FACTOR = 0.96;

    /** Receives the server list. */
    public interface Listener {
        /** Receives the complete list or changes to it. */
        void list(ServerListUpdate roll, ListKind kind);

        /**
         * Receives limits that the source of the list sets; 0 means none.
         *
         * @param connectTimeout in nanoseconds
         * @param maxConnections maximum number of connections
         * @param maxRequests maximum number of requests
         */
        default void setLimits(long connectTimeout, int maxConnections, int maxRequests) {
            // Only some sources set limits.
        }

        /** Receives the fraction of requests, 0 to 1, that the source wants to be rejected. */
        default void dropped(double part) {
            // Only some sources set it.
        }
    }

    private final Listener listener;
    private final EventLoop loop;
    private final Names names;
    private final Bootstrap bootstrap;
    private final Timeouts timeouts;
    private final byte[] buffer = new byte[8_192];
    private SocketAddress address;
    /**
     * The current watch, or the last one while none is open. There are never two, since an agent may notify only the
     * newer one.
     */
    private Watch current;
    /** Number of watches in a row that have sent nothing. */
    private int silentWatches;

    private long revision;
    private long backoff = INITIAL_BACKOFF_MS;
    private boolean closed;
    private volatile boolean isReady;

    /** Creates a client that connects when it is started. */
    public DiscoveryClient(Listener listener, EventLoop loop, Upstream config) {
        this(listener, loop, config.names(), config.discovery(), Timeouts.DEFAULT);
    }

    /** As above, with given timeouts. */
    DiscoveryClient(Listener listener, EventLoop loop, Names names, SocketAddress address, Timeouts timeouts) {
        this(listener, loop, names, address, timeouts, Transport.clientBootstrap(loop, address));
    }

    /** As above, with a given bootstrap for its sockets. */
    DiscoveryClient(
            Listener listener,
            EventLoop loop,
            Names names,
            SocketAddress address,
            Timeouts timeouts,
            Bootstrap sockets) {
        this.listener = listener;
        this.loop = loop;
        this.names = names;
        this.address = address;
        this.timeouts = timeouts;
        // A connect that hangs is covered by the timeout of the first answer.
        bootstrap = sockets.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
    }

    /** Starts to watch from a revision; called on the loop, like all other methods. */
    public void start(long known) {
        revision = known;
        current = open();
        checkTimeout();
        long latest = System.nanoTime() + 2 * timeouts.startup * NANOS_PER_MS;
        loop.schedule(() -> awaitFirstList(latest), timeouts.startup, TimeUnit.MILLISECONDS);
    }

    /**
     * Stops waiting for the first list, so that the edge node can serve with the list that it has while discovery is
     * down.
     */
    private void awaitFirstList(long latest) {
        long now = System.nanoTime();
        long until = Math.min(latest, current.requestedAt + timeouts.startup * NANOS_PER_MS);
        if (current.requestedAt != 0 && until - now > 0) {
            // This process was slow and has only just requested the list.
            loop.schedule(() -> awaitFirstList(latest), until - now, TimeUnit.NANOSECONDS);
        } else {
            loop.schedule(() -> isReady = true, timeouts.readDelay, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns whether a first message has arrived or the wait for it is over; any thread. */
    public boolean isReady() {
        return isReady;
    }

    /** Watches at another address. The list is kept; the new watch reports the changes since its revision. */
    public void move(SocketAddress to) {
        if (to == null || to.equals(address) || closed) {
            return;
        }
        address = to;
        backoff = INITIAL_BACKOFF_MS;
        silentWatches = 0;
        Watch old = current;
        current = open();
        closeWatch(old);
    }

    /** Stops watching. */
    public void close() {
        closed = true;
        closeWatch(current);
    }

    private static void closeWatch(Watch old) {
        if (old != null && old.channel != null) {
            old.channel.close();
        }
    }

    private Watch open() {
        Watch made = new Watch();
        Bootstrap connecting = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), made);
            }
        });
        made.channel = Transport.connect(connecting, loop, address, made);
        return made;
    }

    private void ended(Watch watch) {
        watch.finished = true;
        if (closed) {
            return;
        }
        if (watch == current) {
            // Random, since the nodes of a fleet lose their watches together and must not reconnect in step.
            long wait = ThreadLocalRandom.current().nextLong(backoff / 2, backoff + 1);
            loop.schedule(() -> reopen(watch), wait, TimeUnit.MILLISECONDS);
            backoff = Math.min(MAX_BACKOFF_MS, 2 * backoff);
        }
    }

    private void reopen(Watch ended) {
        if (current == ended && !closed) {
            current = open();
        }
    }

    /** Returns when the current watch times out if it stays silent. */
    private long timeoutAt(long now) {
        if (current.finished) {
            return now + timeouts.firstAnswer * NANOS_PER_MS;
        }
        long answer = Math.min(timeouts.silence, timeouts.firstAnswer << Math.min(silentWatches, 16));
        return current.lastReceivedAt + current.withJitter(current.hasReceived ? timeouts.silence : answer);
    }

    private void checkTimeout() {
        if (!closed) {
            long now = System.nanoTime();
            long left = timeoutAt(now) - now;
            if (left > 0) {
                loop.schedule(this::checkTimeout, left, TimeUnit.NANOSECONDS);
            } else {
                // This process may have been paused: pending input is read before the watch is replaced.
                loop.schedule(this::replaceWatch, timeouts.readDelay, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void replaceWatch() {
        long now = System.nanoTime();
        if (!closed && timeoutAt(now) - now <= 0) {
            if (current.hasReceived) {
                System.out.println("discovery: silent for " + (now - current.lastReceivedAt) / NANOS_PER_MS
                        + " ms, opening a new watch");
            } else {
                silentWatches++;
            }
            Watch old = current;
            current = open();
            // The old watch may recover, but it would lack what it missed.
            closeWatch(old);
        }
        checkTimeout();
    }

    /** One watch: a chunked answer of JSON objects, with empty lines while nothing changes. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> implements Transport.ConnectListener {
        private final ServerListStream messages = new ServerListStream(names);
        /** Factor of all timeouts, so that nodes that lost their watches together do not reconnect in step. */
        private final double jitterFactor =
                ThreadLocalRandom.current().nextDouble(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR);
        /** Null if no socket could be created. */
        private Channel channel;
        /** When the watch was opened or last received content. */
        private long lastReceivedAt = System.nanoTime();
        /** When the watch was requested; 0 before that. */
        private long requestedAt;

        private boolean hasReceived;
        /** Whether further input is discarded. */
        private boolean ended;
        /** Whether the connection has ended or could not be established. */
        private boolean finished;

        private long withJitter(long timeoutMs) {
            return (long) (timeoutMs * NANOS_PER_MS * jitterFactor);
        }

        @Override
        public void opened(Channel made) {
            // The channel handler sends the request.
        }

        @Override
        public void failed(Throwable cause) {
            // Handled in ended(), as any other end.
        }

        @Override
        public void ended() {
            DiscoveryClient.this.ended(this);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            requestedAt = System.nanoTime();
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, "/catalog/members?watch=1&after=" + revision);
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) throws Exception {
            // What was already read still arrives after a close: the body of an error must not be taken for a list.
            ended |= closed
                    || this != current
                    || part.decoderResult().isFailure()
                    || part instanceof HttpResponse response
                            && response.status().code() != 200;
            if (ended) {
                context.close();
                return;
            }
            if (part instanceof HttpContent content && content.content().isReadable()) {
                lastReceivedAt = System.nanoTime();
                if (!hasReceived) {
                    // A response head alone does not count: an agent whose discovery is down may send one.
                    hasReceived = true;
                    silentWatches = 0;
                }
                for (ByteBuf bytes = content.content(); bytes.isReadable(); ) {
                    int length = Math.min(buffer.length, bytes.readableBytes());
                    bytes.readBytes(buffer, 0, length);
                    messages.feed(buffer, length, this::accept);
                }
                // The first message holds the changes; an empty line in its place means that there are none.
                isReady |= !messages.isWithin();
            }
            if (part instanceof LastHttpContent) {
                context.close();
            }
        }

        private void accept(ServerListUpdate roll) {
            listener.list(roll, roll.complete() ? ListKind.FULL : ListKind.DELTA);
            revision = roll.revision();
            isReady = true;
            backoff = INITIAL_BACKOFF_MS;
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            messages.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!ended) {
                ErrorLog.report("discovery", cause);
            }
            ended = true;
            context.close();
        }
    }
}
