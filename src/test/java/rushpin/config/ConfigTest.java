package rushpin.config;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The platform's configuration: what is missing or no figure is refused whole, by the key's name. */
class ConfigTest {
    private static String good() throws IOException {
        return Files.readString(Path.of("src/test/resources/node.json")).replace("DISCOVERY", "127.0.0.1:1")
            .replace("COUNTER", "127.0.0.1:2").replace("MEMBERS", "");
    }

    private static String fault(String text) {
        return assertThrows(Config.Invalid.class, () -> Config.parse(text)).getMessage();
    }

    @Test
    void theTestsOwnIsGood() throws Exception {
        String good = good();
        assertDoesNotThrow(() -> Config.parse(good));
    }

    /** Without it every request would be answered 400, on a node that says that it is healthy. */
    @Test
    void aNodeThatCouldTakeNoRequestDoesNotStart() throws Exception {
        assertTrue(fault(good().replace("units-top", "units-tip")).contains("settings.domain.units-top is missing"));
        assertTrue(fault(good().replaceAll("\"units-top\": 8", "\"units-top\": 0")).contains("units-top is 0"));
    }

    @ParameterizedTest
    @CsvSource({"key-ttl-ns, NaN", "late-value, -1", "key-ttl-ns, x", "late-value, Infinity"})
    void aFigureThatMayBeLeftOutMustBeOneWhereItStands(String key, String value) throws Exception {
        String spoilt = good().replaceAll("\"" + key + "\": *[0-9.]+", "\"" + key + "\": \"" + value + "\"");
        String fault = fault(spoilt);
        assertTrue(fault.contains(key) && fault.contains("is not a number from 0"), fault);
    }
}
