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
 * Puts a peer's answers together and tells a unusable one as early as that can be: a length that is too large, or two
 * of them, is told by the head. After a unusable answer nothing else that comes is looked at. What is too long to be
 * kept goes through a {@link BodyStream}, where there is one.
 */
public abstract class AnswerHandler extends SimpleChannelInboundHandler<HttpObject> {
    /** So many 1xx answers ahead of one are nobody's courtesy any more. */
    private static final int MOST_INFORMATIONAL = 32;
    /** So much of an answer that is known to be long is there before it is passed on. */
    private static final int EARLY = 16 * 1024;

    private final int most;
    private final long longest;
    private final BodyBuffer body;
    private HttpResponse head;
    private int informational;
    private boolean unusable;
    /** Where the pieces of a long answer go; else null. */
    private BodyStream passage;

    private long length, passed;

    /** Takes answers of so many bytes at most. */
    protected AnswerHandler(int most) {
        this(most, most);
    }

    /** Keeps answers of {@code most} bytes, and passes on those of {@code longest}, whatever ends them. */
    protected AnswerHandler(int most, long longest) {
        this.most = most;
        this.longest = longest;
        body = new BodyBuffer(most);
    }

    /** A whole answer came; the body stays the caller's. */
    protected abstract void answered(HttpResponse answer, ByteBuf body);

    /** What came is no whole answer and never will be; the connection is of no further use. */
    protected abstract void unusable();

    /** A long answer goes through from now on, {@code length} bytes or -1; null if there is no way for it. */
    BodyStream begins(HttpResponse answer, long length) {
        return null;
    }

    /** The last of a long answer has gone through. */
    void passedOn(HttpResponse answer) {
        // Only where any goes through.
    }

    /** Whether a long answer is going through. */
    final boolean isPassing() {
        return passage != null;
    }

    /** Passes on what has come of an answer of unknown or great length; false if there is none. */
    final boolean openEarly() {
        boolean may = !unusable
                && head != null
                && passage == null
                && longest > most
                && body.size() > 0
                && !isInformational()
                && head.status().code() == 200
                && (length > most || length < 0);
        if (may) {
            open(Unpooled.EMPTY_BUFFER);
        }
        return may;
    }

    private void open(ByteBuf more) {
        ByteBuf first = body.take();
        passed = first.readableBytes() + more.readableBytes();
        passage = begins(head, length);
        if (passage == null) {
            first.release();
            spoil();
            return;
        }
        passage.push(first);
        passage.push(more.retain());
    }

    private void take(ByteBuf bytes) {
        if (passage != null) {
            passed += bytes.readableBytes();
            if (passed > longest) {
                spoil();
            } else {
                passage.push(bytes.retain());
            }
        } else if (!body.add(bytes)) {
            open(bytes);
        } else if (length > most && body.size() >= EARLY) {
            open(Unpooled.EMPTY_BUFFER);
        }
    }

    /** Whether an answer may come now: one that nobody waits for belongs to nothing. */
    protected abstract boolean expectsAnswer();

    @Override
    protected final void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (unusable) {
            return;
        }
        if (passage == null && !expectsAnswer() || part.decoderResult().isFailure()) {
            spoil();
            return;
        }
        if (part instanceof HttpResponse begun) {
            head = begun;
            length = HttpUtil.getContentLength(begun, -1L);
            if (isInformational()
                    ? begun.status().code() == 101 || ++informational > MOST_INFORMATIONAL
                    : !isFramed(begun)) {
                spoil();
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

    /** Without a length an answer ends with the connection (RFC 9112, 6.3), which tells only who passes all on. */
    private boolean isFramed(HttpResponse begun) {
        String coding = begun.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        if (coding != null) {
            return coding.equalsIgnoreCase("chunked");
        }
        int status = begun.status().code();
        return length >= 0 ? length <= longest : longest > most || status == 204 || status == 304;
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
            passedOn(answer);
            return;
        }
        ByteBuf whole = body.take();
        try {
            answered(answer, whole);
        } finally {
            whole.release();
        }
    }

    private void spoil() {
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
        spoil();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof DecoderException)) {
            ErrorLog.report("an answer", cause);
        }
        spoil();
    }
}
