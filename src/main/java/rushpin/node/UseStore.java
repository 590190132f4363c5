package rushpin.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import rushpin.quota.RecordBuffer;
import rushpin.quota.UseBook;
import rushpin.quota.UseRecord;
import rushpin.quota.UseRecord.Balance;
import rushpin.quota.UseRecord.Contents;
import rushpin.quota.UseRecord.Entry;
import rushpin.quota.UseRecord.Kind;
import rushpin.quota.UseRecord.Origin;

/**
 * A pool's record of quota use in the state folder: a locked file of this process. Each entry is written to the kernel
 * at once, so it survives a kill of the process. At the start, and each second, unlocked files of this node and pool
 * are taken over, each exactly once. Owned by the pool's loop.
 *
 * <p>A failure of the folder is logged and does not stop the service: use is kept in memory, and stored completely once
 * the folder is usable again. The file is written rather than mapped, because a store into a mapping whose disk fails
 * ends in an {@link InternalError} that the JVM raises later, where it cannot be caught reliably.
 */
final class UseStore implements UseBook.Port, AutoCloseable {
    /** File size in bytes: about 26,000 entries. A full file is rewritten, which takes 1 to 2 ms. */
    static final int FILE_SIZE = 1 << 20;

    private static final int MAX_ENTRIES = (FILE_SIZE - UseRecord.HEADER) / UseRecord.ENTRY;
    private static final int MAX_CUSTOMERS = 8_192;
    /** Older use is ignored, because the counter forgets names after a minute at the latest. */
    private static final long MAX_AGE_MS = 60_000;

    private static final long NANOS_PER_MS = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final String SUFFIX = ".use";

    /** The operations used on the file system. */
    interface Disk {
        /** Creates a folder if it is missing. */
        void makeFolder(Path folder) throws IOException;

        /** Lists the files of a folder. */
        List<Path> list(Path folder) throws IOException;

        /** Opens a file. */
        FileChannel open(Path file, OpenOption... how) throws IOException;

        /** Reads all bytes of a file. */
        byte[] read(FileChannel channel) throws IOException;

        /** Writes all bytes at an offset. */
        void write(FileChannel to, byte[] bytes, int at) throws IOException;

        /** Renames a file, replacing the target if it exists. */
        void move(Path from, Path to) throws IOException;

        /** Deletes a file if it exists. */
        void delete(Path file) throws IOException;
    }

    /** The operating system's file system. */
    static class SystemDisk implements Disk {
        @Override
        public void makeFolder(Path folder) throws IOException {
            Files.createDirectories(folder);
        }

        @Override
        public List<Path> list(Path folder) throws IOException {
            try (Stream<Path> all = Files.list(folder)) {
                return all.sorted().toList();
            }
        }

        @Override
        public FileChannel open(Path file, OpenOption... how) throws IOException {
            return FileChannel.open(file, how);
        }

        @Override
        public byte[] read(FileChannel channel) throws IOException {
            ByteBuffer all = ByteBuffer.allocate((int) channel.size());
            while (all.hasRemaining() && channel.read(all, all.position()) > 0) {
                // Reads until the end of the file.
            }
            return all.array();
        }

        @Override
        public void write(FileChannel to, byte[] bytes, int at) throws IOException {
            ByteBuffer rest = ByteBuffer.wrap(bytes);
            while (rest.hasRemaining()) {
                to.write(rest, at + rest.position());
            }
        }

        @Override
        public void move(Path from, Path to) throws IOException {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
        }

        @Override
        public void delete(Path file) throws IOException {
            Files.deleteIfExists(file);
        }
    }

    /** The state of the folder, in order of severity; logged when it gets worse, and when it is healthy again. */
    private enum Health {
        HEALTHY,
        OTHERS_NOT_TAKEN_OVER,
        NOT_KEPT
    }

    private final Path folder;
    private final String node;
    private final String pool;
    /** Nanoseconds of a monotonic clock that all processes of the machine share. */
    private final LongSupplier nanos;

    private final long startMs;
    private final long startNanos;
    private final Consumer<String> log;
    private final Disk disk;
    private final UseBook book = new UseBook(MAX_ENTRIES, MAX_CUSTOMERS, List.of(), UseBook.NOT_STORED, this);
    /** Files that were taken over and could not be deleted yet, with their creation times. */
    private final Map<Path, Long> undeleted = new LinkedHashMap<>();
    /** Files that are not this pool's, each of which has been logged. */
    private final Set<Path> ignored = new HashSet<>();

    private Path file;
    private FileChannel channel;
    /** Creation time in the header of {@link #file}, which identifies the record; Unix milliseconds. */
    private long createdMs;

    private long lastCreatedMs;
    /** The last failure since {@link #adopt} was called; null for none. */
    private Exception failure;

    private Health reportedHealth = Health.HEALTHY;
    private boolean closed;

    private UseStore(
            Path folder, String node, String pool, long nowMs, Consumer<String> log, Disk disk, LongSupplier nanos) {
        this.folder = folder;
        // Records hold names cut to their field; compare in that form.
        Origin origin = new Origin(node, pool, nowMs);
        this.node = origin.node();
        this.pool = origin.pool();
        this.nanos = nanos;
        startMs = nowMs;
        startNanos = nanos.getAsLong();
        this.log = log;
        this.disk = disk;
        lastCreatedMs = nowMs - 1;
    }

    /**
     * The result of opening a store.
     *
     * @param untold use taken over that was not reported to the counter
     */
    record Opened(UseStore store, List<Balance> untold) {}

    /** Opens the folder; if it cannot be used, that is logged and retried with each {@link #adopt}. */
    static Opened open(Path folder, String node, String pool, long nowMs, Consumer<String> log) {
        return open(folder, node, pool, nowMs, log, new SystemDisk(), System::nanoTime);
    }

    /** Like {@link #open(Path, String, String, long, Consumer)}, with the given file system and monotonic clock. */
    static Opened open(
            Path folder, String node, String pool, long nowMs, Consumer<String> log, Disk disk, LongSupplier nanos) {
        UseStore store = new UseStore(folder, node, pool, nowMs, log, disk, nanos);
        return new Opened(store, store.adopt(nowMs));
    }

    /** Records of this node and pool that no process holds a lock on, locked while they are taken over. */
    private static final class AbandonedRecords implements AutoCloseable {
        private final List<Path> paths = new ArrayList<>();
        private final List<FileChannel> held = new ArrayList<>();
        private final List<Contents> contents = new ArrayList<>();
        private final Set<Long> absorbed = new HashSet<>();

        List<Long> creationTimes() {
            return contents.stream().map(one -> one.origin().begun()).toList();
        }

        /** Returns use that no other record has absorbed and that is recent enough for the counter. */
        List<Balance> balances(long nowMs, int nowSteadySeconds, long now) {
            List<Balance> balances = new ArrayList<>();
            for (Contents one : contents) {
                if (absorbed.contains(one.origin().begun())) {
                    continue;
                }
                for (Balance b : one.balances()) {
                    long age = one.origin().age(b.at(), nowMs, nowSteadySeconds);
                    if (age <= MAX_AGE_MS) {
                        balances.add(new Balance(b.customer(), b.plan(), b.units(), now - age));
                    }
                }
            }
            return balances;
        }

        /** Returns the files with their creation times. */
        Map<Path, Long> files() {
            Map<Path, Long> files = new LinkedHashMap<>();
            for (int i = 0; i < paths.size(); i++) {
                files.put(paths.get(i), contents.get(i).origin().begun());
            }
            return files;
        }

        /** Ignores failures, so that use which was taken over is still returned. */
        @Override
        public void close() {
            for (FileChannel channel : held) {
                try {
                    channel.close();
                } catch (IOException e) {
                    // The kernel releases the lock when the process ends.
                }
            }
        }
    }

    private AbandonedRecords findAbandoned() throws IOException {
        AbandonedRecords abandoned = new AbandonedRecords();
        try {
            List<Path> all = disk.list(folder);
            ignored.retainAll(all);
            for (Path path : all) {
                if (path.toString().endsWith(SUFFIX) && !path.equals(file) && !undeleted.containsKey(path)) {
                    inspect(path, abandoned);
                }
            }
            return abandoned;
        } catch (IOException | RuntimeException e) {
            abandoned.close();
            throw e;
        }
    }

    /**
     * Takes over records of processes that have ended, such as the old one after a hand-over, and stores what could not
     * be stored before; to be called each second.
     *
     * @return use taken over that was not reported to the counter
     */
    List<Balance> adopt(long nowMs) {
        if (closed) {
            return List.of();
        }
        failure = null;
        List<Balance> untold = List.of();
        try {
            disk.makeFolder(folder);
            deleteUndeleted();
            untold = takeOver(nowMs);
        } catch (IOException | RuntimeException e) {
            failure = e;
        }
        book.catchUp(nowMs);
        reportHealth();
        return untold;
    }

    /**
     * Converts to a clock that starts at wall time and is then monotonic, so that the age of use ignores clock steps.
     */
    @Override
    public long time(long wall) {
        return startMs + (nanos.getAsLong() - startNanos) / NANOS_PER_MS;
    }

    private int steadySeconds() {
        return (int) (nanos.getAsLong() / NANOS_PER_SECOND);
    }

    private List<Balance> takeOver(long nowMs) throws IOException {
        try (AbandonedRecords abandoned = findAbandoned()) {
            if (abandoned.contents.isEmpty()) {
                return List.of();
            }
            List<Balance> untold = abandoned.balances(nowMs, steadySeconds(), time(nowMs));
            if (!book.absorb(abandoned.creationTimes(), untold, nowMs)) {
                return List.of();
            }
            // Deletes files only now that a complete record names them as absorbed; a kill before this leaves both.
            undeleted.putAll(abandoned.files());
            deleteUndeleted();
            if (!untold.isEmpty()) {
                log.accept("untold use of " + untold.size() + " customers taken over from before this start");
            }
            return untold;
        }
    }

    /** Retries deletions; every undeleted file stays named as absorbed in the present record and its successors. */
    private void deleteUndeleted() {
        Iterator<Path> paths = undeleted.keySet().iterator();
        while (paths.hasNext()) {
            try {
                disk.delete(paths.next());
                paths.remove();
            } catch (IOException | RuntimeException e) {
                failure = e;
            }
        }
    }

    private void reportHealth() {
        Health now =
                book.isBehind() ? Health.NOT_KEPT : failure != null ? Health.OTHERS_NOT_TAKEN_OVER : Health.HEALTHY;
        if (now == Health.HEALTHY && reportedHealth != Health.HEALTHY) {
            reportedHealth = now;
            log.accept("the state folder " + folder + " can be used again: use is kept over a hard kill");
        } else if (now.compareTo(reportedHealth) > 0) {
            reportedHealth = now;
            log.accept(
                    now == Health.NOT_KEPT
                            ? "use is not kept over a hard kill: the state folder " + folder + " cannot be used: "
                                    + failure
                            : "the state folder " + folder + " cannot be looked through: " + failure);
        }
    }

    private static List<Entry> entries(List<Long> absorbed, long nowMs, List<Entry> open) {
        List<Entry> all = new ArrayList<>();
        absorbed.forEach(created -> all.add(new Entry(Kind.ABSORBED, 0, created, 0, nowMs)));
        all.addAll(open);
        return all;
    }

    private void inspect(Path path, AbandonedRecords abandoned) throws IOException {
        FileChannel opened = disk.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE);
        boolean accepted = false;
        try {
            if (opened.size() > FILE_SIZE) {
                ignore(path, " is larger than a record of use");
                return;
            }
            FileLock lock = lock(opened);
            Contents contents = UseRecord.read(disk.read(opened));
            if (contents.origin() == null) {
                if (lock != null) {
                    log.accept(path + " is no record of use of this version, or its head is torn: set aside");
                    quarantine(path);
                }
                return;
            }
            abandoned.absorbed.addAll(contents.absorbed());
            if (lock == null) {
                return;
            }
            if (!contents.origin().node().equals(node)
                    || !contents.origin().pool().equals(pool)) {
                if (!contents.origin().node().equals(node)) {
                    ignore(path, " is node " + contents.origin().node() + "'s record, this is " + node);
                }
                return;
            }
            if (contents.damaged()) {
                log.accept(path + " is damaged before its end: nothing of it is counted, set aside");
                quarantine(path);
                return;
            }
            abandoned.contents.add(contents);
            abandoned.paths.add(path);
            abandoned.held.add(opened);
            accepted = true;
        } finally {
            if (!accepted) {
                opened.close();
            }
        }
    }

    private void ignore(Path path, String why) {
        if (ignored.add(path)) {
            log.accept(path + why + ": left alone");
        }
    }

    private static FileLock lock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // Another pool or store of this process holds the lock.
            return null;
        }
    }

    private void quarantine(Path path) throws IOException {
        disk.move(path, path.resolveSibling(path.getFileName() + ".bad"));
    }

    /** Writes a new file with its first entries, and renames it to its final name once they are complete. */
    private void create(long newCreatedMs, List<Entry> first) throws IOException {
        byte[] image = new byte[FILE_SIZE];
        RecordBuffer to = RecordBuffer.of(image);
        UseRecord.header(to, new Origin(node, pool, newCreatedMs, steadySeconds()));
        for (int index = 0; index < first.size(); index++) {
            UseRecord.entry(to, index, first.get(index));
        }
        // A fixed name, so that there is one draft at most even if none can be deleted.
        Path draft = recordPath(startMs, ".draft");
        Path target = recordPath(newCreatedMs, SUFFIX);
        FileChannel created = disk.open(
                draft,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        try {
            if (lock(created) == null) {
                throw new IOException(draft + " is locked by another process");
            }
            // Writes the whole size, so that a full disk fails here and not at a later entry.
            disk.write(created, image, 0);
            disk.move(draft, target);
        } catch (IOException | RuntimeException e) {
            discard(created, draft);
            // A rename that failed may have been done: the file must not be mistaken for one of an ended process.
            undeleted.put(target, newCreatedMs);
            deleteUndeleted();
            throw e;
        }
        file = target;
        channel = created;
        createdMs = newCreatedMs;
    }

    private Path recordPath(long created, String suffix) {
        return folder.resolve((pool.isEmpty() ? "pool" : pool) + "-" + created + "-"
                + ProcessHandle.current().pid() + suffix);
    }

    private void discard(FileChannel created, Path draft) {
        try {
            created.close();
            disk.delete(draft);
        } catch (IOException | RuntimeException e) {
            // The next attempt overwrites it.
        }
    }

    /** Returns the book in which the module's use is stored. */
    UseBook book() {
        return book;
    }

    @Override
    public boolean write(int index, Entry entry) {
        if (closed) {
            return false;
        }
        try {
            disk.write(channel, UseRecord.entry(index, entry), UseRecord.offset(index));
            return true;
        } catch (IOException | RuntimeException e) {
            failure = e;
            reportedHealth = Health.NOT_KEPT;
            log.accept("use is not kept over a hard kill: " + file + " cannot be written: " + e);
            return false;
        }
    }

    @Override
    public int renew(List<Long> absorbed, List<Entry> open, long nowMs) {
        if (closed) {
            return UseBook.NOT_STORED;
        }
        Path old = file;
        FileChannel before = channel;
        long oldCreatedMs = createdMs;
        lastCreatedMs = Math.max(lastCreatedMs + 1, nowMs);
        List<Long> creationTimes = new ArrayList<>(absorbed);
        creationTimes.addAll(undeleted.values());
        if (old != null) {
            creationTimes.add(oldCreatedMs);
        }
        List<Entry> first = entries(creationTimes, nowMs, open);
        try {
            create(lastCreatedMs, first);
        } catch (IOException | RuntimeException e) {
            failure = e;
            return UseBook.NOT_STORED;
        }
        if (old != null) {
            undeleted.put(old, oldCreatedMs);
            deleteUndeleted();
            close(before);
        }
        return first.size();
    }

    @Override
    public void log(String text) {
        log.accept(text);
    }

    private void close(FileChannel old) {
        try {
            old.close();
        } catch (IOException e) {
            log.accept("a record of use cannot be closed: " + e);
        }
    }

    /** Releases the file, which the next process takes over. */
    @Override
    public void close() {
        closed = true;
        if (channel != null) {
            close(channel);
        }
    }
}
