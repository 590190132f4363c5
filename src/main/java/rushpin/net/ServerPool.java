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

/**
 * Manages the connections of one pool to its app servers and runs request attempts on them.
 *
 * <p>Each connection carries one request at a time. All methods are called on the pool's event loop.
 */
public final class ServerPool {
    /** The largest request or answer body that is buffered, in bytes. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    private static final long NANOS_PER_MS = 1_000_000L;
    /** Interval between two sweeps that close idle connections, in nanoseconds. */
    private static final long IDLE_SWEEP_INTERVAL = 1_000 * NANOS_PER_MS;
    /**
     * How long a connection is not reused after an answer, in nanoseconds: a duplicate answer or stray bytes may follow
     * the answer, and would be taken for the answer to the next request.
     */
    private static final long REUSE_DELAY = 10 * NANOS_PER_MS;
    /**
     * Maximum number of milliseconds by which the {@code X-Expires-In-Ms} header is lower than the time that is left:
     * the request may have waited in the kernel before it was read, and this process may be delayed before it writes.
     */
    private static final long MAX_DEADLINE_MARGIN_MS = 50;
    /** The margin is at most the time that is left divided by this. */
    private static final long DEADLINE_MARGIN_DIVISOR = 8;
    /** Bodies up to this size are taken to have reached the app server once they are written. */
    private static final int MAX_PROMPT_BODY = 4 * 1024;
    /** Maximum size of one read, in bytes: the data may have to be held for a client that reads slowly. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    /** Receives the outcomes of attempts. */
    public interface Listener {
        /**
         * An attempt has ended.
         *
         * @param took duration of the attempt, in nanoseconds
         * @param server the app server's id
         * @param units the units that the app server charged; 0 if it gave none
         * @param body the body of a complete 200 answer, else null; the caller keeps the reference
         */
        void attemptEnded(OpenRequest of, Outcome outcome, long took, String server, double units, ByteBuf body);

        /**
         * An attempt has a long answer, which is streamed from now on. No {@link #attemptEnded} follows.
         *
         * @param took duration of the attempt until now, in nanoseconds
         * @param length of the answer in bytes; -1 if it is unknown
         */
        void answerStarted(OpenRequest of, long took, String server, double units, BodyStream passage, long length);

        /** Returns how much longer the request's client waits, in nanoseconds. */
        long remainingNanos(OpenRequest of);

        /** An attempt has written a part of a body that is not kept, so the request cannot be attempted again. */
        void bodyGone(OpenRequest of);

        /** Returns whether another attempt would be made if the present one failed now. */
        default boolean wouldRetry(OpenRequest of) {
            return false;
        }

        /** Returns whether the client's disconnect may have been unread for too long to begin an attempt. */
        default boolean isUnwatched(OpenRequest of) {
            return false;
        }

        /** All bytes of a request have been written to an app server. */
        default void attemptWritten(OpenRequest of) {
            // Optional: only listeners that report it need it.
        }

        /**
         * Runs a task once the input that had arrived before has been read, or earlier if {@code isOver} returns true.
         *
         * @see ReadBarrier
         */
        default void runAfterPendingReads(BooleanSupplier isOver, Runnable task) {
            task.run();
        }

        /** Returns whether input has arrived that must be read before anything is written. */
        default boolean hasPendingReads() {
            return false;
        }
    }

    /** Limits how many connections the pool may hold and establish at a time; called on the pool's loop. */
    public interface Slots {
        /** Reserves one connection; returns false if the limit is reached. */
        boolean acquireConnection();

        /** Releases a reserved connection after it has ended. */
        void releaseConnection();

        /** Reserves one connect in progress; returns false if the limit is reached. */
        boolean acquireConnect();

        /** Releases a reserved connect after it has succeeded or failed. */
        void releaseConnect();

        /** Returns whether the pool has to give up connections: then connections that become idle are closed. */
        boolean mustShrink();
    }

    private final Listener listener;
    private final EventLog events = new EventLog(System.out::println);
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    /** Endpoints by the server's id. */
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** The same endpoints by address: an update of thousands of servers must not scan all for each. */
    private final Map<SocketAddress, Endpoint> endpointsByAddress = new HashMap<>();

    /** Connections that are open or being established. */
    private int openConnections;

    private int maxConnections = Integer.MAX_VALUE;
    /** How long a connection may be idle before it is closed, in nanoseconds. */
    private long maxIdleNanos;

    private final Slots slots;
    private final double maxUnits;
    private final String host;
    private final Future<?> idleSweep;
    /** Limits the connections to a group of servers that all processes share; null where there is no such limit. */
    private GroupGate gate;

    /** Creates a pool that holds as many connections as {@code slots} allows. */
    public ServerPool(Listener listener, EventLoop loop, Upstream config, Slots slots) {
        this(listener, loop, config, slots, Transport.clientBootstrap(loop, config.discovery()));
    }

    /** As above, with a given bootstrap for its sockets. */
    ServerPool(Listener listener, EventLoop loop, Upstream config, Slots slots, Bootstrap clientBootstrap) {
        this.listener = listener;
        this.loop = loop;
        // Half of the server's keep-alive time: a request on a connection that the server is closing would end as a
        // reset.
        maxIdleNanos = config.keepAlive() / 2;
        maxUnits = config.maxUnits();
        this.slots = slots;
        host = config.host();
        bootstrap = clientBootstrap
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, config.connectTimeout() / NANOS_PER_MS))
                .option(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 2_048, MAX_READ_BYTES))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        AnswerDecoder decoder = new AnswerDecoder();
                        channel.pipeline().addLast(decoder, new HttpRequestEncoder(), new Connection(decoder));
                    }
                });
        idleSweep = loop.scheduleAtFixedRate(
                this::closeIdle, IDLE_SWEEP_INTERVAL, IDLE_SWEEP_INTERVAL, TimeUnit.NANOSECONDS);
    }

    /** One run of an app server at one address. A server that restarts or moves gets a new endpoint. */
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

        /**
         * Takes an idle connection that may be reused, or returns null. Prefers the one used last, so that the others
         * become idle long enough to be closed; if {@link #REUSE_DELAY} has not passed for that one, takes the one
         * that has been idle longest.
         */
        Connection pollReusable() {
            long due = System.nanoTime() - REUSE_DELAY;
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
     * Applies a server list or a change to it. Connections to servers that are gone, draining, moved or restarted are
     * no longer used.
     *
     * <p>An address belongs to one app server, the one that started there last. An earlier server at the same address
     * counts as gone even if discovery has not reported it yet: otherwise requests sent under its id would reach the
     * new server, whose slow start and drain would go unnoticed.
     *
     * @param whole whether {@code roll} is the complete list
     * @return the list as the gateway should see it
     */
    public List<Server> update(ServerListUpdate roll, boolean whole) {
        List<Server> visible = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (Member member : roll.members()) {
            Server server = member.server();
            named.add(server.id());
            boolean ready = member.isReady();
            Endpoint conflicting = ready ? conflictingEndpoint(member) : null;
            if (conflicting != null && conflicting.startedAt > server.startedAt()) {
                ready = false;
                server = Member.gone(server);
            } else if (conflicting != null) {
                visible.add(Member.gone(conflicting.server));
                remove(conflicting);
            }
            visible.add(server);
            Endpoint known = endpoints.get(server.id());
            boolean same =
                    known != null && known.address.equals(member.address()) && known.startedAt == server.startedAt();
            if (known != null && (!ready || !same)) {
                remove(known);
            }
            if (ready && !same) {
                Endpoint made = new Endpoint(member);
                endpoints.put(server.id(), made);
                endpointsByAddress.put(made.address, made);
            }
        }
        if (whole) {
            List.copyOf(endpoints.values()).stream()
                    .filter(e -> !named.contains(e.server.id()))
                    .forEach(this::remove);
        }
        return visible;
    }

    /**
     * Changes the limits of new connections.
     *
     * @param connectTimeout in nanoseconds
     * @param maxConnections maximum number of connections; 0 for no limit but that of the slots
     */
    public void setLimits(long connectTimeout, int maxConnections) {
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeout / NANOS_PER_MS));
        this.maxConnections = maxConnections == 0 ? Integer.MAX_VALUE : maxConnections;
    }

    /** Closes the pool. No attempt may be in flight any more. */
    public void close() {
        idleSweep.cancel(false);
        List.copyOf(endpoints.values()).forEach(this::remove);
    }

    private Endpoint conflictingEndpoint(Member of) {
        Endpoint found = endpointsByAddress.get(of.address());
        return found == null || found.server.id().equals(of.server().id()) ? null : found;
    }

    private void remove(Endpoint endpoint) {
        endpoint.retire();
        endpoints.remove(endpoint.server.id());
        endpointsByAddress.remove(endpoint.address, endpoint);
    }

    /**
     * Limits the pool to a connection grant at its servers; called before the first attempt.
     *
     * @param halfOpenTimeout time after which the servers end a connection that is silent, in nanoseconds
     * @param gracePeriod time after the end of a lease for which a request may still run, in nanoseconds
     * @param tenants maps a request to its tenant
     */
    public GroupGate joinGroup(long halfOpenTimeout, long gracePeriod, Function<Request, String> tenants) {
        // Including one sweep interval, idle connections are closed before the server would end them.
        maxIdleNanos = Math.min(maxIdleNanos, halfOpenTimeout * 3 / 4 - IDLE_SWEEP_INTERVAL);
        gate = new GroupGate(loop, halfOpenTimeout, gracePeriod, REUSE_DELAY, tenants, this::shrink);
        return gate;
    }

    /**
     * Starts an attempt. Its outcome is reported later, never from within this call.
     *
     * @param patience timeout of the attempt, in nanoseconds
     */
    public void send(OpenRequest of, String server, long patience) {
        send(of, server, patience, Long.MAX_VALUE);
    }

    /**
     * As above. The request is not written if more than {@code arriveWithin} nanoseconds pass before that, and an
     * attempt of which a part may still be on its way then is reset.
     */
    public void send(OpenRequest of, String server, long patience, long arriveWithin) {
        Attempt attempt = new Attempt(of, server, patience, arriveWithin);
        if (gate == null ? !begin(attempt) : !attempt.sendThroughGate()) {
            loop.execute(() -> attempt.end(Outcome.NOT_SENT, 0, null));
        }
    }

    /** Starts an attempt on an idle or a new connection; returns false if there is none for it. */
    private boolean begin(Attempt attempt) {
        Endpoint endpoint = endpoints.get(attempt.server);
        Connection ready = endpoint == null ? null : endpoint.pollReusable();
        boolean may = ready != null || endpoint != null && reserveConnect(endpoint);
        if (may) {
            attempt.scheduleTimeout(attempt.patience - (System.nanoTime() - attempt.sentAt));
        }
        if (ready != null) {
            ready.write(attempt);
        } else if (may) {
            connect(endpoint, attempt);
        }
        return may;
    }

    /** Reserves a connection and a connect, both or neither; returns whether it did. */
    private boolean reserveConnect(Endpoint to) {
        if (!slots.acquireConnect()) {
            return false;
        }
        // Under a connection grant a connection that is closed counts until the peer has closed it too, so closing one
        // does not help.
        boolean may = acquireConnection() || gate == null && closeIdleConnection(to) && acquireConnection();
        if (!may) {
            slots.releaseConnect();
        }
        return may;
    }

    private boolean acquireConnection() {
        boolean may = openConnections < maxConnections && slots.acquireConnection();
        if (may && gate != null && !gate.acquireConnection()) {
            slots.releaseConnection();
            return false;
        }
        openConnections += may ? 1 : 0;
        return may;
    }

    private void connect(Endpoint endpoint, Attempt attempt) {
        Transport.connect(bootstrap, loop, endpoint.address, new PendingConnect(endpoint, attempt));
    }

    /** A connect in progress, and the connection slot that it holds until its channel is closed. */
    private final class PendingConnect implements Transport.ConnectListener {
        private final Endpoint endpoint;
        private final Attempt attempt;
        private Channel opened;
        private Throwable failure;

        PendingConnect(Endpoint endpoint, Attempt attempt) {
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
            openConnections--;
            slots.releaseConnection();
            if (gate != null) {
                // Only in this place: a connection that stays open would otherwise keep its first attempt.
                attempt.endUse();
                gate.ended(opened, failure);
            }
        }
    }

    /**
     * Writes once pending input has been read: the client's disconnect or the server's drain may have arrived before
     * the connection was established and not have been read yet.
     */
    private void writeOnceRead(Connection made, Attempt attempt) {
        if (!listener.hasPendingReads()) {
            made.write(attempt);
            return;
        }
        attempt.connection = made;
        made.attempt = attempt;
        listener.runAfterPendingReads(() -> attempt.ended, () -> writeLater(made, attempt));
    }

    private void writeLater(Connection made, Attempt attempt) {
        if (attempt.ended) {
            made.release();
        } else if (made.endpoint.retired) {
            close(made.channel);
            attempt.end(Outcome.CONNECT_FAILED, 0, null);
        } else {
            made.write(attempt);
        }
    }

    /**
     * Closes the connection to another server that has been idle longest, or else one to this server that may not be
     * reused yet.
     */
    private boolean closeIdleConnection(Endpoint wanted) {
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint != wanted && closeOldestIdle(endpoint)) {
                return true;
            }
        }
        return closeOldestIdle(wanted);
    }

    private boolean closeOldestIdle(Endpoint endpoint) {
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
            gate.close(channel);
        }
    }

    private boolean mustShrink() {
        return slots.mustShrink() || gate != null && gate.mustShrink();
    }

    /** Gives up connections while there are too many: closes idle ones now, the others when they become idle. */
    public void shrink() {
        for (Endpoint endpoint : endpoints.values()) {
            while (mustShrink() && closeOldestIdle(endpoint)) {
                // closeOldestIdle does the work.
            }
        }
    }

    private void closeIdle() {
        long due = System.nanoTime() - maxIdleNanos;
        for (Endpoint endpoint : endpoints.values()) {
            while (!endpoint.idle.isEmpty() && endpoint.idle.peekLast().idleSince - due < 0) {
                close(endpoint.idle.pollLast().channel);
            }
        }
    }

    /** One attempt to send a request to an app server; it ends exactly once. */
    private final class Attempt {
        private final OpenRequest request;
        private final String server;
        private final long patience;
        /** How long after {@code decidedAt} the app servers know the request's key, in nanoseconds. */
        private final long arriveWithin;

        private final long decidedAt = System.nanoTime();
        /** Start of the attempt's timeout. */
        private long sentAt = decidedAt;
        /** Start of the attempt's reported duration. */
        private long begunAt = sentAt;

        private boolean written;
        /** Whether this process ends the attempt, for a reason that says nothing about the app server. */
        private boolean cancelled;

        private boolean ended;
        private Connection connection;
        /** Takes the rest of a long body; null if there is none, or before it is written. */
        private BodyStream.Sink restSink;

        private Future<?> expiry;
        /** Whether the attempt is queued at the gate; only where there is one. */
        private boolean waiting;

        private GroupGate.PendingAttempt queued;
        /** The use of a connection that the gate has counted for this attempt; null if there is none. */
        private GroupGate.ConnectionUse use;

        Attempt(OpenRequest request, String server, long patience, long arriveWithin) {
            this.request = request;
            this.server = server;
            this.arriveWithin = arriveWithin;
            this.patience = Math.min(patience, remainingArrivalNanos());
        }

        /** Whether a part of the request may still be on its way after it was written. */
        private boolean mayArriveLate() {
            return request.rest() != null || request.body().readableBytes() > MAX_PROMPT_BODY;
        }

        /** How much longer the attempt may last because a part of it may still be on its way, in nanoseconds. */
        private long remainingArrivalNanos() {
            return mayArriveLate() ? remainingKeyNanos() : Long.MAX_VALUE;
        }

        /** How much longer the app servers know the request's key if it may have run, in nanoseconds. */
        private long remainingKeyNanos() {
            return arriveWithin == Long.MAX_VALUE ? Long.MAX_VALUE : arriveWithin - (System.nanoTime() - decidedAt);
        }

        /**
         * Returns whether the attempt may still start: its client still waits, servers still know the idempotency key
         * of an earlier attempt that may have run, and no part of the body has left with an earlier attempt.
         */
        boolean mayStart() {
            return !ended
                    && !request.isAnswered()
                    && remainingKeyNanos() > 0
                    && (request.rest() == null
                            ? !listener.isUnwatched(request)
                            : !request.rest().isPassedOn());
        }

        /** Starts the attempt now or when the gate has a connection for it; returns false if there will be none. */
        boolean sendThroughGate() {
            scheduleTimeout(patience);
            queued = QueuedAttempt.create(ServerPool.this, this);
            waiting = true;
            waiting = gate.send(queued) && use == null;
            return waiting || use != null;
        }

        /** Ends the use of a connection that was counted for this attempt. */
        void endUse() {
            if (use != null) {
                use.end();
            }
        }

        void scheduleTimeout(long timeout) {
            if (expiry != null) {
                expiry.cancel(false);
            }
            expiry = loop.schedule(this::expire, timeout, TimeUnit.NANOSECONDS);
        }

        /**
         * The connection was lost. An app server starts a request when it has received its last byte, so the request
         * cannot have run before that was written.
         */
        void connectionLost() {
            if (cancelled) {
                end(Outcome.CANCELLED, 0, null);
            } else {
                end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0, null);
            }
        }

        void expire() {
            if (waiting) {
                gate.leave(queued);
                queued.notSent();
                return;
            }
            if (connection != null && remainingArrivalNanos() <= 0) {
                log(EventLog.Event.ATTEMPT_KEY_EXPIRES, "");
                cancel();
                return;
            }
            log(EventLog.Event.ATTEMPT_TIMED_OUT, connection == null ? ", not connected" : "");
            if (connection != null) {
                discard(connection.channel);
            }
            end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0, null);
        }

        /** Ends the attempt and its connection; the close may fail a write, which ends the attempt within the call. */
        private void cancel() {
            cancelled = true;
            discard(connection.channel);
            end(Outcome.CANCELLED, 0, null);
        }

        private void log(EventLog.Event event, String detail) {
            long now = System.nanoTime();
            long tookMs = (now - begunAt) / NANOS_PER_MS;
            String id = request.request().id();
            events.log(event, id, "server=" + server + " after " + tookMs + " ms" + detail, now);
        }

        /** Closes the connection; what the app server has not received yet of a large request is not sent any more. */
        private void discard(Channel channel) {
            if (mayArriveLate()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            close(channel);
        }

        /** Ends an attempt whose client has disconnected or was answered, if its request may not have arrived whole. */
        void abort() {
            if (!ended && mayArriveLate() && connection != null) {
                cancel();
            }
        }

        void end(Outcome outcome, double units, ByteBuf body) {
            if (ended) {
                return;
            }
            ended = true;
            if (expiry != null) {
                expiry.cancel(false);
            }
            if (connection != null) {
                connection.attempt = null;
            }
            if (restSink != null) {
                // What comes before the next attempt is written belongs to that one.
                request.rest().detach(restSink);
            }
            request.setAttemptAbort(null);
            listener.attemptEnded(request, outcome, System.nanoTime() - begunAt, server, units, body);
        }

        /** Ends the attempt for the gateway while its answer is still streamed. */
        void startAnswer(double units, BodyStream passage, long length) {
            ended = true;
            expiry.cancel(false);
            connection.attempt = null;
            request.setAttemptAbort(null);
            listener.answerStarted(request, System.nanoTime() - begunAt, server, units, passage, length);
        }

        /** The request's last byte was written, so the app server may start it, or the write failed. */
        void requestWritten(boolean success) {
            written = success;
            if (!success) {
                connectionLost();
                return;
            }
            listener.attemptWritten(request);
            if (request.rest() != null) {
                // The time that the client took to send the body says nothing about the app server.
                sentAt = System.nanoTime();
                begunAt = sentAt;
            }
        }

        FullHttpRequest fullRequest() {
            FullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    request.method,
                    request.uri,
                    request.body().retainedDuplicate());
            setHeaders(message, patience - (System.nanoTime() - sentAt));
            if (request.body().isReadable()) {
                message.headers()
                        .set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
            }
            return message;
        }

        /** Returns the head of a request whose body is too long to be buffered. */
        HttpRequest longRequestHead() {
            HttpRequest message = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri);
            // The client's timeout starts with its last byte, which an earlier attempt may have had long ago.
            setHeaders(message, Math.min(request.timeoutNanos(), listener.remainingNanos(request)));
            if (request.length() < 0) {
                message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.length());
            }
            return message;
        }

        /**
         * Sets the headers that pass the request on.
         *
         * @param timeoutNanos how long the attempt may last. An app server is told less if the key expires before: it
         *     may read the request late, and then turns it away instead of running it again.
         */
        private void setHeaders(HttpRequest message, long timeoutNanos) {
            long expiresMs = Math.min(timeoutNanos, remainingKeyNanos()) / NANOS_PER_MS;
            message.headers()
                    .set(HttpHeaderNames.HOST, host == null ? request.host : host)
                    .set("X-Trace-Id", request.request().id())
                    .set(
                            "X-Expires-In-Ms",
                            Math.max(
                                    1,
                                    expiresMs - Math.min(MAX_DEADLINE_MARGIN_MS, expiresMs / DEADLINE_MARGIN_DIVISOR)));
            if (request.key != null) {
                message.headers().set("Idempotency-Key", request.key);
            }
        }
    }

    /** An attempt that is queued at the gate. */
    private final class QueuedAttempt implements GroupGate.PendingAttempt {
        private final Attempt attempt;

        private QueuedAttempt(Attempt attempt) {
            this.attempt = attempt;
        }

        /** Creates the object behind its interface: without a group neither this class nor the gate is loaded. */
        static GroupGate.PendingAttempt create(ServerPool pool, Attempt attempt) {
            return pool.new QueuedAttempt(attempt);
        }

        @Override
        public Request request() {
            return attempt.request.request();
        }

        @Override
        public long patience() {
            return attempt.patience;
        }

        @Override
        public boolean begin(GroupGate.ConnectionUse use) {
            if (attempt.request.isAnswered()) {
                // The client disconnected while the attempt was queued.
                use.end();
                notSent();
                return true;
            }
            attempt.use = use;
            // The time in the queue says nothing about the app server.
            attempt.begunAt = System.nanoTime();
            boolean may = ServerPool.this.begin(attempt);
            attempt.use = may ? use : null;
            attempt.waiting &= !may;
            return may;
        }

        @Override
        public void closeIdleConnection() {
            Endpoint wanted = endpoints.get(attempt.server);
            if (wanted == null) {
                gate.leave(this);
                notSent();
            } else if (wanted.idle.isEmpty()) {
                // If the server has an idle connection, its reuse delay ends sooner than a new connection could be
                // established.
                ServerPool.this.closeIdleConnection(wanted);
            }
        }

        @Override
        public void notSent() {
            attempt.waiting = false;
            loop.execute(() -> attempt.end(Outcome.NOT_SENT, 0, null));
        }
    }

    /** A connection to an app server, and the last handler in its pipeline. */
    private final class Connection extends AnswerHandler implements BodyStream.Source {
        private final AnswerDecoder decoder;
        private Channel channel;
        private Endpoint endpoint;
        private Attempt attempt;
        private GroupGate.ConnectionUse use;
        private boolean reusable;
        private long idleSince;
        /** The next check of a partial answer; null if there is none. */
        private Future<?> partialAnswerCheck;

        private long lastReadAt;
        /** The value of {@code lastReadAt} at the last check of a partial answer. */
        private long checkedReadAt;

        Connection(AnswerDecoder decoder) {
            super(MAX_BODY_BYTES, BodyStream.MAX_LENGTH);
            this.decoder = decoder;
        }

        /** Not in channelActive: the listeners of a connect are notified before the handlers. */
        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void write(Attempt next) {
            use = next.use;
            if (use != null) {
                use.setChannel(channel);
            }
            // The connection may have been established late: the conditions under which the attempt was decided may
            // have changed.
            if (!next.mayStart()) {
                attempt = null;
                next.connection = null;
                release();
                loop.execute(() -> next.end(Outcome.NOT_SENT, 0, null));
                return;
            }
            attempt = next;
            next.connection = this;
            next.request.setAttemptAbort(() -> loop.execute(next::abort));
            if (next.request.rest() != null) {
                writeLongRequest(next);
                return;
            }
            channel.writeAndFlush(next.fullRequest()).addListener(done -> requestWritten(next, done.isSuccess()));
        }

        private void requestWritten(Attempt of, boolean success) {
            if (!success) {
                close(channel);
            }
            of.requestWritten(success);
        }

        /** Writes the part of a long body that has arrived, then the rest as it arrives. */
        private void writeLongRequest(Attempt next) {
            OpenRequest of = next.request;
            channel.write(next.longRequestHead());
            channel.writeAndFlush(new DefaultHttpContent(of.body().retainedDuplicate()));
            next.restSink = new RestWriter(next);
            of.rest().attach(next.restSink);
        }

        /** Writes the rest of a long body as it comes. */
        private final class RestWriter implements BodyStream.Sink {
            private final Attempt of;
            private final OpenRequest request;
            private boolean consumed;

            RestWriter(Attempt of) {
                this.of = of;
                request = of.request;
            }

            @Override
            public void piece(ByteBuf piece) {
                int size = piece.readableBytes();
                if (!consumed) {
                    consumed = true;
                    listener.bodyGone(request);
                }
                channel.writeAndFlush(new DefaultHttpContent(piece))
                        .addListener(done -> request.rest().written(size));
            }

            @Override
            public void end(boolean whole) {
                if (whole) {
                    // The client's timeout starts when it has sent the last byte.
                    if (!of.ended) {
                        of.scheduleTimeout(
                                Math.max(0, Math.min(listener.remainingNanos(request), of.remainingArrivalNanos())));
                    }
                    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                            .addListener(done -> requestWritten(of, done.isSuccess()));
                } else {
                    // The client broke off, which says nothing about the app server. Without the last byte it has
                    // not begun the request.
                    close(channel);
                    of.end(Outcome.NOT_SENT, 0, null);
                }
            }
        }

        @Override
        BodyStream startStreaming(HttpResponse answer, long length) {
            if (outcome(answer) != Outcome.OK) {
                return null;
            }
            Attempt of = attempt;
            watchPartialAnswer(false);
            BodyStream passage = of.request.openResponseStream(loop, this);
            of.startAnswer(units(answer), passage, length);
            return passage;
        }

        @Override
        void streamingEnded(HttpResponse answer) {
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

        /** The client disconnected before the end of the answer; the rest of it is discarded. */
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
            endUse();
        }

        private void endUse() {
            if (use != null) {
                use.end();
                use = null;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            super.channelInactive(context);
            endUse();
        }

        @Override
        protected boolean expectsAnswer() {
            return attempt != null && attempt.written;
        }

        @Override
        protected void answered(HttpResponse answer, ByteBuf body) {
            Attempt of = attempt;
            attempt = null;
            of.connection = null;
            reusable = HttpUtil.isKeepAlive(answer);
            if (!reusable) {
                close(channel);
            }
            Outcome outcome = outcome(answer);
            of.end(outcome, outcome == Outcome.OK ? units(answer) : 0, body);
        }

        /**
         * Decides whether the connection can be reused, after all that was read has been decoded: bytes that follow an
         * answer would be taken for the answer to the next request, which would be lost.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            boolean clean = decoder.isAtMessageBoundary();
            lastReadAt = System.nanoTime();
            if (isStreaming()) {
                return;
            }
            if (attempt != null) {
                watchPartialAnswer(!clean);
            } else if (!clean) {
                close(channel);
            } else if (reusable) {
                reusable = false;
                watchPartialAnswer(false);
                release();
            }
        }

        private void watchPartialAnswer(boolean partial) {
            if (partial && partialAnswerCheck == null) {
                checkedReadAt = lastReadAt;
                scheduleCheck();
            } else if (!partial && partialAnswerCheck != null) {
                partialAnswerCheck.cancel(false);
                partialAnswerCheck = null;
            }
        }

        private void scheduleCheck() {
            long delay = PartialAnswerPolicy.untilNextCheck(listener.remainingNanos(attempt.request));
            partialAnswerCheck = loop.schedule(this::checkPartialAnswer, delay, TimeUnit.NANOSECONDS);
        }

        private void checkPartialAnswer() {
            partialAnswerCheck = null;
            if (attempt == null) {
                return;
            }
            OpenRequest request = attempt.request;
            boolean receivedMore = lastReadAt != checkedReadAt;
            checkedReadAt = lastReadAt;
            long silence = System.nanoTime() - lastReadAt;
            long remaining = listener.remainingNanos(request);
            boolean wouldRetry = listener.wouldRetry(request);
            switch (PartialAnswerPolicy.next(partialSize(), silence, receivedMore, remaining, wouldRetry)) {
                case STREAM -> {
                    attempt.log(EventLog.Event.ANSWER_BEGUN_EARLY, "");
                    startStreamingEarly();
                }
                case GIVE_UP -> {
                    attempt.log(EventLog.Event.ANSWER_GIVEN_UP, ", silent for " + silence / NANOS_PER_MS + " ms");
                    unusable();
                }
                case WAIT -> {}
            }
            if (attempt != null && !isStreaming()) {
                scheduleCheck();
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

        /**
         * Returns the units that the answer says were charged; 0 if they cannot be parsed or exceed a request's
         * maximum.
         */
        private double units(HttpResponse answer) {
            double units = NumberParser.parsePositive(answer.headers().get("X-Units-Charged"), maxUnits);
            return Double.isNaN(units) ? 0 : units;
        }

        /** The connection has ended or must not be used any more. */
        @Override
        protected void unusable() {
            watchPartialAnswer(false);
            if (endpoint != null) {
                endpoint.idle.remove(this);
            }
            // Close first: a further attempt must not find this connection open.
            close(channel);
            if (attempt != null) {
                attempt.connectionLost();
            }
        }
    }
}
