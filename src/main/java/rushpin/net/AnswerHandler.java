package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;

/**
 * Assembles the answers of a peer and detects an invalid one as early as possible: a length that is too large, or two
 * lengths, as soon as the head has arrived. After an invalid answer all further input is ignored.
 *
 * <p>An answer that is too long to be buffered is streamed through a {@link BodyStream}, if the subclass provides one.
 */
public abstract class AnswerHandler extends SimpleChannelInboundHandler<HttpObject> {
    /** Maximum number of 1xx answers before one answer. */
    private static final int MAX_INFORMATIONAL = 32;
    /** An answer that is known to be too long is buffered up to this number of bytes before it is streamed. */
    private static final int STREAM_THRESHOLD_BYTES = 16 * 1024;

    /** Maximum size of an answer that is buffered, in bytes. */
    private final int maxBuffered;
    /** Maximum size of an answer that is streamed, in bytes. */
    private final long maxStreamed;

    private final BodyBuffer body;
    private HttpResponse head;
    private int informational;
    private boolean unusable;
    /** Takes the bytes of a long answer; null while none is streamed. */
    private BodyStream passage;

    /** The Content-Length of the current answer; -1 if it has none. */
    private long length;
    /** Number of bytes streamed of the current answer. */
    private long streamedBytes;

    /** Accepts answers of at most {@code maxBuffered} bytes. */
    protected AnswerHandler(int maxBuffered) {
        this(maxBuffered, maxBuffered);
    }

    /**
     * Buffers answers of at most {@code maxBuffered} bytes, and streams those of at most {@code maxStreamed} bytes,
     * whether their end is given by a length, a coding or the connection.
     */
    protected AnswerHandler(int maxBuffered, long maxStreamed) {
        this.maxBuffered = maxBuffered;
        this.maxStreamed = maxStreamed;
        body = new BodyBuffer(maxBuffered);
    }

    /** Handles a complete answer; the caller keeps the reference to the body. */
    protected abstract void answered(HttpResponse answer, ByteBuf body);

    /** Handles an answer that is invalid or was cut off; the connection must not be used any more. */
    protected abstract void unusable();

    /**
     * Starts to stream a long answer.
     *
     * @param length in bytes; -1 if it is unknown
     * @return the passage that takes the bytes; null if the answer can't be streamed
     */
    BodyStream startStreaming(HttpResponse answer, long length) {
        return null;
    }

    /** Handles the end of a streamed answer, after its last byte was passed on. */
    void streamingEnded(HttpResponse answer) {
        // Only for subclasses that stream.
    }

    /** Returns whether an answer is being streamed. */
    final boolean isStreaming() {
        return passage != null;
    }

    /** What is known of the size of the current answer, of which a part has arrived. */
    final PartialAnswerPolicy.Size partialSize() {
        if (head == null || isInformational()) {
            return PartialAnswerPolicy.Size.UNKNOWN;
        }
        if (head.status().code() != 200 || maxStreamed <= maxBuffered) {
            return PartialAnswerPolicy.Size.SHORT;
        }
        if (length < 0) {
            return PartialAnswerPolicy.Size.UNKNOWN;
        }
        return length > maxBuffered ? PartialAnswerPolicy.Size.LONG : PartialAnswerPolicy.Size.SHORT;
    }

    /** Starts to stream the current answer if its head is there and its size allows that. */
    final void startStreamingEarly() {
        if (!unusable && passage == null && head != null && !isInformational() && isStreamable()) {
            openPassage(Unpooled.EMPTY_BUFFER);
        }
    }

    private boolean isStreamable() {
        return partialSize() != PartialAnswerPolicy.Size.SHORT;
    }

    private void openPassage(ByteBuf more) {
        ByteBuf first = body.take();
        streamedBytes = first.readableBytes() + more.readableBytes();
        passage = startStreaming(head, length);
        if (passage == null) {
            first.release();
            markUnusable();
            return;
        }
        passage.push(first);
        passage.push(more.retain());
    }

    private void take(ByteBuf bytes) {
        if (passage != null) {
            streamedBytes += bytes.readableBytes();
            if (streamedBytes > maxStreamed) {
                markUnusable();
            } else {
                passage.push(bytes.retain());
            }
        } else if (!body.add(bytes)) {
            openPassage(bytes);
        } else if (length > maxBuffered && body.size() >= STREAM_THRESHOLD_BYTES) {
            openPassage(Unpooled.EMPTY_BUFFER);
        }
    }

    /** Returns whether an answer is due; any other answer is invalid. */
    protected abstract boolean expectsAnswer();

    @Override
    protected final void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (unusable) {
            return;
        }
        if (passage == null && !expectsAnswer() || part.decoderResult().isFailure()) {
            markUnusable();
            return;
        }
        if (part instanceof HttpResponse response) {
            head = response;
            length = HttpUtil.getContentLength(response, -1L);
            if (isInformational()
                    ? response.status().code() == 101 || ++informational > MAX_INFORMATIONAL
                    : !isFramed(response)) {
                markUnusable();
                return;
            }
        }
        if (part instanceof HttpContent content && !isInformational()) {
            take(content.content());
        }
        if (part instanceof LastHttpContent && !unusable) {
            finish();
        }
    }

    private boolean isInformational() {
        return head.status().code() < 200;
    }

    /**
     * Returns whether the answer has an acceptable length or coding. An answer without a length ends with the
     * connection (RFC 9112, 6.3), which only subclasses that stream accept.
     */
    private boolean isFramed(HttpResponse response) {
        String coding = response.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        if (coding != null) {
            return coding.equalsIgnoreCase("chunked");
        }
        int status = response.status().code();
        return length >= 0 ? length <= maxStreamed : maxStreamed > maxBuffered || status == 204 || status == 304;
    }

    private void finish() {
        HttpResponse answer = head;
        if (isInformational()) {
            return;
        }
        head = null;
        informational = 0;
        if (passage != null) {
            BodyStream all = passage;
            passage = null;
            all.end(true);
            streamingEnded(answer);
            return;
        }
        ByteBuf whole = body.take();
        try {
            answered(answer, whole);
        } finally {
            whole.release();
        }
    }

    private void markUnusable() {
        if (!unusable) {
            unusable = true;
            head = null;
            body.take().release();
            if (passage != null) {
                passage.end(false);
                passage = null;
            }
            unusable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        markUnusable();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof DecoderException)) {
            ErrorLog.report("an HTTP response", cause);
        }
        markUnusable();
    }
}
