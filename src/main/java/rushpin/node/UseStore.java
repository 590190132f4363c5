package rushpin.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import rushpin.quota.Sink;
import rushpin.quota.UseBook;
import rushpin.quota.UseRecord;
import rushpin.quota.UseRecord.Balance;
import rushpin.quota.UseRecord.Contents;
import rushpin.quota.UseRecord.Entry;
import rushpin.quota.UseRecord.Kind;
import rushpin.quota.UseRecord.Origin;

/**
 * A pool's record of use in the state folder: a file of this process, mapped into memory and locked, so that what was
 * stored in it is the kernel's when the process is killed. At a start the files of this node and pool that nobody holds
 * are taken over, once. Trouble with the folder costs a line, never the service. Owned by the pool's loop.
 */
final class UseStore implements UseBook.Port, AutoCloseable {
    /** A mebibyte holds some 26,000 entries; beyond that the file is written anew, in a millisecond or two. */
    static final int SIZE = 1 << 20;
    private static final int MOST = (SIZE - UseRecord.HEADER) / UseRecord.ENTRY, MOST_CUSTOMERS = 8_192;
    /** The counter forgets names after a minute at the latest: older use is nobody's concern. */
    private static final long MOST_AGE_MS = 60_000;
    private static final String SUFFIX = ".use";

    private final Path folder;
    private final Origin origin;
    private final Consumer<String> log;
    private UseBook book;
    private Path file;
    private FileChannel channel;
    private Sink sink;
    private long begun;

    private UseStore(Path folder, Origin origin, Consumer<String> log) {
        this.folder = folder;
        this.origin = origin;
        this.log = log;
        begun = origin.begun();
    }

    /** What a start finds. */
    record Opened(UseStore store, List<Balance> untold) {
    }

    /** Opens the folder; null if it cannot be used, which one line tells. */
    static Opened open(Path folder, String node, String pool, long nowMs, Consumer<String> log) {
        UseStore store = new UseStore(folder, new Origin(node, pool, nowMs), log);
        try {
            Files.createDirectories(folder);
            return store.begin(nowMs);
        } catch (IOException | RuntimeException e) {
            log.accept("use is not kept over a hard kill: the state folder " + folder + " cannot be used: " + e);
            store.close();
            return null;
        }
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
        List<Balance> balances(long nowMs) {
            return contents.stream().filter(one -> !absorbed.contains(one.origin().begun()))
                .flatMap(one -> one.balances().stream()).filter(b -> nowMs - b.at() <= MOST_AGE_MS).toList();
        }

        /** Only when they are named in a record that is whole: a kill before this leaves both. */
        void delete() throws IOException {
            for (Path each : paths) {
                Files.deleteIfExists(each);
            }
        }

        @Override
        public void close() throws IOException {
            for (FileChannel each : held) {
                each.close();
            }
        }
    }

    private Found find() throws IOException {
        Found found = new Found();
        try {
            for (Path each : files()) {
                if (!each.equals(file)) {
                    look(each, found);
                }
            }
            return found;
        } catch (IOException | RuntimeException e) {
            found.close();
            throw e;
        }
    }

    private Opened begin(long nowMs) throws IOException {
        try (Found found = find()) {
            List<Balance> untold = found.balances(nowMs);
            int first = create(entries(found.begins(), nowMs, untold.stream()
                .map(b -> new Entry(Kind.TOOK, b.plan(), b.customer(), b.units(), b.at())).toList()));
            found.delete();
            book = new UseBook(MOST, MOST_CUSTOMERS, untold, first, this);
            tellTaken(untold);
            return new Opened(this, untold);
        }
    }

    /** Takes over what processes have left that ended since the start, as the old one does in a hand-over. */
    List<Balance> adopt(long nowMs) {
        if (sink == null) {
            return List.of();
        }
        try (Found found = find()) {
            if (found.contents.isEmpty()) {
                return List.of();
            }
            List<Balance> untold = found.balances(nowMs);
            book.absorb(found.begins(), untold, nowMs);
            if (sink != null) {
                found.delete();
            }
            tellTaken(untold);
            return untold;
        } catch (IOException | RuntimeException e) {
            log.accept("the state folder " + folder + " cannot be looked through: " + e);
            return List.of();
        }
    }

    private void tellTaken(List<Balance> untold) {
        if (!untold.isEmpty()) {
            log.accept("untold use of " + untold.size() + " customers taken over from before this start");
        }
    }

    private static List<Entry> entries(List<Long> absorbed, long nowMs, List<Entry> open) {
        List<Entry> all = new ArrayList<>();
        absorbed.forEach(begin -> all.add(new Entry(Kind.ABSORBED, 0, begin, 0, nowMs)));
        all.addAll(open);
        return all;
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(each -> each.getFileName().toString().endsWith(SUFFIX)).sorted().toList();
        }
    }

    private void look(Path each, Found found) throws IOException {
        FileChannel opened = FileChannel.open(each, StandardOpenOption.READ, StandardOpenOption.WRITE);
        boolean mine = false;
        try {
            if (opened.size() > SIZE) {
                log.accept(each + " is larger than a record of use: left alone");
                return;
            }
            FileLock lock = lock(opened);
            Contents contents = UseRecord.read(bytes(opened));
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
            if (!contents.origin().node().equals(origin.node()) || !contents.origin().pool().equals(origin.pool())) {
                if (!contents.origin().node().equals(origin.node())) {
                    log.accept(each + " is node " + contents.origin().node() + "'s record, this is " + origin.node()
                        + ": left alone");
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

    private static FileLock lock(FileChannel of) throws IOException {
        try {
            return of.tryLock();
        } catch (OverlappingFileLockException e) {
            // Another pool or store of this very process has it.
            return null;
        }
    }

    private static byte[] bytes(FileChannel of) throws IOException {
        ByteBuffer all = ByteBuffer.allocate((int) of.size());
        while (all.hasRemaining() && of.read(all, all.position()) > 0) {
            // Read on to the end.
        }
        return all.array();
    }

    private static void aside(Path each) throws IOException {
        Files.move(each, each.resolveSibling(each.getFileName() + ".bad"), StandardCopyOption.REPLACE_EXISTING);
    }

    /** Begins a file with its first entries and gives it its name when these are whole. */
    private int create(List<Entry> first) throws IOException {
        String name = (origin.pool().isEmpty() ? "pool" : origin.pool()) + "-" + begun + "-" + ProcessHandle.current().pid();
        Path draft = folder.resolve(name + ".draft");
        FileChannel made = FileChannel.open(draft, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            // Written, not only sized: a full disk is to fail here and not at a store into memory.
            ByteBuffer zeros = ByteBuffer.allocate(1 << 16);
            for (int at = 0; at < SIZE; at += zeros.capacity()) {
                zeros.clear();
                while (zeros.hasRemaining()) {
                    made.write(zeros, at + zeros.position());
                }
            }
            if (lock(made) == null) {
                throw new IOException(draft + " is held by another");
            }
            Sink to = mapped(made.map(FileChannel.MapMode.READ_WRITE, 0, SIZE));
            UseRecord.header(to, new Origin(origin.node(), origin.pool(), begun));
            for (int i = 0; i < first.size(); i++) {
                UseRecord.entry(to, i, first.get(i));
            }
            Path whole = folder.resolve(name + SUFFIX);
            Files.move(draft, whole, StandardCopyOption.ATOMIC_MOVE);
            file = whole;
            channel = made;
            sink = to;
            return first.size();
        } catch (IOException | RuntimeException e) {
            made.close();
            Files.deleteIfExists(draft);
            throw e;
        }
    }

    private static Sink mapped(MappedByteBuffer bytes) {
        return new Sink() {
            @Override
            public void put(int at, byte value) {
                bytes.put(at, value);
            }

            @Override
            public void putInt(int at, int value) {
                bytes.putInt(at, value);
            }

            @Override
            public void putLong(int at, long value) {
                bytes.putLong(at, value);
            }

            @Override
            public int getInt(int at) {
                return bytes.getInt(at);
            }

            @Override
            public long getLong(int at) {
                return bytes.getLong(at);
            }

            @Override
            public byte[] copy(int at, int length) {
                byte[] copy = new byte[length];
                bytes.get(at, copy);
                return copy;
            }
        };
    }

    /** Where the module's use is written down. */
    UseBook book() {
        return book;
    }

    @Override
    public void write(int place, Entry entry) {
        if (sink != null) {
            UseRecord.entry(sink, place, entry);
        }
    }

    @Override
    public int renew(List<Long> absorbed, List<Entry> open, long nowMs) {
        if (sink == null) {
            // It has failed once, and said so: not again with each entry.
            return MOST;
        }
        Path old = file;
        FileChannel before = channel;
        List<Long> begins = new ArrayList<>(absorbed);
        begins.add(begun);
        begun = Math.max(begun + 1, nowMs);
        try {
            int first = create(entries(begins, nowMs, open));
            Files.deleteIfExists(old);
            before.close();
            return first;
        } catch (IOException | RuntimeException e) {
            log.accept("use is not kept over a hard kill any more: the record cannot be written anew: " + e);
            sink = null;
            return MOST;
        }
    }

    @Override
    public void log(String text) {
        log.accept(text);
    }

    /** Lets go of the file; who starts next takes it over. */
    @Override
    public void close() {
        try {
            sink = null;
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            log.accept("the record of use cannot be closed: " + e);
        }
    }
}
