package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a process that hears no reload, since it was started with SIGHUP ignored, and says nothing of it. */
class HangupIgnoredTest extends NodeTestBase {
    private static final String TOLD = "SIGHUP is ignored";

    @TempDir
    Path folder;

    private List<String> said(List<String> before) throws Exception {
        try (ServeProcess node = new ServeProcess(folder, config(), null, before)) {
            node.port();
            node.signal("TERM");
            node.rest();
            assertEquals(0, node.ended());
            return node.said;
        }
    }

    @Test
    void aStartThatIgnoresHangupsSaysSoInOneLine() throws Exception {
        List<String> said = said(List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        assertEquals(1, said.stream().filter(line -> line.startsWith(TOLD)).count(), said.toString());
    }

    @Test
    void aStartThatHearsHangupsDoesNot() throws Exception {
        List<String> said = said(List.of());
        assertTrue(said.stream().noneMatch(line -> line.startsWith(TOLD)), said.toString());
    }
}
