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
 * How many processes act as one node: each that serves holds a lock on a file of its own in the folder that they share.
 * The kernel lets go of it when a process ends, however that is. What one gives another stands there as a file for a moment.
 */
public final class ProcessRegistry implements AutoCloseable {
    private static final String PREFIX = "serves-", GIFT = "gave-";
    private static final int MOST_GIFTS = 16_384;
    private static final long GIFT_MS = 2_000;

    private final Path folder, mine;
    private FileChannel held;
    private int given;

    /** Says nothing yet; the folder is made if it is not there. */
    public ProcessRegistry(Path folder) throws IOException {
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

    /** What one process gives another of a customer's ceiling. */
    public record QuotaTransfer(long customer, int plan, int setSize, double units) {}

    /** Leaves something for the same pool of the other processes: whoever comes first has all of it. */
    public synchronized void give(String pool, List<QuotaTransfer> gifts) throws IOException {
        if (gifts.isEmpty()) {
            return;
        }
        StringBuilder text = new StringBuilder();
        for (QuotaTransfer gift : gifts.subList(0, Math.min(MOST_GIFTS, gifts.size()))) {
            text.append(gift.customer)
                    .append(' ')
                    .append(gift.plan)
                    .append(' ')
                    .append(gift.setSize)
                    .append(' ')
                    .append(gift.units)
                    .append('\n');
        }
        Path making = folder.resolve("new-" + UUID.randomUUID());
        Files.writeString(making, text.append("end\n"));
        // Whole under its name, or not there.
        Files.move(
                making,
                folder.resolve(GIFT + pool + "." + mine.getFileName() + "-" + ++given),
                StandardCopyOption.ATOMIC_MOVE);
    }

    /** Takes what others have left; what nobody took in {@value #GIFT_MS} ms is nobody's any more. */
    public synchronized List<QuotaTransfer> take(String pool, long nowMs) throws IOException {
        List<QuotaTransfer> gifts = new ArrayList<>();
        String all = GIFT + pool + "." + PREFIX, own = GIFT + pool + "." + mine.getFileName();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, GIFT + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (!name.startsWith(all) || name.startsWith(own)) {
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
                if (age >= -GIFT_MS && age <= GIFT_MS) {
                    read(lines, gifts);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return gifts;
    }

    private static void read(List<String> lines, List<QuotaTransfer> into) {
        if (lines.isEmpty()
                || lines.size() > MOST_GIFTS + 1
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
                // A line that nobody wrote so: a gift less does no harm.
            }
        }
    }

    /** How many others serve now; files of those that have ended are removed. */
    public synchronized int others() throws IOException {
        int others = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                others += !file.equals(mine) && isHeld(file) ? 1 : 0;
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return others;
    }

    private static boolean isHeld(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            if (lock == null) {
                return true;
            }
            Files.deleteIfExists(file);
            return false;
        } catch (OverlappingFileLockException e) {
            // Another node of this very process, as in tests.
            return true;
        } catch (NoSuchFileException e) {
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
