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
 * The codec's decoder, which also tells whether a connection is clean. By itself it passes over line ends and
 * control characters ahead of an answer, waits for the end of a first line of noise, and hides what it holds of
 * a further answer: each of these would let bytes that belong to no request pass for the next one's answer.
 */
public final class AnswerDecoder extends HttpResponseDecoder {
    private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private boolean between = true;

    /** Whether all that came was whole answers. */
    public boolean isBetween() {
        return between && actualReadableBytes() == 0;
    }

    /** The codec takes a line of words without a colon behind the first of them for a header with no value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (between) {
            for (int i = 0; i < START.length && i < in.readableBytes(); i++) {
                if (in.getByte(in.readerIndex() + i) != START[i]) {
                    in.skipBytes(in.readableBytes());
                    between = false;
                    throw new DecoderException("this is no answer");
                }
            }
        }
        int before = in.readableBytes();
        super.decode(context, in, out);
        between &= in.readableBytes() == before;
        between |= !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
    }
}
