package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the parsing of numbers that a peer has sent. */
class NumberParserTest {
    @Test
    void onlyPlainNumbersWithinBoundsAreAccepted() {
        assertEquals(3, NumberParser.parsePositive("3", 8));
        assertEquals(2.5, NumberParser.parsePositive("2.5", 8));
        for (String bad :
                List.of("", "0", "-1", "8.1", "1d", "0x1p1", "NaN", "Infinity", "1e9", "+1", "1.2.3", " 1", "\u0661")) {
            assertTrue(Double.isNaN(NumberParser.parsePositive(bad, 8)), bad);
        }
        assertTrue(Double.isNaN(NumberParser.parsePositive(null, 8)));
        assertEquals(-1.5e7, NumberParser.parseDecimal("-1.5e7"));
        for (String bad : List.of("1d", "0x1p1", "NaN", "1e999", "e", "")) {
            assertTrue(Double.isNaN(NumberParser.parseDecimal(bad)), bad);
        }
    }
}
