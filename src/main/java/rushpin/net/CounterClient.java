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
 * Calls to the shared counter, written one behind another on a few connections. A name always has the same place
 * among these, so that the calls of a name are counted, and told to the module, in their order.
 */
public final class CounterClient {
    private static final int PLACES = 4, MOST_PENDING = 256, MOST_ANSWER = 1024;
    private static final long MS = 1_000_000L;
    /** A line with a call unanswered for so many time-outs is taken to lead nowhere and is replaced. */
    private static final int SILENT_TIMEOUTS = 10;

    /** Hears how calls end. */
    public interface Listener {
        /** A call ended; calls of one name end in their order. */
        void counted(long name, Outcome outcome, double total);
    }

    private final Listener listener;
    private final EventLoop loop;
    private final long timeout;
    private final String prefix;
    private final Bootstrap bootstrap;
    private final Place[] places = new Place[PLACES];
    private SocketAddress address;
    private boolean closed;

    /** Opens nothing yet: the first call does. */
    public CounterClient(Listener listener, EventLoop loop, Upstream config) {
        this(listener, loop, config, Transport.clientBootstrap(loop, config.counter()));
    }

    /** As above, by sockets of one's own. */
    CounterClient(Listener listener, EventLoop loop, Upstream config, Bootstrap sockets) {
        this.listener = listener;
        this.loop = loop;
        address = config.counter();
        prefix = config.countPrefix();
        timeout = Math.max(MS, config.counterTimeout());
        bootstrap =
                sockets.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, config.connectTimeout() / MS));
        for (int i = 0; i < PLACES; i++) {
            places[i] = new Place();
        }
    }

    /** Adds to a named number; the outcome is told later, never from within this call. */
    public void count(long name, double amount, long lifetime) {
        places[(int) Long.remainderUnsigned(name, PLACES)].add(name, amount, lifetime);
    }

    /** From now on calls go elsewhere; what was written to the old address may still be answered there. */
    public void move(SocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            for (Place place : places) {
                place.renew();
            }
        }
    }

    /** Lets go of all lines; no call ends any more. */
    public void close() {
        closed = true;
        for (Place place : places) {
            if (place.line != null) {
                place.line.die();
            }
        }
    }

    /** One call; it ends exactly once, though its answer may still be on its way and has its place in line. */
    private final class Call {
        private final Place place;
        private final long name, at = System.nanoTime();
        private final String uri;
        private Line line;
        private long writtenAt;
        private boolean written, over, readFirst;

        Call(Place place, long name, double amount, long lifetime) {
            this.place = place;
            this.name = name;
            uri = "/tally/" + prefix + Long.toUnsignedString(name) + "?n="
                    + BigDecimal.valueOf(amount).toPlainString() + "&keep_ms=" + Math.max(1, (lifetime + MS - 1) / MS);
        }

        void end(Outcome outcome, double total) {
            if (!over) {
                over = true;
                if (closed) {
                    return;
                }
                listener.counted(name, outcome, total);
            }
        }

        /** Before its last byte is written nothing was added; after that nobody knows. */
        void broke() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0);
        }

        void expire() {
            if (over) {
                return;
            }
            long left = place.left(this);
            if (left > 0) {
                loop.schedule(this::expire, left, TimeUnit.NANOSECONDS);
                return;
            }
            if (!readFirst) {
                // This process may have been busy, or not let run, and an answer that came in time lie there unread:
                // the
                // loop reads before it looks at its timers again. All wait for that, so calls end in their order.
                readFirst = true;
                loop.schedule(this::expire, 1, TimeUnit.NANOSECONDS);
                return;
            }
            // Those before it are due as well, though their timers may have been set a moment later.
            if (line != null) {
                line.endBefore(this);
            } else {
                place.endBefore(this);
            }
            place.waiting.remove(this);
            end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0);
            if (line != null) {
                line.expired(this);
            }
        }
    }

    /** The calls of a part of the names, and the line they go by. */
    private final class Place {
        private final ArrayDeque<Call> waiting = new ArrayDeque<>();
        private Line line;
        private Call last;
        private boolean flushing;

        void add(long name, double amount, long lifetime) {
            if (line != null && waiting.size() + line.pending.size() >= MOST_PENDING) {
                // No answers for so long: all end here, in their order, and the call at hand has a new line.
                line.die();
            }
            if (waiting.size() >= MOST_PENDING) {
                // These wait for a call that is out on another line.
                endBefore(null);
            }
            if (line == null) {
                line = new Line(this);
            }
            Call call = new Call(this, name, amount, lifetime);
            waiting.add(call);
            loop.schedule(call::expire, timeout, TimeUnit.NANOSECONDS);
            if (!flushing) {
                // All calls of one turn of the loop go out together.
                flushing = true;
                loop.execute(() -> {
                    flushing = false;
                    write();
                });
            }
        }

        /**
         * For how much longer a call is waited for. Its time begins when it is written: a process that was busy between
         * took that for the counter's silence, asked less, refused more, and was the busier for those who came again. What
         * is not written yet waits for what is, since calls end in their order.
         */
        long left(Call of) {
            Call by = of.written ? of : last != null && !last.over && last.written ? last : null;
            return by == null ? 0 : by.writtenAt + timeout - System.nanoTime();
        }

        void renew() {
            if (line != null) {
                Line old = line;
                line = new Line(this);
                old.closeIfDone();
            }
        }

        /** Whether a call is out on a line that has been replaced. */
        boolean isOutElsewhere() {
            return last != null && !last.over && last.line != line;
        }

        /** Ends what was asked before a call that still waits, in order; all of it before null. */
        void endBefore(Call waits) {
            Call out = last;
            if (out != null && !out.over) {
                out.line.endBefore(null);
                out.line.expired(out);
            }
            // Who hears of an end may ask for more, and that may end all that waits.
            while (!waiting.isEmpty() && waiting.peek() != waits) {
                waiting.poll().broke();
            }
        }

        /** Calls end in their order, so none is written while an earlier one is out on another line. */
        void write() {
            if (line == null || !line.isActive() || isOutElsewhere()) {
                return;
            }
            while (!waiting.isEmpty()) {
                last = waiting.poll();
                line.write(last);
            }
            line.channel.flush();
        }
    }

    /** A connection with its calls in the order in which they are answered. */
    private final class Line extends AnswerHandler implements Transport.ConnectListener {
        private final Place place;
        private final ArrayDeque<Call> pending = new ArrayDeque<>();
        private final AnswerDecoder decoder = new AnswerDecoder();
        /** Null where no socket could be had. */
        private final Channel channel;

        private boolean connected, dead;

        Line(Place place) {
            super(MOST_ANSWER);
            this.place = place;
            Bootstrap connecting = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel made) {
                    made.pipeline().addLast(decoder, new HttpRequestEncoder(), Line.this);
                }
            });
            channel = Transport.connect(connecting, loop, address, this);
        }

        @Override
        public void opened(Channel made) {
            connected = true;
            place.write();
        }

        @Override
        public void failed(Throwable cause) {
            die();
        }

        @Override
        public void ended() {
            // A connection's end is told to its handler.
        }

        boolean isActive() {
            return channel != null && channel.isActive();
        }

        void write(Call call) {
            call.line = this;
            pending.add(call);
            DefaultFullHttpRequest message =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, call.uri);
            message.headers().set(HttpHeaderNames.HOST, "counter").set(HttpHeaderNames.CONTENT_LENGTH, 0);
            channel.write(message).addListener(done -> {
                call.written = done.isSuccess();
                call.writtenAt = System.nanoTime();
            });
        }

        /** Ends what was written before a call; all of it before null. */
        void endBefore(Call call) {
            for (Call before : List.copyOf(pending)) {
                if (before == call) {
                    return;
                }
                before.end(before.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0);
            }
        }

        void expired(Call call) {
            Call oldest = pending.peek();
            boolean silent = oldest != null && System.nanoTime() - oldest.at > SILENT_TIMEOUTS * timeout;
            if (!call.written || silent || !decoder.isBetween()) {
                // The silence is the connection's, an answer begun will not get whole, or the call is still to be
                // written and must not be any more: later calls get a new line.
                die();
            } else {
                closeIfDone();
            }
        }

        /** A line that has been replaced is kept for the calls that are out on it, and no longer. */
        void closeIfDone() {
            if (place.line != this && (pending.isEmpty() || pending.peekLast().over)) {
                die();
                place.write();
            }
        }

        /** Gives the line up; its calls end in their order and the next call opens another. */
        private void die() {
            if (dead) {
                return;
            }
            dead = true;
            if (channel != null) {
                channel.close();
            }
            if (place.line == this) {
                place.line = null;
            }
            while (!pending.isEmpty()) {
                pending.poll().broke();
            }
            if (place.line != null || place.waiting.isEmpty() || place.isOutElsewhere()) {
                // What waits for a call on another line is seen to when that one ends: calls end in their order, and a
                // line that comes up and is reset at once would go round and round meanwhile.
                return;
            }
            if (connected && !closed) {
                place.line = new Line(place);
            } else {
                // Nobody listens there: to try again at once would only go round and round.
                while (!place.waiting.isEmpty()) {
                    place.waiting.poll().broke();
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
                    // It was added. A total that cannot be read leaves it unknown, and the line is no good.
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
                die();
            }
        }

        @Override
        protected void unusable() {
            die();
        }
    }
}
