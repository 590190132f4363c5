package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Holds the module to the size its auditors pay for. */
class SizeTest {
    @Test
    void moduleStaysWithin1200LinesOf110Columns() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/rushpin/gateway/Gateway.java"));
        long filled = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(filled > 0 && filled <= 1200, "lines that are not blank: " + filled);
        for (String line : lines) {
            assertTrue(line.length() <= 110, "too wide: " + line);
        }
    }
}
