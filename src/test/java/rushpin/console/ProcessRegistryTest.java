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

/** What processes of one node leave for each other. */
class ProcessRegistryTest {
    @TempDir
    Path folder;

    private static final List<ProcessRegistry.QuotaTransfer> GIFTS = List.of(new ProcessRegistry.QuotaTransfer(7, 0, 2, 3.5), new ProcessRegistry.QuotaTransfer(-9, 1, 4, 1));

    private Path gift() throws Exception {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(f -> f.getFileName().toString().startsWith("gave-"))
                    .findFirst()
                    .orElseThrow();
        }
    }

    @Test
    void aGiftIsTakenOnceAndNotByItsGiver() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder), two = new ProcessRegistry(folder), three = new ProcessRegistry(folder);
        one.give("a", GIFTS);
        assertEquals(List.of(), one.take("a", System.currentTimeMillis()));
        assertEquals(List.of(), two.take("a.b", System.currentTimeMillis()), "another pool's");
        assertEquals(List.of(), two.take("", System.currentTimeMillis()));
        assertEquals(GIFTS, two.take("a", System.currentTimeMillis()));
        assertEquals(List.of(), three.take("a", System.currentTimeMillis()));
    }

    @Test
    void anOldGiftIsNobodys() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder), two = new ProcessRegistry(folder);
        one.give("a", GIFTS);
        Files.setLastModifiedTime(gift(), FileTime.fromMillis(System.currentTimeMillis() - 60_000));
        assertEquals(List.of(), two.take("a", System.currentTimeMillis()));
        one.give("a", GIFTS);
        assertEquals(GIFTS, two.take("a", System.currentTimeMillis()), "the next one is not hindered by it");
    }

    @Test
    void whatIsTornOrForeignGivesNothing() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder), two = new ProcessRegistry(folder);
        for (String text :
                new String[] {"", "7 0 2 3.5\n", "7 0 2 NaN\nend\n", "7 0 2 -4\nend\n", "x y\nend\n", "end\n"}) {
            one.give("a", GIFTS);
            Files.writeString(gift(), text);
            assertEquals(List.of(), two.take("a", System.currentTimeMillis()), text);
        }
        one.give("a", List.of());
        assertEquals(List.of(), two.take("a", System.currentTimeMillis()));
    }

    @Test
    void whoServesIsCountedUntilItEnds() throws Exception {
        ProcessRegistry one = new ProcessRegistry(folder), two = new ProcessRegistry(folder);
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
