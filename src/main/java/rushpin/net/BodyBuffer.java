package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Puts a message's body together, up to a bound. The copy lets go of what it was read into. */
final class BodyBuffer {
    private static final int FIRST = 256;

    private final int most;
    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

    BodyBuffer(int most) {
        this.most = most;
    }

    int size() {
        return bytes.readableBytes();
    }

    /** Adds a part; false, with nothing added, if that is too much. */
    boolean add(ByteBuf part) {
        int length = part.readableBytes();
        if (size() + length > most) {
            return false;
        }
        if (length > 0) {
            if (!bytes.isReadable()) {
                bytes = Unpooled.buffer(Math.max(FIRST, length));
            }
            bytes.writeBytes(part, part.readerIndex(), length);
        }
        return true;
    }

    /** Hands the whole body over and begins anew. */
    ByteBuf take() {
        ByteBuf whole = bytes;
        bytes = Unpooled.EMPTY_BUFFER;
        return whole;
    }
}
