package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a process that was started with SIGHUP ignored, and so can't reload, without a warning in its log. */
class SighupIgnoredTest extends NodeTestBase {
    private static final String WARNING = "SIGHUP is ignored";

    @TempDir
    Path folder;

    private List<String> runAndStop(List<String> launcher) throws Exception {
        try (ServeProcess process = new ServeProcess(folder, config(), null, launcher)) {
            process.awaitPort();
            process.signal("TERM");
            process.awaitFullOutput();
            assertEquals(0, process.awaitExit());
            return process.output;
        }
    }

    @Test
    void aStartWithSighupIgnoredLogsOneWarning() throws Exception {
        List<String> output = runAndStop(List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        assertEquals(1, output.stream().filter(line -> line.startsWith(WARNING)).count(), output.toString());
    }

    @Test
    void aStartWithSighupHandledLogsNoWarning() throws Exception {
        List<String> output = runAndStop(List.of());
        assertTrue(output.stream().noneMatch(line -> line.startsWith(WARNING)), output.toString());
    }
}
