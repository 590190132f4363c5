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

/** Files as nodes write them, and what becomes of those that a crash, a disk or another version has spoilt. */
class RecorderTest {
    @TempDir
    Path folder;

    private final ConcurrentLinkedQueue<String> said = new ConcurrentLinkedQueue<>();
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

    private RecordingConfig keeping(long fileBytes, long mostBytes) {
        return new RecordingConfig(folder.resolve("records"), key, fileBytes, mostBytes, 1_000);
    }

    private Recorder recorder(String node, RecordingConfig keeping) throws Exception {
        return new Recorder(keeping, node, said::add);
    }

    private List<Path> files() throws Exception {
        try (Stream<Path> all = Files.list(folder.resolve("records"))) {
            return all.sorted().toList();
        }
    }

    @Test
    void whatWasOfferedIsReadAgainUnderAPseudonymThatAllNodesShare() throws Exception {
        for (String node : List.of("n1", "n2")) {
            try (Recorder recorder = recorder(node, keeping(1 << 20, 1 << 24))) {
                recorder.offer(entry(node, 2_000_000, 77));
                recorder.offer(entry(node, 1_000_000, 78));
            }
        }
        RecordedTraffic read = RecordedTraffic.read(folder.resolve("records"));
        assertEquals(4, read.entries().size());
        assertEquals(List.of(), read.notes());
        Entry first = read.entries().get(0), last = read.entries().get(3);
        assertEquals(1_000_000, first.at());
        assertEquals(entry("n1", 1_000_000, 0).tries(), first.tries());
        assertEquals(last.customer(), read.entries().get(2).customer());
        assertNotEquals(77, last.customer());
        assertNotEquals(first.customer(), last.customer());
    }

    @Test
    void aFileCutShortIsReadUpToItsLastWholeBlock() throws Exception {
        try (Recorder recorder = recorder("n1", keeping(1 << 20, 1 << 24))) {
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
    void anotherVersionIsTurnedDownByName() throws Exception {
        Path file = Files.createDirectories(folder.resolve("records")).resolve("n1-1.avro");
        try (DataFileWriter<GenericRecord> writer = new DataFileWriter<>(new GenericDatumWriter<>(Form.REQUEST))) {
            writer.setMeta(Form.VERSION_KEY, 2).create(Form.REQUEST, file.toFile());
            writer.append(Form.of(entry("n1", 1, 1)));
        }
        String why = assertThrows(RecordedTraffic.Unreadable.class, () -> RecordedTraffic.read(folder.resolve("records")))
                .getMessage();
        assertTrue(why.contains("version 2") && why.contains("reads 1"), why);
    }

    @Test
    void anEmptyFolderAFileOfNoiseAndAnOddRequestAreSaid() throws Exception {
        Path records = Files.createDirectories(folder.resolve("records"));
        assertTrue(assertThrows(RecordedTraffic.Unreadable.class, () -> RecordedTraffic.read(records))
                .getMessage()
                .contains("no file"));
        Files.writeString(records.resolve("n0-0.avro"), "noise");
        assertTrue(assertThrows(RecordedTraffic.Unreadable.class, () -> RecordedTraffic.read(records))
                .getMessage()
                .contains("no request"));
        try (DataFileWriter<GenericRecord> writer = new DataFileWriter<>(new GenericDatumWriter<>(Form.REQUEST))) {
            writer.setMeta(Form.VERSION_KEY, 1)
                    .create(Form.REQUEST, records.resolve("n1-1.avro").toFile());
            writer.append(Form.of(entry("n1", 1, 1)));
            GenericRecord odd = Form.of(entry("n1", 2, 1));
            odd.put("end", "VANISHED");
            writer.append(odd);
        }
        RecordedTraffic read = RecordedTraffic.read(records);
        assertEquals(1, read.entries().size());
        assertTrue(
                read.notes().stream()
                        .anyMatch(note -> note.contains("1 requests left out") && note.contains("VANISHED")),
                read.notes().toString());
    }

    @Test
    void aClockThatWasSetBackIsSaid() throws Exception {
        for (long begin : new long[] {100_000_000, 20_000_000}) {
            try (Recorder recorder = recorder("n1", keeping(1 << 20, 1 << 24))) {
                recorder.offer(entry("n1", begin, 1));
            }
            Thread.sleep(2);
        }
        assertTrue(RecordedTraffic.read(folder.resolve("records")).notes().get(0).contains("begins 80 s before"));
    }

    /** The machine's clock is set by so many seconds between two processes of one node. */
    @ParameterizedTest
    @ValueSource(longs = {1, -1, 10, -10, 3_600, -3_600})
    void theOldestFileGoesFirstWhicheverWayTheClockWasSet(long set) throws Exception {
        long begun = 1_800_000_000_000L, after = begun + 1_000 * set;
        record(keeping(100, 1 << 20), begun);
        long bytes = Files.size(files().get(0));
        // Room for one old file beside the one that is begun.
        RecordingConfig small = keeping(100, 125 + bytes * 3 / 2);
        record(small, after);
        record(small, after + 1);
        assertEquals(
                List.of(1_000 * after, 1_000 * (after + 1)),
                RecordedTraffic.read(folder.resolve("records")).entries().stream()
                        .map(Entry::at)
                        .sorted()
                        .toList());
    }

    private void record(RecordingConfig keeping, long atMs) throws Exception {
        try (Recorder recorder = recorder("n1", keeping)) {
            recorder.offer(entry("n1", 1_000 * atMs, 1));
        }
    }

    @Test
    void aFullQueueDropsAndTheNextRecordSaysHowMany() throws Exception {
        Recorder recorder = recorder("n1", keeping(1 << 24, 1 << 27));
        int offered = 200_000;
        for (int i = 0; i < offered; i++) {
            recorder.offer(entry("n1", i, 1));
        }
        recorder.close();
        RecordedTraffic read = RecordedTraffic.read(folder.resolve("records"));
        assertEquals(offered, read.entries().size() + recorder.dropped());
        assertTrue(read.dropped() <= recorder.dropped(), "a drop is told once");
        assertTrue(recorder.dropped() == 0 || read.entries().size() < offered);
    }

    @Test
    void onlyTheNewestBytesOfANodeStayAndOthersAreLeftAlone() throws Exception {
        RecordingConfig small = keeping(100, 1_000);
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
    void aDiskThatFailsCostsRecordsAndNothingElse() throws Exception {
        Recorder recorder = recorder("n1", keeping(1 << 20, 1 << 24));
        Files.delete(folder.resolve("records"));
        recorder.offer(entry("n1", 1, 1));
        recorder.close();
        assertEquals(1, recorder.dropped());
        assertTrue(said.stream().anyMatch(line -> line.contains("begun anew")), said.toString());
    }

    /** Bytes as of a disk that is full from some byte on, which say whether they were closed. */
    private static final class FullDisk extends FilterOutputStream {
        private long room;
        final CountDownLatch closed = new CountDownLatch(1);

        FullDisk(OutputStream to, long room) {
            super(to);
            this.room = room;
        }

        @Override
        public void write(int one) throws IOException {
            if (room-- <= 0) {
                throw new IOException("no room");
            }
            super.write(one);
        }

        @Override
        public void close() throws IOException {
            closed.countDown();
            super.close();
        }
    }

    /** Room for no header, and for a header but no block. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100, 4_000})
    void aFullDiskCostsNoDescriptorAndLeavesNoFileWithoutAHeader(long room) throws Exception {
        AtomicReference<FullDisk> made = new AtomicReference<>();
        Recorder recorder = new Recorder(keeping(1 << 20, 1 << 24), "n1", said::add, file -> {
            made.set(new FullDisk(Files.newOutputStream(file), room));
            return made.get();
        });
        for (int i = 0; i < 3_000; i++) {
            recorder.offer(entry("n1", i, i));
        }
        recorder.close();
        assertTrue(made.get().closed.await(10, TimeUnit.SECONDS));
        assertEquals(room < 1_000 ? 0 : 1, files().size(), files().toString());
        assertTrue(said.stream().anyMatch(line -> line.contains("no room; begun anew in 10 s")), said.toString());
    }

    @Test
    void noMoreThanTheAllowedNumberASecond() {
        PerSecondLimit allowance = new PerSecondLimit(3);
        int taken = 0;
        for (long at = 0; at < 2_000_000_000L; at += 10_000_000) {
            taken += allowance.take(at) ? 1 : 0;
        }
        assertEquals(6, taken);
    }

    @Test
    void aShortKeyIsNoKey() {
        assertThrows(IllegalArgumentException.class, () -> new Pseudonyms(new byte[15]));
    }
}
