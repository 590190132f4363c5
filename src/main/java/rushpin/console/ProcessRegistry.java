package rushpin.console;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/**
 * Counts the processes that act as one node, and passes units of quota between them. Each serving process holds a lock
 * on a file of its own in a shared folder; the kernel releases the lock when the process ends, however it ends. A
 * transfer is a file that exists until another process takes it.
 */
public final class ProcessRegistry implements AutoCloseable {
    private static final String SERVING_PREFIX = "serves-";
    private static final String TRANSFER_PREFIX = "gave-";
    private static final int MAX_TRANSFERS = 16_384;
    /** Milliseconds after which a transfer that nobody took expires. */
    private static final long TRANSFER_MS = 2_000;

    private final Path folder;
    /** The file that this process locks while it serves. */
    private final Path ownFile;
    /** Open, with the lock, while this process is registered; else null. */
    private FileChannel lockChannel;
    /** The number of transfers that this process has left. */
    private int transfersLeft;

    /** Registers nothing yet; creates the folder if it doesn't exist. */
    public ProcessRegistry(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
        ownFile = folder.resolve(SERVING_PREFIX + UUID.randomUUID());
    }

    /** Registers this process until it closes the registry or ends. */
    public synchronized void serve() throws IOException {
        if (lockChannel != null) {
            return;
        }
        // Renamed only once it is locked: without a lock, others would take its process for one that has ended.
        Path draft = folder.resolve("new-" + ownFile.getFileName());
        FileChannel channel = FileChannel.open(draft, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (channel.tryLock() == null) {
            channel.close();
            throw new IOException(draft + " is locked by another process");
        }
        Files.move(draft, ownFile, StandardCopyOption.ATOMIC_MOVE);
        lockChannel = channel;
    }

    /** Units of a customer's quota ceiling that one process transfers to another. */
    public record QuotaTransfer(long customer, int plan, int setSize, double units) {}

    /** Leaves transfers for the same pool of the other processes: the first to look takes all of them. */
    public synchronized void give(String pool, List<QuotaTransfer> transfers) throws IOException {
        if (transfers.isEmpty()) {
            return;
        }
        StringBuilder text = new StringBuilder();
        for (QuotaTransfer transfer : transfers.subList(0, Math.min(MAX_TRANSFERS, transfers.size()))) {
            text.append(transfer.customer)
                    .append(' ')
                    .append(transfer.plan)
                    .append(' ')
                    .append(transfer.setSize)
                    .append(' ')
                    .append(transfer.units)
                    .append('\n');
        }
        Path draft = folder.resolve("new-" + UUID.randomUUID());
        Files.writeString(draft, text.append("end\n"));
        // Renamed when complete, so that others never see a part of it.
        Files.move(
                draft,
                folder.resolve(TRANSFER_PREFIX + pool + "." + ownFile.getFileName() + "-" + ++transfersLeft),
                StandardCopyOption.ATOMIC_MOVE);
    }

    /** Takes what other processes have left for a pool; transfers older than {@value #TRANSFER_MS} ms are discarded. */
    public synchronized List<QuotaTransfer> take(String pool, long nowMs) throws IOException {
        List<QuotaTransfer> transfers = new ArrayList<>();
        String allPrefix = TRANSFER_PREFIX + pool + "." + SERVING_PREFIX;
        String ownPrefix = TRANSFER_PREFIX + pool + "." + ownFile.getFileName();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, TRANSFER_PREFIX + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (!name.startsWith(allPrefix) || name.startsWith(ownPrefix)) {
                    continue;
                }
                Path taken = folder.resolve("new-" + UUID.randomUUID());
                try {
                    Files.move(file, taken, StandardCopyOption.ATOMIC_MOVE);
                } catch (NoSuchFileException e) {
                    continue;
                }
                long age = nowMs - Files.getLastModifiedTime(taken).toMillis();
                List<String> lines = Files.readAllLines(taken);
                Files.delete(taken);
                if (age >= -TRANSFER_MS && age <= TRANSFER_MS) {
                    read(lines, transfers);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return transfers;
    }

    private static void read(List<String> lines, List<QuotaTransfer> into) {
        if (lines.isEmpty()
                || lines.size() > MAX_TRANSFERS + 1
                || !lines.get(lines.size() - 1).equals("end")) {
            return;
        }
        for (String line : lines.subList(0, lines.size() - 1)) {
            String[] parts = line.split(" ");
            try {
                double units = Double.parseDouble(parts[3]);
                if (units > 0 && Double.isFinite(units)) {
                    into.add(new QuotaTransfer(
                            Long.parseLong(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), units));
                }
            } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
                // A malformed line is skipped: a lost transfer does no harm.
            }
        }
    }

    /** Counts the other processes that serve now; removes the files of those that have ended. */
    public synchronized int others() throws IOException {
        int others = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, SERVING_PREFIX + "*")) {
            for (Path file : files) {
                others += !file.equals(ownFile) && isLocked(file) ? 1 : 0;
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return others;
    }

    private static boolean isLocked(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            if (lock == null) {
                return true;
            }
            Files.deleteIfExists(file);
            return false;
        } catch (OverlappingFileLockException e) {
            // Another node in this same process, as in tests.
            return true;
        } catch (NoSuchFileException e) {
            return false;
        }
    }

    @Override
    public synchronized void close() throws IOException {
        if (lockChannel != null) {
            Files.deleteIfExists(ownFile);
            lockChannel.close();
            lockChannel = null;
        }
    }
}
