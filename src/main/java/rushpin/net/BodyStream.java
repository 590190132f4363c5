package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams a body that is not buffered from the peer that sends it to the peer that receives it, with backpressure: no
 * more than {@value #MAX_IN_FLIGHT} bytes and one read are in flight, or an equal part of a {@link BufferBudget} if
 * that is less. The two sides may be on different event loops; each calls, and is called, on its own. Every chunk is
 * released, whichever side ends first.
 *
 * <p>The receiver may detach its sink and attach another one: chunks, and the end, that come meanwhile wait for it.
 */
public final class BodyStream {
    /** Memory in flight, in bytes, at which reading from the sender stops while the budget has room. */
    static final int MAX_IN_FLIGHT = 32 * 1024;

    /** The same once the budget is used up. */
    static final int MIN_IN_FLIGHT = 4 * 1024;
    /** Memory of a chunk beside its bytes: a slice, a message, a promise and its listener. */
    static final int CHUNK_OVERHEAD_BYTES = 256;
    /** Maximum time without progress. */
    private static final long STALL_TIMEOUT_NANOS = 10_000_000_000L;

    /** Maximum duration of a stream. */
    private static final long MAX_DURATION_NANOS = 1_000_000_000_000L;

    /** The longest body that is streamed, in bytes. */
    static final long MAX_LENGTH = 40_000_000L;

    /** Limits the bytes that all streams of a process have in flight together; may be used from any thread. */
    static final class BufferBudget {
        private final long capacity;
        private final AtomicInteger open = new AtomicInteger();

        BufferBudget(long capacity) {
            this.capacity = capacity;
        }

        private int perStream() {
            return (int) Math.max(MIN_IN_FLIGHT, Math.min(MAX_IN_FLIGHT, capacity / Math.max(1, open.get())));
        }

        /** The number of streams that have bytes in flight, or may have. */
        int open() {
            return open.get();
        }
    }

    /** The side that sends. */
    interface Source {
        /** Resumes reading if {@code go}, otherwise pauses it. */
        void flow(boolean go);

        /** Nothing more will be read: the receiver has stopped the stream. */
        void stopped();
    }

    /** The side that receives. */
    interface Sink {
        /** Takes over a chunk; calls {@link BodyStream#written} once it is written. */
        void piece(ByteBuf chunk);

        /** No more chunks come; {@code whole} if the body is complete, otherwise the sender broke off. */
        void end(boolean whole);
    }

    private final EventLoop senderLoop;
    private final EventLoop receiverLoop;
    private final Source source;
    private final BufferBudget budget;
    private final long startedAt = System.nanoTime();
    /** Memory of the chunks in flight, in bytes; like the flags below it belongs to the sender's loop. */
    private int inFlight;

    private boolean paused;
    private boolean ended;
    private boolean budgetReleased;
    /** When bytes last moved; also read on the receiver's loop. */
    private volatile long progress = System.nanoTime();
    /** Chunks that came while no sink was attached; like the fields below it belongs to the receiver's loop. */
    private final ArrayDeque<ByteBuf> pending = new ArrayDeque<>();

    /** Null while none is attached. */
    private Sink sink;

    /** Whether a sink has taken a chunk, which no other sink will get. */
    private boolean passedOn;

    private boolean lastReceived;
    private boolean complete;
    /** Whether the attached sink was told of the end. */
    private boolean endAnnounced;
    /** Whether the receiver has stopped the stream. */
    private boolean stopped;

    BodyStream(EventLoop senderLoop, Source source, EventLoop receiverLoop, BufferBudget budget) {
        this.budget = budget;
        budget.open.incrementAndGet();
        this.senderLoop = senderLoop;
        this.source = source;
        this.receiverLoop = receiverLoop;
    }

    private static void runOn(EventLoop loop, Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    /** Hands over a chunk; called by the sender. */
    void push(ByteBuf chunk) {
        int size = chunk.readableBytes();
        if (ended || size == 0) {
            chunk.release();
            return;
        }
        inFlight += cost(size);
        progress = System.nanoTime();
        if (inFlight >= budget.perStream() && !paused) {
            paused = true;
            source.flow(false);
        }
        runOn(receiverLoop, () -> receive(chunk));
    }

    /** A peer may send its body byte by byte: then the chunks' objects take most of the memory. */
    private static int cost(int chunkBytes) {
        return chunkBytes + CHUNK_OVERHEAD_BYTES;
    }

    /** Ends the stream, with the body complete or broken off; called by the sender. */
    void end(boolean whole) {
        if (!ended) {
            ended = true;
            releaseBudget();
            runOn(receiverLoop, () -> {
                lastReceived = true;
                complete = whole;
                announceEnd();
            });
        }
    }

    /** Gives the stream's part of the budget back once it has ended and nothing is in flight any more. */
    private void releaseBudget() {
        if (ended && inFlight == 0 && !budgetReleased) {
            budgetReleased = true;
            budget.open.decrementAndGet();
        }
    }

    /** Whether there was no progress for too long, or the stream lasts too long; may be called from any thread. */
    boolean isStuck() {
        long now = System.nanoTime();
        return now - progress > STALL_TIMEOUT_NANOS || now - startedAt > MAX_DURATION_NANOS;
    }

    private void receive(ByteBuf chunk) {
        if (stopped) {
            int size = chunk.readableBytes();
            chunk.release();
            written(size);
        } else if (sink == null) {
            pending.add(chunk);
        } else {
            passOn(chunk);
        }
    }

    private void passOn(ByteBuf chunk) {
        passedOn = true;
        sink.piece(chunk);
    }

    private void announceEnd() {
        if (lastReceived && sink != null && !endAnnounced && !stopped) {
            endAnnounced = true;
            sink.end(complete);
        }
    }

    /** Sets where chunks go, the pending ones first; called by the receiver. */
    void attach(Sink receiver) {
        if (stopped) {
            return;
        }
        sink = receiver;
        endAnnounced = false;
        while (!pending.isEmpty() && sink == receiver) {
            passOn(pending.poll());
        }
        announceEnd();
    }

    /**
     * Leaves further chunks to the next sink, unless another one than {@code receiver} is attached already; called by
     * the receiver.
     */
    void detach(Sink receiver) {
        if (sink == receiver) {
            sink = null;
        }
    }

    /** Whether a chunk was handed to a sink, so that another one would get the body with a gap; for the receiver. */
    boolean isPassedOn() {
        return passedOn;
    }

    /** Reports that a chunk of this size was written; called by the receiver. */
    void written(int chunkBytes) {
        release(cost(chunkBytes));
    }

    private void release(int memory) {
        runOn(senderLoop, () -> {
            inFlight -= memory;
            progress = System.nanoTime();
            if (paused && inFlight < budget.perStream() / 2 && !ended) {
                paused = false;
                source.flow(true);
            }
            releaseBudget();
        });
    }

    /** Stops the stream and drops the rest; called by the receiver. */
    public void stop() {
        stopped = true;
        int dropped = 0;
        while (!pending.isEmpty()) {
            dropped += cost(pending.peek().readableBytes());
            pending.poll().release();
        }
        release(dropped);
        runOn(senderLoop, () -> {
            if (!ended) {
                ended = true;
                releaseBudget();
                source.stopped();
            }
        });
    }
}
