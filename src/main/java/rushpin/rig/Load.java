package rushpin.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.HdrHistogram.Histogram;
import rushpin.judge.Records;

/**
 * Clients of one pool: requests come at random moments at a rate, whether or not the ones before were answered. Times
 * count from the moment a request was due, so a late client hides nothing. All on one loop; the first loop is the
 * clients' own.
 */
final class Load {
    private static final long MS = 1_000_000L, GRACE = 500 * MS, KEY_REUSE = 2_000 * MS;
    /** A node that takes no connection is tried once more after so long. */
    static final int RECONNECT_MS = 20;

    private static final int MOST_RETRIES = 2, MOST_SHOWN = 20;

    /**
     * Who asks for what.
     *
     * @param host the host they name
     * @param path path and query
     * @param orders the part of requests that are orders; the others are lookups
     * @param customers how many customers they are
     * @param patienceMs how long a try is waited for
     * @param connections how many connections they hold at most; a request that finds none is not sent
     * @param retries whether they come again, up to twice, after a refusal or a failure
     */
    record Group(
            String pool,
            String host,
            String path,
            double orders,
            int customers,
            String plan,
            int patienceMs,
            int connections,
            boolean retries) {
        /** Its customers, apart from those of other groups of the plan. */
        String customer(int number) {
            return plan + number;
        }
    }

    /** Where requests go: one node, or a front that deals customers out over many. Called on the clients' loop. */
    interface Nodes {
        /** The node for a customer's request now. */
        InetSocketAddress pick(int customer, SplittableRandom random);

        /** What the request says of its customer's set: how many nodes, and the first of them. */
        String set(int customer);

        /** Whether a node was killed between two moments, so that what it held is its client's to repeat. */
        boolean killed(InetSocketAddress node, long from, long until);
    }

    private record One(InetSocketAddress node) implements Nodes {
        @Override
        public InetSocketAddress pick(int customer, SplittableRandom random) {
            return node;
        }

        @Override
        public String set(int customer) {
            return "spread=1,first=0";
        }

        @Override
        public boolean killed(InetSocketAddress of, long from, long until) {
            return false;
        }
    }

    /** What was seen in a stretch of time. */
    static final class Stretch {
        final Histogram served = new Histogram(60_000_000L, 3), refused = new Histogram(60_000_000L, 3);
        int sent, ok, turnedAway, failed, none, unsent;

        void add(Stretch other) {
            served.add(other.served);
            refused.add(other.refused);
            sent += other.sent;
            ok += other.ok;
            turnedAway += other.turnedAway;
            failed += other.failed;
            none += other.none;
            unsent += other.unsent;
        }
    }

    private final Group group;
    private final EventLoop loop;
    private final Records records;
    private final SplittableRandom random;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, ArrayDeque<Client>> idle = new HashMap<>();
    private final Nodes nodes;
    private Stretch stretch = new Stretch();
    private int connections, serial, open, shown;
    private long due;
    private double rate;
    private Runnable onIdle;
    /** The next request. */
    private Future<?> coming;

    Load(EventLoop loop, Group group, InetSocketAddress node, Records records, long seed) {
        this(loop, group, new One(node), records, seed);
    }

    Load(EventLoop loop, Group group, Nodes nodes, Records records, long seed) {
        this.loop = loop;
        this.group = group;
        this.nodes = nodes;
        this.records = records;
        random = new SplittableRandom(seed);
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2_000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 17), new Client(channel));
                    }
                });
    }

    /** From now on so many requests a second; 0 for none. */
    void rate(double perSecond) {
        loop.execute(() -> {
            boolean stood = rate <= 0;
            rate = perSecond;
            if (rate <= 0 && coming != null) {
                // Two rows of requests would share one moment that is due: one would be asked before it.
                coming.cancel(false);
            }
            if (stood && rate > 0) {
                due = System.nanoTime();
                next();
            }
        });
    }

    private void next() {
        if (rate <= 0) {
            return;
        }
        due += (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
        long wait = due - System.nanoTime();
        coming = loop.schedule(
                () -> {
                    if (rate > 0) {
                        ask(new Ask(due));
                        next();
                    }
                },
                Math.max(0, wait),
                TimeUnit.NANOSECONDS);
    }

    /** Begins a new stretch; returns the one before, whose last answers may still come. */
    Stretch turn() throws Exception {
        return loop.submit(() -> {
                    Stretch before = stretch;
                    stretch = new Stretch();
                    return before;
                })
                .get();
    }

    /** Waits until each request of an ended stretch is answered; then its figures stay as they are. */
    void settleStretch(Stretch of) throws Exception {
        long until = System.nanoTime() + group.patienceMs * MS + 2 * GRACE;
        while (System.nanoTime() < until
                && !loop.submit(() -> of.ok + of.turnedAway + of.failed + of.none == of.sent)
                        .get()) {
            Thread.sleep(5);
        }
    }

    /** Waits until nothing is open; with the rate at 0 nothing is sent after that. */
    void settle() throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            if (open == 0) {
                done.complete(null);
            } else {
                onIdle = () -> done.complete(null);
            }
        });
        try {
            done.get(60, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            // Every try has a time-out of its own: what is missing shows in the figures, as sent and not answered.
            loop.submit(() -> onIdle = null).get();
        }
    }

    private final class Ask {
        final long due;
        final Stretch counts = stretch;
        final boolean order = random.nextDouble() < group.orders;
        final int customer = random.nextInt(group.customers);
        String id, key;
        InetSocketAddress node;
        int tries;
        /** When this try was written first; what is written again has no more time than is left. */
        long firstAt;

        Ask(long due) {
            this.due = due;
        }
    }

    private void ask(Ask ask) {
        ask.id = group.pool + "-" + Long.toHexString(random.nextLong() & 0xffffff) + "-" + serial++;
        ask.key = !ask.order ? null : ask.key == null ? "k-" + ask.id : ask.key;
        ask.firstAt = 0;
        ask.node = nodes.pick(ask.customer, random);
        Client client = idle.computeIfAbsent(ask.node, n -> new ArrayDeque<>()).poll();
        if (client == null && connections >= group.connections) {
            ask.counts.unsent++;
            return;
        }
        ask.counts.sent++;
        open++;
        if (client != null) {
            client.write(ask);
        } else {
            connect(ask, 1);
        }
    }

    private void connect(Ask ask, int again) {
        connections++;
        var connecting = bootstrap.connect(ask.node);
        connecting.channel().closeFuture().addListener(closed -> connections--);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                Client made = connecting.channel().pipeline().get(Client.class);
                made.node = ask.node;
                made.write(ask);
            } else if (again > 0) {
                loop.schedule(() -> connect(ask, again - 1), RECONNECT_MS, TimeUnit.MILLISECONDS);
            } else {
                // Never came to a node: nothing was taken.
                ended(ask, System.nanoTime(), Records.NONE, false, true, 0);
            }
        });
    }

    private void ended(Ask ask, long at, int status, boolean whole, boolean excused, long retryAfter) {
        long now = System.nanoTime();
        if (status == Records.NONE && !excused && shown++ < MOST_SHOWN) {
            // What the judge will call lost: where it was, for whoever looks for the cause.
            System.out.println("no answer: " + ask.id + " at " + ask.node + ", try " + ask.tries);
        }
        records.add(new Records.Exchange(
                group.pool,
                ask.id,
                ask.key,
                ask.order ? "order" : "lookup",
                group.customer(ask.customer),
                group.plan,
                1,
                at,
                group.patienceMs * MS,
                status,
                now,
                whole,
                excused));
        Histogram times = status == 200 ? ask.counts.served : ask.counts.refused;
        if (status != Records.NONE) {
            times.recordValue(Math.min(60_000_000L, (now - ask.due) / 1_000));
        }
        ask.counts.ok += status == 200 ? 1 : 0;
        ask.counts.turnedAway += status == 429 || status == 503 ? 1 : 0;
        ask.counts.none += status == Records.NONE ? 1 : 0;
        ask.counts.failed += status != 200 && status != 429 && status != 503 && status != Records.NONE ? 1 : 0;
        open--;
        // A key is used again only while servers remember it for certain.
        boolean remembered = !ask.order || now - ask.due < KEY_REUSE;
        if (group.retries && status != 200 && remembered && ask.tries++ < MOST_RETRIES) {
            // Where nobody asks any more, nobody comes again: once all is settled nothing more is sent.
            loop.schedule(
                    () -> {
                        if (rate > 0) {
                            ask(ask);
                        }
                    },
                    Math.max(retryAfter, 100 * MS),
                    TimeUnit.NANOSECONDS);
        }
        if (open == 0 && onIdle != null) {
            onIdle.run();
            onIdle = null;
        }
    }

    /** One connection with one request at a time. */
    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel channel;
        private InetSocketAddress node;
        private Ask current;
        private boolean used, resent;
        private long at;
        private Future<?> patience;

        Client(Channel channel) {
            this.channel = channel;
        }

        void write(Ask ask) {
            current = ask;
            at = System.nanoTime();
            ask.firstAt = ask.firstAt == 0 ? at : ask.firstAt;
            long left = Math.max(1, group.patienceMs - (at - ask.firstAt) / MS);
            HttpMethod method = ask.order ? HttpMethod.POST : HttpMethod.GET;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, method, group.path, StandIn.text(ask.order ? "{\"slot\":4}" : ""));
            request.headers()
                    .set("Host", group.host)
                    .set("X-Trace-Id", ask.id)
                    .set("X-Qos", ask.order ? "order" : "lookup")
                    .set("X-Plan", group.plan)
                    .set(
                            "Cookie",
                            String.format("customer=%016x", (group.plan.hashCode() & 0xffffL) << 16 | 1 + ask.customer))
                    .set("X-Expires-In-Ms", left)
                    .set("X-Quota", "units=1," + nodes.set(ask.customer));
            if (ask.tries > 0) {
                request.headers().set("X-Second-Try", "1");
            }
            if (ask.order) {
                request.headers()
                        .set("Idempotency-Key", ask.key)
                        .set("Content-Length", request.content().readableBytes());
            }
            patience = loop.schedule(
                    () -> {
                        channel.close();
                    },
                    left * MS + GRACE,
                    TimeUnit.NANOSECONDS);
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Ask ask = current;
            if (ask == null) {
                channel.close();
                return;
            }
            current = null;
            used = true;
            patience.cancel(false);
            String body = answer.content().toString(StandardCharsets.US_ASCII);
            String after = answer.headers().get("Retry-After");
            boolean keep = HttpUtil.isKeepAlive(answer);
            ended(
                    ask,
                    at,
                    answer.status().code(),
                    body.startsWith(ask.id + " by " + group.pool + "/"),
                    nodes.killed(node, at, System.nanoTime()),
                    after == null ? 0 : (long) (Double.parseDouble(after) * 1e9));
            if (keep && channel.isActive()) {
                idle.get(node).push(this);
            } else {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (node != null) {
                idle.get(node).remove(this);
            }
            Ask ask = current;
            if (ask == null) {
                return;
            }
            current = null;
            patience.cancel(false);
            if (used && !resent && System.nanoTime() - ask.firstAt < group.patienceMs * MS) {
                // The node closed it between requests, and this one crossed that.
                resent = true;
                connect(ask, 1);
            } else {
                ended(ask, at, Records.NONE, false, nodes.killed(node, at, System.nanoTime()), 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
