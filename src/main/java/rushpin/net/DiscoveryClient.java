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
 * Watches the list of app servers, from the last revision isReady on, and again whenever a watch ends or falls silent.
 * Only the watch that counts is believed, and in its own order: a discovery that has begun anew may count from a lower
 * revision. Whatever comes by one that has been left is nothing.
 *
 * <p>Bounds: one watch at a time. One thread, the loop's.
 */
public final class DiscoveryClient {
    /**
     * How long discovery is waited for, in milliseconds. The sum over them is held below the span after which what was
     * missed counts as told: docs/design/many-nodes.md, "Silence of a watch".
     *
     * @param silence without a byte of a watch that has spoken, and to a first one: a line comes every 2,000 at least
     * @param answer until a watch that has not spoken is begun anew, twice as long with each that has not; an agent was seen
     *     to take 400 to answer the first
     * @param settling to read what waits in the socket: after a pause of this process timers may come before it
     * @param patience for a first message at the start, and once more from when it has been asked for
     */
    record Spans(long silence, long answer, long settling, long patience) {
        static final Spans USUAL = new Spans(3_060, 750, 20, 250);
    }

    /** Agents are on the nodes' own machines, and what they hold counts as told: the way back has to be short. */
    private static final long FIRST_BACKOFF_MS = 100, MOST_BACKOFF_MS = 250;

    private static final long MS = 1_000_000L;
    /** Each watch keeps so much of a span by chance. With more than the most, one slow agent is isReady too late. */
    static final double LEAST_PART = 0.9, MOST_PART = 0.96;

    /** Hears the list. */
    public interface Listener {
        /** The whole list, or changes to it. */
        void list(ServerListUpdate roll, ListKind kind);

        /** Bounds that the source of the list gives: nanoseconds to connect, connections, requests; 0 for none. */
        default void setLimits(long connectTimeout, int mostConnections, int mostRequests) {
            // Only some sources say so.
        }

        /** The part of requests that the source wants to be turned away, 0 to 1. */
        default void dropped(double part) {
            // Only some sources say so.
        }
    }

    private final Listener node;
    private final EventLoop loop;
    private final Names names;
    private final Bootstrap bootstrap;
    private final Spans spans;
    private final byte[] piece = new byte[8_192];
    private SocketAddress address;
    /** The one watch; it stays here between two. Of two an agent may tell only the newer one, so there never are. */
    private Watch watching;
    /** How many in a row have not spoken. */
    private int mute;

    private long revision, backoff = FIRST_BACKOFF_MS;
    private boolean closed;
    private volatile boolean isReady;

    /** Connects nowhere yet. */
    public DiscoveryClient(Listener node, EventLoop loop, Upstream config) {
        this(node, loop, config.names(), config.discovery(), Spans.USUAL);
    }

    /** As above, with spans of one's own. */
    DiscoveryClient(Listener node, EventLoop loop, Names names, SocketAddress address, Spans spans) {
        this(node, loop, names, address, spans, Transport.clientBootstrap(loop, address));
    }

    /** As above, by sockets of one's own. */
    DiscoveryClient(Listener node, EventLoop loop, Names names, SocketAddress address, Spans spans, Bootstrap sockets) {
        this.node = node;
        this.loop = loop;
        this.names = names;
        this.address = address;
        this.spans = spans;
        // A connect that hangs is one more way of being silent, and has no clock of its own.
        bootstrap = sockets.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
    }

    /** Begins to watch from a revision on; called on the loop, as all else here. */
    public void start(long known) {
        revision = known;
        watching = open();
        look();
        long most = System.nanoTime() + 2 * spans.patience * MS;
        loop.schedule(() -> impatient(most), spans.patience, TimeUnit.MILLISECONDS);
    }

    /** A discovery that is down must not keep the edge node from serving by the list it has. */
    private void impatient(long most) {
        long now = System.nanoTime(), until = Math.min(most, watching.asked + spans.patience * MS);
        if (watching.asked != 0 && until - now > 0) {
            // A process that got little of its core has only just asked.
            loop.schedule(() -> impatient(most), until - now, TimeUnit.NANOSECONDS);
        } else {
            loop.schedule(() -> isReady = true, spans.settling, TimeUnit.MILLISECONDS);
        }
    }

    /** Whether a first message has come, or has been waited for long enough. */
    public boolean isReady() {
        return isReady;
    }

    /** From now on watches elsewhere. The list is kept: what changed since then is the new watch's to tell. */
    public void move(SocketAddress to) {
        if (to == null || to.equals(address) || closed) {
            return;
        }
        address = to;
        backoff = FIRST_BACKOFF_MS;
        mute = 0;
        Watch old = watching;
        watching = open();
        leave(old);
    }

    /** Watches no more. */
    public void close() {
        closed = true;
        leave(watching);
    }

    private static void leave(Watch old) {
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

    private void ended(Watch of) {
        of.over = true;
        if (closed) {
            return;
        }
        if (of == watching) {
            // By chance: the nodes of a fleet lose their watches together and must not come back in step.
            long wait = ThreadLocalRandom.current().nextLong(backoff / 2, backoff + 1);
            loop.schedule(() -> again(of), wait, TimeUnit.MILLISECONDS);
            backoff = Math.min(MOST_BACKOFF_MS, 2 * backoff);
        }
    }

    private void again(Watch ended) {
        if (watching == ended && !closed) {
            watching = open();
        }
    }

    /** When something has to be done about what is open, unless it speaks. */
    private long due(long now) {
        if (watching.over) {
            return now + spans.answer * MS;
        }
        long answer = Math.min(spans.silence, spans.answer << Math.min(mute, 16));
        return watching.last + watching.part(watching.spoken ? spans.silence : answer);
    }

    private void look() {
        if (!closed) {
            long now = System.nanoTime(), left = due(now) - now;
            if (left > 0) {
                loop.schedule(this::look, left, TimeUnit.NANOSECONDS);
            } else {
                // It may be this process that stood still: what waits in the sockets is read before this is decided.
                loop.schedule(this::renew, spans.settling, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void renew() {
        long now = System.nanoTime();
        if (!closed && due(now) - now <= 0) {
            if (watching.spoken) {
                System.out.println(
                        "discovery: silent for " + (now - watching.last) / MS + " ms, the watch is begun anew");
            } else {
                mute++;
            }
            Watch old = watching;
            watching = open();
            // It may come to life again, but without what it has missed.
            leave(old);
        }
        look();
    }

    /** One watch: a chunked answer that holds JSON objects, and empty lines while nothing changes. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> implements Transport.ConnectListener {
        private final ServerListStream messages = new ServerListStream(names);
        /** What is kept of each span, so that nodes that were left together do not come back in step. */
        private final double chance = ThreadLocalRandom.current().nextDouble(LEAST_PART, MOST_PART);
        /** Null where no socket could be had. */
        private Channel channel;
        /** When it was begun or last spoke, and when it was asked for; 0 for not yet. */
        private long last = System.nanoTime(), asked;

        private boolean spoken, ended, over;

        private long part(long span) {
            return (long) (span * MS * chance);
        }

        @Override
        public void opened(Channel made) {
            // Its handler asks.
        }

        @Override
        public void failed(Throwable cause) {
            // An outage, which ends in the same way.
        }

        @Override
        public void ended() {
            DiscoveryClient.this.ended(this);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            asked = System.nanoTime();
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, "/catalog/members?watch=1&after=" + revision);
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) throws Exception {
            // The rest of what was read goes on arriving after a close: the body of an error is no list.
            ended |= closed
                    || this != watching
                    || part.decoderResult().isFailure()
                    || part instanceof HttpResponse response
                            && response.status().code() != 200;
            if (ended) {
                context.close();
                return;
            }
            if (part instanceof HttpContent content && content.content().isReadable()) {
                last = System.nanoTime();
                if (!spoken) {
                    // A head alone is no word: an agent whose discovery is down may write one.
                    spoken = true;
                    mute = 0;
                }
                for (ByteBuf bytes = content.content(); bytes.isReadable(); ) {
                    int length = Math.min(piece.length, bytes.readableBytes());
                    bytes.readBytes(piece, 0, length);
                    messages.feed(piece, length, this::take);
                }
                // The first holds what changed: where an empty line comes in its place, nothing has.
                isReady |= !messages.isWithin();
            }
            if (part instanceof LastHttpContent) {
                context.close();
            }
        }

        private void take(ServerListUpdate roll) {
            node.list(roll, roll.complete() ? ListKind.FULL : ListKind.DELTA);
            revision = roll.revision();
            isReady = true;
            backoff = FIRST_BACKOFF_MS;
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
