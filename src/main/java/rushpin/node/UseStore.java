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
 * A pool's record of use in the state folder: a locked file of this process, written at each entry, so that what was
 * stored in it is the kernel's when the process is killed. At a start, and each second, the files of this node and pool
 * that nobody holds are taken over, once. Owned by the pool's loop.
 *
 * <p>Trouble with the folder costs a line, never the service: use is kept in memory, and the whole of it is stored as soon
 * as the folder can be used again. The file is written and not mapped: a store into a mapping whose disk fails ends in an
 * {@link InternalError} that the virtual machine raises somewhere later, where nothing can catch it for sure.
 */
final class UseStore implements UseBook.Port, AutoCloseable {
    /** A mebibyte holds some 26,000 entries; beyond that the file is written anew, in a millisecond or two. */
    static final int SIZE = 1 << 20;

    private static final int MOST = (SIZE - UseRecord.HEADER) / UseRecord.ENTRY, MOST_CUSTOMERS = 8_192;
    /** The counter forgets names after a minute at the latest: older use is nobody's concern. */
    private static final long MOST_AGE_MS = 60_000;

    private static final long NANOS_A_MS = 1_000_000, NANOS_A_SECOND = 1_000_000_000;
    private static final String SUFFIX = ".use";

    /** What is asked of the file system. */
    interface Disk {
        /** Makes a folder where it is missing. */
        void makeFolder(Path folder) throws IOException;

        /** The files of a folder. */
        List<Path> list(Path folder) throws IOException;

        /** Opens a file. */
        FileChannel open(Path file, OpenOption... how) throws IOException;

        /** All bytes of a file. */
        byte[] read(FileChannel of) throws IOException;

        /** Writes all bytes at an offset. */
        void write(FileChannel to, byte[] bytes, int at) throws IOException;

        /** Renames a file, in place of another if there is one. */
        void move(Path from, Path to) throws IOException;

        /** Deletes a file, if it is there. */
        void delete(Path file) throws IOException;
    }

    /** The file system itself. */
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
        public byte[] read(FileChannel of) throws IOException {
            ByteBuffer all = ByteBuffer.allocate((int) of.size());
            while (all.hasRemaining() && of.read(all, all.position()) > 0) {
                // Read on to the end.
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

    /** What is amiss, the worse the later; a line says it when it becomes worse, and one when all is well again. */
    private enum Trouble {
        NONE,
        OTHERS_NOT_TAKEN_OVER,
        NOT_KEPT
    }

    private final Path folder;
    private final String node, pool;
    /** Nanoseconds of a clock that nobody sets, the same for all processes of the machine. */
    private final LongSupplier nanos;

    private final long startMs, startNanos;
    private final Consumer<String> log;
    private final Disk disk;
    private final UseBook book = new UseBook(MOST, MOST_CUSTOMERS, List.of(), UseBook.NOT_STORED, this);
    /** Files that this one has taken over and that could not be deleted yet, with their begins. */
    private final Map<Path, Long> leftOver = new LinkedHashMap<>();
    /** Files that are another's, each of which has cost its line. */
    private final Set<Path> leftAlone = new HashSet<>();

    private Path file;
    private FileChannel channel;
    private long begun, lastBegin;
    private Exception fault;
    private Trouble said = Trouble.NONE;
    private boolean closed;

    private UseStore(
            Path folder, String node, String pool, long nowMs, Consumer<String> log, Disk disk, LongSupplier nanos) {
        this.folder = folder;
        // In the form in which records have the names.
        Origin origin = new Origin(node, pool, nowMs);
        this.node = origin.node();
        this.pool = origin.pool();
        this.nanos = nanos;
        startMs = nowMs;
        startNanos = nanos.getAsLong();
        this.log = log;
        this.disk = disk;
        lastBegin = nowMs - 1;
    }

    /** What a start finds. */
    record Opened(UseStore store, List<Balance> untold) {}

    /** Opens the folder; one that cannot be used costs a line, and is tried again with each {@link #adopt}. */
    static Opened open(Path folder, String node, String pool, long nowMs, Consumer<String> log) {
        return open(folder, node, pool, nowMs, log, new SystemDisk(), System::nanoTime);
    }

    /** As above, on a given disk, with ages by a given clock. */
    static Opened open(
            Path folder, String node, String pool, long nowMs, Consumer<String> log, Disk disk, LongSupplier nanos) {
        UseStore store = new UseStore(folder, node, pool, nowMs, log, disk, nanos);
        return new Opened(store, store.adopt(nowMs));
    }

    /** Records of this node and pool that nobody holds any more, held while they are taken over. */
    private static final class Found implements AutoCloseable {
        private final List<Path> paths = new ArrayList<>();
        private final List<FileChannel> held = new ArrayList<>();
        private final List<Contents> contents = new ArrayList<>();
        private final Set<Long> absorbed = new HashSet<>();

        List<Long> begins() {
            return contents.stream().map(one -> one.origin().begun()).toList();
        }

        /** What none of the others has taken over before, and the counter still knows the names of. */
        List<Balance> balances(long nowMs, int nowSteady, long nowNoted) {
            List<Balance> balances = new ArrayList<>();
            for (Contents one : contents) {
                if (absorbed.contains(one.origin().begun())) {
                    continue;
                }
                for (Balance b : one.balances()) {
                    long age = one.origin().age(b.at(), nowMs, nowSteady);
                    if (age <= MOST_AGE_MS) {
                        balances.add(new Balance(b.customer(), b.plan(), b.units(), nowNoted - age));
                    }
                }
            }
            return balances;
        }

        /** The files, each with its begin. */
        Map<Path, Long> files() {
            Map<Path, Long> files = new LinkedHashMap<>();
            for (int i = 0; i < paths.size(); i++) {
                files.put(paths.get(i), contents.get(i).origin().begun());
            }
            return files;
        }

        /** What cannot be closed must not keep what was taken over from being told. */
        @Override
        public void close() {
            for (FileChannel each : held) {
                try {
                    each.close();
                } catch (IOException e) {
                    // The kernel lets go of it with the process at the latest.
                }
            }
        }
    }

    private Found find() throws IOException {
        Found found = new Found();
        try {
            List<Path> all = disk.list(folder);
            leftAlone.retainAll(all);
            for (Path each : all) {
                if (each.toString().endsWith(SUFFIX) && !each.equals(file) && !leftOver.containsKey(each)) {
                    look(each, found);
                }
            }
            return found;
        } catch (IOException | RuntimeException e) {
            found.close();
            throw e;
        }
    }

    /**
     * Takes over what processes have left that have ended, as the old one does in a hand-over, and stores what could not
     * be stored before; to be called each second.
     */
    List<Balance> adopt(long nowMs) {
        if (closed) {
            return List.of();
        }
        fault = null;
        List<Balance> untold = List.of();
        try {
            disk.makeFolder(folder);
            deleteLeftOver();
            untold = takeOver(nowMs);
        } catch (IOException | RuntimeException e) {
            fault = e;
        }
        book.catchUp(nowMs);
        tellTrouble();
        return untold;
    }

    /** Times are noted by a clock that begins with the wall's and is not set with it: use that is not told ages by it. */
    @Override
    public long time(long wall) {
        return startMs + (nanos.getAsLong() - startNanos) / NANOS_A_MS;
    }

    private int steady() {
        return (int) (nanos.getAsLong() / NANOS_A_SECOND);
    }

    private List<Balance> takeOver(long nowMs) throws IOException {
        try (Found found = find()) {
            if (found.contents.isEmpty()) {
                return List.of();
            }
            List<Balance> untold = found.balances(nowMs, steady(), time(nowMs));
            if (!book.absorb(found.begins(), untold, nowMs)) {
                return List.of();
            }
            // Only now that they are named in a record that is whole: a kill before this leaves both.
            leftOver.putAll(found.files());
            deleteLeftOver();
            if (!untold.isEmpty()) {
                log.accept("untold use of " + untold.size() + " customers taken over from before this start");
            }
            return untold;
        }
    }

    /** Each is named in the present record, and in those that follow it, for as long as it is there. */
    private void deleteLeftOver() {
        Iterator<Path> paths = leftOver.keySet().iterator();
        while (paths.hasNext()) {
            try {
                disk.delete(paths.next());
                paths.remove();
            } catch (IOException | RuntimeException e) {
                fault = e;
            }
        }
    }

    private void tellTrouble() {
        Trouble now = book.isBehind() ? Trouble.NOT_KEPT : fault != null ? Trouble.OTHERS_NOT_TAKEN_OVER : Trouble.NONE;
        if (now == Trouble.NONE && said != Trouble.NONE) {
            said = now;
            log.accept("the state folder " + folder + " can be used again: use is kept over a hard kill");
        } else if (now.compareTo(said) > 0) {
            said = now;
            log.accept(
                    now == Trouble.NOT_KEPT
                            ? "use is not kept over a hard kill: the state folder " + folder + " cannot be used: "
                                    + fault
                            : "the state folder " + folder + " cannot be looked through: " + fault);
        }
    }

    private static List<Entry> entries(List<Long> absorbed, long nowMs, List<Entry> open) {
        List<Entry> all = new ArrayList<>();
        absorbed.forEach(begin -> all.add(new Entry(Kind.ABSORBED, 0, begin, 0, nowMs)));
        all.addAll(open);
        return all;
    }

    private void look(Path each, Found found) throws IOException {
        FileChannel opened = disk.open(each, StandardOpenOption.READ, StandardOpenOption.WRITE);
        boolean mine = false;
        try {
            if (opened.size() > SIZE) {
                leaveAlone(each, " is larger than a record of use");
                return;
            }
            FileLock lock = lock(opened);
            Contents contents = UseRecord.read(disk.read(opened));
            if (contents.origin() == null) {
                if (lock != null) {
                    log.accept(each + " is no record of use of this version, or its head is torn: set aside");
                    aside(each);
                }
                return;
            }
            found.absorbed.addAll(contents.absorbed());
            if (lock == null) {
                return;
            }
            if (!contents.origin().node().equals(node)
                    || !contents.origin().pool().equals(pool)) {
                if (!contents.origin().node().equals(node)) {
                    leaveAlone(each, " is node " + contents.origin().node() + "'s record, this is " + node);
                }
                return;
            }
            if (contents.damaged()) {
                log.accept(each + " is damaged before its end: nothing of it is counted, set aside");
                aside(each);
                return;
            }
            found.contents.add(contents);
            found.paths.add(each);
            found.held.add(opened);
            mine = true;
        } finally {
            if (!mine) {
                opened.close();
            }
        }
    }

    private void leaveAlone(Path each, String why) {
        if (leftAlone.add(each)) {
            log.accept(each + why + ": left alone");
        }
    }

    private static FileLock lock(FileChannel of) throws IOException {
        try {
            return of.tryLock();
        } catch (OverlappingFileLockException e) {
            // Another pool or store of this very process has it.
            return null;
        }
    }

    private void aside(Path each) throws IOException {
        disk.move(each, each.resolveSibling(each.getFileName() + ".bad"));
    }

    /** Begins a file with its first entries and gives it its name when these are whole. */
    private void create(long begin, List<Entry> first) throws IOException {
        byte[] image = new byte[SIZE];
        RecordBuffer to = RecordBuffer.of(image);
        UseRecord.header(to, new Origin(node, pool, begin, steady()));
        for (int place = 0; place < first.size(); place++) {
            UseRecord.entry(to, place, first.get(place));
        }
        // One draft at most, also where none can be deleted.
        Path draft = path(startMs, ".draft"), whole = path(begin, SUFFIX);
        FileChannel made = disk.open(
                draft,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        try {
            if (lock(made) == null) {
                throw new IOException(draft + " is held by another");
            }
            // Written to its end, not only sized: a full disk is to fail here and not at some entry.
            disk.write(made, image, 0);
            disk.move(draft, whole);
        } catch (IOException | RuntimeException e) {
            discard(made, draft);
            // A rename that failed may have been done all the same: nobody may take it for an ended process's.
            leftOver.put(whole, begin);
            deleteLeftOver();
            throw e;
        }
        file = whole;
        channel = made;
        begun = begin;
    }

    private Path path(long begin, String suffix) {
        return folder.resolve((pool.isEmpty() ? "pool" : pool) + "-" + begin + "-"
                + ProcessHandle.current().pid() + suffix);
    }

    private void discard(FileChannel made, Path draft) {
        try {
            made.close();
            disk.delete(draft);
        } catch (IOException | RuntimeException e) {
            // It is written over by the next try.
        }
    }

    /** Where the module's use is written down. */
    UseBook book() {
        return book;
    }

    @Override
    public boolean write(int place, Entry entry) {
        if (closed) {
            return false;
        }
        try {
            disk.write(channel, UseRecord.entry(place, entry), UseRecord.offset(place));
            return true;
        } catch (IOException | RuntimeException e) {
            fault = e;
            said = Trouble.NOT_KEPT;
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
        long oldBegun = begun;
        lastBegin = Math.max(lastBegin + 1, nowMs);
        List<Long> begins = new ArrayList<>(absorbed);
        begins.addAll(leftOver.values());
        if (old != null) {
            begins.add(oldBegun);
        }
        List<Entry> first = entries(begins, nowMs, open);
        try {
            create(lastBegin, first);
        } catch (IOException | RuntimeException e) {
            fault = e;
            return UseBook.NOT_STORED;
        }
        if (old != null) {
            leftOver.put(old, oldBegun);
            deleteLeftOver();
            letGo(before);
        }
        return first.size();
    }

    @Override
    public void log(String text) {
        log.accept(text);
    }

    private void letGo(FileChannel of) {
        try {
            of.close();
        } catch (IOException e) {
            log.accept("a record of use cannot be closed: " + e);
        }
    }

    /** Lets go of the file; who starts next takes it over. */
    @Override
    public void close() {
        closed = true;
        if (channel != null) {
            letGo(channel);
        }
    }
}
