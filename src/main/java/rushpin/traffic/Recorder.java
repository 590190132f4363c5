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
 * Records a process's traffic in Avro files. Callers never wait: an entry that finds the queue full is dropped and
 * counted. A thread of its own writes and ends a block each second, so that a crash of the process loses no more than
 * that. Files are not forced to disk: a power failure may lose more.
 */
public final class Recorder implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 4_096;
    private static final int BLOCK_BYTES = 32_768;
    private static final int DEFLATE_LEVEL = 1;
    private static final long BLOCK_MS = 1_000;
    private static final long RETRY_MS = 10_000;
    private static final long CLOSE_MS = 2_000;
    private static final long MS_NANOS = 1_000_000L;
    private static final String SUFFIX = ".avro";
    private static final Pattern STAMP = Pattern.compile("(\\d{13})-");

    /** Creates the files of records. */
    interface FileFactory {
        /** Creates a file; fails if it exists. */
        OutputStream create(Path file) throws IOException;
    }

    private final RecordingConfig config;
    private final FileFactory fileFactory;
    private final String node;
    private final Consumer<String> log;
    private final Pseudonyms pseudonyms;
    private final ArrayBlockingQueue<Entry> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread thread = new Thread(this::writeLoop, "records");
    private volatile boolean closing;
    /** The file being written, null if none is. This and the fields below are used by the writer's thread only. */
    private DataFileWriter<GenericRecord> file;
    /** The stream below {@link #file}, open even if the header cannot be written. Null once it is closed. */
    private OutputStream stream;

    private Path path;
    /** No file is opened before this time of {@link System#nanoTime}. */
    private long retryAtNanos = System.nanoTime();

    private long blockBegunNanos;
    /** The dropped requests that a written record has reported. */
    private long reportedDrops;

    private int serial;
    private int entriesInBlock;

    /**
     * Starts the writer's thread.
     *
     * @param log receives errors, one line each
     * @throws IOException if the key cannot be read, as pseudonyms would differ from other nodes'
     */
    public Recorder(RecordingConfig config, String node, Consumer<String> log) throws IOException {
        this(
                config,
                node,
                log,
                file -> Files.newOutputStream(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
    }

    /** The same with a given way to create files. */
    Recorder(RecordingConfig config, String node, Consumer<String> log, FileFactory fileFactory) throws IOException {
        this.config = config;
        this.fileFactory = fileFactory;
        this.node = node;
        this.log = log;
        pseudonyms = new Pseudonyms(Files.readAllBytes(config.key()));
        Files.createDirectories(config.folder());
        thread.setDaemon(true);
        thread.setPriority(Thread.MIN_PRIORITY);
        thread.start();
    }

    /** Returns why the file can't be used as the key of pseudonyms, without its content; null if it can. */
    public static String keyFault(Path key) {
        try {
            long bytes = Files.size(key);
            return bytes >= Pseudonyms.MIN_KEY_BYTES ? null : "has " + bytes + " bytes";
        } catch (IOException e) {
            return "cannot be read";
        }
    }

    /** Maximum number of requests that a pool may offer per second. */
    public int maxPerSecond() {
        return config.maxPerSecond();
    }

    /** Queues an entry, or drops it if the queue is full; never waits. */
    public void offer(Entry entry) {
        if (closing || !queue.offer(entry)) {
            drop();
        }
    }

    /** Counts a request that was not offered. */
    public void drop() {
        dropped.incrementAndGet();
    }

    /** Returns the number of requests dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    private void writeLoop() {
        while (!closing || !queue.isEmpty()) {
            try {
                Entry entry = queue.poll(BLOCK_MS / 4, TimeUnit.MILLISECONDS);
                if (entry != null) {
                    write(entry);
                }
                if (entriesInBlock > 0 && System.nanoTime() - blockBegunNanos >= BLOCK_MS * MS_NANOS) {
                    endBlock();
                }
            } catch (InterruptedException e) {
                closing = true;
            } catch (IOException | RuntimeException e) {
                // A disk error costs records only; requests are served as before.
                log.accept("records: " + e + "; begun anew in " + RETRY_MS / 1_000 + " s");
                dropped.addAndGet(Math.max(1, entriesInBlock));
                abandon();
                retryAtNanos = System.nanoTime() + RETRY_MS * MS_NANOS;
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
        if (file == null && System.nanoTime() - retryAtNanos < 0) {
            drop();
            return;
        }
        if (file == null) {
            open(TimeUnit.MICROSECONDS.toMillis(entry.at()));
        }
        long drops = dropped.get();
        file.append(AvroFormat.toAvro(entry.asWritten(pseudonyms.pseudonym(entry.customer()), drops - reportedDrops)));
        reportedDrops = drops;
        if (entriesInBlock++ == 0) {
            blockBegunNanos = System.nanoTime();
        }
    }

    private void endBlock() throws IOException {
        file.flush();
        entriesInBlock = 0;
        if (Retention.isFull(Files.size(path), config)) {
            file.close();
            file = null;
            stream = null;
        }
    }

    /**
     * Deletes surplus files and opens a new one. File names of a node sort by age, even if the machine's clock was set
     * back before a restart; the process id keeps apart two processes of one node.
     *
     * @param begunMs when the first request arrived, Unix milliseconds
     */
    private void open(long begunMs) throws IOException {
        List<Retention.Kept> kept = new ArrayList<>();
        try (Stream<Path> all = Files.list(config.folder())) {
            for (Path each : all.filter(each -> each.getFileName().toString().startsWith(prefix()))
                    .toList()) {
                kept.add(new Retention.Kept(each.getFileName().toString(), Files.size(each)));
            }
        }
        for (String name : Retention.surplus(kept, config)) {
            Files.deleteIfExists(config.folder().resolve(name));
        }
        long stamp = Math.max(
                begunMs,
                1 + kept.stream().mapToLong(each -> stamp(each.name())).max().orElse(-1));
        path = config.folder()
                .resolve(String.format(
                        "%s%013d-%d-%04d%s",
                        prefix(), stamp, ProcessHandle.current().pid(), serial++, SUFFIX));
        DataFileWriter<GenericRecord> writer = new DataFileWriter<>(new GenericDatumWriter<>(AvroFormat.REQUEST));
        writer.setCodec(CodecFactory.deflateCodec(DEFLATE_LEVEL)).setSyncInterval(BLOCK_BYTES);
        writer.setMeta(AvroFormat.VERSION_KEY, AvroFormat.VERSION)
                .setMeta(AvroFormat.NODE_KEY, node)
                .setMeta(AvroFormat.BEGUN_KEY, begunMs);
        stream = fileFactory.create(path);
        file = writer.create(AvroFormat.REQUEST, stream);
    }

    /** Returns the time stamp in a file's name, by which files sort; -1 for a name of another form. */
    private long stamp(String name) {
        Matcher matcher = STAMP.matcher(name.substring(prefix().length()));
        return matcher.lookingAt() ? Long.parseLong(matcher.group(1)) : -1;
    }

    private String prefix() {
        return node.replaceAll("[^A-Za-z0-9._]", "_") + "-";
    }

    private void abandon() {
        entriesInBlock = 0;
        DataFileWriter<GenericRecord> abandoned = file;
        file = null;
        try {
            if (abandoned != null) {
                abandoned.close();
            }
        } catch (IOException | RuntimeException e) {
            log.accept("records: " + path.getFileName() + " ends at its last whole block");
        }
        closeStream(abandoned == null);
    }

    /**
     * Closes the stream and deletes a file without a header. Otherwise each attempt on a full disk would leak a file
     * descriptor and leave such a file.
     */
    private void closeStream(boolean isWithoutHeader) {
        OutputStream left = stream;
        stream = null;
        if (left == null) {
            return;
        }
        try {
            left.close();
            if (isWithoutHeader) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            log.accept("records: " + path.getFileName() + " cannot be closed or deleted: " + e);
        }
    }

    /** Writes what is queued, for at most 2 s. */
    @Override
    public void close() {
        closing = true;
        try {
            thread.join(CLOSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // Entries offered while the thread ended, or not written because the disk hangs.
        dropped.addAndGet(queue.size());
        queue.clear();
    }
}
