package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * HTTP request decoder that pauses after each request until it is resumed. Pipelined requests decoded as they came
 * would wait as objects many times their size, and nothing that follows a rejected request may be decoded.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private final Runnable onRead;
    private final LongSupplier earliestArrival;
    private final ArrivalTimes times = new ArrivalTimes();
    private final HeadSize headSize = new HeadSize();
    /** Whether the head of the request in progress is complete. */
    private boolean headRead;

    private ChannelHandlerContext context;
    private boolean paused;
    private boolean stopped;

    /**
     * Creates a decoder for one connection.
     *
     * @param onRead called after each read, when all that may be decoded has been
     * @param earliestArrival asked at each read for the earliest time at which its bytes can have arrived
     * @param byTurns whether requests are decoded only in {@link #takeTurn}
     */
    RequestDecoder(Runnable onRead, LongSupplier earliestArrival, boolean byTurns) {
        this.onRead = onRead;
        this.earliestArrival = earliestArrival;
        paused = byTurns;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext at, Object input) throws Exception {
        if (input instanceof ByteBuf bytes && bytes.isReadable()) {
            times.add(bytes.readableBytes(), earliestArrival.getAsLong());
        }
        super.channelRead(at, input);
        onRead.run();
    }

    @Override
    protected void decode(ChannelHandlerContext at, ByteBuf in, List<Object> out) throws Exception {
        if (stopped) {
            in.skipBytes(in.readableBytes());
        } else if (!paused) {
            int before = in.readableBytes();
            super.decode(at, in, out);
            if (!headRead) {
                headSize.addCharacters(before - in.readableBytes());
                headRead = !out.isEmpty();
            }
            paused = !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
            if (paused) {
                headSize.reset();
                headRead = false;
            }
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        headSize.reset();
        headRead = false;
        return super.createMessage(initialLine);
    }

    /** Called for each field of a head or of trailers. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        headSize.addField();
        return super.splitHeaderName(line, start, length);
    }

    /** The heap bytes that the decoded part of the head of the request in progress holds. */
    int headBytes() {
        return headSize.bytes();
    }

    /** The number of bytes read and not decoded yet. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** The earliest time at which the last decoded byte can have arrived; not to be called before the first read. */
    long earliestArrival() {
        return times.lastDecoded(undecodedBytes());
    }

    /** Whether decoding is paused. */
    boolean isPaused() {
        return paused;
    }

    /** Resumes decoding, with the bytes read meanwhile first. */
    void resume() throws Exception {
        paused = false;
        if (undecodedBytes() > 0) {
            channelRead(context, Unpooled.EMPTY_BUFFER);
        }
    }

    /** Decodes one request at most of the bytes read so far, and pauses again. */
    void takeTurn() throws Exception {
        paused = false;
        try {
            channelRead(context, Unpooled.EMPTY_BUFFER);
        } finally {
            paused = true;
        }
    }

    /** Stops decoding for good: bytes that still come are dropped. */
    void stop() {
        stopped = true;
    }
}
