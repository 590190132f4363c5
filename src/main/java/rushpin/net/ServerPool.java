package rushpin.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Request;
import rushpin.gateway.Ports.Server;
import rushpin.membership.Member;
import rushpin.membership.ServerListUpdate;

/** Connections to app servers, one request on each at a time, and the attempts on them with their outcomes. */
public final class ServerPool {
    /** The largest body, in bytes. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    private static final long MS = 1_000_000L, SWEEP = 1_000 * MS;
    /** A second copy or noise may come right behind an answer: for so long nothing new is written there. */
    private static final long REST = 10 * MS;
    /** How often a begun answer is looked at: one of unknown or great length is passed on then. */
    private static final long LOOK = 200 * MS;
    /** A begun answer of which nothing more comes for so long is unusable and will not get better. */
    private static final long SILENCE = 400 * MS;
    /**
     * By so much less than is left, and by no more than this part of it, a server is told to hurry, in milliseconds: the
     * request may have waited in the kernel before it was read, and this process may be held up before it writes.
     */
    private static final long DEADLINE_MARGIN = 50, DEADLINE_PART = 8;
    /** What one read takes at most: it is on the way to a client that may be slow. */
    private static final int READ = 16 * 1024;

    /** Hears how attempts end. */
    public interface Listener {
        /** An attempt ended; {@code body} is an app server's whole 200 answer, and stays the caller's. */
        void attemptEnded(OpenRequest of, Outcome outcome, long took, String server, double units, ByteBuf body);

        /** An attempt has a long answer, which goes through from now on; {@code length} bytes, or -1. */
        void answerStarted(OpenRequest of, long took, String server, double units, BodyStream passage, long length);

        /** For how much longer the client of a request waits, nanoseconds. */
        long remainingNanos(OpenRequest of);

        /** What an attempt has written of a body is gone: there can be no further one. */
        void bodyGone(OpenRequest of);

        /** An attempt was written whole to an app server. */
        default void attemptWritten(OpenRequest of) {
            // Only who reports of it wants to know.
        }

        /** Runs a task, {@code isOver} or not yet written, once what had arrived has been read; see {@link ReadBarrier}. */
        default void runAfterPendingReads(BooleanSupplier isOver, Runnable task) {
            task.run();
        }

        /** Whether something that has arrived has to be read before anything is written. */
        default boolean hasPendingReads() {
            return false;
        }
    }

    /** How many connections the pool may hold and make at a time; called on its loop. */
    public interface Slots {
        /** One connection more; false if there is no room. */
        boolean acquireConnection();

        /** A connection has ended. */
        void releaseConnection();

        /** One more connection begins to be made; false if too many are. */
        boolean acquireConnect();

        /** A connection is made, or could not be. */
        void releaseConnect();

        /** Whether connections are wanted back: none that gets free is kept. */
        boolean mustShrink();
    }

    private final Listener node;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** The same by address: a list of thousands must not cost a look at all for each of them. */
    private final Map<SocketAddress, Endpoint> places = new HashMap<>();

    private int held, most = Integer.MAX_VALUE;
    private long idleLimit;
    private final Slots slots;
    private final double mostUnits;
    private final String host;
    private final Future<?> sweep;
    /** Where the servers take so many connections from all processes together; null where they don't. */
    private GroupGate gate;

    /** Holds as many connections as there are slots. */
    public ServerPool(Listener node, EventLoop loop, Upstream config, Slots slots) {
        this(node, loop, config, slots, Transport.clientBootstrap(loop, config.discovery()));
    }

    /** As above, with sockets of one's own. */
    ServerPool(Listener node, EventLoop loop, Upstream config, Slots slots, Bootstrap connecting) {
        this.node = node;
        this.loop = loop;
        // Well before the app server does: a request written to a connection that it closes ends as a reset.
        idleLimit = config.keepAlive() / 2;
        mostUnits = config.mostUnits();
        this.slots = slots;
        host = config.host();
        bootstrap = connecting
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, config.connectTimeout() / MS))
                .option(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 2_048, READ))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        AnswerDecoder decoder = new AnswerDecoder();
                        channel.pipeline().addLast(decoder, new HttpRequestEncoder(), new Connection(decoder));
                    }
                });
        sweep = loop.scheduleAtFixedRate(this::closeIdle, SWEEP, SWEEP, TimeUnit.NANOSECONDS);
    }

    /** One run of an app server at one address; a restart or a move makes a new one. */
    private final class Endpoint {
        private final Server server;
        private final SocketAddress address;
        private final long startedAt;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        private boolean retired;

        Endpoint(Member member) {
            server = member.server();
            address = member.address();
            startedAt = server.startedAt();
        }

        /** The connection used last, so that the others may close; if it is too fresh, the one that is least so. */
        Connection rested() {
            long due = System.nanoTime() - REST;
            Connection last = idle.peekFirst();
            if (last != null && last.idleSince - due <= 0) {
                return idle.pollFirst();
            }
            Connection first = idle.peekLast();
            return first != null && first.idleSince - due <= 0 ? idle.pollLast() : null;
        }

        void retire() {
            retired = true;
            while (!idle.isEmpty()) {
                close(idle.poll().channel);
            }
        }
    }

    /**
     * Follows the list: connections to what is gone, drains, has moved or has restarted are of no more use.
     * Returns the list as the module should see it. An address belongs to one app server: who started there
     * last has it, and the one before is gone, whether or not discovery has told so yet. Under the old id the
     * new one would be reached unknown, with neither its cold start nor its drain.
     */
    public List<Server> update(ServerListUpdate roll, boolean whole) {
        List<Server> told = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (Member member : roll.members()) {
            Server server = member.server();
            named.add(server.id());
            boolean ready = member.isReady();
            Endpoint holder = ready ? holder(member) : null;
            if (holder != null && holder.startedAt > server.startedAt()) {
                ready = false;
                server = Member.gone(server);
            } else if (holder != null) {
                told.add(Member.gone(holder.server));
                drop(holder);
            }
            told.add(server);
            Endpoint known = endpoints.get(server.id());
            boolean same =
                    known != null && known.address.equals(member.address()) && known.startedAt == server.startedAt();
            if (known != null && (!ready || !same)) {
                drop(known);
            }
            if (ready && !same) {
                Endpoint made = new Endpoint(member);
                endpoints.put(server.id(), made);
                places.put(made.address, made);
            }
        }
        if (whole) {
            List.copyOf(endpoints.values()).stream()
                    .filter(e -> !named.contains(e.server.id()))
                    .forEach(this::drop);
        }
        return told;
    }

    /** From now on connections may take so long to make, nanoseconds, and be so many; 0 for no bound but the slots. */
    public void setLimits(long connectTimeout, int mostConnections) {
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeout / MS));
        most = mostConnections == 0 ? Integer.MAX_VALUE : mostConnections;
    }

    /** The end of the pool: no attempt is out any more. */
    public void close() {
        sweep.cancel(false);
        List.copyOf(endpoints.values()).forEach(this::drop);
    }

    private Endpoint holder(Member of) {
        Endpoint found = places.get(of.address());
        return found == null || found.server.id().equals(of.server().id()) ? null : found;
    }

    private void drop(Endpoint endpoint) {
        endpoint.retire();
        endpoints.remove(endpoint.server.id());
        places.remove(endpoint.address, endpoint);
    }

    /**
     * From now on keeps to a permit at its servers, before the first attempt; {@code halfOpen} nanoseconds after the last
     * word of ours they end a connection, no request is waited for beyond {@code longest} after a lease, and {@code tenants}
     * tells whose a request is.
     */
    public GroupGate joinGroup(long halfOpen, long longest, Function<Request, String> tenants) {
        // With the sweep's step, an idle one is gone before its server would end it.
        idleLimit = Math.min(idleLimit, halfOpen * 3 / 4 - SWEEP);
        gate = new GroupGate(loop, halfOpen, longest, REST, tenants, this::shrink);
        return gate;
    }

    /** Begins an attempt; its outcome is told later, never from within this call. */
    public void send(OpenRequest of, String server, long patience) {
        send(of, server, patience, Long.MAX_VALUE);
    }

    /** As above; nothing of it is written later than {@code startWithin} nanoseconds from now. */
    public void send(OpenRequest of, String server, long patience, long startWithin) {
        Attempt attempt = new Attempt(of, server, patience, startWithin);
        if (gate == null ? !begin(attempt) : !attempt.waits()) {
            loop.execute(() -> attempt.end(Outcome.NOT_SENT, 0, null));
        }
    }

    /** False if there is no connection for it. */
    private boolean begin(Attempt attempt) {
        Endpoint endpoint = endpoints.get(attempt.server);
        Connection ready = endpoint == null ? null : endpoint.rested();
        boolean may = ready != null || endpoint != null && mayConnect(endpoint);
        if (may) {
            attempt.endsAfter(attempt.patience - (System.nanoTime() - attempt.sentAt));
        }
        if (ready != null) {
            ready.write(attempt);
        } else if (may) {
            connect(endpoint, attempt);
        }
        return may;
    }

    /** Takes a connection and a connect, both or neither. */
    private boolean mayConnect(Endpoint to) {
        if (!slots.acquireConnect()) {
            return false;
        }
        // Under a permit what gives way counts until its other side has ended it.
        boolean may = acquireConnection() || gate == null && makeRoom(to) && acquireConnection();
        if (!may) {
            slots.releaseConnect();
        }
        return may;
    }

    private boolean acquireConnection() {
        boolean may = held < most && slots.acquireConnection();
        if (may && gate != null && !gate.acquireConnection()) {
            slots.releaseConnection();
            return false;
        }
        held += may ? 1 : 0;
        return may;
    }

    private void connect(Endpoint endpoint, Attempt attempt) {
        Transport.connect(bootstrap, loop, endpoint.address, new Connecting(endpoint, attempt));
    }

    /** A connect on its way, and the place that it holds until its channel has ended. */
    private final class Connecting implements Transport.ConnectListener {
        private final Endpoint endpoint;
        private final Attempt attempt;
        private Channel opened;
        private Throwable failure;

        Connecting(Endpoint endpoint, Attempt attempt) {
            this.endpoint = endpoint;
            this.attempt = attempt;
        }

        @Override
        public void opened(Channel channel) {
            slots.releaseConnect();
            opened = channel;
            if (endpoint.retired) {
                close(channel);
                attempt.end(Outcome.CONNECT_FAILED, 0, null);
                return;
            }
            Connection made = channel.pipeline().get(Connection.class);
            made.endpoint = endpoint;
            writeOnceRead(made, attempt);
        }

        @Override
        public void failed(Throwable cause) {
            slots.releaseConnect();
            failure = cause;
            attempt.end(Outcome.CONNECT_FAILED, 0, null);
        }

        @Override
        public void ended() {
            held--;
            slots.releaseConnection();
            if (gate != null) {
                // Only here: a connection that is kept would keep its first request.
                attempt.carried();
                gate.ended(opened, failure);
            }
        }
    }

    /** The client's end, or the server's drain, may wait unread behind the news that the connection is up. */
    private void writeOnceRead(Connection made, Attempt attempt) {
        if (!node.hasPendingReads()) {
            made.write(attempt);
            return;
        }
        attempt.on = made;
        made.attempt = attempt;
        node.runAfterPendingReads(() -> attempt.over, () -> writeLater(made, attempt));
    }

    private void writeLater(Connection made, Attempt attempt) {
        if (attempt.over) {
            made.release();
        } else if (made.endpoint.retired) {
            close(made.channel);
            attempt.end(Outcome.CONNECT_FAILED, 0, null);
        } else {
            made.write(attempt);
        }
    }

    /** At the bound on connections another server's longest idle one gives way, or one here that is too fresh. */
    private boolean makeRoom(Endpoint wanted) {
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint != wanted && closeOne(endpoint)) {
                return true;
            }
        }
        return closeOne(wanted);
    }

    private boolean closeOne(Endpoint endpoint) {
        Connection oldest = endpoint.idle.pollLast();
        if (oldest != null) {
            close(oldest.channel);
        }
        return oldest != null;
    }

    private void close(Channel channel) {
        if (gate == null) {
            channel.close();
        } else {
            gate.part(channel);
        }
    }

    private boolean mustShrink() {
        return slots.mustShrink() || gate != null && gate.mustShrink();
    }

    /** Lent connections are wanted back: the idle ones go at once, the others as they get free. */
    public void shrink() {
        for (Endpoint endpoint : endpoints.values()) {
            while (mustShrink() && closeOne(endpoint)) {
                // As many as are wanted, and are idle.
            }
        }
    }

    private void closeIdle() {
        long due = System.nanoTime() - idleLimit;
        for (Endpoint endpoint : endpoints.values()) {
            while (!endpoint.idle.isEmpty() && endpoint.idle.peekLast().idleSince - due < 0) {
                close(endpoint.idle.pollLast().channel);
            }
        }
    }

    /** One sending of a request to an app server; it ends exactly once. */
    private final class Attempt {
        private final OpenRequest of;
        private final String server;
        private final long patience;
        /** For how long after {@code decidedAt} its first byte may be written. */
        private final long startWithin;

        private final long decidedAt = System.nanoTime();
        private long sentAt = decidedAt, begunAt = sentAt;
        private boolean written, over;
        private Connection on;
        private Future<?> expiry;
        /** Under a permit: whether its turn is yet to come, and what carries it then. */
        private boolean waiting;

        private GroupGate.Sending turn;
        private GroupGate.Carrying by;

        Attempt(OpenRequest of, String server, long patience, long startWithin) {
            this.of = of;
            this.server = server;
            this.patience = patience;
            this.startWithin = startWithin;
        }

        /** Whether it may still begin: its client waits, and servers know the key of what may have run before. */
        boolean mayBegin() {
            return !over && !of.isAnswered() && System.nanoTime() - decidedAt < startWithin;
        }

        /** Sends it now or when there is a connection for it; false if there will be none. */
        boolean waits() {
            endsAfter(patience);
            turn = QueuedAttempt.of(ServerPool.this, this);
            waiting = true;
            waiting = gate.send(turn) && by == null;
            return waiting || by != null;
        }

        /** What carried it does so no more. */
        void carried() {
            if (by != null) {
                by.end();
            }
        }

        void endsAfter(long span) {
            if (expiry != null) {
                expiry.cancel(false);
            }
            expiry = loop.schedule(this::expire, span, TimeUnit.NANOSECONDS);
        }

        /** An app server begins a request with its last byte: before that it cannot have run. */
        void broke() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0, null);
        }

        void expire() {
            if (waiting) {
                gate.leave(turn);
                turn.unsent();
                return;
            }
            if (on != null) {
                close(on.channel);
            }
            end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0, null);
        }

        void end(Outcome outcome, double units, ByteBuf body) {
            if (over) {
                return;
            }
            over = true;
            if (expiry != null) {
                expiry.cancel(false);
            }
            if (on != null) {
                on.attempt = null;
            }
            node.attemptEnded(of, outcome, System.nanoTime() - begunAt, server, units, body);
        }

        /** The attempt's end for the module, while its answer goes on. */
        void begun(double units, BodyStream passage, long length) {
            over = true;
            expiry.cancel(false);
            on.attempt = null;
            node.answerStarted(of, System.nanoTime() - begunAt, server, units, passage, length);
        }

        /** The request's last byte was written: the app server begins. */
        void whole(boolean success) {
            written = success;
            if (!success) {
                broke();
                return;
            }
            node.attemptWritten(of);
            if (of.rest() != null) {
                // For how long its body came says nothing of the app server.
                sentAt = System.nanoTime();
                begunAt = sentAt;
            }
        }

        FullHttpRequest message() {
            FullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, of.method, of.uri, of.body().retainedDuplicate());
            address(message, (patience - (System.nanoTime() - sentAt)) / MS);
            if (of.body().isReadable()) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, of.body().readableBytes());
            }
            return message;
        }

        /** The head of a request whose body is longer than is kept. */
        HttpRequest longHead() {
            HttpRequest message = new DefaultHttpRequest(HttpVersion.HTTP_1_1, of.method, of.uri);
            address(message, of.timeoutNanos() / MS);
            if (of.length() < 0) {
                message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, of.length());
            }
            return message;
        }

        private void address(HttpRequest message, long expires) {
            message.headers()
                    .set(HttpHeaderNames.HOST, host == null ? of.host : host)
                    .set("X-Trace-Id", of.request().id())
                    .set("X-Expires-In-Ms", Math.max(1, expires - Math.min(DEADLINE_MARGIN, expires / DEADLINE_PART)));
            if (of.key != null) {
                message.headers().set("Idempotency-Key", of.key);
            }
        }
    }

    /** An attempt in a group's line; only where there is a group. */
    private final class QueuedAttempt implements GroupGate.Sending {
        private final Attempt of;

        private QueuedAttempt(Attempt of) {
            this.of = of;
        }

        /** Made here, and known there by its interface alone: without a group neither is loaded. */
        static GroupGate.Sending of(ServerPool pool, Attempt attempt) {
            return pool.new QueuedAttempt(attempt);
        }

        @Override
        public Request request() {
            return of.of.request();
        }

        @Override
        public long patience() {
            return of.patience;
        }

        @Override
        public boolean begin(GroupGate.Carrying carrying) {
            if (of.of.isAnswered()) {
                // Its client has left meanwhile.
                carrying.end();
                unsent();
                return true;
            }
            of.by = carrying;
            // What it waited for here is no matter of the server's.
            of.begunAt = System.nanoTime();
            boolean may = ServerPool.this.begin(of);
            of.by = may ? carrying : null;
            of.waiting &= !may;
            return may;
        }

        @Override
        public void makeRoom() {
            Endpoint wanted = endpoints.get(of.server);
            if (wanted == null) {
                gate.leave(this);
                unsent();
            } else if (wanted.idle.isEmpty()) {
                // One that rests there yet comes sooner than a new one could.
                ServerPool.this.makeRoom(wanted);
            }
        }

        @Override
        public void unsent() {
            of.waiting = false;
            loop.execute(() -> of.end(Outcome.NOT_SENT, 0, null));
        }
    }

    /** A connection to an app server. */
    private final class Connection extends AnswerHandler implements BodyStream.Source {
        private final AnswerDecoder decoder;
        private Channel channel;
        private Endpoint endpoint;
        private Attempt attempt;
        private GroupGate.Carrying by;
        private boolean reusable;
        private long idleSince;
        private Future<?> unfinished;
        private long readAt, lookedAt;

        Connection(AnswerDecoder decoder) {
            super(MAX_BODY_BYTES, BodyStream.MAX_LENGTH);
            this.decoder = decoder;
        }

        /** Not in channelActive: a connect's listeners hear of it before the handlers do. */
        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void write(Attempt next) {
            by = next.by;
            if (by != null) {
                by.on(channel);
            }
            // A connection may have come up late: what was true when the attempt was decided need not be so any more.
            if (!next.mayBegin()) {
                attempt = null;
                next.on = null;
                release();
                loop.execute(() -> next.end(Outcome.NOT_SENT, 0, null));
                return;
            }
            attempt = next;
            next.on = this;
            if (next.of.rest() != null) {
                writeLong(next);
                return;
            }
            channel.writeAndFlush(next.message()).addListener(done -> wrote(next, done.isSuccess()));
        }

        private void wrote(Attempt of, boolean success) {
            if (!success) {
                close(channel);
            }
            of.whole(success);
        }

        /** What has come of a long body, and then the rest as it comes. */
        private void writeLong(Attempt next) {
            OpenRequest of = next.of;
            channel.write(next.longHead());
            channel.writeAndFlush(new DefaultHttpContent(of.body().retainedDuplicate()));
            of.rest().attach(new BodyStream.Sink() {
                private boolean gone;

                @Override
                public void piece(ByteBuf piece) {
                    int size = piece.readableBytes();
                    if (!gone) {
                        gone = true;
                        node.bodyGone(of);
                    }
                    channel.writeAndFlush(new DefaultHttpContent(piece))
                            .addListener(done -> of.rest().written(size));
                }

                @Override
                public void end(boolean whole) {
                    if (whole) {
                        // From its last byte on its client waits for just so long.
                        if (!next.over) {
                            next.endsAfter(Math.max(0, node.remainingNanos(of)));
                        }
                        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                                .addListener(done -> wrote(next, done.isSuccess()));
                    } else {
                        // The app server never had all of it, so it has not begun.
                        close(channel);
                        next.broke();
                    }
                }
            });
        }

        @Override
        BodyStream begins(HttpResponse answer, long length) {
            if (outcome(answer) != Outcome.OK) {
                return null;
            }
            Attempt of = attempt;
            awaitRest(false);
            BodyStream passage = of.of.openResponseStream(loop, this);
            of.begun(units(answer), passage, length);
            return passage;
        }

        @Override
        void passedOn(HttpResponse answer) {
            channel.config().setAutoRead(true);
            reusable = HttpUtil.isKeepAlive(answer);
            if (!reusable) {
                close(channel);
            }
        }

        @Override
        public void flow(boolean go) {
            channel.config().setAutoRead(go);
        }

        /** The client has gone in the middle: what is left of the answer is nobody's. */
        @Override
        public void stopped() {
            close(channel);
        }

        private void release() {
            if (endpoint.retired || !channel.isActive() || mustShrink()) {
                close(channel);
                return;
            }
            idleSince = System.nanoTime();
            endpoint.idle.push(this);
            carried();
        }

        private void carried() {
            if (by != null) {
                by.end();
                by = null;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            super.channelInactive(context);
            carried();
        }

        @Override
        protected boolean expectsAnswer() {
            return attempt != null && attempt.written;
        }

        @Override
        protected void answered(HttpResponse answer, ByteBuf body) {
            Attempt of = attempt;
            attempt = null;
            of.on = null;
            reusable = HttpUtil.isKeepAlive(answer);
            if (!reusable) {
                close(channel);
            }
            Outcome outcome = outcome(answer);
            of.end(outcome, outcome == Outcome.OK ? units(answer) : 0, body);
        }

        /**
         * Only here, when all that was read has been looked at, is it known whether the connection is clean: what
         * stands behind an answer would be taken for the next request's, which loses that one.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            boolean clean = decoder.isBetween();
            readAt = System.nanoTime();
            if (isPassing()) {
                return;
            }
            if (attempt != null) {
                awaitRest(!clean);
            } else if (!clean) {
                close(channel);
            } else if (reusable) {
                reusable = false;
                awaitRest(false);
                release();
            }
        }

        private void awaitRest(boolean begun) {
            if (begun && unfinished == null) {
                lookedAt = readAt;
                unfinished = loop.scheduleWithFixedDelay(this::look, LOOK, LOOK, TimeUnit.NANOSECONDS);
            } else if (!begun && unfinished != null) {
                unfinished.cancel(false);
                unfinished = null;
            }
        }

        /** What still comes is passed on, if it is of unknown or great length; what does not come is unusable. */
        private void look() {
            boolean moved = readAt != lookedAt;
            lookedAt = readAt;
            if (!(moved && openEarly()) && System.nanoTime() - readAt > SILENCE) {
                unusable();
            }
        }

        private Outcome outcome(HttpResponse answer) {
            int status = answer.status().code();
            if (status == 200) {
                return Outcome.OK;
            }
            boolean neverRan = (status == 503 || status == 504)
                    && "1".equals(answer.headers().get("X-Never-Ran"));
            return neverRan ? Outcome.FULL : Outcome.ERROR;
        }

        /** A figure that cannot be read, or more than a request may count, is as good as none. */
        private double units(HttpResponse answer) {
            double units = NumberParser.parsePositive(answer.headers().get("X-Units-Charged"), mostUnits);
            return Double.isNaN(units) ? 0 : units;
        }

        /** The connection's end, or the end of its use. */
        @Override
        protected void unusable() {
            awaitRest(false);
            if (endpoint != null) {
                endpoint.idle.remove(this);
            }
            // The close comes first: a further attempt must not meet this one on an open connection.
            close(channel);
            if (attempt != null) {
                attempt.broke();
            }
        }
    }
}
