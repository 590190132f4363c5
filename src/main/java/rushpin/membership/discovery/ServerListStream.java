package rushpin.membership.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.function.Consumer;
import rushpin.membership.Json;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;

/**
 * Decodes the messages of one watch from bytes that arrive in pieces of any size. A message may be one line or indented
 * over several; messages are separated by white space. No sockets: bytes in, values out.
 *
 * <p>Bounds: {@link #MAX_MESSAGE_BYTES} for one message. After a fault the stream is unusable, as the start of the next
 * message can't be found.
 */
public final class ServerListStream {
    /** The largest size of one message, in bytes. */
    public static final int MAX_MESSAGE_BYTES = 1 << 20;

    private final Names names;
    private final JsonParser parser;
    private final Json.TreeBuilder tree = new Json.TreeBuilder();
    /** Bytes fed so far. */
    private long fedBytes;
    /** The offset at which the last whole message ended. */
    private long completedBytes;

    /** Creates a decoder at the start of a watch; {@code names} maps names in messages to indices. */
    public ServerListStream(Names names) {
        this.names = names;
        try {
            parser = Json.nonBlockingParser();
        } catch (IOException e) {
            throw new IllegalStateException("the JSON library has no non-blocking parser", e);
        }
    }

    /** Decodes bytes; passes each message that they complete to {@code listener}, in order. */
    public void feed(byte[] bytes, int length, Consumer<ServerListUpdate> listener) throws ServerListReader.Malformed {
        try {
            ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(bytes, 0, length);
            fedBytes += length;
            for (JsonToken token = parser.nextToken();
                    token != null && token != JsonToken.NOT_AVAILABLE;
                    token = parser.nextToken()) {
                JsonNode message = tree.add(parser);
                if (message != null) {
                    completedBytes = parser.currentLocation().getByteOffset();
                    listener.accept(ServerListReader.read(message, names));
                }
            }
        } catch (JsonProcessingException e) {
            throw new ServerListReader.Malformed(
                    "discovery's message is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
        } catch (IOException e) {
            throw new ServerListReader.Malformed("discovery's message cannot be read: " + e.getMessage());
        }
        if (!tree.isOpen()) {
            completedBytes = fedBytes;
        }
        if (fedBytes - completedBytes > MAX_MESSAGE_BYTES) {
            throw new ServerListReader.Malformed("discovery's message is too long");
        }
    }

    /** Whether a message has begun and is incomplete. */
    public boolean isWithin() {
        return tree.isOpen();
    }

    /** Releases the JSON library's buffers; nothing may be fed afterwards. */
    public void close() {
        try {
            parser.close();
        } catch (IOException e) {
            // Not possible: the parser has no underlying stream to close.
        }
    }
}
