package rushpin.net;

import io.netty.buffer.ByteBuf;
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
 * Puts a peer's answers together and tells a spoilt one as early as that can be: a length that is too large, two
 * of them, or none, is told by the head. After a spoilt answer nothing else that comes is looked at.
 */
public abstract class AnswerHandler extends SimpleChannelInboundHandler<HttpObject> {
    /** So many 1xx answers ahead of one are nobody's courtesy any more. */
    private static final int MOST_INFORMATIONAL = 32;

    private final int most;
    private final Body body;
    private HttpResponse head;
    private int informational;
    private boolean spoilt;

    /** Takes answers of so many bytes at most. */
    protected AnswerHandler(int most) {
        this.most = most;
        body = new Body(most);
    }

    /** A whole answer came; the body stays the caller's. */
    protected abstract void answered(HttpResponse answer, ByteBuf body);

    /** What came is no whole answer and never will be; the connection is of no further use. */
    protected abstract void spoilt();

    /** Whether an answer may come now: one that nobody waits for belongs to nothing. */
    protected abstract boolean expectsAnswer();

    @Override
    protected final void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (spoilt) {
            return;
        }
        if (!expectsAnswer() || part.decoderResult().isFailure()) {
            spoil();
            return;
        }
        if (part instanceof HttpResponse begun) {
            head = begun;
            if (isInformational() ? begun.status().code() == 101 || ++informational > MOST_INFORMATIONAL
                : !isFramed(begun)) {
                spoil();
                return;
            }
        }
        if (part instanceof HttpContent content && !isInformational() && !body.add(content.content())) {
            spoil();
        }
        if (part instanceof LastHttpContent && !spoilt) {
            finish();
        }
    }

    private boolean isInformational() {
        return head.status().code() < 200;
    }

    /** Without a length an answer ends with the connection, and nothing tells whether that was its end. */
    private boolean isFramed(HttpResponse begun) {
        String coding = begun.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        if (coding != null) {
            return coding.equalsIgnoreCase("chunked");
        }
        long length = HttpUtil.getContentLength(begun, -1L);
        int status = begun.status().code();
        return length >= 0 && length <= most || length < 0 && (status == 204 || status == 304);
    }

    private void finish() {
        HttpResponse answer = head;
        if (isInformational()) {
            return;
        }
        head = null;
        informational = 0;
        ByteBuf whole = body.take();
        try {
            answered(answer, whole);
        } finally {
            whole.release();
        }
    }

    private void spoil() {
        if (!spoilt) {
            spoilt = true;
            head = null;
            body.take().release();
            spoilt();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        spoil();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof DecoderException)) {
            Trouble.report("an answer", cause);
        }
        spoil();
    }
}
