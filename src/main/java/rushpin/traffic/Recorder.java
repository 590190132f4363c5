package rushpin.traffic;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.apache.avro.file.CodecFactory;
import org.apache.avro.file.DataFileWriter;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;

/**
 * Writes a process's traffic. Whoever offers never waits: what finds the queue full is dropped and counted. One thread of
 * its own writes; a block ends each second, so that no more than that is lost with the process. It does not force the disk: a machine that
 * loses power may lose more.
 */
public final class Recorder implements AutoCloseable {
    private static final int QUEUE = 4_096, BLOCK_BYTES = 32_768, DEFLATE = 1;
    private static final long BLOCK_MS = 1_000, AGAIN_MS = 10_000, END_MS = 2_000;
    private static final long MS = 1_000_000L;
    private static final String SUFFIX = ".avro";
    private static final Pattern STAMP = Pattern.compile("(\\d{13})-");

    /** Makes files. */
    interface Maker {
        /** A file that was not there. */
        OutputStream make(Path file) throws IOException;
    }

    private final RecordingConfig keeping;
    private final Maker maker;
    private final String node;
    private final Consumer<String> log;
    private final Pseudonyms pseudonyms;
    private final ArrayBlockingQueue<Entry> queue = new ArrayBlockingQueue<>(QUEUE);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread thread = new Thread(this::work, "records");
    private volatile boolean closing;
    /** The thread's own. */
    private DataFileWriter<GenericRecord> file;
    /** What {@link #file} writes to; it stays open if the header cannot be written. Null once it is closed. */
    private OutputStream bytes;

    private Path path;
    private long againAt = System.nanoTime(), blockAt, told;
    private int serial, inBlock;

    /** Begins; {@code log} is told of trouble, a line at a time. Throws if the key can't be read: pseudonyms would differ. */
    public Recorder(RecordingConfig keeping, String node, Consumer<String> log) throws IOException {
        this(
                keeping,
                node,
                log,
                file -> Files.newOutputStream(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
    }

    /** As above, with files made in a given way. */
    Recorder(RecordingConfig keeping, String node, Consumer<String> log, Maker maker) throws IOException {
        this.keeping = keeping;
        this.maker = maker;
        this.node = node;
        this.log = log;
        pseudonyms = new Pseudonyms(Files.readAllBytes(keeping.key()));
        Files.createDirectories(keeping.folder());
        thread.setDaemon(true);
        thread.setPriority(Thread.MIN_PRIORITY);
        thread.start();
    }

    /** Why records can't be kept so, in words that name no secret; null if they can. */
    public static String keyFault(Path key) {
        try {
            long bytes = Files.size(key);
            return bytes >= Pseudonyms.LEAST_KEY ? null : "has " + bytes + " bytes";
        } catch (IOException e) {
            return "cannot be read";
        }
    }

    /** How many requests a second a pool may offer. */
    public int maxPerSecond() {
        return keeping.maxPerSecond();
    }

    /** Takes it, or drops it; never waits. */
    public void offer(Entry entry) {
        if (closing || !queue.offer(entry)) {
            drop();
        }
    }

    /** One that was not even offered. */
    public void drop() {
        dropped.incrementAndGet();
    }

    /** How many were dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    private void work() {
        while (!closing || !queue.isEmpty()) {
            try {
                Entry entry = queue.poll(BLOCK_MS / 4, TimeUnit.MILLISECONDS);
                if (entry != null) {
                    write(entry);
                }
                if (inBlock > 0 && System.nanoTime() - blockAt >= BLOCK_MS * MS) {
                    endBlock();
                }
            } catch (InterruptedException e) {
                closing = true;
            } catch (IOException | RuntimeException e) {
                // The disk's trouble is not the traffic's.
                log.accept("records: " + e + "; begun anew in " + AGAIN_MS / 1_000 + " s");
                dropped.addAndGet(Math.max(1, inBlock));
                abandon();
                againAt = System.nanoTime() + AGAIN_MS * MS;
            }
        }
        try {
            if (file != null) {
                file.close();
            }
        } catch (IOException e) {
            log.accept("records: the last block is lost: " + e);
        }
    }

    private void write(Entry entry) throws IOException {
        if (file == null && System.nanoTime() - againAt < 0) {
            drop();
            return;
        }
        if (file == null) {
            open(TimeUnit.MICROSECONDS.toMillis(entry.at()));
        }
        long now = dropped.get();
        file.append(Form.of(entry.written(pseudonyms.of(entry.customer()), now - told)));
        told = now;
        if (inBlock++ == 0) {
            blockAt = System.nanoTime();
        }
    }

    private void endBlock() throws IOException {
        file.flush();
        inBlock = 0;
        if (Retention.isFull(Files.size(path), keeping)) {
            file.close();
            file = null;
            bytes = null;
        }
    }

    /**
     * Names of one node sort by age, also where a start finds the machine's clock set back; the process's number keeps
     * two of one node apart. {@code begun} is the time of the first request, Unix milliseconds.
     */
    private void open(long begun) throws IOException {
        List<Retention.Kept> kept = new ArrayList<>();
        try (Stream<Path> all = Files.list(keeping.folder())) {
            for (Path each : all.filter(each -> each.getFileName().toString().startsWith(prefix()))
                    .toList()) {
                kept.add(new Retention.Kept(each.getFileName().toString(), Files.size(each)));
            }
        }
        for (String name : Retention.surplus(kept, keeping)) {
            Files.deleteIfExists(keeping.folder().resolve(name));
        }
        long stamp = Math.max(
                begun,
                1 + kept.stream().mapToLong(each -> stamp(each.name())).max().orElse(-1));
        path = keeping.folder()
                .resolve(String.format(
                        "%s%013d-%d-%04d%s",
                        prefix(), stamp, ProcessHandle.current().pid(), serial++, SUFFIX));
        DataFileWriter<GenericRecord> made = new DataFileWriter<>(new GenericDatumWriter<>(Form.REQUEST));
        made.setCodec(CodecFactory.deflateCodec(DEFLATE)).setSyncInterval(BLOCK_BYTES);
        made.setMeta(Form.VERSION_KEY, Form.VERSION)
                .setMeta(Form.NODE_KEY, node)
                .setMeta(Form.BEGUN_KEY, begun);
        bytes = maker.make(path);
        file = made.create(Form.REQUEST, bytes);
    }

    /** By which a file's name sorts; -1 for a name that is not of this form. */
    private long stamp(String name) {
        Matcher matcher = STAMP.matcher(name.substring(prefix().length()));
        return matcher.lookingAt() ? Long.parseLong(matcher.group(1)) : -1;
    }

    private String prefix() {
        return node.replaceAll("[^A-Za-z0-9._]", "_") + "-";
    }

    private void abandon() {
        inBlock = 0;
        DataFileWriter<GenericRecord> was = file;
        file = null;
        try {
            if (was != null) {
                was.close();
            }
        } catch (IOException | RuntimeException e) {
            log.accept("records: " + path.getFileName() + " ends at its last whole block");
        }
        letGo(was == null);
    }

    /** Without this each try on a full disk would cost a descriptor, and leave a file that has no header. */
    private void letGo(boolean headless) {
        OutputStream left = bytes;
        bytes = null;
        if (left == null) {
            return;
        }
        try {
            left.close();
            if (headless) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            log.accept("records: " + path.getFileName() + " cannot be put away: " + e);
        }
    }

    /** Writes what was taken, for 2 s at most. */
    @Override
    public void close() {
        closing = true;
        try {
            thread.join(END_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // What came as the thread ended, or what a disk that hangs has kept it from.
        dropped.addAndGet(queue.size());
        queue.clear();
    }
}
