package rushpin.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.ByteArrayOutputStream;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import rushpin.gateway.Ports.ListKind;
import rushpin.membership.Names;
import rushpin.membership.Roll;
import rushpin.membership.discovery.RollReader;

/** Watches the list of app servers, from the last revision heard on, and again whenever a watch ends. */
public final class DiscoveryClient {
    /** A line comes every 2 s at least: silence beyond a few of them is a dead connection. */
    private static final int SILENCE_S = 7;
    private static final int CONNECT_MS = 1_000, MOST_LINE = 1 << 20;
    private static final long FIRST_BACKOFF_MS = 100, MOST_BACKOFF_MS = 2_000, PATIENCE_MS = 250;

    /** Hears the list. */
    public interface Listener {
        /** The whole list, or changes to it. */
        void list(Roll roll, ListKind kind);

        /** Bounds that the source of the list gives: nanoseconds to connect, connections, requests; 0 for none. */
        default void bounds(long connectTimeout, int mostConnections, int mostRequests) {
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
    private SocketAddress address;
    private Channel watching;
    private long revision, backoff = FIRST_BACKOFF_MS;
    private volatile boolean heard;

    /** Connects nowhere yet. */
    public DiscoveryClient(Listener node, EventLoop loop, Upstream config) {
        this.node = node;
        this.loop = loop;
        names = config.names();
        address = config.discovery();
        bootstrap = Transport.connecting(loop, config.discovery())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new ReadTimeoutHandler(SILENCE_S), new HttpClientCodec(),
                        new Watch());
                }
            });
    }

    /** Begins to watch from a revision on. */
    public void start(long known) {
        revision = known;
        // A discovery that is down must not keep the edge node from serving by the list it has.
        loop.schedule(() -> heard = true, PATIENCE_MS, TimeUnit.MILLISECONDS);
        watch();
    }

    /** Whether a first message has come, or has been waited for long enough. */
    public boolean heard() {
        return heard;
    }

    /** From now on watches elsewhere. The list is kept: what changed since then is the new watch's to tell. */
    public void move(SocketAddress to) {
        if (to == null || to.equals(address)) {
            return;
        }
        address = to;
        backoff = FIRST_BACKOFF_MS;
        Channel old = watching;
        watch();
        old.close();
    }

    /** Watches no more. */
    public void close() {
        Channel old = watching;
        watching = null;
        if (old != null) {
            old.close();
        }
    }

    private void watch() {
        ChannelFuture connecting = bootstrap.connect(address);
        Channel channel = connecting.channel();
        watching = channel;
        channel.closeFuture().addListener(closed -> {
            if (watching == channel) {
                // Between two watches this stays the last one's channel, so that only a move replaces it.
                // By chance: the nodes of a fleet lose their watches together and must not come back in step.
                long wait = ThreadLocalRandom.current().nextLong(backoff / 2, backoff + 1);
                loop.schedule(() -> again(channel), wait, TimeUnit.MILLISECONDS);
                backoff = Math.min(MOST_BACKOFF_MS, 2 * backoff);
            }
        });
    }

    private void again(Channel ended) {
        if (watching == ended) {
            watch();
        }
    }

    /** One watch: a chunked answer with a JSON object a line. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private boolean ended;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                "/catalog/members?watch=1&after=" + revision);
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) throws Exception {
            // The rest of what was read goes on arriving after a close: the body of an error is no list.
            ended |= context.channel() != watching || part.decoderResult().isFailure()
                || part instanceof HttpResponse response && response.status().code() != 200;
            if (ended) {
                context.close();
                return;
            }
            if (part instanceof HttpContent content) {
                ByteBuf bytes = content.content();
                while (bytes.isReadable()) {
                    int length = bytes.bytesBefore((byte) '\n');
                    bytes.readBytes(line, length < 0 ? bytes.readableBytes() : length);
                    if (line.size() > MOST_LINE) {
                        throw new RollReader.Malformed("discovery's line is too long");
                    }
                    if (length >= 0) {
                        bytes.skipBytes(1);
                        String text = line.toString(StandardCharsets.UTF_8);
                        line.reset();
                        read(text);
                    }
                }
            }
            if (part instanceof LastHttpContent) {
                context.close();
            }
        }

        private void read(String text) throws RollReader.Malformed {
            if (text.isBlank()) {
                return;
            }
            Roll roll = RollReader.read(text, names);
            node.list(roll, roll.complete() ? ListKind.FULL : ListKind.DELTA);
            revision = roll.revision();
            heard = true;
            backoff = FIRST_BACKOFF_MS;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!ended) {
                Trouble.report("discovery", cause);
            }
            ended = true;
            context.close();
        }
    }
}
