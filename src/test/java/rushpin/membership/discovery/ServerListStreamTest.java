package rushpin.membership.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;

/** Tests that messages are decoded the same in any pieces. */
class ServerListStreamTest {
    private static final Names NAMES =
            new Names(List.of("order"), List.of("bulk"), List.of("a\u00e9", "b"), List.of("m"));
    private static final String ONE = """
        {
          "revision": 41,
          "complete": true,
          "members": [
            {
              "id": "s-{[\\"\\n\u00e9",
              "host_port": "127.0.0.1:80",
              "locality": "a\u00e9",
              "phase": "Ready", "size": 1.5,
              "up_since_ms": 123456789012
            }
          ]
        }
        """;
    private static final String TWO =
            "{\"revision\":43,\"complete\":false,\"members\":[{\"id\":\"s\",\"host_port\":\"127.0.0.1:81\","
                    + "\"phase\":\"Gone\"}]}";

    private static List<ServerListUpdate> read(ServerListStream stream, byte[]... pieces)
            throws ServerListReader.Malformed {
        List<ServerListUpdate> updates = new ArrayList<>();
        for (byte[] piece : pieces) {
            stream.feed(piece, piece.length, updates::add);
        }
        return updates;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void listIsTheSameAtEverySplit() throws Exception {
        List<ServerListUpdate> expected = List.of(
                ServerListReader.read(ONE, NAMES),
                ServerListReader.read(TWO, NAMES),
                ServerListReader.read(ONE, NAMES));
        String text = "\n" + ONE + "\n\n" + TWO + "  " + ONE;
        for (String form : List.of(text, text.replace("\n", "\r\n"))) {
            byte[] all = bytes(form);
            for (int at = 0; at <= all.length; at++) {
                assertEquals(
                        expected,
                        read(
                                new ServerListStream(NAMES),
                                Arrays.copyOf(all, at),
                                Arrays.copyOfRange(all, at, all.length)),
                        "cut at " + at);
            }
            byte[][] single = new byte[all.length][];
            for (int i = 0; i < single.length; i++) {
                single[i] = new byte[] {all[i]};
            }
            assertEquals(expected, read(new ServerListStream(NAMES), single), "byte by byte");
        }
    }

    @Test
    void malformedMessageEndsTheStreamAfterTheWholeOnesBefore() throws Exception {
        for (String bad : List.of("x", "}", "]", "{} ", "[1]", "7 ", "null\n", "{\"revision\":1,\"members\":[{}]}")) {
            List<ServerListUpdate> updates = new ArrayList<>();
            byte[] text = bytes(TWO + bad);
            assertThrows(
                    ServerListReader.Malformed.class,
                    () -> new ServerListStream(NAMES).feed(text, text.length, updates::add),
                    bad);
            assertEquals(1, updates.size(), bad);
        }
    }

    @Test
    void sizeIsBoundedForEachMessageNotInTotal() throws Exception {
        byte[] blank = bytes(" ".repeat(ServerListStream.MAX_MESSAGE_BYTES));
        ServerListStream stream = new ServerListStream(NAMES);
        for (int i = 0; i < 3; i++) {
            assertEquals(1, read(stream, blank, bytes(TWO)).size(), "space between messages doesn't count");
        }
        byte[] incomplete = bytes("{");
        assertThrows(ServerListReader.Malformed.class, () -> read(new ServerListStream(NAMES), incomplete, blank));
    }
}
