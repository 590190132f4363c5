package rushpin.config;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a missing or unusable value in the platform's configuration is refused with the name of the key. */
class ConfigTest {
    private static String good() throws IOException {
        return Files.readString(Path.of("src/test/resources/node.json"))
                .replace("DISCOVERY", "127.0.0.1:1")
                .replace("COUNTER", "127.0.0.1:2")
                .replace("MEMBERS", "");
    }

    private static String fault(String text) {
        return assertThrows(Config.Invalid.class, () -> Config.parse(text)).getMessage();
    }

    @Test
    void configurationOfTheTestsIsValid() throws Exception {
        String good = good();
        assertDoesNotThrow(() -> Config.parse(good));
    }

    /** Without units-top every request would be answered 400, on a node that reports itself healthy. */
    @Test
    void configurationThatAllowsNoRequestIsRefused() throws Exception {
        assertTrue(fault(good().replace("units-top", "units-tip")).contains("settings.domain.units-top is missing"));
        assertTrue(
                fault(good().replaceAll("\"units-top\": 8", "\"units-top\": 0")).contains("units-top is 0"));
    }

    @ParameterizedTest
    @CsvSource({"key-ttl-ns, NaN", "late-value, -1", "key-ttl-ns, x", "late-value, Infinity"})
    void optionalValueMustBeANumberIfPresent(String key, String value) throws Exception {
        String changed = good().replaceAll("\"" + key + "\": *[0-9.]+", "\"" + key + "\": \"" + value + "\"");
        String fault = fault(changed);
        assertTrue(fault.contains(key) && fault.contains("is not a number from 0"), fault);
    }

    @ParameterizedTest
    @CsvSource({
        "deadline-ns, 0",
        "deadline-ns, -4",
        "deadline-ns, \"4000000000\"",
        "deadline-ns, null",
        "deadline-ns, true",
        "max-attempts, 0",
        "max-attempts, -1",
        "max-attempts, 0.4",
        "max-attempts, \"six\"",
        "max-attempts, []"
    })
    void deadlineAndAttemptsMustBePositiveNumbers(String key, String value) throws Exception {
        String fault = fault(good().replaceFirst("\"" + key + "\": *[0-9.]+", "\"" + key + "\": " + value));
        assertTrue(fault.contains(key), fault);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "{", "[]", "null", "{}", "{\"settings\": {}}"})
    void textThatIsNoConfigurationIsRefused(String text) {
        fault(text);
    }

    @Test
    void truncatedFileIsRefused() throws Exception {
        String whole = good();
        for (int end = whole.lastIndexOf('}'); end > 0; end -= 61) {
            fault(whole.substring(0, end));
        }
    }

    /** A reloaded file without a key is refused: the default in its place would replace a deliberate value. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "limits",
                "counter",
                "known",
                "seed",
                "discovery",
                "listen",
                "rules",
                "caps",
                "max-open",
                "max-retry-after-ns",
                "cold-from",
                "trued-up",
                "weights",
                "classes",
                "tariffs",
                "siblings"
            })
    void reloadedFileMustHaveEveryKeyOfTheRunningOne(String key, @TempDir Path folder) throws Exception {
        Config running = Config.parse(good());
        Path file = Files.writeString(folder.resolve("config.json"), good());
        assertDoesNotThrow(() -> Config.readAgain(file, running));
        Files.writeString(file, good().replaceFirst("\"" + key + "\":", "\"was-" + key + "\":"));
        String fault = assertThrows(Config.Invalid.class, () -> Config.readAgain(file, running))
                .getMessage();
        assertTrue(fault.contains(key), fault);
    }

    @Test
    void dedupClassNeedsKeyTtlAndNamesAreUnique() throws Exception {
        String withoutTtl = good().replaceFirst("\"key-ttl-ns\": 30000000000,", "");
        assertTrue(fault(withoutTtl).contains("classes.1.key-ttl-ns"), fault(withoutTtl));
        assertTrue(fault(good().replace("\"strict\"", "\"order\"")).contains("name twice"));
    }
}
