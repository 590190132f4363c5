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
import io.netty.channel.RecvByteBufAllocator;
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
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import rushpin.budget.FairQueue;
import rushpin.gateway.Ports.RequestClass;

/**
 * HTTP server for clients: reads requests, rejects malformed ones, hands the others to their pool and writes the
 * responses.
 */
public final class ClientServer {
    private static final int BACKLOG = 512;
    /** Maximum size of one read. */
    private static final int READ_BUFFER_BYTES = 8 * 1024;
    /** How many bytes of pipelined requests a connection may hold undecoded. */
    private static final int MAX_PIPELINED_BYTES = ServerPool.MAX_BODY_BYTES;
    /** How much of a body is buffered, so that it can be sent again; the rest of a longer body is streamed. */
    private static final int MAX_BUFFERED_BODY = 256 * 1024;
    /** How much of a body is buffered before it may be streamed where the budget has no room for more. */
    private static final int MIN_BUFFERED_BODY = 16 * 1024;

    private static final long MS = 1_000_000L;
    /** How long a connection may be idle. */
    private static final long IDLE_TIMEOUT_NANOS = 2_000 * MS;
    /** How often the idle timeout and each request's {@link RequestReadTimeout} are checked. */
    private static final long SWEEP_INTERVAL_NANOS = 250 * MS;
    /** Bytes that the kernel may hold of what a client has written: its largest send and receive buffers together. */
    private static final long MAX_KERNEL_BYTES = 10L << 20;
    /** How long the rest of a body is read and dropped after an early response, before the connection is closed. */
    private static final long LINGER_NANOS = 1_000 * MS;
    /** Responses up to this size are taken to be sent once written; after a longer one the close is delayed. */
    private static final int SMALL_RESPONSE_BYTES = 8 * 1024;
    /** How long a client may take to read the rest of a longer response before the connection is closed. */
    private static final long DELIVERY_TIMEOUT_NANOS = 1_000 * MS;
    /** A sweep that is late by this much means that the process was stalled, not just that the loop was busy. */
    private static final long STALL_NANOS = 4 * SWEEP_INTERVAL_NANOS;
    /** Loads the class together with this one: without a free descriptor no class can be read from a directory. */
    private static final Class<?> PRELOADED_ERROR_LOG = ErrorLog.class;
    /** Delay before accepting is retried after a failure. */
    private static final long ACCEPT_RETRY_NANOS = 250 * MS;
    /**
     * A request that has waited for less counts as new. A client's disconnect has to be respected after twice this
     * time, and servers are sent a deadline that is earlier by this time.
     */
    private static final long NEGLIGIBLE_AGE_NANOS = 50 * MS;
    /** Delay between attempts to accept the backlog before the listening socket is closed. */
    private static final long BACKLOG_RETRY_NANOS = 5 * MS;
    /** Number of these attempts. */
    private static final int MAX_BACKLOG_ATTEMPTS = 20;
    /** How long requests are decoded before the loop polls its sockets again. */
    private static final long TURN_SLICE_NANOS = MS;
    /**
     * Time beyond the longest deadline in which a drain must answer its requests. On the platform SIGKILL follows
     * SIGTERM no sooner than the longest deadline (at most 3 s) plus 0.7 s, of which 0.3 s are kept for receiving
     * SIGTERM late.
     */
    private static final long DRAIN_MARGIN_NANOS = 400_000_000L;
    /** The longest deadline that a drain waits for. */
    private static final long MAX_DRAIN_DEADLINE_NANOS = 3_000_000_000L;

    private final ServerCallbacks node;
    private final EventLoop loop;
    private final SocketAddress listen;
    private final ByteBudget budget;
    private final BodyStream.BufferBudget streamBudget;
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final int maxClients;
    /** Connections that may be idle before responses close theirs. */
    private final int maxIdle;
    /**
     * With several pools on this loop, decides whose connection is decoded next; otherwise null, and each is decoded
     * when read.
     */
    private final FairQueue<Session> turns;

    private final LoopWatch watch;
    private long lastSweepAt = System.nanoTime();
    private boolean turnScheduled;
    /** Connections that were closed since the loop's last select. */
    private int closedSinceSelect;
    /** When a failed accept was last logged. */
    private long acceptFailureLoggedAt = System.nanoTime() - 2 * ACCEPT_RETRY_NANOS;
    /** Whether a retry of a failed accept is scheduled. */
    private boolean acceptRetryScheduled;

    private Channel listeningChannel;
    private final Acceptor acceptor;
    private final EventLog events = new EventLog(System.out::println);
    /** The listening socket if this process opened it, alone or with SO_REUSEPORT; otherwise null. */
    private ServerSocketChannel ownSocket;

    private boolean draining;
    private long drainStartedAt;
    private boolean acceptingStopped;
    /** Whether the listening socket is being deregistered and its backlog is still to be accepted. */
    private boolean acceptingBacklog;

    /**
     * Creates a server that opens nothing yet and holds at most its share of {@code sockets} descriptors.
     *
     * @param byTurns whether the loop's time is divided among pools: a request is decoded when its pool's turn comes
     */
    public ClientServer(
            ServerCallbacks node,
            EventLoop loop,
            SocketAddress listen,
            int sockets,
            ByteBudget budget,
            boolean byTurns) {
        this(node, loop, listen, sockets, budget, byTurns, ServerSocketChannel::accept);
    }

    /** As above, with the given accept call. */
    ClientServer(
            ServerCallbacks node,
            EventLoop loop,
            SocketAddress listen,
            int sockets,
            ByteBudget budget,
            boolean byTurns,
            Acceptor.Source acceptCall) {
        acceptor = new Acceptor(acceptCall);
        this.node = node;
        this.budget = budget;
        // Streams may buffer as much again as requests may hold.
        streamBudget = new BodyStream.BufferBudget(budget.capacity());
        this.loop = loop;
        this.listen = listen;
        watch = LoopWatch.of(loop);
        turns = byTurns ? new FairQueue<>() : null;
        maxClients = Descriptors.of(sockets).clients();
        maxIdle = Math.max(4, sockets / 6);
        // A fixed delay: after a stall, a fixed rate would run all the missed sweeps one after another.
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_NANOS, SWEEP_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    }

    private void sweep() {
        // After a stall, bytes that arrived meanwhile are not read yet, and the clients were not the slow ones.
        long now = System.nanoTime();
        boolean stalled = now - lastSweepAt > STALL_NANOS;
        lastSweepAt = now;
        if (!stalled) {
            closeTimedOut(now);
        }
    }

    /** Closes connections that exceed a timeout at the given time; called on the loop. */
    void closeTimedOut(long now) {
        for (Session session : List.copyOf(sessions)) {
            try {
                session.checkTimeouts(now);
            } catch (RuntimeException e) {
                // A failure of one connection must not stop the checks of the others, nor later sweeps.
                session.exceptionCaught(null, e);
            }
        }
    }

    /** Opens the listening socket. */
    public CompletableFuture<Void> bind() {
        return listen instanceof UnixDomainSocketAddress
                ? bindResult(
                        configure(Transport.serverBootstrap(loop, listen).option(ChannelOption.SO_BACKLOG, BACKLOG))
                                .bind(listen))
                : bindOwn(false);
    }

    /** Opens a listening socket with SO_REUSEPORT beside those of other processes; each has its own backlog. */
    public CompletableFuture<Void> bindReusePort() {
        return bindOwn(true);
    }

    private CompletableFuture<Void> bindOwn(boolean reusePort) {
        try {
            ownSocket = ServerSocketChannel.open();
            ownSocket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (reusePort) {
                ownSocket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            ownSocket.bind(listen, BACKLOG);
            return acceptFrom(() -> ListeningChannel.own(ownSocket, acceptor, watch, BACKLOG));
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Accepts from a listening socket that other processes share: they have one backlog in common. */
    public CompletableFuture<Void> acceptFrom(ServerSocketChannel shared) {
        return acceptFrom(() -> ListeningChannel.shared(shared, acceptor, watch));
    }

    private CompletableFuture<Void> acceptFrom(ChannelFactory<ServerChannel> queue) {
        return bindResult(configure(new ServerBootstrap()
                        .group(loop)
                        .channelFactory(queue)
                        .childOption(ChannelOption.TCP_NODELAY, true))
                .register());
    }

    private ServerBootstrap configure(ServerBootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.RECVBUF_ALLOCATOR, new AcceptBatchLimiter(this::freeConnections))
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
                        if (System.nanoTime() - acceptFailureLoggedAt > ACCEPT_RETRY_NANOS) {
                            acceptFailureLoggedAt = System.nanoTime();
                            ErrorLog.report("a new connection is not taken", cause);
                        }
                    }
                })
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readSizes())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Session session = new Session(channel);
                        channel.pipeline().addLast(session.decoder, new HttpResponseEncoder(), session);
                    }
                });
    }

    /** One read of a connection in each pass of the loop, however much has arrived: others must have their turn. */
    private static RecvByteBufAllocator readSizes() {
        return new AdaptiveRecvByteBufAllocator(512, 1024, READ_BUFFER_BYTES).maxMessagesPerRead(1);
    }

    /**
     * Stops accepting until a connection is closed or a delay is over; the selector would report the socket at once.
     */
    private void pauseAccepting(Channel at) {
        pauseReading(at);
        // One retry is enough: one for each failure would multiply retries and failures.
        if (!acceptRetryScheduled) {
            acceptRetryScheduled = true;
            loop.schedule(
                    () -> {
                        acceptRetryScheduled = false;
                        if (!acceptingStopped && sessions.size() < maxClients) {
                            resumeReading(at);
                        }
                    },
                    ACCEPT_RETRY_NANOS,
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Stops reading from a listening channel: new connections stay in the backlog until reading is resumed. */
    private static void pauseReading(Channel at) {
        if (at instanceof ListeningChannel listening) {
            listening.pause();
        } else {
            at.config().setAutoRead(false);
        }
    }

    private static void resumeReading(Channel at) {
        if (at instanceof ListeningChannel listening) {
            listening.resume();
        } else {
            at.config().setAutoRead(true);
        }
    }

    /** The earliest time since which a connection that was just accepted may have waited. */
    private long waitingSince(Channel accepted) {
        return accepted.parent() instanceof ListeningChannel listening ? listening.waitingSince() : watch.readUntil();
    }

    /** How many more connections may be opened. A closed socket keeps its descriptor until the next select. */
    private int freeConnections() {
        return maxClients - sessions.size() - closedSinceSelect;
    }

    private CompletableFuture<Void> bindResult(ChannelFuture binding) {
        CompletableFuture<Void> bound = new CompletableFuture<>();
        binding.addListener((ChannelFutureListener) done -> {
            listeningChannel = done.channel();
            if (done.isSuccess()) {
                bound.complete(null);
            } else {
                bound.completeExceptionally(done.cause());
            }
        });
        return bound;
    }

    /** The address that the server listens on. */
    public SocketAddress address() {
        return listeningChannel.localAddress();
    }

    /** Decodes one request of each pool in turn for one slice of time; then the sockets are polled again. */
    private void takeTurns() {
        long begun = System.nanoTime();
        long at = begun;
        for (Session next = turns.next(); next != null; next = turns.next()) {
            next.takeTurn();
            long now = System.nanoTime();
            turns.charge(next.poolName, now - at);
            at = now;
            if (now - begun > TURN_SLICE_NANOS) {
                break;
            }
        }
        turnScheduled = !turns.isEmpty();
        if (turnScheduled) {
            // Scheduled, not executed: tasks of the loop would run for up to a second before the next poll.
            loop.schedule(this::takeTurns, 1, TimeUnit.NANOSECONDS);
        }
    }

    /** Drops the scheduling state of a pool that has ended. */
    public void forget(String pool) {
        if (turns != null) {
            turns.forget(pool);
        }
    }

    /**
     * From now on each connection is closed after its next response, and each request has its response before SIGKILL
     * may come, which would lose it.
     */
    public void closeAfterAnswers() {
        draining = true;
        drainStartedAt = node.now();
        for (Session session : sessions) {
            if (session.currentReply != null) {
                session.currentReply.limitDeadlineByDrain();
            }
        }
    }

    /** The latest deadline of a request of this pool; {@link Long#MAX_VALUE} for no limit. */
    private long latestDeadline(Service service) {
        if (!draining || turns != null) {
            return Long.MAX_VALUE;
        }
        long longest = service.settings().classes().stream()
                .mapToLong(RequestClass::deadline)
                .max()
                .orElse(MAX_DRAIN_DEADLINE_NANOS);
        return drainStartedAt + DRAIN_MARGIN_NANOS + Math.min(longest, MAX_DRAIN_DEADLINE_NANOS);
    }

    /**
     * Accepts up to {@code places} connections of the backlog. When a process closes its own listening socket, the
     * kernel resets the connections in its backlog, even if another process listens on the same address. Connections
     * that come between this call and the close, are in the middle of the handshake or exceed {@code places} are still
     * lost.
     */
    private void acceptBacklog(int places) throws IOException {
        for (int taken = 0; taken < places; taken++) {
            NioSocketChannel next = ((ListeningChannel) listeningChannel).next(ownSocket);
            if (next == null) {
                return;
            }
            listeningChannel.pipeline().fireChannelRead(next);
        }
    }

    /** Accepts the backlog and closes the socket, at the latest after the given number of further failures. */
    private void acceptBacklogAndClose(boolean idleToo, int tries) {
        try {
            // One less than the limit: at the limit, a new connection would evict one whose request is still unread.
            acceptBacklog(idleToo ? maxClients - 1 - sessions.size() : BACKLOG + 1);
        } catch (IOException e) {
            if (tries > 1) {
                // Descriptors may be exhausted: those of the idle connections are free after the next select.
                closeIdle(idleToo);
                loop.schedule(
                        () -> acceptBacklogAndClose(idleToo, tries - 1), BACKLOG_RETRY_NANOS, TimeUnit.NANOSECONDS);
                return;
            }
            ErrorLog.report("accepting the backlog before the close failed", e);
        }
        closeOwnSocket();
        listeningChannel.close();
        acceptingBacklog = false;
        closeIdle(idleToo);
        node.connectionEnded(openConnections());
    }

    /** Closes the socket directly and not through the pipeline: connections that arrive meanwhile are lost. */
    private void closeOwnSocket() {
        try {
            ownSocket.close();
        } catch (IOException e) {
            ErrorLog.report("the listening socket", e);
        }
        ownSocket = null;
    }

    /**
     * Closes the listening socket and, if {@code idleToo}, the connections between requests. A connection whose request
     * is unread, or whose response is being written, is closed after that response.
     */
    public void stopAccepting(boolean idleToo) {
        acceptingStopped = true;
        if (ownSocket == null) {
            listeningChannel.close();
            closeIdle(idleToo);
            return;
        }
        // A socket that is registered with a selector goes on accepting connections after its close, until the next
        // select, and resets them.
        acceptingBacklog = true;
        pauseReading(listeningChannel);
        listeningChannel
                .deregister()
                .addListener(deregistered -> loop.schedule(
                        () -> acceptBacklogAndClose(idleToo, MAX_BACKLOG_ATTEMPTS), 1, TimeUnit.NANOSECONDS));
    }

    private void closeIdle(boolean idleToo) {
        if (idleToo) {
            for (Session session : List.copyOf(sessions)) {
                session.closeIfIdle();
            }
        }
    }

    /** The number of open connections, plus one while some may wait in the backlog; called on the loop. */
    public int openConnections() {
        return sessions.size() + (acceptingBacklog ? 1 : 0);
    }

    /**
     * Closes a connection without an open request, so that its client does not take it for a lost request: the oldest
     * connection that never sent a whole request, otherwise the one that has been idle longest. Without this, clients
     * that connect and send nothing could hold all connections and lock everybody else out.
     */
    private boolean evictConnection(Session newest) {
        // A candidate that turns out to have sent something is skipped; the loop ends after as many candidates as there
        // are.
        for (int remaining = sessions.size(); remaining > 0; remaining--) {
            Session candidate = findEvictionCandidate(newest);
            if (candidate == null) {
                return false;
            }
            if (candidate.hasRequested) {
                candidate.closeIfIdle();
            } else {
                candidate.closeIfNeverRequested();
            }
            if (!candidate.channel.isOpen()) {
                return true;
            }
        }
        return false;
    }

    private Session findEvictionCandidate(Session newest) {
        Session candidate = null;
        for (Session session : sessions) {
            if (session == newest || session.closing || session.currentReply != null || !session.channel.isOpen()) {
                continue;
            }
            if (!session.hasRequested) {
                if (session.queued) {
                    // Its bytes wait for the pool's turn.
                    continue;
                }
                candidate = session;
                break;
            }
            if (session.isIdle() && (candidate == null || session.stateSince - candidate.stateSince < 0)) {
                candidate = session;
            }
        }
        return candidate;
    }

    /**
     * Whether so many connections are idle that none is kept open after its response. Clients hold a third of the
     * descriptors at most: where some send one request and keep the connection, the others would find none left long
     * before the idle timeout, and the node would seem calm. The response announces the close, since closing an idle
     * connection unannounced may cross the client's next request. This helps against crowds of such clients; it could
     * hurt where that many regular clients take turns, each of which then connects again.
     */
    private boolean hasTooManyIdle() {
        int idle = 0;
        for (Session session : sessions) {
            idle += session.hasRequested && session.isBetweenRequests() && !session.closing ? 1 : 0;
        }
        return idle >= maxIdle;
    }

    /** The number of open connections; waits for the loop. */
    public int connections() throws Exception {
        return loop.submit(sessions::size).get();
    }

    /** A client's connection: handles one request at a time; pipelined requests wait undecoded. */
    private final class Session extends SimpleChannelInboundHandler<HttpObject> {
        private final RequestDecoder decoder = new RequestDecoder(this::onRead, this::earliestArrival, turns != null);
        private final BodyBuffer body = new BodyBuffer(MAX_BUFFERED_BODY);
        private final Channel channel;
        private HttpRequest requestHead;
        private Reply currentReply;
        /** Receives the rest of a body that exceeds the buffer; otherwise null. */
        private BodyStream upload;

        private final RequestReadTimeout readTimeout = new RequestReadTimeout();
        private long declaredLength;
        /** Whether part of a request has been read. */
        private boolean receiving;
        /** Whether a whole request has ever been read. */
        private boolean hasRequested;

        private boolean keepAlive;
        private boolean closing;
        /** When the current request, or else the idle time, began. */
        private long stateSince = System.nanoTime();

        private int accountedBytes;
        /** The pool of the last request, whose time the next one is charged to. */
        private String poolName = "";

        /** Whether the connection waits for its pool's turn. */
        private boolean queued;
        /** Number of reads. */
        private int readCount;

        /** Whether bytes may be unread, so that the client's disconnect may be unseen. */
        private boolean mayHaveUnreadBytes;
        /** Undecoded bytes that are an incomplete part after the last turn: no reason for another turn. */
        private int incompleteBytes;

        private int handledRequests;
        /** Whether a body that was given up is still to be read and dropped, so that the client sees the response. */
        private boolean unreadBody;
        /** The last part of a streamed body, held back until the client's disconnect would be seen; else null. */
        private ByteBuf heldEnd;
        /** Whether {@link #handleNext} is scheduled. */
        private boolean nextScheduled;
        /** Closes the connection after a delay; null if that is not scheduled. */
        private Future<?> delayedClose;

        private final EarliestArrival arrival;

        Session(Channel channel) {
            this.channel = channel;
            arrival = new EarliestArrival(watch, waitingSince(channel));
        }

        private long earliestArrival() {
            return arrival.nanoTime();
        }

        /** Turns reading on, or leaves incoming bytes in the kernel. */
        private void setReading(boolean on) {
            if (on) {
                arrival.resume();
            } else {
                arrival.pause();
            }
            channel.config().setAutoRead(on);
        }

        /** The maximum age of the request whose last byte was just decoded, in nanoseconds; 0 if it is negligible. */
        private long requestAge() {
            long age = EarliestArrival.age(decoder.earliestArrival());
            return age < NEGLIGIBLE_AGE_NANOS ? 0 : age;
        }

        boolean isBetweenRequests() {
            return currentReply == null && !receiving;
        }

        /**
         * Whether no part of a request is here. Pipelined bytes count as one, unless the client does not read
         * responses.
         */
        private boolean isIdle() {
            return isBetweenRequests() && !closing && (decoder.undecodedBytes() == 0 || !channel.isWritable());
        }

        /** Closes the connection if it is idle, after one more read: handling the connections before it took time. */
        private void closeIfIdle() {
            if (isIdle()) {
                readNow();
            }
            if (isIdle()) {
                closeAfterFlush();
            }
        }

        /** Closes a connection that never sent a whole request, even if a part of one is here. */
        private void closeIfNeverRequested() {
            if (!closing) {
                readNow();
            }
            if (!hasRequested && !queued && !closing) {
                closeAfterFlush();
            }
        }

        /** Reads now: unread bytes would cause a reset on close, and a request among them is to be answered. */
        private void readNow() {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }

        private void closeAfterFlush() {
            closing = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            sessions.add(this);
            if (sessions.size() >= maxClients && !evictConnection(this)) {
                // At the limit on descriptors, new connections wait in the kernel's backlog until one is closed. The
                // parent channel is used because the first clients may be here before the bind completes.
                pauseReading(channel.parent());
            }
        }

        /** Called after each read. Reading stops while a client pipelines too much, until its next request is due. */
        private void onRead() {
            readCount++;
            if (isBetweenRequests() && !closing && decoder.undecodedBytes() > 0) {
                beginRequest();
            }
            updateBudget();
            enqueueTurn();
            if ((currentReply != null && (upload == null || heldEnd != null) || queued)
                    && decoder.undecodedBytes() > 0
                    && hasPipelinedTooMuch()) {
                mayHaveUnreadBytes |= currentReply != null;
                setReading(false);
                if (currentReply != null) {
                    currentReply.request.clientUnwatched(earliestArrival());
                }
            } else if (receiving && currentReply == null && !closing && !budget.allows(accountedBytes)) {
                if (body.size() >= MIN_BUFFERED_BODY) {
                    handle(true);
                } else {
                    reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for this body");
                }
            }
        }

        private boolean hasPipelinedTooMuch() {
            return decoder.undecodedBytes() > MAX_PIPELINED_BYTES || !budget.allows(decoder.undecodedBytes());
        }

        /**
         * Reads the pipelined bytes to their end, within limits: a client's disconnect must be seen before its
         * pipelined request is forwarded. Nothing is decoded meanwhile.
         */
        private void readPipelined() {
            while (channel.isActive() && !hasPipelinedTooMuch()) {
                int before = readCount;
                mayHaveUnreadBytes = true;
                readNow();
                if (readCount == before) {
                    mayHaveUnreadBytes = false;
                    return;
                }
            }
        }

        /** Where pools share the loop, queues the connection for its pool's turn. */
        private void enqueueTurn() {
            if (turns != null
                    && !queued
                    && (currentReply == null || upload != null)
                    && !closing
                    && decoder.undecodedBytes() > incompleteBytes) {
                queued = true;
                turns.add(poolName, this);
                if (!turnScheduled) {
                    turnScheduled = true;
                    loop.schedule(ClientServer.this::takeTurns, 1, TimeUnit.NANOSECONDS);
                }
            }
        }

        private void takeTurn() {
            queued = false;
            if (currentReply != null && upload == null || closing || !channel.isActive() || !channel.isWritable()) {
                return;
            }
            int before = handledRequests;
            try {
                decoder.takeTurn();
                incompleteBytes = handledRequests == before ? decoder.undecodedBytes() : 0;
            } catch (Exception e) {
                exceptionCaught(null, e);
                return;
            }
            if (currentReply == null && !closing) {
                setReading(true);
            }
        }

        private void beginRequest() {
            receiving = true;
            if (hasRequested) {
                stateSince = System.nanoTime();
            }
            readTimeout.begin(stateSince);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            RecvByteBufAllocator.Handle sizes = channel.unsafe().recvBufAllocHandle();
            arrival.read(sizes.lastBytesRead() < sizes.attemptedBytesRead());
        }

        private void updateBudget() {
            int bytes = decoder.undecodedBytes() + decoder.headBytes() + body.allocatedBytes();
            budget.change(bytes - accountedBytes);
            accountedBytes = bytes;
        }

        /** Enforces the timeouts. Never closes a connection with an open request: that would lose it. */
        private void checkTimeouts(long now) {
            if (upload != null && (upload.isStuck() || isUploadOverdue())) {
                refuseUpload("nobody takes the body");
            } else if (receiving && !closing) {
                if (readTimeout.isExceeded(now)) {
                    // The request is incomplete, so it was never handed over: no app server has begun on it.
                    abortUpload();
                    reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request takes too long to come");
                }
            } else if (currentReply != null) {
                if (currentReply.stream != null && currentReply.stream.isStuck()) {
                    abortResponse(currentReply);
                }
            } else if (now - stateSince > IDLE_TIMEOUT_NANOS) {
                if (closing) {
                    // The client does not read its last response.
                    channel.close();
                } else {
                    closeIfIdle();
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (closing) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                reject(HttpResponseStatus.BAD_REQUEST, "this is no request that can be read");
                return;
            }
            if (message instanceof HttpRequest incoming) {
                requestHead = incoming;
                beginRequest();
                checkLength(incoming);
            }
            boolean last = message instanceof LastHttpContent;
            if (message instanceof HttpContent content && !closing) {
                receiveBody(content.content(), last);
            }
            if (last && !closing && upload == null) {
                handle(false);
            }
        }

        /**
         * Holds the end of a streamed body back until the connection was read once more: an app server begins a request
         * with its last byte, and the client's disconnect may be in the kernel right behind it.
         */
        private void holdEnd(ByteBuf end) {
            heldEnd = end.retain();
            receiving = false;
            currentReply.bodyReceived(requestAge());
            setReading(true);
            watch.afterNextPoll(this::passEndOn);
        }

        private void passEndOn() {
            if (heldEnd == null) {
                return;
            }
            if (mayHaveUnreadBytes) {
                refuseUpload("too much is sent ahead");
            } else if (arrival.mayHaveBacklog()) {
                watch.afterNextPoll(this::passEndOn);
            } else {
                BodyStream all = upload;
                upload = null;
                all.push(heldEnd);
                heldEnd = null;
                all.end(true);
            }
        }

        private void dropHeldEnd() {
            if (heldEnd != null) {
                heldEnd.release();
                heldEnd = null;
            }
        }

        /**
         * Whether a client may have sent its whole body, and its time be over, while the app server takes the body so
         * slowly that its end is still unread.
         */
        private boolean isUploadOverdue() {
            long unread = declaredLength - readTimeout.bytes();
            return heldEnd == null
                    && (declaredLength < 0 || unread <= MAX_KERNEL_BYTES)
                    && EarliestArrival.age(earliestArrival()) > currentReply.request.timeoutNanos();
        }

        /** Refuses a request whose end has not been passed on, so that no app server has begun it. */
        private void refuseUpload(String why) {
            abortUpload();
            unreadBody = true;
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, why);
        }

        private void receiveBody(ByteBuf bytes, boolean last) {
            readTimeout.bodyReceived(bytes.readableBytes(), System.nanoTime());
            if (readTimeout.bytes() > BodyStream.MAX_LENGTH) {
                abortUpload();
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            } else if (upload != null) {
                passOn(bytes, last);
            } else if (!body.add(bytes)) {
                handle(true);
                if (upload != null) {
                    passOn(bytes, last);
                }
            }
        }

        private void passOn(ByteBuf bytes, boolean last) {
            if (last) {
                holdEnd(bytes);
            } else {
                upload.push(bytes.retain());
            }
        }

        /** A stream for the rest of a body that is not buffered. */
        private BodyStream openUpload(EventLoop taking) {
            return new BodyStream(
                    loop,
                    new BodyStream.Source() {
                        @Override
                        public void flow(boolean go) {
                            if (upload == null && !go) {
                                // All of the body was read: the client's disconnect is to be seen.
                                return;
                            }
                            readTimeout.setPaused(!go, System.nanoTime());
                            setReading(go);
                        }

                        /**
                         * Reads and drops the rest: the client sees the response, where a close would cause a reset.
                         */
                        @Override
                        public void stopped() {
                            flow(true);
                        }
                    },
                    taking,
                    streamBudget);
        }

        /** Ends an upload that stops before the last byte of the request: there is nothing to answer. */
        private void abortUpload() {
            dropHeldEnd();
            BodyStream broken = upload;
            Reply left = currentReply;
            upload = null;
            if (broken != null) {
                // Detached first: the attempt that now fails must not respond on this connection.
                currentReply = null;
                left.clientGone();
                broken.end(false);
            }
        }

        /** Rejects a body that is too large by its declared length, before any of it is read. */
        private void checkLength(HttpRequest incoming) {
            declaredLength = HttpUtil.getContentLength(incoming, -1L);
            if (declaredLength > BodyStream.MAX_LENGTH) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            } else if (!budget.allows(Math.min(declaredLength, MIN_BUFFERED_BODY))) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for this body");
            } else if (HttpUtil.is100ContinueExpected(incoming)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        /** Handles a request that is complete, or complete but for the rest of its body. */
        private void handle(boolean bodyIncomplete) {
            handledRequests++;
            HttpRequest whole = requestHead;
            ByteBuf content = body.take();
            requestHead = null;
            receiving = bodyIncomplete;
            hasRequested = true;
            keepAlive = HttpUtil.isKeepAlive(whole);
            if (whole.uri().equals("/_health")) {
                content.release();
                if (!bodyIncomplete) {
                    respondHealth(whole.method());
                } else {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "a call for health has no body");
                }
                return;
            }
            if (mayHaveUnreadBytes) {
                content.release();
                rejectPipelined(bodyIncomplete);
                return;
            }
            try {
                ServerCallbacks.Destination destination = node.route(whole);
                poolName = destination.service().name();
                Reply reply =
                        new Reply(destination.service(), whole.protocolVersion().equals(HttpVersion.HTTP_1_1));
                upload = bodyIncomplete ? openUpload(destination.service().loop()) : null;
                reply.request =
                        RequestReader.read(whole, content, destination, node.now(), reply, upload, declaredLength);
                long age = bodyIncomplete ? 0 : requestAge();
                reply.request.shortenTimeout(Math.min(age, reply.request.timeoutNanos()));
                reply.limitDeadlineByDrain();
                currentReply = reply;
                if (age == 0) {
                    reply.submit();
                } else {
                    // The client may have disconnected in that time, which shows once the connection is read again.
                    watch.afterNextPoll(reply::submitUnlessClosed);
                }
            } catch (RequestRejectedException e) {
                content.release();
                reject(e.status(), e.getMessage());
            }
        }

        private void respondHealth(HttpMethod method) {
            if (!method.equals(HttpMethod.GET)) {
                reject(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET only");
            } else {
                writeResponse(
                        node.ready() && !draining ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        Unpooled.EMPTY_BUFFER,
                        0);
            }
        }

        /** Rejects a request behind so many pipelined bytes that the client may have disconnected unseen. */
        private void rejectPipelined(boolean bodyIncomplete) {
            if (bodyIncomplete) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much is sent ahead");
            } else {
                writeResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, 0);
            }
        }

        /** Rejects a malformed request. Nothing after it is read: it may be part of the same request. */
        private void reject(HttpResponseStatus status, String why) {
            String id = requestHead == null ? null : requestHead.headers().get("X-Trace-Id");
            events.log(EventLog.Event.REQUEST_REJECTED, id, status.code() + ", " + why, System.nanoTime());
            keepAlive = false;
            requestHead = null;
            body.take().release();
            decoder.stop();
            setReading(false);
            writeResponse(status, Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8), 0);
        }

        private void writeResponse(HttpResponseStatus status, ByteBuf content, long retryAfter) {
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
            currentReply = null;
            receiving = false;
            stateSince = System.nanoTime();
            if (early) {
                // Closing while the body is still arriving would reset the connection and lose the response.
                decoder.stop();
                setReading(true);
                channel.writeAndFlush(answer);
                closeAfter(LINGER_NANOS);
                return;
            }
            channel.writeAndFlush(answer)
                    .addListener(
                            !closing
                                    ? ChannelFutureListener.CLOSE_ON_FAILURE
                                    : content.readableBytes() > SMALL_RESPONSE_BYTES
                                            ? this::closeAfterDelivery
                                            : ChannelFutureListener.CLOSE);
            if (!closing) {
                scheduleNext();
            }
        }

        /**
         * Closes the connection after a response that the kernel may still be sending: a close with unread bytes would
         * drop the rest of it. The output is shut down at once and nothing more is read; clients send later requests
         * again on another connection.
         */
        private void closeAfterDelivery(Future<? super Void> written) {
            if (!written.isSuccess() || !(channel instanceof DuplexChannel duplex)) {
                channel.close();
                return;
            }
            setReading(false);
            duplex.shutdownOutput();
            closeAfter(DELIVERY_TIMEOUT_NANOS);
        }

        private void closeAfter(long nanos) {
            if (channel.isOpen()) {
                delayedClose = loop.schedule(() -> channel.close(), nanos, TimeUnit.NANOSECONDS);
            }
        }

        private boolean mustClose() {
            return !keepAlive || draining || hasTooManyIdle();
        }

        /** Stops an upload that is not needed any more, the response being early. Returns whether there was one. */
        private boolean dropUpload() {
            boolean unread = unreadBody;
            unreadBody = false;
            dropHeldEnd();
            BodyStream dropped = upload;
            upload = null;
            if (dropped != null) {
                dropped.end(false);
            }
            return dropped != null || unread;
        }

        /** Streams a response in chunks; at its end the connection is between requests again. */
        private void streamResponse(Reply reply, BodyStream stream, long size) {
            // App servers respond only once they have the whole request, so no part of it is still arriving.
            boolean last = mustClose();
            HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (size >= 0) {
                answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, size);
            } else if (reply.mayChunk) {
                answer.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                reply.endsWithClose = true;
                last = true;
            }
            if (last) {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            boolean close = last;
            reply.stream = stream;
            ResponseStallDetector detector = new ResponseStallDetector(reply.request.deadlineNanos(), node.now());
            if (size < 0) {
                reply.checkStall(detector);
            }
            channel.writeAndFlush(answer);
            stream.attach(new BodyStream.Sink() {
                @Override
                public void piece(ByteBuf piece) {
                    int bytes = piece.readableBytes();
                    detector.onSent(bytes, node.now());
                    channel.writeAndFlush(new DefaultHttpContent(piece)).addListener(done -> stream.written(bytes));
                }

                @Override
                public void end(boolean whole) {
                    if (!whole) {
                        reply.streamEnded(false);
                        abortResponse(reply);
                        return;
                    }
                    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(done -> {
                        reply.streamEnded(done.isSuccess());
                        if (currentReply == reply) {
                            currentReply = null;
                            receiving = false;
                            stateSince = System.nanoTime();
                            closing = close;
                            if (close || !done.isSuccess()) {
                                closeAfterDelivery(done);
                            } else {
                                scheduleNext();
                            }
                        }
                    });
                }
            });
        }

        /**
         * Closes the connection within a response; by a reset where nothing else shows the client that it is
         * incomplete.
         */
        private void abortResponse(Reply reply) {
            String id = reply.request.request().id();
            long late = (node.now() - reply.request.deadlineNanos()) / MS;
            events.log(EventLog.Event.RESPONSE_CUT, id, late + " ms after its deadline", System.nanoTime());
            if (reply.endsWithClose) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
        }

        /**
         * Goes on to the pipelined bytes in the loop's next pass. Tasks that are executed and not scheduled run for up
         * to a second before the sockets are polled again, if each one adds the next.
         */
        private void scheduleNext() {
            if (!nextScheduled) {
                nextScheduled = true;
                loop.schedule(this::handleNext, 1, TimeUnit.NANOSECONDS);
            }
        }

        /** Goes on to the pipelined bytes, unless the client does not read its responses. */
        private void handleNext() {
            nextScheduled = false;
            if (currentReply != null || closing || !channel.isActive() || !channel.isWritable()) {
                return;
            }
            setReading(true);
            if (decoder.isPaused() && (decoder.undecodedBytes() > 0 || mayHaveUnreadBytes)) {
                readPipelined();
                if (!channel.isActive()) {
                    return;
                }
            }
            if (turns != null) {
                enqueueTurn();
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
            // Not from within the write or read that changed the writability.
            scheduleNext();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            sessions.remove(this);
            if (closedSinceSelect++ == 0) {
                // Runs after the next select, which frees the descriptors.
                loop.schedule(() -> closedSinceSelect = 0, 1, TimeUnit.NANOSECONDS);
            }
            dropUpload();
            body.take().release();
            budget.change(-accountedBytes);
            accountedBytes = 0;
            if (delayedClose != null) {
                // The timer would keep the closed connection in memory.
                delayedClose.cancel(false);
            }
            if (!acceptingStopped) {
                resumeReading(channel.parent());
            }
            Reply left = currentReply;
            currentReply = null;
            closing = true;
            if (left != null) {
                left.clientGone();
            }
            node.connectionEnded(openConnections());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof DecoderException)) {
                ErrorLog.report("client connection failed", cause);
            }
            channel.close();
        }

        /** Writes the one response to the current request; called from its pool's loop, which may be another one. */
        private final class Reply implements OpenRequest.Responder {
            private final Service service;
            private OpenRequest request;
            /** Whether the request was handed to its pool. */
            private boolean handedOver;
            /** The response that is being streamed, or null. */
            private BodyStream stream;

            /** Notified on the pool's loop when the stream ends; null once notified. */
            private Consumer<Boolean> endListener;

            private Future<?> stallCheck;
            private final boolean mayChunk;
            /** Whether only the close of the connection marks the end of the response. */
            private boolean endsWithClose;

            Reply(Service service, boolean mayChunk) {
                this.mayChunk = mayChunk;
                this.service = service;
            }

            /** Submits once the connection was read to its end; refuses what is followed by more than is read ahead. */
            void submitUnlessClosed() {
                if (!isCurrent()) {
                    return;
                }
                if (mayHaveUnreadBytes) {
                    refuseUnsubmitted();
                } else if (arrival.mayHaveBacklog()) {
                    watch.afterNextPoll(this::submitUnlessClosed);
                } else {
                    submit();
                }
            }

            private void refuseUnsubmitted() {
                boolean bodyIncomplete = upload != null;
                if (bodyIncomplete) {
                    abortUpload();
                    unreadBody = true;
                } else {
                    request.settle();
                }
                rejectPipelined(bodyIncomplete);
            }

            void submit() {
                handedOver = true;
                if (!runOnServiceLoop(() -> service.take(request))) {
                    // The pool ended while the request waited to be handed over: nothing of it was sent.
                    handedOver = false;
                    request.settle();
                    writeResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, 0);
                }
            }

            /** Runs a task on the pool's loop. Returns false if the pool has ended, which makes the task moot. */
            private boolean runOnServiceLoop(Runnable task) {
                if (service.loop() == loop) {
                    task.run();
                    return true;
                }
                try {
                    service.loop().execute(task);
                    return true;
                } catch (RejectedExecutionException e) {
                    return false;
                }
            }

            void bodyReceived(long age) {
                runOnServiceLoop(() -> service.bodyReceived(request, age));
            }

            /** Keeps the deadline of a request without a response within a drain; without one it does nothing. */
            void limitDeadlineByDrain() {
                long latest = latestDeadline(service);
                if (latest == Long.MAX_VALUE || stream != null) {
                    return;
                }
                if (handedOver) {
                    runOnServiceLoop(() -> service.limitDeadline(request, latest));
                } else {
                    request.limitDeadline(latest);
                }
            }

            /** Cuts a response that has stalled once the client's deadline is over. */
            void checkStall(ResponseStallDetector detector) {
                long left = detector.nanosUntilCheck(node.now());
                if (left == 0) {
                    abortResponse(this);
                } else if (left > 0) {
                    stallCheck = loop.schedule(() -> checkStall(detector), left, TimeUnit.NANOSECONDS);
                }
            }

            /** Notifies the pool that the streamed response has ended; only once. */
            void streamEnded(boolean whole) {
                if (stallCheck != null) {
                    stallCheck.cancel(false);
                }
                Consumer<Boolean> listener = endListener;
                endListener = null;
                if (listener != null) {
                    runOnServiceLoop(() -> listener.accept(whole));
                }
            }

            void clientGone() {
                if (!handedOver) {
                    request.settle();
                    return;
                }
                if (stream != null) {
                    stream.stop();
                    streamEnded(false);
                    return;
                }
                runOnServiceLoop(() -> service.clientGone(request));
            }

            /** Runs on the client's loop; a response whose client has disconnected is dropped there. */
            private void runOnClientLoop(Runnable answer) {
                if (service.loop() == loop) {
                    answer.run();
                } else {
                    loop.execute(answer);
                }
            }

            private boolean isCurrent() {
                return currentReply == this;
            }

            @Override
            public void served(ByteBuf content) {
                ByteBuf kept = content.retain();
                runOnClientLoop(() -> {
                    if (isCurrent()) {
                        writeResponse(HttpResponseStatus.OK, kept, 0);
                    } else {
                        kept.release();
                    }
                });
            }

            @Override
            public void streamed(BodyStream from, long size, Consumer<Boolean> listener) {
                runOnClientLoop(() -> {
                    endListener = listener;
                    if (isCurrent()) {
                        streamResponse(this, from, size);
                    } else {
                        from.stop();
                        streamEnded(false);
                    }
                });
            }

            @Override
            public BodyStream openStream(EventLoop sending, BodyStream.Source source) {
                return new BodyStream(sending, source, loop, streamBudget);
            }

            @Override
            public void refused(long retryAfter) {
                runOnClientLoop(() -> {
                    if (isCurrent()) {
                        writeResponse(
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
                runOnClientLoop(() -> {
                    if (isCurrent()) {
                        writeResponse(HttpResponseStatus.BAD_GATEWAY, Unpooled.EMPTY_BUFFER, 0);
                    }
                });
            }

            @Override
            public void duplicate() {
                runOnClientLoop(() -> {
                    if (isCurrent()) {
                        currentReply = null;
                        reject(HttpResponseStatus.CONFLICT, "a request of this id is open");
                    }
                });
            }
        }
    }
}
