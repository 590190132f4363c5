package rushpin.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import rushpin.budget.Turns;

/** The listening side: reads clients' requests, turns away what is none, and writes the answers. */
public final class ClientServer {
    private static final int BACKLOG = 512;
    /** How much of one read, and how much that came ahead of its turn, a connection holds. */
    private static final int READ = 8 * 1024, MOST_AHEAD = ServerPool.MOST_BODY;
    /** How much of a body is kept, so that it can be sent again; the rest of a longer one goes through. */
    private static final int MOST_KEPT = 256 * 1024, LEAST_KEPT = 16 * 1024;
    /** How long a connection may stand idle, how often this and each request's {@link RequestReadTimeout} is looked at. */
    private static final long MS = 1_000_000L, IDLE = 2_000 * MS, SWEEP = 250 * MS;
    /** How long a client that is answered early may go on sending what nobody reads. */
    private static final long LINGER = 1_000 * MS;
    /** An answer up to this size has left with its write; a longer one is given so long to be taken before the close. */
    private static final int SENT_AT_ONCE = 8 * 1024;

    private static final long DELIVERED = 1_000 * MS;
    /** A look that comes so late was kept from it by more than a busy loop. */
    private static final long STOOD = 4 * SWEEP;
    /** Loaded with this class: where no descriptor is left a class that stands in a folder can't be. */
    private static final Class<?> TOLD_BY = ErrorLog.class;
    /** How soon accepting is tried again where it failed. */
    private static final long AGAIN = 250 * MS;
    /**
     * What waited for less, nanoseconds, counts as read when it came: a client's leaving binds after twice as long, and
     * servers are told a deadline that is earlier by as much.
     */
    private static final long NEGLIGIBLE_AGE = 50 * MS;
    /** The same at the end, when what waits in the queue is taken: how soon, and how often in all. */
    private static final long TAKE_AGAIN = 5 * MS;

    private static final int MOST_TAKES = 20;
    /** For how long requests are decoded before the loop looks at its sockets again. */
    private static final long SLICE = MS;
    /**
     * On the platform SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more after SIGTERM, of
     * which 0.3 s are left for hearing of it late.
     */
    private static final long DRAIN_TAKES = 400_000_000L, DRAIN_WAITS = 3_000_000_000L;

    private final ServerCallbacks node;
    private final EventLoop loop;
    private final SocketAddress listen;
    private final ByteBudget budget;
    private final BodyStream.Room room;
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final int most, mostKept;
    /** Where several pools share this loop: whose connection is read next; else null, and each is as it comes. */
    private final Turns<Session> turns;

    private final LoopWatch watch;
    private long swept = System.nanoTime();
    private boolean turning;
    /** Connections that ended since the loop's last look at its sockets. */
    private int gone;
    /** When it was last said that a connection could not be taken. */
    private long untaken = System.nanoTime() - 2 * AGAIN;
    /** Accepting has failed, and goes on in a moment. */
    private boolean pausing;

    private Channel listening;
    private final Acceptor acceptor;
    /** The listening socket if it is this process's own, be it beside others' at the same address; else null. */
    private ServerSocketChannel own;

    private boolean draining;
    private long drainingSince;
    private boolean stopped;
    /** The listening socket is let go of: what waits in its queue is yet to be taken. */
    private boolean letting;

    /**
     * Holds its part of {@code sockets} descriptors at most; opens nothing yet.
     *
     * @param byTurns whether the loop's time is dealt out to pools: a request is decoded when its pool's turn comes
     */
    public ClientServer(
            ServerCallbacks node, EventLoop loop, SocketAddress listen, int sockets, ByteBudget budget, boolean byTurns) {
        this(node, loop, listen, sockets, budget, byTurns, ServerSocketChannel::accept);
    }

    /** As above; accepts by way of {@code accepts}. */
    ClientServer(
            ServerCallbacks node,
            EventLoop loop,
            SocketAddress listen,
            int sockets,
            ByteBudget budget,
            boolean byTurns,
            Acceptor.Source accepts) {
        acceptor = new Acceptor(accepts);
        this.node = node;
        this.budget = budget;
        // As much again as requests may hold.
        room = new BodyStream.Room(budget.capacity());
        this.loop = loop;
        this.listen = listen;
        watch = LoopWatch.of(loop);
        turns = byTurns ? new Turns<>() : null;
        most = Descriptors.of(sockets).clients();
        mostKept = Math.max(4, sockets / 6);
        // With a delay: after a stall a fixed rate would catch up with all looks that were missed, one upon the other.
        loop.scheduleWithFixedDelay(this::sweep, SWEEP, SWEEP, TimeUnit.NANOSECONDS);
    }

    private void sweep() {
        // The process stood still: what came meanwhile is not read yet, and the clients were not the slow ones.
        long now = System.nanoTime();
        boolean stood = now - swept > STOOD;
        swept = now;
        if (!stood) {
            endOverdue(now);
        }
    }

    /** Ends what has taken too long at a moment; on the loop. */
    void endOverdue(long now) {
        for (Session session : List.copyOf(sessions)) {
            try {
                session.limit(now);
            } catch (RuntimeException e) {
                // One connection's trouble: the others are to be looked at all the same, now and later.
                session.exceptionCaught(null, e);
            }
        }
    }

    /** Begins to listen. */
    public CompletableFuture<Void> bind() {
        return listen instanceof UnixDomainSocketAddress
                ? told(accepting(Transport.listening(loop, listen).option(ChannelOption.SO_BACKLOG, BACKLOG))
                        .bind(listen))
                : bindOwn(false);
    }

    /** Begins to listen beside other processes at the same address; each has a queue of its own. */
    public CompletableFuture<Void> bindReusePort() {
        return bindOwn(true);
    }

    private CompletableFuture<Void> bindOwn(boolean besideOthers) {
        try {
            own = ServerSocketChannel.open();
            own.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (besideOthers) {
                own.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            own.bind(listen, BACKLOG);
            return acceptFrom(() -> ListeningChannel.own(own, acceptor, watch, BACKLOG));
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Accepts at a socket that listens already, and is others' too: they share one queue. */
    public CompletableFuture<Void> acceptFrom(ServerSocketChannel passed) {
        return acceptFrom(() -> ListeningChannel.shared(passed, acceptor, watch));
    }

    private CompletableFuture<Void> acceptFrom(ChannelFactory<ServerChannel> queue) {
        return told(accepting(new ServerBootstrap()
                        .group(loop)
                        .channelFactory(queue)
                        .childOption(ChannelOption.TCP_NODELAY, true))
                .register());
    }

    private ServerBootstrap accepting(ServerBootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.RECVBUF_ALLOCATOR, new AcceptBatchLimiter(this::places))
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRegistered(ChannelHandlerContext context) {
                        if (context.channel() instanceof ListeningChannel registered) {
                            registered.registered();
                        }
                        context.fireChannelRegistered();
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        pauseAccepting(context.channel());
                        if (System.nanoTime() - untaken > AGAIN) {
                            untaken = System.nanoTime();
                            ErrorLog.report("a new connection is not taken", cause);
                        }
                    }
                })
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 1024, READ))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Session session = new Session(channel);
                        channel.pipeline().addLast(session.decoder, new HttpResponseEncoder(), session);
                    }
                });
    }

    /** Those who wait are tried again when a connection has ended, or soon; the selector would ask at once. */
    private void pauseAccepting(Channel at) {
        stopAcceptingFor(at);
        // One look is enough: with one for each failure, failures would breed looks, and looks failures.
        if (!pausing) {
            pausing = true;
            loop.schedule(
                    () -> {
                        pausing = false;
                        if (!stopped && sessions.size() < most) {
                            goOnAccepting(at);
                        }
                    },
                    AGAIN,
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Who comes from now on waits in the queue, until reading goes on. */
    private static void stopAcceptingFor(Channel at) {
        if (at instanceof ListeningChannel listening) {
            listening.pause();
        } else {
            at.config().setAutoRead(false);
        }
    }

    private static void goOnAccepting(Channel at) {
        if (at instanceof ListeningChannel listening) {
            listening.resume();
        } else {
            at.config().setAutoRead(true);
        }
    }

    /** Since when a connection that was accepted just now may have waited. */
    private long waitingSince(Channel accepted) {
        return accepted.parent() instanceof ListeningChannel listening ? listening.waitingSince() : watch.readUntil();
    }

    /** Of the sockets that have gone since the loop's last look the descriptors are held until its next one. */
    private int places() {
        return most - sessions.size() - gone;
    }

    private CompletableFuture<Void> told(ChannelFuture begun) {
        CompletableFuture<Void> bound = new CompletableFuture<>();
        begun.addListener((ChannelFutureListener) done -> {
            listening = done.channel();
            if (done.isSuccess()) {
                bound.complete(null);
            } else {
                bound.completeExceptionally(done.cause());
            }
        });
        return bound;
    }

    /** Where it listens. */
    public SocketAddress address() {
        return listening.localAddress();
    }

    /** One request of each pool in turn, for one slice of time; then sockets come first again. */
    private void turn() {
        long begun = System.nanoTime(), at = begun;
        for (Session next = turns.next(); next != null; next = turns.next()) {
            next.turn();
            long now = System.nanoTime();
            turns.charge(next.line, now - at);
            at = now;
            if (now - begun > SLICE) {
                break;
            }
        }
        turning = !turns.isEmpty();
        if (turning) {
            // Scheduled, not executed: the loop's tasks would go on among themselves for up to a second.
            loop.schedule(this::turn, 1, TimeUnit.NANOSECONDS);
        }
    }

    /** A pool has ended; its name's place among the turns goes. */
    public void forget(String pool) {
        if (turns != null) {
            turns.forget(pool);
        }
    }

    /** From now on each connection ends with its next answer. */
    public void closeAfterAnswers() {
        draining = true;
        drainingSince = node.now();
    }

    /** What SIGKILL finds unanswered is lost if it came late: it is to be over by then, by whichever answer. */
    private void endBeforeKill(OpenRequest taken) {
        if (draining && turns == null) {
            taken.hurry(taken.deadlineNanos() - (drainingSince + DRAIN_TAKES + Math.min(taken.timeoutNanos(), DRAIN_WAITS)));
        }
    }

    /**
     * The kernel resets what waits in the queue of a socket of one's own when it is closed, though another process
     * listens at the same address: so all of it is taken first. What comes between this and the close, or is in the
     * middle of its handshake, is lost still, and so is what goes beyond {@code places}.
     */
    private void takeWhatWaits(int places) throws IOException {
        for (int taken = 0; taken < places; taken++) {
            NioSocketChannel next = ((ListeningChannel) listening).next(own);
            if (next == null) {
                return;
            }
            listening.pipeline().fireChannelRead(next);
        }
    }

    /** Takes what waits and closes the socket, at the latest when taking has failed so many times more. */
    private void takeAndClose(boolean idleToo, int tries) {
        try {
            // One place less than the bound: at it, a newcomer would end one that waits to be read.
            takeWhatWaits(idleToo ? most - 1 - sessions.size() : BACKLOG + 1);
        } catch (IOException e) {
            if (tries > 1) {
                // Descriptors may be wanting: those of the connections that rest are free after the selector's next
                // pass.
                leave(idleToo);
                loop.schedule(() -> takeAndClose(idleToo, tries - 1), TAKE_AGAIN, TimeUnit.NANOSECONDS);
                return;
            }
            ErrorLog.report("connections that wait are not taken", e);
        }
        closeOwn();
        listening.close();
        letting = false;
        leave(idleToo);
        node.connectionEnded(openConnections());
    }

    /** At once, and not by way of the pipeline: each microsecond counts here. */
    private void closeOwn() {
        try {
            own.close();
        } catch (IOException e) {
            ErrorLog.report("the listening socket", e);
        }
        own = null;
    }

    /**
     * Nobody comes any more: the listening socket goes, and the connections between requests if they are to. One
     * whose request waits unread, or whose answer is on its way out, ends with that answer.
     */
    public void stopAccepting(boolean idleToo) {
        stopped = true;
        if (own == null) {
            listening.close();
            leave(idleToo);
            return;
        }
        // A socket that a selector knows goes on taking connections after its close, until the selector's next pass,
        // and resets them.
        letting = true;
        stopAcceptingFor(listening);
        listening
                .deregister()
                .addListener(let -> loop.schedule(() -> takeAndClose(idleToo, MOST_TAKES), 1, TimeUnit.NANOSECONDS));
    }

    private void leave(boolean idleToo) {
        if (idleToo) {
            for (Session session : List.copyOf(sessions)) {
                session.leave();
            }
        }
    }

    /** How many connections are open, one more while some may wait to be taken; on the loop. */
    public int openConnections() {
        return sessions.size() + (letting ? 1 : 0);
    }

    /**
     * Ends a connection that no request is open on, so that its client can tell it from a loss: one that never
     * brought a whole request, the oldest first, else the one that has been idle longest. Without this, clients
     * that connect and say nothing would hold every place, and nobody else would ever be let in.
     */
    private boolean makeRoom(Session newest) {
        // One that turns out to have spoken is no candidate any more; no more are asked than there are.
        for (int asked = sessions.size(); asked > 0; asked--) {
            Session least = leastWanted(newest);
            if (least == null) {
                return false;
            }
            if (least.asked) {
                least.leave();
            } else {
                least.leaveUnasked();
            }
            if (!least.channel.isOpen()) {
                return true;
            }
        }
        return false;
    }

    private Session leastWanted(Session newest) {
        Session least = null;
        for (Session session : sessions) {
            if (session == newest || session.closing || session.current != null || !session.channel.isOpen()) {
                continue;
            }
            if (!session.asked) {
                if (session.queued) {
                    // What it brought waits for its pool's turn.
                    continue;
                }
                least = session;
                break;
            }
            if (session.rests() && (least == null || session.since - least.since < 0)) {
                least = session;
            }
        }
        return least;
    }

    /**
     * Whether so many connections stand idle that none more is kept after its answer. Clients hold a third of
     * the descriptors at most: where some ask once and keep their connection, the others would find none left
     * long before an idle one's time is up, and nothing of that would be seen here but a calm node. The answer
     * says so, since to end an idle one unasked may cross its client's next request. It covers crowds of such
     * clients; it could hurt where so many usual clients take turns, each of which then connects again.
     */
    private boolean crowded() {
        int idle = 0;
        for (Session session : sessions) {
            idle += session.asked && session.isBetween() && !session.closing ? 1 : 0;
        }
        return idle >= mostKept;
    }

    /** How many connections are open. */
    public int connections() throws Exception {
        return loop.submit(sessions::size).get();
    }

    /** A client's connection: one request at a time; what comes behind it waits undecoded. */
    private final class Session extends SimpleChannelInboundHandler<HttpObject> {
        private final RequestDecoder decoder = new RequestDecoder(this::arrived, this::arrivedAfter, turns != null);
        private final BodyBuffer body = new BodyBuffer(MOST_KEPT);
        private final Channel channel;
        private HttpRequest head;
        private Reply current;
        /** Where the rest of a body goes that is longer than is kept, else null. */
        private BodyStream upload;

        private final RequestReadTimeout pace = new RequestReadTimeout();
        private long length;
        /** {@code begun}: a part of a request has come; {@code asked}: a whole one has, ever. */
        private boolean begun, asked, keepAlive, closing;
        /** When the request that is coming, or else the silence, began. */
        private long since = System.nanoTime();

        private int held;
        /** The pool that its last request went to, whose time its next one takes; whether it waits for that. */
        private String line = "";

        private boolean queued;
        /** How often bytes came, and whether some that were sent are unread, so that its client may have left unseen. */
        private int reads;

        private boolean blind;
        /** Bytes that a turn has left as the beginning of something: no reason for another turn. */
        private int decoded, handled;

        private final EarliestArrival arrival;

        Session(Channel channel) {
            this.channel = channel;
            arrival = new EarliestArrival(watch, waitingSince(channel));
        }

        private long arrivedAfter() {
            return arrival.after();
        }

        /** Goes on reading, or lets what comes wait in the kernel. */
        private void reads(boolean on) {
            if (on) {
                arrival.resume();
            } else {
                arrival.pause();
            }
            channel.config().setAutoRead(on);
        }

        /** How old the request is, at most, whose last byte has just been decoded; 0 for hardly. */
        private long age() {
            long age = EarliestArrival.age(decoder.arrivedAfter());
            return age < NEGLIGIBLE_AGE ? 0 : age;
        }

        boolean isBetween() {
            return current == null && !begun;
        }

        /** No part of a request is here. What waits behind an answer is one, unless its client takes no answers. */
        private boolean rests() {
            return isBetween() && !closing && (decoder.held() == 0 || !channel.isWritable());
        }

        /** Ends between requests. Each is asked just before its own end: those before it took time. */
        private void leave() {
            if (rests()) {
                read();
            }
            if (rests()) {
                end();
            }
        }

        /** Ends one that never brought a whole request, even if a part of one is here. */
        private void leaveUnasked() {
            if (!closing) {
                read();
            }
            if (!asked && !queued && !closing) {
                end();
            }
        }

        /** What came since the loop's last look would be reset by a close, and what is answered is no loss. */
        private void read() {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }

        private void end() {
            closing = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            sessions.add(this);
            if (sessions.size() >= most && !makeRoom(this)) {
                // At the bound on descriptors newcomers wait in the kernel's line until a connection ends.
                // Asked of the channel itself: the first clients are here before the bind is told.
                stopAcceptingFor(channel.parent());
            }
        }

        /** After each read. A client that sends ahead is not read from any more until its turn comes. */
        private void arrived() {
            reads++;
            if (isBetween() && !closing && decoder.held() > 0) {
                begin();
            }
            account();
            queue();
            if ((current != null && upload == null || queued) && decoder.held() > 0 && isFarAhead()) {
                blind |= current != null;
                reads(false);
            } else if (head != null && current == null && !closing && !budget.allows(held)) {
                if (body.size() >= LEAST_KEPT) {
                    handle(true);
                } else {
                    refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for this body");
                }
            }
        }

        private boolean isFarAhead() {
            return decoder.held() > MOST_AHEAD || !budget.allows(decoder.held());
        }

        /**
         * Reads what was sent ahead to its end, if it isn't too much: a client that has left is to be seen before what it
         * sent is forwarded. Nothing is decoded meanwhile.
         */
        private void readAhead() {
            while (channel.isActive() && !isFarAhead()) {
                int before = reads;
                blind = true;
                read();
                if (reads == before) {
                    blind = false;
                    return;
                }
            }
        }

        /** Where loops are shared, what has come waits for its pool's turn. */
        private void queue() {
            if (turns != null
                    && !queued
                    && (current == null || upload != null)
                    && !closing
                    && decoder.held() > decoded) {
                queued = true;
                turns.add(line, this);
                if (!turning) {
                    turning = true;
                    loop.schedule(ClientServer.this::turn, 1, TimeUnit.NANOSECONDS);
                }
            }
        }

        private void turn() {
            queued = false;
            if (current != null && upload == null || closing || !channel.isActive() || !channel.isWritable()) {
                return;
            }
            int before = handled;
            try {
                decoder.takeTurn();
                decoded = handled == before ? decoder.held() : 0;
            } catch (Exception e) {
                exceptionCaught(null, e);
                return;
            }
            if (current == null && !closing) {
                reads(true);
            }
        }

        private void begin() {
            begun = true;
            if (asked) {
                since = System.nanoTime();
            }
            pace.begin(since);
        }

        private void account() {
            int holds = decoder.held() + body.size();
            budget.change(holds - held);
            held = holds;
        }

        /** Ends what takes too long. Never while a request is open: that would lose it. */
        private void limit(long now) {
            if (upload != null && upload.isStuck()) {
                breakOff();
                refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "nobody takes the body");
            } else if (begun && !closing) {
                if (pace.isTooSlow(now)) {
                    // Its last byte has not come, so nothing was taken: no app server has begun either.
                    breakOff();
                    refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the request takes too long to come");
                }
            } else if (current != null) {
                if (current.passage != null && current.passage.isStuck()) {
                    cut(current);
                }
            } else if (now - since > IDLE) {
                if (closing) {
                    // Its client does not take its last answer.
                    channel.close();
                } else {
                    leave();
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (closing) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                refuse(HttpResponseStatus.BAD_REQUEST, "this is no request that can be read");
                return;
            }
            if (part instanceof HttpRequest coming) {
                head = coming;
                begin();
                weigh(coming);
            }
            if (part instanceof HttpContent content && !closing) {
                came(content.content());
            }
            if (part instanceof LastHttpContent && !closing) {
                if (upload == null) {
                    handle(false);
                } else {
                    BodyStream all = upload;
                    upload = null;
                    begun = false;
                    current.bodyReceived(age());
                    all.end(true);
                }
            }
        }

        private void came(ByteBuf bytes) {
            pace.came(bytes.readableBytes(), System.nanoTime());
            if (pace.bytes() > BodyStream.MAX_LENGTH) {
                breakOff();
                refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            } else if (upload != null) {
                upload.push(bytes.retain());
            } else if (!body.add(bytes)) {
                handle(true);
                if (upload != null) {
                    upload.push(bytes.retain());
                }
            }
        }

        /** What still comes of a body that is not kept. */
        private BodyStream uploadTo(EventLoop taking) {
            return new BodyStream(
                    loop,
                    new BodyStream.Source() {
                        @Override
                        public void flow(boolean go) {
                            pace.hold(!go, System.nanoTime());
                            reads(go);
                        }

                        /** What still comes is read and dropped: its client hears the answer sooner than a reset. */
                        @Override
                        public void stopped() {
                            flow(true);
                        }
                    },
                    taking,
                    room);
        }

        /** The client ends, or is ended, before the last byte of its request: there is none to be answered. */
        private void breakOff() {
            BodyStream broken = upload;
            Reply left = current;
            upload = null;
            if (broken != null) {
                // It has left first: the attempt that breaks then must not be answered by way of this connection.
                current = null;
                left.gone();
                broken.end(false);
            }
        }

        /** Turns a body away that is too large by what the head says, before any of it is read. */
        private void weigh(HttpRequest coming) {
            length = HttpUtil.getContentLength(coming, -1L);
            if (length > BodyStream.MAX_LENGTH) {
                refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            } else if (!budget.allows(Math.min(length, LEAST_KEPT))) {
                refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for this body");
            } else if (HttpUtil.is100ContinueExpected(coming)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        /** A request is there, whole, or but for the rest of its body. */
        private void handle(boolean more) {
            handled++;
            HttpRequest whole = head;
            ByteBuf content = body.take();
            head = null;
            begun = more;
            asked = true;
            keepAlive = HttpUtil.isKeepAlive(whole);
            if (whole.uri().equals("/_health")) {
                content.release();
                if (!more) {
                    health(whole.method());
                } else {
                    refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "a call for health has no body");
                }
                return;
            }
            if (blind) {
                content.release();
                refuseUnseen(more);
                return;
            }
            try {
                ServerCallbacks.Destination way = node.route(whole);
                line = way.service().name();
                Reply reply = new Reply(way.service(), whole.protocolVersion().equals(HttpVersion.HTTP_1_1));
                upload = more ? uploadTo(way.service().loop()) : null;
                reply.of = RequestReader.read(whole, content, way, node.now(), reply, upload, length);
                long age = more ? 0 : age();
                reply.of.hurry(Math.min(age, reply.of.timeoutNanos()));
                endBeforeKill(reply.of);
                current = reply;
                if (age == 0) {
                    reply.take();
                } else {
                    // Its client may have left in that time, which shows once its connection is read again.
                    watch.afterNextLook(reply::takeUnlessGone);
                }
            } catch (RequestRejectedException e) {
                content.release();
                refuse(e.status(), e.getMessage());
            }
        }

        private void health(HttpMethod method) {
            if (!method.equals(HttpMethod.GET)) {
                refuse(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET only");
            } else {
                write(
                        node.ready() && !draining ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        Unpooled.EMPTY_BUFFER,
                        0);
            }
        }

        /** Its client is so far ahead that it may have left: what is forwarded could be nobody's. */
        private void refuseUnseen(boolean more) {
            if (more) {
                refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much is sent ahead");
            } else {
                write(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, 0);
            }
        }

        /** Turns away what is no request. Nothing behind it is read: it may be a part of it. */
        private void refuse(HttpResponseStatus status, String why) {
            keepAlive = false;
            head = null;
            body.take().release();
            decoder.stop();
            reads(false);
            write(status, Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8), 0);
        }

        private void write(HttpResponseStatus status, ByteBuf content, long retryAfter) {
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            if (retryAfter > 0) {
                answer.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                BigDecimal.valueOf((retryAfter + MS - 1) / MS, 3)
                                        .toPlainString());
            }
            boolean early = dropUpload();
            closing = early || mustClose();
            if (closing) {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            current = null;
            begun = false;
            since = System.nanoTime();
            if (early) {
                // With its body on the way a close would reset the connection, and the answer with it.
                decoder.stop();
                reads(true);
                channel.writeAndFlush(answer);
                loop.schedule(() -> channel.close(), LINGER, TimeUnit.NANOSECONDS);
                return;
            }
            channel.writeAndFlush(answer)
                    .addListener(
                            !closing
                                    ? ChannelFutureListener.CLOSE_ON_FAILURE
                                    : content.readableBytes() > SENT_AT_ONCE
                                            ? this::closeBehind
                                            : ChannelFutureListener.CLOSE);
            if (!closing) {
                loop.execute(this::next);
            }
        }

        /**
         * Closes the connection behind an answer that the kernel may still be sending: a close over unread bytes would drop
         * the rest of it. The end is said at once, and nothing more is read: what comes now is sent again on another one.
         */
        private void closeBehind(Future<? super Void> written) {
            if (!written.isSuccess() || !(channel instanceof DuplexChannel duplex)) {
                channel.close();
                return;
            }
            reads(false);
            duplex.shutdownOutput();
            loop.schedule(() -> channel.close(), DELIVERED, TimeUnit.NANOSECONDS);
        }

        private boolean mustClose() {
            return !keepAlive || draining || crowded();
        }

        /** An answer goes out while the body still comes: nobody wants the rest. Returns whether it was so. */
        private boolean dropUpload() {
            BodyStream dropped = upload;
            upload = null;
            if (dropped != null) {
                dropped.end(false);
            }
            return dropped != null;
        }

        /** An answer that goes through, piece by piece; the connection is between requests again at its end. */
        private void pass(Reply reply, BodyStream passage, long size) {
            // No app server answers before it has the whole request: nothing of that is on the way any more.
            boolean last = mustClose();
            HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (size >= 0) {
                answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, size);
            } else if (reply.mayChunk) {
                answer.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                reply.untilClosed = true;
                last = true;
            }
            if (last) {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            boolean close = last;
            reply.passage = passage;
            ResponseStallDetector giving = new ResponseStallDetector(reply.of.deadlineNanos(), node.now());
            if (size < 0) {
                reply.watch(giving);
            }
            channel.writeAndFlush(answer);
            passage.attach(new BodyStream.Sink() {
                @Override
                public void piece(ByteBuf piece) {
                    int bytes = piece.readableBytes();
                    giving.gave(bytes, node.now());
                    channel.writeAndFlush(new DefaultHttpContent(piece)).addListener(done -> passage.written(bytes));
                }

                @Override
                public void end(boolean whole) {
                    if (!whole) {
                        reply.passed(false);
                        cut(reply);
                        return;
                    }
                    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(done -> {
                        reply.passed(done.isSuccess());
                        if (current == reply) {
                            current = null;
                            begun = false;
                            since = System.nanoTime();
                            closing = close;
                            if (close || !done.isSuccess()) {
                                closeBehind(done);
                            } else {
                                loop.execute(Session.this::next);
                            }
                        }
                    });
                }
            });
        }

        /** Ends the connection in the middle of an answer; reset where only that tells the client that it is not whole. */
        private void cut(Reply reply) {
            if (reply.untilClosed) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
        }

        /** Goes on to what came meanwhile, unless the client does not even read its answers. */
        private void next() {
            if (current != null || closing || !channel.isActive() || !channel.isWritable()) {
                return;
            }
            reads(true);
            if (decoder.isPaused() && (decoder.held() > 0 || blind)) {
                readAhead();
                if (!channel.isActive()) {
                    return;
                }
            }
            if (turns != null) {
                queue();
                return;
            }
            try {
                decoder.resume();
            } catch (Exception e) {
                exceptionCaught(null, e);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            // Not within the write, or the read, that changed it.
            loop.execute(this::next);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            sessions.remove(this);
            if (gone++ == 0) {
                // Behind the selector's next pass, which lets go of their descriptors.
                loop.schedule(() -> gone = 0, 1, TimeUnit.NANOSECONDS);
            }
            dropUpload();
            body.take().release();
            account();
            if (!stopped) {
                goOnAccepting(channel.parent());
            }
            Reply left = current;
            current = null;
            closing = true;
            if (left != null) {
                left.gone();
            }
            node.connectionEnded(openConnections());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof DecoderException)) {
                ErrorLog.report("a client's connection", cause);
            }
            channel.close();
        }

        /** Writes the one answer of the request in hand, from whichever loop its pool lives on. */
        private final class Reply implements OpenRequest.Responder {
            private final Service service;
            private OpenRequest of;
            /** Whether its pool has it. */
            private boolean taken;
            /** A long answer that goes through, and who hears of its end. */
            private BodyStream passage;

            private Consumer<Boolean> ended;
            private Future<?> watch;
            private final boolean mayChunk;
            /** Its answer's end is told by the connection's alone. */
            private boolean untilClosed;

            Reply(Service service, boolean mayChunk) {
                this.mayChunk = mayChunk;
                this.service = service;
            }

            void takeUnlessGone() {
                if (isOpen()) {
                    take();
                }
            }

            void take() {
                taken = true;
                if (service.loop() == loop) {
                    service.take(of);
                } else {
                    service.loop().execute(() -> service.take(of));
                }
            }

            void bodyReceived(long age) {
                if (service.loop() == loop) {
                    service.bodyReceived(of, age);
                } else {
                    service.loop().execute(() -> service.bodyReceived(of, age));
                }
            }

            /** An answer that stops on its way ends with its client's time. */
            void watch(ResponseStallDetector giving) {
                long left = giving.left(node.now());
                if (left == 0) {
                    cut(this);
                } else if (left > 0) {
                    watch = loop.schedule(() -> watch(giving), left, TimeUnit.NANOSECONDS);
                }
            }

            /** A long answer has ended; said once. */
            void passed(boolean whole) {
                if (watch != null) {
                    watch.cancel(false);
                }
                Consumer<Boolean> hears = ended;
                ended = null;
                if (hears == null) {
                    return;
                }
                if (service.loop() == loop) {
                    hears.accept(whole);
                } else {
                    service.loop().execute(() -> hears.accept(whole));
                }
            }

            void gone() {
                if (!taken) {
                    of.settle();
                    return;
                }
                if (passage != null) {
                    passage.stop();
                    passed(false);
                    return;
                }
                if (service.loop() == loop) {
                    service.clientGone(of);
                } else {
                    service.loop().execute(() -> service.clientGone(of));
                }
            }

            /** An answer that crosses its client's leaving finds nobody. */
            private void on(Runnable answer) {
                if (service.loop() == loop) {
                    answer.run();
                } else {
                    loop.execute(answer);
                }
            }

            private boolean isOpen() {
                return current == this;
            }

            @Override
            public void served(ByteBuf content) {
                ByteBuf kept = content.retain();
                on(() -> {
                    if (isOpen()) {
                        write(HttpResponseStatus.OK, kept, 0);
                    } else {
                        kept.release();
                    }
                });
            }

            @Override
            public void streamed(BodyStream from, long size, Consumer<Boolean> hears) {
                on(() -> {
                    ended = hears;
                    if (isOpen()) {
                        pass(this, from, size);
                    } else {
                        from.stop();
                        passed(false);
                    }
                });
            }

            @Override
            public BodyStream passage(EventLoop sending, BodyStream.Source source) {
                return new BodyStream(sending, source, loop, room);
            }

            @Override
            public void refused(long retryAfter) {
                on(() -> {
                    if (isOpen()) {
                        write(
                                retryAfter > 0
                                        ? HttpResponseStatus.TOO_MANY_REQUESTS
                                        : HttpResponseStatus.SERVICE_UNAVAILABLE,
                                Unpooled.EMPTY_BUFFER,
                                retryAfter);
                    }
                });
            }

            @Override
            public void failed() {
                on(() -> {
                    if (isOpen()) {
                        write(HttpResponseStatus.BAD_GATEWAY, Unpooled.EMPTY_BUFFER, 0);
                    }
                });
            }

            @Override
            public void duplicate() {
                on(() -> {
                    if (isOpen()) {
                        current = null;
                        refuse(HttpResponseStatus.CONFLICT, "a request of this id is open");
                    }
                });
            }
        }
    }
}
