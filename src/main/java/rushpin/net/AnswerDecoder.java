package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Netty's response decoder, made strict, which also reports whether the connection is at a message boundary.
 *
 * <p>Netty's decoder skips line ends and control characters before an answer, waits for the end of a first line that
 * is no status line, and hides buffered bytes of a further answer. Each of these could let bytes that belong to no
 * request pass for the answer to the next one.
 */
public final class AnswerDecoder extends HttpResponseDecoder {
    private static final byte[] STATUS_LINE_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private final HeadSize headSize = new HeadSize();
    private boolean atMessageBoundary = true;

    /** Returns whether everything received so far was complete answers. */
    public boolean isAtMessageBoundary() {
        return atMessageBoundary && actualReadableBytes() == 0;
    }

    /**
     * Rejects a header line without a colon after the name: Netty takes its first word for a header without a value.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("header line has no colon after the name");
        }
        headSize.addField();
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (atMessageBoundary) {
            for (int i = 0; i < STATUS_LINE_PREFIX.length && i < in.readableBytes(); i++) {
                if (in.getByte(in.readerIndex() + i) != STATUS_LINE_PREFIX[i]) {
                    in.skipBytes(in.readableBytes());
                    atMessageBoundary = false;
                    throw new DecoderException("response does not start with HTTP/1.");
                }
            }
        }
        int before = in.readableBytes();
        super.decode(context, in, out);
        atMessageBoundary &= in.readableBytes() == before;
        boolean complete = !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
        atMessageBoundary |= complete;
        if (complete) {
            headSize.reset();
        }
    }
}
