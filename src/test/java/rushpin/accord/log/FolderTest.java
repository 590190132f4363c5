package rushpin.accord.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Who a voter is, over its starts. */
class FolderTest {
    private static final UUID GROUP = new UUID(1, 2);

    @TempDir
    Path root;

    @Test
    void aVoterIsTheSameAfterAStart() throws IOException {
        Folder folder = Folder.open(root.resolve("new"));
        assertTrue(folder.blank());
        folder.settle("a-1", 7, GROUP);
        Folder again = Folder.open(root.resolve("new"));
        assertEquals("a-1", again.id());
        assertEquals(7, again.era());
        assertEquals(GROUP, again.group());
        assertThrows(IllegalStateException.class, () -> again.settle("a-2", 8, GROUP));
    }

    @Test
    void aVoterWithoutItsLogIsRefused() throws IOException {
        Folder folder = Folder.open(root);
        folder.settle("a-1", 1, GROUP);
        folder.begin();
        assertTrue(assertThrows(IOException.class, () -> Folder.open(root))
                .getMessage()
                .contains("has lost its log"));
    }

    @Test
    void aLogOfNobodyIsRefused() throws IOException {
        Files.createDirectories(root.resolve("log").resolve(GROUP.toString()));
        assertThrows(IOException.class, () -> Folder.open(root));
    }

    @Test
    void aDamagedNameIsRefused() throws IOException {
        Files.writeString(root.resolve("voter"), "id=a-1\nera=");
        assertTrue(assertThrows(IOException.class, () -> Folder.open(root))
                .getMessage()
                .contains("is damaged"));
    }

    @Test
    void aNameThatCannotBeWrittenIsSaid() throws IOException {
        Folder folder = Folder.open(root);
        // where the file is written first; a folder can't be opened as one
        Files.createDirectories(root.resolve("voter.next"));
        assertThrows(IOException.class, () -> folder.settle("a-1", 1, GROUP));
        assertTrue(Folder.open(root).blank());
    }
}
