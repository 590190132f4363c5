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
 * The messages of one watch, from bytes that come in any pieces. Messages may lie on a line each or be indented over
 * several; what stands between them is white space. No sockets: bytes in, values out.
 *
 * <p>Bounds: {@link #MOST_BYTES} of one message. After a fault the rest cannot be told from it: the stream is over.
 */
public final class ServerListStream {
    /** What one message may have, in bytes. */
    public static final int MOST_BYTES = 1 << 20;

    private final Names names;
    private final JsonParser parser;
    private final Json.Tree tree = new Json.Tree();
    /** Bytes fed so far, and how many of them ended the last message. */
    private long fed, done;

    /** Has read nothing yet. */
    public ServerListStream(Names names) {
        this.names = names;
        try {
            parser = Json.fed();
        } catch (IOException e) {
            throw new IllegalStateException("the JSON library has no reader for bytes", e);
        }
    }

    /** Reads on; tells each message that is whole with these bytes, in their order. */
    public void feed(byte[] bytes, int length, Consumer<ServerListUpdate> heard) throws ServerListReader.Malformed {
        try {
            ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(bytes, 0, length);
            fed += length;
            for (JsonToken token = parser.nextToken();
                    token != null && token != JsonToken.NOT_AVAILABLE;
                    token = parser.nextToken()) {
                JsonNode whole = tree.grow(parser);
                if (whole != null) {
                    done = parser.currentLocation().getByteOffset();
                    heard.accept(ServerListReader.read(whole, names));
                }
            }
        } catch (JsonProcessingException e) {
            throw new ServerListReader.Malformed(
                    "discovery's message is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
        } catch (IOException e) {
            throw new ServerListReader.Malformed("discovery's message cannot be read: " + e.getMessage());
        }
        if (!tree.isOpen()) {
            done = fed;
        }
        if (fed - done > MOST_BYTES) {
            throw new ServerListReader.Malformed("discovery's message is too long");
        }
    }

    /** Whether a message has begun and is not whole yet. */
    public boolean isWithin() {
        return tree.isOpen();
    }

    /** Reads no more; gives back the library's buffers. */
    public void close() {
        try {
            parser.close();
        } catch (IOException e) {
            // There is nothing below it that could fail.
        }
    }
}
