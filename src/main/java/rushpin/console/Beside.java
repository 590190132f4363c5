package rushpin.console;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.UUID;

/**
 * How many processes act as one node: each that serves holds a lock on a file of its own in the folder that they share.
 * The kernel lets go of it when a process ends, however that is.
 */
public final class Beside implements AutoCloseable {
    private static final String PREFIX = "serves-";

    private final Path folder, mine;
    private FileChannel held;

    /** Says nothing yet; the folder is made if it is not there. */
    public Beside(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
        mine = folder.resolve(PREFIX + UUID.randomUUID());
    }

    /** From now on this process is one of them, to its end. */
    public synchronized void serve() throws IOException {
        if (held != null) {
            return;
        }
        // Under its name only once it is locked: without a lock it would be taken for one that has ended.
        Path making = folder.resolve("new-" + mine.getFileName());
        FileChannel channel = FileChannel.open(making, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (channel.tryLock() == null) {
            channel.close();
            throw new IOException(making + " is locked by another process");
        }
        Files.move(making, mine, StandardCopyOption.ATOMIC_MOVE);
        held = channel;
    }

    /** How many others serve now; files of those that have ended are removed. */
    public synchronized int others() throws IOException {
        int others = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                others += !file.equals(mine) && isHeld(file) ? 1 : 0;
            }
        }
        return others;
    }

    private static boolean isHeld(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE); FileLock lock = channel.tryLock()) {
            if (lock == null) {
                return true;
            }
            Files.deleteIfExists(file);
            return false;
        } catch (OverlappingFileLockException e) {
            // Another node of this very process, as in tests.
            return true;
        } catch (java.nio.file.NoSuchFileException e) {
            return false;
        }
    }

    @Override
    public synchronized void close() throws IOException {
        if (held != null) {
            Files.deleteIfExists(mine);
            held.close();
            held = null;
        }
    }
}
