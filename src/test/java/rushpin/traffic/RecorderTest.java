package rushpin.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.apache.avro.file.DataFileWriter;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests writing and reading of record files, also those damaged by a crash or a full disk, or of another version. */
class RecorderTest {
    @TempDir
    Path folder;

    private final ConcurrentLinkedQueue<String> logged = new ConcurrentLinkedQueue<>();
    private Path key;

    @BeforeEach
    void key() throws Exception {
        key = Files.writeString(folder.resolve("pseudonyms"), "a key of more than sixteen bytes");
    }

    private static Entry entry(String node, long at, long customer) {
        return new Entry(
                node,
                "p",
                at,
                "lookup",
                "bulk",
                customer,
                2,
                3,
                900_000,
                false,
                3,
                1,
                Entry.End.SERVED,
                41_000,
                List.of(new Entry.Try("s-1", 5, 9_000, "ERROR"), new Entry.Try("s-2", 9_100, 30_000, "OK")),
                0);
    }

    private RecordingConfig config(long fileBytes, long maxBytes) {
        return new RecordingConfig(folder.resolve("records"), key, fileBytes, maxBytes, 1_000);
    }

    private Recorder recorder(String node, RecordingConfig config) throws Exception {
        return new Recorder(config, node, logged::add);
    }

    private List<Path> files() throws Exception {
        try (Stream<Path> all = Files.list(folder.resolve("records"))) {
            return all.sorted().toList();
        }
    }

    @Test
    void entriesAreReadBackUnderPseudonymsThatAllNodesShare() throws Exception {
        for (String node : List.of("n1", "n2")) {
            try (Recorder recorder = recorder(node, config(1 << 20, 1 << 24))) {
                recorder.offer(entry(node, 2_000_000, 77));
                recorder.offer(entry(node, 1_000_000, 78));
            }
        }
        RecordedTraffic read = RecordedTraffic.read(folder.resolve("records"));
        assertEquals(4, read.entries().size());
        assertEquals(List.of(), read.notes());
        Entry first = read.entries().get(0);
        Entry last = read.entries().get(3);
        assertEquals(1_000_000, first.at());
        assertEquals(entry("n1", 1_000_000, 0).tries(), first.tries());
        assertEquals(last.customer(), read.entries().get(2).customer());
        assertNotEquals(77, last.customer());
        assertNotEquals(first.customer(), last.customer());
    }

    @Test
    void aTruncatedFileIsReadUpToItsLastWholeBlock() throws Exception {
        try (Recorder recorder = recorder("n1", config(1 << 20, 1 << 24))) {
            for (int i = 0; i < 3_000; i++) {
                recorder.offer(entry("n1", i, i));
            }
        }
        Path file = files().get(0);
        byte[] all = Files.readAllBytes(file);
        Files.write(file, java.util.Arrays.copyOf(all, all.length - 7));
        RecordedTraffic read = RecordedTraffic.read(folder.resolve("records"));
        assertTrue(
                read.entries().size() > 0 && read.entries().size() < 3_000,
                "read " + read.entries().size());
        assertTrue(
                read.notes().get(0).contains("last whole block"), read.notes().toString());
    }

    @Test
    void aFileOfAnotherVersionIsRejected() throws Exception {
        Path file = Files.createDirectories(folder.resolve("records")).resolve("n1-1.avro");
        try (DataFileWriter<GenericRecord> writer =
                new DataFileWriter<>(new GenericDatumWriter<>(AvroFormat.REQUEST))) {
            writer.setMeta(AvroFormat.VERSION_KEY, 2).create(AvroFormat.REQUEST, file.toFile());
            writer.append(AvroFormat.toAvro(entry("n1", 1, 1)));
        }
        String message = assertThrows(
                        RecordedTraffic.Unreadable.class, () -> RecordedTraffic.read(folder.resolve("records")))
                .getMessage();
        assertTrue(message.contains("version 2") && message.contains("reads 1"), message);
    }

    @Test
    void anEmptyFolderAFileThatIsNotAvroAndAnInvalidRequestAreReported() throws Exception {
        Path records = Files.createDirectories(folder.resolve("records"));
        assertTrue(assertThrows(RecordedTraffic.Unreadable.class, () -> RecordedTraffic.read(records))
                .getMessage()
                .contains("no file"));
        Files.writeString(records.resolve("n0-0.avro"), "noise");
        assertTrue(assertThrows(RecordedTraffic.Unreadable.class, () -> RecordedTraffic.read(records))
                .getMessage()
                .contains("no request"));
        try (DataFileWriter<GenericRecord> writer =
                new DataFileWriter<>(new GenericDatumWriter<>(AvroFormat.REQUEST))) {
            writer.setMeta(AvroFormat.VERSION_KEY, 1)
                    .create(AvroFormat.REQUEST, records.resolve("n1-1.avro").toFile());
            writer.append(AvroFormat.toAvro(entry("n1", 1, 1)));
            GenericRecord invalid = AvroFormat.toAvro(entry("n1", 2, 1));
            invalid.put("end", "VANISHED");
            writer.append(invalid);
        }
        RecordedTraffic read = RecordedTraffic.read(records);
        assertEquals(1, read.entries().size());
        assertTrue(
                read.notes().stream()
                        .anyMatch(note -> note.contains("1 requests left out") && note.contains("VANISHED")),
                read.notes().toString());
    }

    @Test
    void aClockSetBackIsReported() throws Exception {
        for (long begin : new long[] {100_000_000, 20_000_000}) {
            try (Recorder recorder = recorder("n1", config(1 << 20, 1 << 24))) {
                recorder.offer(entry("n1", begin, 1));
            }
            Thread.sleep(2);
        }
        assertTrue(
                RecordedTraffic.read(folder.resolve("records")).notes().get(0).contains("begins 80 s before"));
    }

    /** The clock is set by a number of seconds before the node restarts, so later files may have earlier times. */
    @ParameterizedTest
    @ValueSource(longs = {1, -1, 10, -10, 3_600, -3_600})
    void theOldestFileIsDeletedFirstIfTheClockWasSet(long clockStepS) throws Exception {
        long begunMs = 1_800_000_000_000L;
        long afterMs = begunMs + 1_000 * clockStepS;
        record(config(100, 1 << 20), begunMs);
        long bytes = Files.size(files().get(0));
        // Enough for one old file beside the new one.
        RecordingConfig small = config(100, 125 + bytes * 3 / 2);
        record(small, afterMs);
        record(small, afterMs + 1);
        assertEquals(
                List.of(1_000 * afterMs, 1_000 * (afterMs + 1)),
                RecordedTraffic.read(folder.resolve("records")).entries().stream()
                        .map(Entry::at)
                        .sorted()
                        .toList());
    }

    private void record(RecordingConfig config, long atMs) throws Exception {
        try (Recorder recorder = recorder("n1", config)) {
            recorder.offer(entry("n1", 1_000 * atMs, 1));
        }
    }

    @Test
    void aFullQueueDropsEntriesAndTheNextRecordReportsHowMany() throws Exception {
        Recorder recorder = recorder("n1", config(1 << 24, 1 << 27));
        int offered = 200_000;
        for (int i = 0; i < offered; i++) {
            recorder.offer(entry("n1", i, 1));
        }
        recorder.close();
        RecordedTraffic read = RecordedTraffic.read(folder.resolve("records"));
        assertEquals(offered, read.entries().size() + recorder.dropped());
        assertTrue(read.dropped() <= recorder.dropped(), "a drop is reported at most once");
        assertTrue(recorder.dropped() == 0 || read.entries().size() < offered);
    }

    @Test
    void onlyTheNewestFilesOfANodeAreKeptAndOtherNodesFilesAreNotDeleted() throws Exception {
        RecordingConfig small = config(100, 1_000);
        assertTrue(Retention.isFull(100, small) && !Retention.isFull(99, small));
        List<Retention.Kept> kept = List.of(
                new Retention.Kept("n1-2", 400), new Retention.Kept("n1-1", 400), new Retention.Kept("n1-3", 400));
        assertEquals(List.of("n1-1"), Retention.surplus(kept, small));
        assertEquals(List.of(), Retention.surplus(kept.subList(0, 2), small));
        Path records = Files.createDirectories(folder.resolve("records"));
        Files.write(records.resolve("n1-0000000000001-1-0000.avro"), new byte[2_000]);
        Files.write(records.resolve("n2-0000000000001-1-0000.avro"), new byte[2_000]);
        try (Recorder recorder = recorder("n1", small)) {
            recorder.offer(entry("n1", 1, 1));
        }
        assertFalse(Files.exists(records.resolve("n1-0000000000001-1-0000.avro")));
        assertTrue(Files.exists(records.resolve("n2-0000000000001-1-0000.avro")));
    }

    @Test
    void aDiskErrorDropsEntriesAndIsLogged() throws Exception {
        Recorder recorder = recorder("n1", config(1 << 20, 1 << 24));
        Files.delete(folder.resolve("records"));
        recorder.offer(entry("n1", 1, 1));
        recorder.close();
        assertEquals(1, recorder.dropped());
        assertTrue(logged.stream().anyMatch(line -> line.contains("begun anew")), logged.toString());
    }

    /** A stream on a disk that is full after a number of bytes; it tells whether it was closed. */
    private static final class FullDisk extends FilterOutputStream {
        private long freeBytes;
        final CountDownLatch closed = new CountDownLatch(1);

        FullDisk(OutputStream to, long freeBytes) {
            super(to);
            this.freeBytes = freeBytes;
        }

        @Override
        public void write(int b) throws IOException {
            if (freeBytes-- <= 0) {
                throw new IOException("no space left");
            }
            super.write(b);
        }

        @Override
        public void close() throws IOException {
            closed.countDown();
            super.close();
        }
    }

    /**
     * Space for no header (0 and 100 bytes), and for a header but no block (4000 bytes). If the stream were not closed
     * and the file not deleted, each attempt on a full disk would leak a descriptor and leave a file without a header.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 100, 4_000})
    void aFullDiskLeaksNoDescriptorAndLeavesNoFileWithoutAHeader(long freeBytes) throws Exception {
        AtomicReference<FullDisk> created = new AtomicReference<>();
        Recorder recorder = new Recorder(config(1 << 20, 1 << 24), "n1", logged::add, file -> {
            created.set(new FullDisk(Files.newOutputStream(file), freeBytes));
            return created.get();
        });
        for (int i = 0; i < 3_000; i++) {
            recorder.offer(entry("n1", i, i));
        }
        recorder.close();
        assertTrue(created.get().closed.await(10, TimeUnit.SECONDS));
        assertEquals(freeBytes < 1_000 ? 0 : 1, files().size(), files().toString());
        assertTrue(
                logged.stream().anyMatch(line -> line.contains("no space left; begun anew in 10 s")),
                logged.toString());
    }

    @Test
    void theLimitPerSecondHolds() {
        PerSecondLimit limit = new PerSecondLimit(3);
        int taken = 0;
        for (long at = 0; at < 2_000_000_000L; at += 10_000_000) {
            taken += limit.take(at) ? 1 : 0;
        }
        assertEquals(6, taken);
    }

    @Test
    void aShortKeyIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Pseudonyms(new byte[15]));
    }
}
