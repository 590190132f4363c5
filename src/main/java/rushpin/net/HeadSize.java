package rushpin.net;

import io.netty.handler.codec.TooLongFrameException;

/**
 * Counts what the decoded fields of one message hold in the heap, and limits their number. A field of four bytes
 * becomes objects of some {@value #FIELD_OVERHEAD_BYTES} bytes, so a limit on a head's length alone does not bound its
 * memory.
 */
final class HeadSize {
    /** Maximum number of fields in a message's head and trailers together. */
    static final int MAX_FIELDS = 128;
    /** The objects of one field beside its characters: an entry, two strings and their arrays, in bytes. */
    static final int FIELD_OVERHEAD_BYTES = 200;

    private int fields;
    private int bytes;

    /** Starts with a new message. */
    void reset() {
        fields = 0;
        bytes = 0;
    }

    /** Adds characters that were read, of names and values alike. */
    void addCharacters(int count) {
        bytes += count;
    }

    /**
     * Adds a field, without its characters.
     *
     * @throws TooLongFrameException if the message has too many fields
     */
    void addField() {
        if (++fields > MAX_FIELDS) {
            throw new TooLongFrameException("more than " + MAX_FIELDS + " fields");
        }
        bytes += FIELD_OVERHEAD_BYTES;
    }

    /** The bytes that the message's fields hold. */
    int bytes() {
        return bytes;
    }
}
