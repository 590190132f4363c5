package rushpin.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import rushpin.gateway.Ports.Outcome;

/**
 * Client of the shared counter. Calls are pipelined on a few connections.
 *
 * <p>A counter name always maps to the same partition, and a partition uses one connection at a time, so that the
 * calls of a name are counted, and their outcomes reported, in order.
 */
public final class CounterClient {
    private static final int PARTITIONS = 4;
    /** Maximum number of calls of a partition that are queued or in flight. */
    private static final int MAX_PENDING_CALLS = 256;

    private static final int MAX_ANSWER_BYTES = 1024;
    private static final long NANOS_PER_MS = 1_000_000L;
    /** A connection on which a call has not been answered for this many timeouts is considered dead and is replaced. */
    private static final int SILENT_TIMEOUTS = 10;

    /** Receives the outcomes of calls. */
    public interface Listener {
        /**
         * A call has ended; the calls of one name end in the order in which they were made.
         *
         * @param total the counter's total after the call; 0 unless the outcome is {@code OK}
         */
        void counted(long name, Outcome outcome, double total);
    }

    private final Listener listener;
    private final EventLoop loop;
    /** Timeout of a call, in nanoseconds. */
    private final long timeout;

    private final String prefix;
    private final Bootstrap bootstrap;
    private final Partition[] partitions = new Partition[PARTITIONS];
    private SocketAddress address;
    private boolean closed;

    /** Creates a client; it connects with the first call. */
    public CounterClient(Listener listener, EventLoop loop, Upstream config) {
        this(listener, loop, config, Transport.clientBootstrap(loop, config.counter()));
    }

    /** As above, with a given bootstrap for its sockets. */
    CounterClient(Listener listener, EventLoop loop, Upstream config, Bootstrap sockets) {
        this.listener = listener;
        this.loop = loop;
        address = config.counter();
        prefix = config.countPrefix();
        timeout = Math.max(NANOS_PER_MS, config.counterTimeout());
        bootstrap = sockets.option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, config.connectTimeout() / NANOS_PER_MS));
        for (int i = 0; i < PARTITIONS; i++) {
            partitions[i] = new Partition();
        }
    }

    /**
     * Adds an amount to a counter. The outcome is reported later, never from within this call.
     *
     * @param lifetime how long the counter keeps the name, in nanoseconds
     */
    public void count(long name, double amount, long lifetime) {
        partitions[(int) Long.remainderUnsigned(name, PARTITIONS)].add(name, amount, lifetime);
    }

    /** Sends further calls to another address. Calls already written to the old one may still be answered there. */
    public void move(SocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            for (Partition partition : partitions) {
                partition.reconnect();
            }
        }
    }

    /** Closes all connections. No further outcome is reported. */
    public void close() {
        closed = true;
        for (Partition partition : partitions) {
            if (partition.connection != null) {
                partition.connection.abandon();
            }
        }
    }

    /**
     * One call. It ends exactly once; if its answer is still outstanding then, the call keeps its position in the
     * pipeline.
     */
    private final class Call {
        private final Partition partition;
        private final long name;
        private final long createdAt = System.nanoTime();
        private final String uri;
        /** The connection to which the call was written; null before that. */
        private Connection connection;

        private long writtenAt;
        private boolean written;
        private boolean ended;
        /** Whether a due timeout was put off once so that input could be read. */
        private boolean timeoutDeferred;

        Call(Partition partition, long name, double amount, long lifetime) {
            this.partition = partition;
            this.name = name;
            uri = "/tally/" + prefix + Long.toUnsignedString(name) + "?n="
                    + BigDecimal.valueOf(amount).toPlainString() + "&keep_ms="
                    + Math.max(1, (lifetime + NANOS_PER_MS - 1) / NANOS_PER_MS);
        }

        void end(Outcome outcome, double total) {
            if (!ended) {
                ended = true;
                if (closed) {
                    return;
                }
                listener.counted(name, outcome, total);
            }
        }

        /**
         * The connection was lost. Nothing was added if the last byte was not written; otherwise the outcome is
         * unknown.
         */
        void connectionLost() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0);
        }

        void expire() {
            if (ended) {
                return;
            }
            long left = partition.remainingNanos(this);
            if (left > 0) {
                loop.schedule(this::expire, left, TimeUnit.NANOSECONDS);
                return;
            }
            if (!timeoutDeferred) {
                // The process may have been delayed and an answer that arrived in time may be unread: the event loop
                // reads before it runs timers again. All calls are put off in the same way, so they end in order.
                timeoutDeferred = true;
                loop.schedule(this::expire, 1, TimeUnit.NANOSECONDS);
                return;
            }
            // Earlier calls have expired too, though their timers may have been set a moment later.
            if (connection != null) {
                connection.endCallsBefore(this);
            } else {
                partition.endCallsBefore(this);
            }
            partition.queued.remove(this);
            end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0);
            if (connection != null) {
                connection.expired(this);
            }
        }
    }

    /** The calls of a subset of the names, and the connection that they use. */
    private final class Partition {
        private final ArrayDeque<Call> queued = new ArrayDeque<>();
        private Connection connection;
        private Call lastWritten;
        private boolean flushing;

        void add(long name, double amount, long lifetime) {
            if (connection != null && queued.size() + connection.pending.size() >= MAX_PENDING_CALLS) {
                // No answers for long: ends all calls in order, and opens a new connection for this one.
                connection.abandon();
            }
            if (queued.size() >= MAX_PENDING_CALLS) {
                // These wait for a call in flight on a previous connection.
                endCallsBefore(null);
            }
            if (connection == null) {
                connection = new Connection(this);
            }
            Call call = new Call(this, name, amount, lifetime);
            queued.add(call);
            loop.schedule(call::expire, timeout, TimeUnit.NANOSECONDS);
            if (!flushing) {
                // Flushes the calls of one turn of the event loop together.
                flushing = true;
                loop.execute(() -> {
                    flushing = false;
                    write();
                });
            }
        }

        /**
         * Returns the nanoseconds until a call times out. The timeout starts when the call is written: when it started
         * with the call, a busy process took its own delay for silence of the counter, asked less, refused more
         * requests and became busier with the clients' retries. A call that is not written yet waits for the last
         * written one, since calls end in order.
         */
        long remainingNanos(Call call) {
            Call reference = call.written
                    ? call
                    : lastWritten != null && !lastWritten.ended && lastWritten.written ? lastWritten : null;
            return reference == null ? 0 : reference.writtenAt + timeout - System.nanoTime();
        }

        void reconnect() {
            if (connection != null) {
                Connection old = connection;
                connection = new Connection(this);
                old.closeIfDone();
            }
        }

        /** Returns whether a call is in flight on a connection that has been replaced. */
        boolean isInFlightOnPrevious() {
            return lastWritten != null && !lastWritten.ended && lastWritten.connection != connection;
        }

        /** Ends the calls before one that is queued, in order; all calls if it is null. */
        void endCallsBefore(Call waits) {
            Call out = lastWritten;
            if (out != null && !out.ended) {
                out.connection.endCallsBefore(null);
                out.connection.expired(out);
            }
            // The listener may make further calls, and these may end all that are queued.
            while (!queued.isEmpty() && queued.peek() != waits) {
                queued.poll().connectionLost();
            }
        }

        /**
         * Writes the queued calls, unless an earlier call is in flight on a previous connection: calls end in order.
         */
        void write() {
            if (connection == null || !connection.isActive() || isInFlightOnPrevious()) {
                return;
            }
            while (!queued.isEmpty()) {
                lastWritten = queued.poll();
                connection.write(lastWritten);
            }
            connection.channel.flush();
        }
    }

    /** A connection and its calls in the order in which they are answered. */
    private final class Connection extends AnswerHandler implements Transport.ConnectListener {
        private final Partition partition;
        private final ArrayDeque<Call> pending = new ArrayDeque<>();
        private final AnswerDecoder decoder = new AnswerDecoder();
        /** Null if no socket could be created. */
        private final Channel channel;

        private boolean connected;
        private boolean abandoned;

        Connection(Partition partition) {
            super(MAX_ANSWER_BYTES);
            this.partition = partition;
            Bootstrap connecting = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel made) {
                    made.pipeline().addLast(decoder, new HttpRequestEncoder(), Connection.this);
                }
            });
            channel = Transport.connect(connecting, loop, address, this);
        }

        @Override
        public void opened(Channel made) {
            connected = true;
            partition.write();
        }

        @Override
        public void failed(Throwable cause) {
            abandon();
        }

        @Override
        public void ended() {
            // The channel handler is notified of the end of a connection.
        }

        boolean isActive() {
            return channel != null && channel.isActive();
        }

        void write(Call call) {
            call.connection = this;
            pending.add(call);
            DefaultFullHttpRequest message =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, call.uri);
            message.headers().set(HttpHeaderNames.HOST, "counter").set(HttpHeaderNames.CONTENT_LENGTH, 0);
            channel.write(message).addListener(done -> {
                call.written = done.isSuccess();
                call.writtenAt = System.nanoTime();
            });
        }

        /** Ends the calls that were written before a given one; all calls if it is null. */
        void endCallsBefore(Call call) {
            for (Call before : List.copyOf(pending)) {
                if (before == call) {
                    return;
                }
                before.end(before.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0);
            }
        }

        void expired(Call call) {
            Call oldest = pending.peek();
            boolean silent = oldest != null && System.nanoTime() - oldest.createdAt > SILENT_TIMEOUTS * timeout;
            if (!call.written || silent || !decoder.isAtMessageBoundary()) {
                // The connection is dead, a partial answer will not be completed, or the call is still in the write
                // buffer and must not be written any more: later calls get a new connection.
                abandon();
            } else {
                closeIfDone();
            }
        }

        /** Closes a replaced connection when no call on it is outstanding any more. */
        void closeIfDone() {
            if (partition.connection != this && (pending.isEmpty() || pending.peekLast().ended)) {
                abandon();
                partition.write();
            }
        }

        /** Closes the connection; its calls end in order, and the next call opens another connection. */
        private void abandon() {
            if (abandoned) {
                return;
            }
            abandoned = true;
            if (channel != null) {
                channel.close();
            }
            if (partition.connection == this) {
                partition.connection = null;
            }
            while (!pending.isEmpty()) {
                pending.poll().connectionLost();
            }
            if (partition.connection != null || partition.queued.isEmpty() || partition.isInFlightOnPrevious()) {
                // Queued calls that wait for a call on a previous connection are handled when that one ends: calls end
                // in order, and a new connection that is reset at once would be opened over and over meanwhile.
                return;
            }
            if (connected && !closed) {
                partition.connection = new Connection(partition);
            } else {
                // The connect failed: an immediate retry would only fail over and over.
                while (!partition.queued.isEmpty()) {
                    partition.queued.poll().connectionLost();
                }
            }
        }

        @Override
        protected boolean expectsAnswer() {
            return !pending.isEmpty() && pending.peek().written;
        }

        @Override
        protected void answered(HttpResponse answer, ByteBuf body) {
            Call call = pending.poll();
            boolean good = HttpUtil.isKeepAlive(answer);
            switch (answer.status().code()) {
                case 200 -> {
                    double total = NumberParser.parseDecimal(
                            body.toString(StandardCharsets.US_ASCII).strip());
                    // The amount was added. If the total cannot be parsed it is unknown, and the connection is not
                    // reused.
                    boolean known = !Double.isNaN(total);
                    good &= known;
                    call.end(known ? Outcome.OK : Outcome.RESET, known ? total : 0);
                }
                case 503, 400, 404 -> call.end(Outcome.FULL, 0);
                default -> {
                    good = false;
                    call.end(Outcome.RESET, 0);
                }
            }
            if (good) {
                closeIfDone();
            } else {
                abandon();
            }
        }

        @Override
        protected void unusable() {
            abandon();
        }
    }
}
