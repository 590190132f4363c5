package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The codec's decoder, which stops behind each request until it is told to go on. Requests that were all decoded
 * as they came would wait as objects many times their size, and what stands behind a refused one is not to be
 * read at all.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private final Runnable arrived;
    private final LongSupplier arrivedAfter;
    private final ArrivalTimes times = new ArrivalTimes();
    private ChannelHandlerContext context;
    private boolean paused, stopped;

    /**
     * {@code arrived} hears of each read, when all that may be decoded has been.
     *
     * @param arrivedAfter asked at each read after which moment its bytes can only have arrived
     * @param byTurns whether nothing is decoded but in {@link #takeTurn}
     */
    RequestDecoder(Runnable arrived, LongSupplier arrivedAfter, boolean byTurns) {
        this.arrived = arrived;
        this.arrivedAfter = arrivedAfter;
        paused = byTurns;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext at, Object input) throws Exception {
        if (input instanceof ByteBuf bytes && bytes.isReadable()) {
            times.read(bytes.readableBytes(), arrivedAfter.getAsLong());
        }
        super.channelRead(at, input);
        arrived.run();
    }

    @Override
    protected void decode(ChannelHandlerContext at, ByteBuf in, List<Object> out) throws Exception {
        if (stopped) {
            in.skipBytes(in.readableBytes());
        } else if (!paused) {
            super.decode(at, in, out);
            paused = !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
        }
    }

    /** Bytes that came and were not decoded yet. */
    int held() {
        return actualReadableBytes();
    }

    /** After which moment the last byte arrived of what has been decoded; not before the first read. */
    long arrivedAfter() {
        return times.of(held());
    }

    /** Whether what comes waits undecoded. */
    boolean isPaused() {
        return paused;
    }

    /** Goes on with what came meanwhile. */
    void resume() throws Exception {
        paused = false;
        if (held() > 0) {
            channelRead(context, Unpooled.EMPTY_BUFFER);
        }
    }

    /** Decodes what has come, one request at most, and pauses again. */
    void takeTurn() throws Exception {
        paused = false;
        try {
            channelRead(context, Unpooled.EMPTY_BUFFER);
        } finally {
            paused = true;
        }
    }

    /** Nothing more is wanted: what still comes is dropped unread. */
    void stop() {
        stopped = true;
    }
}
