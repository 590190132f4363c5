package rushpin.rig;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import rushpin.rig.Links.Mode;

/**
 * The bytes of one relayed connection in one direction, on their loop: read from a socket, held while the link says so,
 * written to the other. It holds no more than {@link #MOST_HELD} and one read beyond; then it reads on only as it gets rid
 * of some.
 */
final class Lane {
    static final int MOST_HELD = 256 << 10;
    /** A trickle comes in so many pieces a second at most, of a byte at least. */
    private static final int PIECES = 50;

    /** A piece, and from when on it may go. */
    private record Held(ByteBuf bytes, long due) {}

    private final Relay.Connection connection;
    private final ArrayDeque<Held> queue = new ArrayDeque<>();
    private Channel source, sink;
    private long held, lastDue, nextAt;
    private boolean over, gone, done, waits;

    Lane(Relay.Connection connection, Channel source) {
        this.connection = connection;
        this.source = source;
    }

    void from(Channel channel) {
        source = channel;
    }

    void to(Channel channel) {
        sink = channel;
        pump();
    }

    long held() {
        return held;
    }

    /** Takes a piece over. */
    void read(ByteBuf bytes) {
        long now = System.nanoTime();
        boolean late = connection.way().mode() == Mode.DELAY;
        lastDue = Math.max(lastDue, late ? now + connection.delay() : now);
        queue.add(new Held(bytes, lastDue));
        held += bytes.readableBytes();
        connection.took(bytes.readableBytes());
        pump();
    }

    /**
     * Its source has ended this direction, or is {@code gone}: its sink hears of it, once it has all and the link passes
     * anything.
     */
    void ended(boolean isGone) {
        over = true;
        gone |= isGone;
        pump();
    }

    /** Whether its source has ended. */
    boolean isOver() {
        return over;
    }

    /** Whether its sink has heard of that. */
    boolean isDone() {
        return done;
    }

    /** Writes what may go now, and reads on if there is room. */
    void pump() {
        if (!connection.passes(this)) {
            // Nothing is read, so nobody hears either that the other side has ended.
            pause();
            return;
        }
        if (sink == null) {
            // There is nowhere to yet.
            if (source != null && !over) {
                source.config().setAutoRead(held < MOST_HELD);
            }
            return;
        }
        if (!sink.isOpen()) {
            drop();
        }
        boolean wrote = false;
        for (Held first = queue.peek(); first != null && sink.isWritable(); first = queue.peek()) {
            long wait = wait(first);
            if (wait > 0) {
                later(wait);
                break;
            }
            write(first);
            wrote = true;
        }
        if (wrote) {
            sink.flush();
        }
        if (over && queue.isEmpty()) {
            finish();
        } else if (!over) {
            source.config().setAutoRead(held < MOST_HELD);
        }
    }

    /** What was written is out before the end; the other direction goes on where only this one has ended. */
    private void finish() {
        if (gone) {
            sink.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else if (!done) {
            done = true;
            sink.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
                ((DuplexChannel) sink).shutdownOutput();
                connection.done();
            });
        }
    }

    private void pause() {
        if (source != null && !over) {
            source.config().setAutoRead(false);
        }
    }

    private long wait(Held first) {
        return switch (connection.way().mode()) {
            case DELAY -> first.due - System.nanoTime();
            case TRICKLE -> nextAt - System.nanoTime();
            default -> 0;
        };
    }

    private void later(long wait) {
        if (!waits) {
            waits = true;
            connection
                    .loop()
                    .schedule(
                            () -> {
                                waits = false;
                                pump();
                            },
                            wait,
                            TimeUnit.NANOSECONDS);
        }
    }

    private void write(Held first) {
        int rate = connection.way().bytes(), all = first.bytes.readableBytes();
        int piece = connection.way().mode() == Mode.TRICKLE ? Math.min(all, Math.max(1, rate / PIECES)) : all;
        if (rate > 0) {
            nextAt = Math.max(nextAt, System.nanoTime() - 1_000_000_000L / PIECES) + piece * 1_000_000_000L / rate;
        }
        held -= piece;
        if (piece == all) {
            queue.poll();
            sink.write(first.bytes, sink.voidPromise());
        } else {
            sink.write(first.bytes.readRetainedSlice(piece), sink.voidPromise());
        }
    }

    /** Lets go of what it holds. */
    void drop() {
        queue.forEach(each -> each.bytes.release());
        queue.clear();
        held = 0;
    }
}
