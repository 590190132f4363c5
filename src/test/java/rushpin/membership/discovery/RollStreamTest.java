package rushpin.membership.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.membership.Names;
import rushpin.membership.Roll;

/** Messages in every piece that a connection may cut them into. */
class RollStreamTest {
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

    private static List<Roll> read(RollStream stream, byte[]... pieces) throws RollReader.Malformed {
        List<Roll> heard = new ArrayList<>();
        for (byte[] piece : pieces) {
            stream.feed(piece, piece.length, heard::add);
        }
        return heard;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void aListIsTheSameAtEverySplit() throws Exception {
        List<Roll> wanted =
                List.of(RollReader.read(ONE, NAMES), RollReader.read(TWO, NAMES), RollReader.read(ONE, NAMES));
        String text = "\n" + ONE + "\n\n" + TWO + "  " + ONE;
        for (String form : List.of(text, text.replace("\n", "\r\n"))) {
            byte[] all = bytes(form);
            for (int at = 0; at <= all.length; at++) {
                assertEquals(
                        wanted,
                        read(new RollStream(NAMES), Arrays.copyOf(all, at), Arrays.copyOfRange(all, at, all.length)),
                        "cut at " + at);
            }
            byte[][] single = new byte[all.length][];
            for (int i = 0; i < single.length; i++) {
                single[i] = new byte[] {all[i]};
            }
            assertEquals(wanted, read(new RollStream(NAMES), single), "byte by byte");
        }
    }

    @Test
    void whatIsNoListEndsTheStreamBehindWhatWasWhole() throws Exception {
        for (String bad : List.of("x", "}", "]", "{} ", "[1]", "7 ", "null\n", "{\"revision\":1,\"members\":[{}]}")) {
            List<Roll> heard = new ArrayList<>();
            byte[] text = bytes(TWO + bad);
            assertThrows(
                    RollReader.Malformed.class, () -> new RollStream(NAMES).feed(text, text.length, heard::add), bad);
            assertEquals(1, heard.size(), bad);
        }
    }

    @Test
    void oneMessageHasABoundAndAllOfThemHaveNone() throws Exception {
        byte[] blank = bytes(" ".repeat(RollStream.MOST_BYTES));
        RollStream stream = new RollStream(NAMES);
        for (int i = 0; i < 3; i++) {
            assertEquals(1, read(stream, blank, bytes(TWO)).size(), "what stands between messages is no message");
        }
        byte[] begun = bytes("{");
        assertThrows(RollReader.Malformed.class, () -> read(new RollStream(NAMES), begun, blank));
    }
}
