package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;

/**
 * A body that is not kept: pieces go from the peer that sends to the one that takes, and no more of them are on the way
 * than {@value #MOST} bytes and one read. The sides may live on different loops; each calls and is called on its own.
 * Every piece is released, whoever ends first.
 */
public final class Passage {
    /** Bytes on the way at which the sender is no longer read from, and below which it is again. */
    static final int MOST = 32 * 1024, FEW = 16 * 1024;
    /** The longest that goes through. */
    static final long LONGEST = 40_000_000L;

    /** Who sends. */
    interface Source {
        /** Whether more is wanted now. */
        void flow(boolean go);

        /** Nothing more is wanted, ever: the taker has gone. */
        void stopped();
    }

    /** Who takes. */
    interface Sink {
        /** Takes a piece over; {@link Passage#taken} follows once it is written. */
        void piece(ByteBuf piece);

        /** No more pieces come; {@code whole} if that is all of it, else the sender broke off. */
        void end(boolean whole);
    }

    private final EventLoop sending, taking;
    private final Source source;
    /** On the sender's loop. */
    private int onTheWay;
    private boolean paused, ended;
    /** Read from the taker's loop too. */
    private volatile long progress = System.nanoTime();
    /** On the taker's loop. */
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
    private Sink sink;
    private boolean last, whole, over;

    Passage(EventLoop sending, Source source, EventLoop taking) {
        this.sending = sending;
        this.source = source;
        this.taking = taking;
    }

    /** The same sender's, to a taker on another loop; before anything was handed over. */
    Passage to(EventLoop loop) {
        return loop == taking ? this : new Passage(sending, source, loop);
    }

    private static void on(EventLoop loop, Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    /** The sender's: hands over a piece. */
    void push(ByteBuf piece) {
        int size = piece.readableBytes();
        if (ended || size == 0) {
            piece.release();
            return;
        }
        onTheWay += size;
        progress = System.nanoTime();
        if (onTheWay >= MOST && !paused) {
            paused = true;
            source.flow(false);
        }
        on(taking, () -> arrive(piece));
    }

    /** The sender's: that was all, or it broke off. */
    void end(boolean complete) {
        if (!ended) {
            ended = true;
            on(taking, () -> {
                last = true;
                whole = complete;
                finish();
            });
        }
    }

    /** The sender's: nanoseconds for which nothing has moved, on either side. */
    long still() {
        return System.nanoTime() - progress;
    }

    private void arrive(ByteBuf piece) {
        if (over) {
            piece.release();
        } else if (sink == null) {
            waiting.add(piece);
        } else {
            sink.piece(piece);
        }
    }

    private void finish() {
        if (last && sink != null && !over) {
            over = true;
            sink.end(whole);
        }
    }

    /** The taker's: from now on pieces go there, those that wait first. */
    void attach(Sink to) {
        if (over) {
            return;
        }
        sink = to;
        while (!waiting.isEmpty() && !over) {
            to.piece(waiting.poll());
        }
        finish();
    }

    /** The taker's: so much was written. */
    void taken(int bytes) {
        on(sending, () -> {
            onTheWay -= bytes;
            progress = System.nanoTime();
            if (paused && onTheWay < FEW && !ended) {
                paused = false;
                source.flow(true);
            }
        });
    }

    /** The taker's: nothing more is wanted. */
    public void stop() {
        over = true;
        while (!waiting.isEmpty()) {
            waiting.poll().release();
        }
        on(sending, () -> {
            if (!ended) {
                ended = true;
                source.stopped();
            }
        });
    }
}
