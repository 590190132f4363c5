package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A body that is not kept: pieces go from the peer that sends to the one that takes, and no more of them are on the way
 * than {@value #MOST} bytes and one read, or its even part of a {@link Room}. The sides may live on different loops; each
 * calls and is called on its own. Every piece is released, whoever ends first.
 */
public final class BodyStream {
    /** Bytes on the way at which a sender is no longer read from, where there is room, and where there is none. */
    static final int MOST = 32 * 1024, LEAST = 4 * 1024;
    /** Nanoseconds for which nothing may move, and for which it may last in all. */
    private static final long STILL = 10_000_000_000L, LASTS = 1_000_000_000_000L;
    /** The longest that goes through. */
    static final long MAX_LENGTH = 40_000_000L;

    /** What all passages of a process may have on the way together. Any thread. */
    static final class Room {
        private final long most;
        private final AtomicInteger open = new AtomicInteger();

        Room(long most) {
            this.most = most;
        }

        private int part() {
            return (int) Math.max(LEAST, Math.min(MOST, most / Math.max(1, open.get())));
        }

        /** How many passages have something on the way, or may have. */
        int open() {
            return open.get();
        }
    }

    /** Who sends. */
    interface Source {
        /** Whether more is wanted now. */
        void flow(boolean go);

        /** Nothing more is wanted, ever: the taker has gone. */
        void stopped();
    }

    /** Who takes. */
    interface Sink {
        /** Takes a piece over; {@link BodyStream#written} follows once it is written. */
        void piece(ByteBuf piece);

        /** No more pieces come; {@code whole} if that is all of it, else the sender broke off. */
        void end(boolean whole);
    }

    private final EventLoop sending, taking;
    private final Source source;
    private final Room room;
    private final long began = System.nanoTime();
    /** On the sender's loop. */
    private int onTheWay;

    private boolean paused, ended, left;
    /** Read from the taker's loop too. */
    private volatile long progress = System.nanoTime();
    /** On the taker's loop. */
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();

    private Sink sink;
    private boolean last, whole, over;

    BodyStream(EventLoop sending, Source source, EventLoop taking, Room room) {
        this.room = room;
        room.open.incrementAndGet();
        this.sending = sending;
        this.source = source;
        this.taking = taking;
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
        if (onTheWay >= room.part() && !paused) {
            paused = true;
            source.flow(false);
        }
        on(taking, () -> arrive(piece));
    }

    /** The sender's: that was all, or it broke off. */
    void end(boolean complete) {
        if (!ended) {
            ended = true;
            leave();
            on(taking, () -> {
                last = true;
                whole = complete;
                finish();
            });
        }
    }

    /** It has ended, and nothing of it is on the way any more. */
    private void leave() {
        if (ended && onTheWay == 0 && !left) {
            left = true;
            room.open.decrementAndGet();
        }
    }

    /** Whether nothing has moved for long, on either side, or it lasts for too long; from any thread. */
    boolean isStuck() {
        long now = System.nanoTime();
        return now - progress > STILL || now - began > LASTS;
    }

    private void arrive(ByteBuf piece) {
        if (over) {
            int size = piece.readableBytes();
            piece.release();
            written(size);
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
    void written(int bytes) {
        on(sending, () -> {
            onTheWay -= bytes;
            progress = System.nanoTime();
            if (paused && onTheWay < room.part() / 2 && !ended) {
                paused = false;
                source.flow(true);
            }
            leave();
        });
    }

    /** The taker's: nothing more is wanted. */
    public void stop() {
        over = true;
        int dropped = 0;
        while (!waiting.isEmpty()) {
            dropped += waiting.peek().readableBytes();
            waiting.poll().release();
        }
        written(dropped);
        on(sending, () -> {
            if (!ended) {
                ended = true;
                leave();
                source.stopped();
            }
        });
    }
}
