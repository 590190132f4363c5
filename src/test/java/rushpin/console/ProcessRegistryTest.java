package rushpin.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests transfers between the processes of one node, and the count of these processes. */
class ProcessRegistryTest {
    @TempDir
    Path folder;

    private static final List<ProcessRegistry.QuotaTransfer> TRANSFERS =
            List.of(new ProcessRegistry.QuotaTransfer(7, 0, 2, 3.5), new ProcessRegistry.QuotaTransfer(-9, 1, 4, 1));

    private Path transferFile() throws Exception {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(f -> f.getFileName().toString().startsWith("gave-"))
                    .findFirst()
                    .orElseThrow();
        }
    }

    @Test
    void transferIsTakenOnceAndNotByItsSender() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder);
        ProcessRegistry two = new ProcessRegistry(folder);
        ProcessRegistry three = new ProcessRegistry(folder);
        one.give("a", TRANSFERS);
        assertEquals(List.of(), one.take("a", System.currentTimeMillis()));
        assertEquals(List.of(), two.take("a.b", System.currentTimeMillis()), "it is for another pool");
        assertEquals(List.of(), two.take("", System.currentTimeMillis()));
        assertEquals(TRANSFERS, two.take("a", System.currentTimeMillis()));
        assertEquals(List.of(), three.take("a", System.currentTimeMillis()));
    }

    @Test
    void oldTransferIsDiscarded() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder);
        ProcessRegistry two = new ProcessRegistry(folder);
        one.give("a", TRANSFERS);
        Files.setLastModifiedTime(transferFile(), FileTime.fromMillis(System.currentTimeMillis() - 60_000));
        assertEquals(List.of(), two.take("a", System.currentTimeMillis()));
        one.give("a", TRANSFERS);
        assertEquals(TRANSFERS, two.take("a", System.currentTimeMillis()), "the next one is taken all the same");
    }

    @Test
    void malformedTransferIsIgnored() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder);
        ProcessRegistry two = new ProcessRegistry(folder);
        for (String text :
                new String[] {"", "7 0 2 3.5\n", "7 0 2 NaN\nend\n", "7 0 2 -4\nend\n", "x y\nend\n", "end\n"}) {
            one.give("a", TRANSFERS);
            Files.writeString(transferFile(), text);
            assertEquals(List.of(), two.take("a", System.currentTimeMillis()), text);
        }
        one.give("a", List.of());
        assertEquals(List.of(), two.take("a", System.currentTimeMillis()));
    }

    @Test
    void servingProcessIsCountedUntilItEnds() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder);
        ProcessRegistry two = new ProcessRegistry(folder);
        assertEquals(0, two.others());
        one.serve();
        assertEquals(1, two.others());
        assertEquals(0, one.others(), "not itself");
        one.close();
        assertEquals(0, two.others());
        try (Stream<Path> files = Files.list(folder)) {
            assertTrue(files.noneMatch(f -> f.getFileName().toString().startsWith("serves-")));
        }
    }
}
