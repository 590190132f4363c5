package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.quota.UseRecord;
import rushpin.quota.UseRecord.Balance;

/** The state folder with records of killed processes, of other nodes, and with invalid files. */
class UseStoreTest {
    private static final long NOW = 1_700_000_000_000L;

    @TempDir
    Path folder;

    private final List<String> logged = new ArrayList<>();

    /** How far the wall clock was set forward. */
    private long wallStepMs;

    private long nanos;

    private UseStore.Opened open(String node, long now) {
        return open(node, now, new UseStore.SystemDisk());
    }

    private UseStore.Opened open(String node, long now, UseStore.Disk disk) {
        // The machine was booted an hour before.
        nanos = (3_600_000 + now - NOW - wallStepMs) * 1_000_000;
        UseStore.Opened opened = UseStore.open(folder, node, "p", now, logged::add, disk, () -> nanos);
        assertNotNull(opened, logged.toString());
        return opened;
    }

    private static Map<Long, Double> units(UseStore.Opened opened) {
        Map<Long, Double> units = new HashMap<>();
        for (Balance b : opened.untold()) {
            units.merge(b.customer(), b.units(), Double::sum);
        }
        return units;
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.sorted().toList();
        }
    }

    /** Returns the file as the kernel has it, and releases its lock, as after SIGKILL. */
    private byte[] killAndRead(UseStore.Opened opened) throws IOException {
        byte[] content = Files.readAllBytes(files().get(0));
        opened.store().close();
        return content;
    }

    @Test
    void unreportedUseIsTakenOverOnce() throws Exception {
        UseStore.Opened first = open("n1", NOW);
        first.store().book().useChanged(7, 1, 5, NOW);
        first.store().book().reporting(7, 2, NOW);
        first.store().book().reported(7, 2, true, NOW);
        killAndRead(first);
        UseStore.Opened second = open("n1", NOW + 1_000);
        assertEquals(Map.of(7L, 3.0), units(second));
        assertEquals(1, files().size(), "the old file must be deleted: " + files());
        second.store().book().reporting(7, 3, NOW + 1_000);
        second.store().book().reported(7, 3, true, NOW + 1_000);
        killAndRead(second);
        UseStore.Opened third = open("n1", NOW + 2_000);
        assertEquals(Map.of(), units(third), "reported use must not be reported again");
        third.store().close();
    }

    @Test
    void aKillBeforeTheOldFileIsDeletedCountsNothingTwice() throws Exception {
        UseStore.Opened first = open("n1", NOW);
        first.store().book().useChanged(7, 1, 5, NOW);
        Path old = files().get(0);
        byte[] content = killAndRead(first);
        UseStore.Opened second = open("n1", NOW + 1_000);
        second.store().close();
        Files.write(old, content);
        UseStore.Opened third = open("n1", NOW + 2_000);
        assertEquals(Map.of(7L, 5.0), units(third));
        assertEquals(1, files().size());
        third.store().close();
    }

    @Test
    void twoProcessesOnOneFolderKeepSeparateRecords() throws Exception {
        UseStore.Opened old = open("n1", NOW);
        old.store().book().useChanged(7, 1, 5, NOW);
        UseStore.Opened next = open("n1", NOW + 1_000);
        assertEquals(Map.of(), units(next), "a locked record must not be taken over");
        next.store().book().useChanged(8, 1, 2, NOW + 1_000);
        old.store().close();
        next.store().close();
        UseStore.Opened last = open("n1", NOW + 2_000);
        assertEquals(Map.of(7L, 5.0, 8L, 2.0), units(last));
        last.store().close();
    }

    @Test
    void foreignAndDamagedRecordsAreLoggedAndNotCounted() throws Exception {
        UseStore.Opened other = open("n2", NOW);
        other.store().book().useChanged(7, 1, 5, NOW);
        killAndRead(other);
        Files.writeString(folder.resolve("noise.use"), "this is none");
        byte[] version = new byte[UseStore.FILE_SIZE];
        version[7] = 9;
        Files.write(folder.resolve("version.use"), version);
        UseStore.Opened own = open("n1", NOW + 1_000);
        assertEquals(Map.of(), units(own));
        assertTrue(
                logged.stream().anyMatch(line -> line.contains("is node n2's record, this is n1: left alone")),
                logged.toString());
        assertEquals(
                2,
                logged.stream()
                        .filter(line -> line.contains("no record of use of this version"))
                        .count());
        own.store().book().useChanged(7, 1, 5, NOW);
        own.store().book().useChanged(8, 1, 5, NOW);
        own.store().close();
        Path file = files().stream()
                .filter(each -> each.getFileName().toString().contains(Long.toString(NOW + 1_000)))
                .findFirst()
                .orElseThrow();
        byte[] corrupted = Files.readAllBytes(file);
        corrupted[UseRecord.HEADER + 20] ^= 1;
        Files.write(file, corrupted);
        UseStore.Opened again = open("n1", NOW + 2_000);
        assertEquals(Map.of(), units(again));
        assertTrue(logged.stream().anyMatch(line -> line.contains("damaged before its end")), logged.toString());
        again.store().close();
        UseStore.Opened theirs = open("n2", NOW + 2_000);
        assertEquals(Map.of(7L, 5.0), units(theirs), "the other node must still find its record");
        theirs.store().close();
    }

    @Test
    void useOlderThanTheCounterKeepsIsIgnored() throws Exception {
        UseStore.Opened first = open("n1", NOW);
        first.store().book().useChanged(7, 1, 5, NOW);
        killAndRead(first);
        UseStore.Opened late = open("n1", NOW + 61_000);
        assertEquals(Map.of(), units(late));
        late.store().close();
    }

    /** After a step of the wall clock, use of ten seconds ago is restored once, and use older than a minute is not. */
    @ParameterizedTest
    @ValueSource(longs = {3_600_000, -3_600_000})
    void aStepOfTheWallClockNeitherLosesUseNorRestoresItTwice(long step) throws Exception {
        UseStore.Opened first = open("n1", NOW);
        UseStore.Opened beside = open("n1", NOW + 1);
        first.store().book().useChanged(7, 1, 5, NOW);
        first.store().close();
        wallStepMs = step;
        nanos += 10_000_000_000L;
        List<Balance> adopted = beside.store().adopt(NOW + 10_001 + step);
        assertEquals(5, adopted.get(0).units(), "taken over by a running process");
        beside.store().book().useChanged(8, 1, 3, NOW + 10_001 + step);
        beside.store().close();
        UseStore.Opened next = open("n1", NOW + 20_000 + step);
        assertEquals(Map.of(7L, 5.0, 8L, 3.0), units(next), "taken over by a process that starts after the step");
        UseStore.Opened other = open("n1", NOW + 20_001 + step);
        assertEquals(Map.of(), units(other));
        other.store().close();
        next.store().close();
        if (step > 0) {
            UseStore.Opened late = open("n1", NOW + 91_000 + step);
            assertEquals(Map.of(), units(late), "use must age by the monotonic clock");
            late.store().close();
        }
    }

    @Test
    void useAgesByTheMonotonicClock() throws Exception {
        UseStore.Opened first = open("n1", NOW);
        first.store().book().useChanged(7, 1, 5, NOW);
        nanos += 50_000_000_000L;
        // The wall clock was set back, which must not change the age by the monotonic clock.
        first.store().book().useChanged(8, 1, 5, NOW - 3_600_000);
        first.store().close();
        wallStepMs = -3_600_000;
        UseStore.Opened next = open("n1", NOW + 70_000 - 3_600_000);
        assertEquals(Set.of(7L, 8L), units(next).keySet(), "a negative age counts as 0");
        next.store().close();
        wallStepMs = 3_600_000;
        UseStore.Opened late = open("n1", NOW + 150_000 + 3_600_000);
        assertEquals(Map.of(), units(late));
        late.store().close();
    }

    /** A kill while an entry or the header is written: complete entries are counted once, and the start succeeds. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aFileCutInItsHeaderOrLastEntryYieldsItsCompleteEntries(boolean zeros) throws Exception {
        UseStore.Opened first = open("n1", NOW);
        first.store().book().useChanged(7, 1, 5, NOW);
        first.store().book().useChanged(8, 1, 3, NOW);
        Path name = files().get(0);
        byte[] whole = Arrays.copyOf(killAndRead(first), UseRecord.HEADER + 2 * UseRecord.ENTRY);
        for (int cut = 0; cut <= whole.length; cut++) {
            if (cut >= UseRecord.HEADER && cut < UseRecord.HEADER + UseRecord.ENTRY) {
                continue;
            }
            for (Path each : files()) {
                Files.delete(each);
            }
            Files.write(name, Arrays.copyOf(Arrays.copyOf(whole, cut), zeros ? whole.length : cut));
            // A draft of a rewrite that was not renamed.
            Files.write(folder.resolve("p-1-1.draft"), whole);
            UseStore.Opened next = open("n1", NOW + 1_000);
            Map<Long, Double> units = units(next);
            next.store().close();
            int last = UseRecord.HEADER + 2 * UseRecord.ENTRY;
            if (cut < UseRecord.HEADER - 4) {
                assertEquals(Map.of(), units, "cut at " + cut);
            } else if (cut >= UseRecord.HEADER && cut < last - 8) {
                assertEquals(Map.of(7L, 5.0), units, "cut at " + cut);
            } else if (cut == last) {
                assertEquals(Map.of(7L, 5.0, 8L, 3.0), units, "cut at " + cut);
            }
        }
    }

    @Test
    void aNodeNameLongerThanItsFieldMatchesOnlyItself() throws Exception {
        String name = "é".repeat(40);
        UseStore.Opened first = open(name + "a", NOW);
        first.store().book().useChanged(7, 1, 5, NOW);
        first.store().close();
        UseStore.Opened other = open(name + "b", NOW + 1_000);
        assertEquals(Map.of(), units(other));
        other.store().close();
        UseStore.Opened second = open(name + "a", NOW + 2_000);
        assertEquals(Map.of(7L, 5.0), units(second));
        second.store().close();
    }

    @Test
    void aFullRecordIsRewrittenAndKeepsOpenUse() throws Exception {
        UseStore.Opened first = open("n1", NOW);
        int entries = (UseStore.FILE_SIZE - UseRecord.HEADER) / UseRecord.ENTRY;
        for (int i = 0; i < entries + 100; i++) {
            first.store().book().useChanged(i % 50, 1, 1, NOW);
        }
        assertEquals(1, files().size(), files().toString());
        assertEquals(UseStore.FILE_SIZE, Files.size(files().get(0)));
        killAndRead(first);
        UseStore.Opened second = open("n1", NOW + 1_000);
        assertEquals(
                entries + 100,
                units(second).values().stream().mapToDouble(x -> x).sum());
        second.store().close();
    }

    @Test
    void anUnusableFolderIsLoggedOnceAndUsedWhenItWorksAgain() throws Exception {
        Path file = Files.writeString(folder.resolve("file"), "no folder");
        UseStore.Opened opened = UseStore.open(file, "n1", "p", NOW, logged::add);
        opened.store().book().useChanged(7, 1, 5, NOW);
        for (int second = 1; second < 5; second++) {
            assertEquals(List.of(), opened.store().adopt(NOW + second * 1_000));
        }
        assertEquals(1, logged.size(), logged.toString());
        assertTrue(logged.get(0).startsWith("use is not kept over a hard kill"), logged.get(0));
        Files.delete(file);
        assertEquals(List.of(), opened.store().adopt(NOW + 5_000));
        assertEquals(2, logged.size(), logged.toString());
        assertTrue(logged.get(1).endsWith("can be used again: use is kept over a hard kill"), logged.get(1));
        opened.store().close();
        UseStore.Opened next = UseStore.open(file, "n1", "p", NOW + 6_000, logged::add);
        assertEquals(Map.of(7L, 5.0), units(next), "use taken meanwhile must be restored");
        next.store().close();
    }

    /** A file system whose operations fail while their names are in {@link #failing}. */
    private static final class FailingDisk extends UseStore.SystemDisk {
        final Set<String> failing = new HashSet<>();
        /** Limits failures to files whose names contain this; empty for all. */
        String nameFilter = "";

        boolean failAfterRename;

        private void failIfSet(String name, Path path) throws IOException {
            if (failing.contains(name) && path.toString().contains(nameFilter)) {
                throw new IOException(name + " fails");
            }
        }

        @Override
        public List<Path> list(Path folder) throws IOException {
            failIfSet("list", folder);
            return super.list(folder);
        }

        @Override
        public FileChannel open(Path file, OpenOption... how) throws IOException {
            failIfSet("open", file);
            return super.open(file, how);
        }

        @Override
        public byte[] read(FileChannel channel) throws IOException {
            failIfSet("read", Path.of(nameFilter));
            return super.read(channel);
        }

        @Override
        public void write(FileChannel to, byte[] bytes, int at) throws IOException {
            if (failing.contains("write")) {
                super.write(to, Arrays.copyOf(bytes, bytes.length / 2), at);
                throw new IOException("write fails");
            }
            super.write(to, bytes, at);
        }

        @Override
        public void move(Path from, Path to) throws IOException {
            if (failAfterRename) {
                super.move(from, to);
                throw new IOException("move fails late");
            }
            failIfSet("move", from);
            super.move(from, to);
        }

        @Override
        public void delete(Path file) throws IOException {
            failIfSet("delete", file);
            super.delete(file);
        }
    }

    private UseStore.Opened open(long now, FailingDisk disk) {
        return open("n1", now, disk);
    }

    @ParameterizedTest
    @ValueSource(strings = {"write", "write open", "write move", "write list", "write delete"})
    void aDiskThatFailsForAWhileIsLoggedAndLosesNoUse(String steps) throws Exception {
        FailingDisk disk = new FailingDisk();
        UseStore.Opened first = open(NOW, disk);
        first.store().book().useChanged(7, 1, 5, NOW);
        disk.failing.addAll(List.of(steps.split(" ")));
        first.store().book().useChanged(7, 1, 2, NOW);
        first.store().book().useChanged(8, 1, 3, NOW);
        for (int second = 1; second < 4; second++) {
            assertEquals(List.of(), first.store().adopt(NOW + second * 1_000));
            first.store().book().useChanged(8, 1, 1, NOW);
        }
        assertEquals(
                1,
                logged.stream()
                        .filter(line -> line.startsWith("use is not kept"))
                        .count(),
                logged.toString());
        disk.failing.clear();
        assertEquals(List.of(), first.store().adopt(NOW + 4_000));
        assertEquals(
                1,
                logged.stream()
                        .filter(line -> line.endsWith("use is kept over a hard kill"))
                        .count(),
                logged.toString());
        first.store().book().useChanged(9, 1, 1, NOW);
        first.store().close();
        UseStore.Opened second = open(NOW + 5_000, disk);
        assertEquals(Map.of(7L, 7.0, 8L, 6.0, 9L, 1.0), units(second));
        assertEquals(1, files().size(), files().toString());
        second.store().close();
    }

    /**
     * Another process truncates the record. With a mapped file, a store would raise SIGBUS and an error that ends the
     * event loop later.
     */
    @Test
    void aFileTruncatedByAnotherProcessLosesNoUse() throws Exception {
        UseStore.Opened first = open("n1", NOW);
        Path file = files().get(0);
        for (int i = 0; i < 3; i++) {
            try (FileChannel cut = FileChannel.open(file, StandardOpenOption.WRITE)) {
                cut.truncate(0);
            }
            for (int taken = 0; taken < 5_000; taken++) {
                first.store().book().useChanged(7, 1, 1, NOW);
            }
        }
        assertEquals(15_000, first.store().book().balances().get(0).units());
        first.store().close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"delete", "read", "open", "move", "write", "list"})
    void aFailedTakeOverNeitherLosesNorDoublesUse(String step) throws Exception {
        FailingDisk disk = new FailingDisk();
        UseStore.Opened first = open(NOW, disk);
        UseStore.Opened next = open(NOW + 1_000, disk);
        first.store().book().useChanged(7, 1, 5, NOW);
        first.store().close();
        disk.failing.add(step);
        Map<Long, Double> restored = new HashMap<>();
        for (int second = 2; second < 5; second++) {
            next.store().adopt(NOW + second * 1_000).forEach(b -> restored.merge(b.customer(), b.units(), Double::sum));
        }
        disk.failing.clear();
        next.store().adopt(NOW + 5_000).forEach(b -> restored.merge(b.customer(), b.units(), Double::sum));
        assertEquals(Map.of(7L, 5.0), restored, logged.toString());
        assertEquals(1, files().size(), files().toString());
        next.store().close();
        UseStore.Opened last = open(NOW + 6_000, disk);
        assertEquals(Map.of(7L, 5.0), units(last), "the use was not reported yet");
        last.store().close();
    }

    @Test
    void anUndeletableFileIsCountedOnceOverManyRewrites() throws Exception {
        FailingDisk disk = new FailingDisk();
        UseStore.Opened first = open(NOW, disk);
        first.store().book().useChanged(7, 1, 5, NOW);
        first.store().close();
        disk.failing.add("delete");
        disk.nameFilter = "-" + NOW + "-";
        UseStore.Opened second = open(NOW + 1_000, disk);
        assertEquals(Map.of(7L, 5.0), units(second));
        second.store().book().reporting(7, 5, NOW + 1_000);
        second.store().book().reported(7, 5, true, NOW + 1_000);
        for (int i = 0; i < 2 * UseStore.FILE_SIZE / UseRecord.ENTRY; i++) {
            second.store().book().useChanged(8, 1, i % 2 == 0 ? 1 : -1, NOW + 1_000);
        }
        second.store().close();
        disk.failing.clear();
        UseStore.Opened third = open(NOW + 2_000, disk);
        assertEquals(Map.of(), units(third));
        assertEquals(1, files().size(), files().toString());
        third.store().close();
    }

    @Test
    void aRenameThatSucceedsButIsReportedAsFailedCountsNothingTwice() throws Exception {
        FailingDisk disk = new FailingDisk();
        UseStore.Opened first = open(NOW, disk);
        first.store().book().useChanged(7, 1, 5, NOW);
        disk.failing.add("write");
        first.store().book().useChanged(7, 1, 5, NOW);
        disk.failing.clear();
        disk.failing.add("delete");
        disk.failAfterRename = true;
        assertEquals(List.of(), first.store().adopt(NOW + 1_000));
        assertEquals(List.of(), first.store().adopt(NOW + 2_000));
        disk.failing.clear();
        disk.failAfterRename = false;
        assertEquals(List.of(), first.store().adopt(NOW + 3_000));
        assertEquals(1, files().size(), files().toString());
        first.store().close();
        UseStore.Opened second = open(NOW + 4_000, disk);
        assertEquals(Map.of(7L, 10.0), units(second));
        second.store().close();
    }

    @Test
    void aForeignRecordIsLoggedOnce() throws Exception {
        open("n2", NOW).store().close();
        UseStore.Opened own = open("n1", NOW + 1_000);
        own.store().adopt(NOW + 2_000);
        own.store().adopt(NOW + 3_000);
        assertEquals(1, logged.size(), logged.toString());
        own.store().close();
    }
}
