package rushpin.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the stored set of disabled servers with failing file operations. */
class OutOfServiceTest {
    @TempDir
    Path folder;

    /** Fails at one named step. */
    private static final class FailingDisk extends OutOfService.SystemDisk {
        private String failing = "";

        private void step(String name) throws IOException {
            if (failing.equals(name)) {
                throw new IOException(name + " fails");
            }
        }

        @Override
        public List<String> names(Path folder, String prefix) throws IOException {
            step("names");
            return super.names(folder, prefix);
        }

        @Override
        public void make(Path file) throws IOException {
            step("make");
            super.make(file);
            step("close");
        }

        @Override
        public void delete(Path file) throws IOException {
            step("delete");
            super.delete(file);
        }
    }

    @Test
    void failedChangeHasNoEffectAndWorksLater() throws Exception {
        FailingDisk disk = new FailingDisk();
        OutOfService out = new OutOfService(folder, disk);
        out.set("s-0", true);
        for (String step : new String[] {"make", "close", "names"}) {
            disk.failing = step;
            assertThrows(IOException.class, () -> out.set("s-1", true), step);
            disk.failing = "";
            assertEquals(Set.of("s-0"), out.read(), step);
        }
        for (String step : new String[] {"delete", "names"}) {
            disk.failing = step;
            assertThrows(IOException.class, () -> out.set("s-0", false), step);
            disk.failing = "";
            assertEquals(Set.of("s-0"), out.read(), step);
        }
        out.set("s-1", true);
        out.set("s-0", false);
        assertEquals(Set.of("s-1"), out.read());
    }

    @Test
    void repeatedDisableWritesNoFile() throws Exception {
        FailingDisk disk = new FailingDisk();
        OutOfService out = new OutOfService(folder, disk);
        out.set("s-0", true);
        disk.failing = "make";
        out.set("s-0", true);
        assertEquals(Set.of("s-0"), new OutOfService(folder).read());
    }

    @Test
    void foreignFileEnablesNoServer() throws Exception {
        OutOfService out = new OutOfService(folder);
        out.set("s-0/%", true);
        Files.writeString(folder.resolve("out-%zz"), "");
        Files.writeString(folder.resolve("out-s-1"), "torn");
        assertEquals(Set.of("s-0/%", "s-1"), out.read());
    }
}
