package rushpin.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Buffers a message's body up to a maximum size. Copies, so that the buffers it was read into can be released. */
final class BodyBuffer {
    private static final int INITIAL_CAPACITY = 256;

    private final int maxBytes;
    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

    BodyBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    int size() {
        return bytes.readableBytes();
    }

    /** The memory that the buffer takes, in bytes: it grows by doubling. */
    int allocatedBytes() {
        return bytes.capacity();
    }

    /** Appends a chunk; returns false, and appends nothing, if the maximum would be exceeded. */
    boolean add(ByteBuf chunk) {
        int length = chunk.readableBytes();
        if (size() + length > maxBytes) {
            return false;
        }
        if (length > 0) {
            if (!bytes.isReadable()) {
                bytes = Unpooled.buffer(Math.max(INITIAL_CAPACITY, length));
            }
            bytes.writeBytes(chunk, chunk.readerIndex(), length);
        }
        return true;
    }

    /** Returns the body, which the caller then owns, and empties the buffer. */
    ByteBuf take() {
        ByteBuf whole = bytes;
        bytes = Unpooled.EMPTY_BUFFER;
        return whole;
    }
}
