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

/** The state folder: what a killed process leaves, what others leave, and what is no record at all. */
class UseStoreTest {
    private static final long NOW = 1_700_000_000_000L;

    @TempDir
    Path folder;

    private final List<String> said = new ArrayList<>();

    /** What the wall's clock has been set forward by. */
    private long stepMs;

    private long nanos;

    private UseStore.Opened open(String node, long now) {
        return open(node, now, new UseStore.SystemDisk());
    }

    private UseStore.Opened open(String node, long now, UseStore.Disk disk) {
        // A machine that was booted an hour before.
        nanos = (3_600_000 + now - NOW - stepMs) * 1_000_000;
        UseStore.Opened opened = UseStore.open(folder, node, "p", now, said::add, disk, () -> nanos);
        assertNotNull(opened, said.toString());
        return opened;
    }

    private static Map<Long, Double> units(UseStore.Opened of) {
        Map<Long, Double> units = new HashMap<>();
        for (Balance b : of.untold()) {
            units.merge(b.customer(), b.units(), Double::sum);
        }
        return units;
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.sorted().toList();
        }
    }

    /** As after SIGKILL: the file as the kernel has it, and no lock. */
    private byte[] leave(UseStore.Opened of) throws IOException {
        byte[] left = Files.readAllBytes(files().get(0));
        of.store().close();
        return left;
    }

    @Test
    void whatWasTakenAndNotToldIsTakenOverOnce() throws Exception {
        UseStore.Opened first = open("n1", NOW);
        first.store().book().useChanged(7, 1, 5, NOW);
        first.store().book().reporting(7, 2, NOW);
        first.store().book().reported(7, 2, true, NOW);
        leave(first);
        UseStore.Opened second = open("n1", NOW + 1_000);
        assertEquals(Map.of(7L, 3.0), units(second));
        assertEquals(1, files().size(), "the old file is gone: " + files());
        second.store().book().reporting(7, 3, NOW + 1_000);
        second.store().book().reported(7, 3, true, NOW + 1_000);
        leave(second);
        UseStore.Opened third = open("n1", NOW + 2_000);
        assertEquals(Map.of(), units(third), "what was told is not told again");
        third.store().close();
    }

    @Test
    void aKillBetweenTakingOverAndDeletingCountsNothingTwice() throws Exception {
        UseStore.Opened first = open("n1", NOW);
        first.store().book().useChanged(7, 1, 5, NOW);
        Path old = files().get(0);
        byte[] left = leave(first);
        UseStore.Opened second = open("n1", NOW + 1_000);
        second.store().close();
        Files.write(old, left);
        UseStore.Opened third = open("n1", NOW + 2_000);
        assertEquals(Map.of(7L, 5.0), units(third));
        assertEquals(1, files().size());
        third.store().close();
    }

    @Test
    void twoProcessesOnOneFolderEachKeepTheirOwn() throws Exception {
        UseStore.Opened old = open("n1", NOW);
        old.store().book().useChanged(7, 1, 5, NOW);
        UseStore.Opened next = open("n1", NOW + 1_000);
        assertEquals(Map.of(), units(next), "what a living process holds is not taken over");
        next.store().book().useChanged(8, 1, 2, NOW + 1_000);
        old.store().close();
        next.store().close();
        UseStore.Opened last = open("n1", NOW + 2_000);
        assertEquals(Map.of(7L, 5.0, 8L, 2.0), units(last));
        last.store().close();
    }

    @Test
    void anothersAndDamagedRecordsCostALineAndCountNothing() throws Exception {
        UseStore.Opened other = open("n2", NOW);
        other.store().book().useChanged(7, 1, 5, NOW);
        leave(other);
        Files.writeString(folder.resolve("noise.use"), "this is none");
        byte[] version = new byte[UseStore.SIZE];
        version[7] = 9;
        Files.write(folder.resolve("version.use"), version);
        UseStore.Opened mine = open("n1", NOW + 1_000);
        assertEquals(Map.of(), units(mine));
        assertTrue(
                said.stream().anyMatch(line -> line.contains("is node n2's record, this is n1: left alone")),
                said.toString());
        assertEquals(
                2,
                said.stream()
                        .filter(line -> line.contains("no record of use of this version"))
                        .count());
        mine.store().book().useChanged(7, 1, 5, NOW);
        mine.store().book().useChanged(8, 1, 5, NOW);
        mine.store().close();
        Path file = files().stream()
                .filter(each -> each.getFileName().toString().contains(Long.toString(NOW + 1_000)))
                .findFirst()
                .orElseThrow();
        byte[] bent = Files.readAllBytes(file);
        bent[UseRecord.HEADER + 20] ^= 1;
        Files.write(file, bent);
        UseStore.Opened again = open("n1", NOW + 2_000);
        assertEquals(Map.of(), units(again));
        assertTrue(said.stream().anyMatch(line -> line.contains("damaged before its end")), said.toString());
        again.store().close();
        UseStore.Opened theirs = open("n2", NOW + 2_000);
        assertEquals(Map.of(7L, 5.0), units(theirs), "the other node still finds its own");
        theirs.store().close();
    }

    @Test
    void useThatTheCounterHasForgottenIsNobodysConcern() throws Exception {
        UseStore.Opened first = open("n1", NOW);
        first.store().book().useChanged(7, 1, 5, NOW);
        leave(first);
        UseStore.Opened late = open("n1", NOW + 61_000);
        assertEquals(Map.of(), units(late));
        late.store().close();
    }

    /** A step of the wall's clock: what was taken ten seconds before is owed, once, and what is older than a minute is not. */
    @ParameterizedTest
    @ValueSource(longs = {3_600_000, -3_600_000})
    void aStepOfTheWallsClockNeitherLosesUseNorRestoresItTwice(long step) throws Exception {
        UseStore.Opened first = open("n1", NOW);
        UseStore.Opened beside = open("n1", NOW + 1);
        first.store().book().useChanged(7, 1, 5, NOW);
        first.store().close();
        stepMs = step;
        nanos += 10_000_000_000L;
        List<Balance> adopted = beside.store().adopt(NOW + 10_001 + step);
        assertEquals(5, adopted.get(0).units(), "adopted by one that was running");
        beside.store().book().useChanged(8, 1, 3, NOW + 10_001 + step);
        beside.store().close();
        UseStore.Opened next = open("n1", NOW + 20_000 + step);
        assertEquals(Map.of(7L, 5.0, 8L, 3.0), units(next), "taken over by one that begins after the step");
        UseStore.Opened other = open("n1", NOW + 20_001 + step);
        assertEquals(Map.of(), units(other));
        other.store().close();
        next.store().close();
        if (step > 0) {
            UseStore.Opened late = open("n1", NOW + 91_000 + step);
            assertEquals(Map.of(), units(late), "it has aged by the steady clock");
            late.store().close();
        }
    }

    @Test
    void useOfARunningProcessAgesByTheSteadyClock() throws Exception {
        UseStore.Opened first = open("n1", NOW);
        first.store().book().useChanged(7, 1, 5, NOW);
        nanos += 50_000_000_000L;
        // The wall's clock was set back: this is no younger by the steady clock than it is.
        first.store().book().useChanged(8, 1, 5, NOW - 3_600_000);
        first.store().close();
        stepMs = -3_600_000;
        UseStore.Opened next = open("n1", NOW + 70_000 - 3_600_000);
        assertEquals(Set.of(7L, 8L), units(next).keySet(), "an age below 0 is taken as fresh");
        next.store().close();
        stepMs = 3_600_000;
        UseStore.Opened late = open("n1", NOW + 150_000 + 3_600_000);
        assertEquals(Map.of(), units(late));
        late.store().close();
    }

    /** A kill in the middle of a store or of a header: what was whole is counted, once, and nothing stops the start. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aFileCutAtEveryByteOfItsHeaderAndLastEntryGivesWhatWasWhole(boolean zeros) throws Exception {
        UseStore.Opened first = open("n1", NOW);
        first.store().book().useChanged(7, 1, 5, NOW);
        first.store().book().useChanged(8, 1, 3, NOW);
        Path name = files().get(0);
        byte[] whole = Arrays.copyOf(leave(first), UseRecord.HEADER + 2 * UseRecord.ENTRY);
        for (int cut = 0; cut <= whole.length; cut++) {
            if (cut >= UseRecord.HEADER && cut < UseRecord.HEADER + UseRecord.ENTRY) {
                continue;
            }
            for (Path each : files()) {
                Files.delete(each);
            }
            Files.write(name, Arrays.copyOf(Arrays.copyOf(whole, cut), zeros ? whole.length : cut));
            // A rewrite that was cut before its rename stands beside it.
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
    void aNodesNameThatIsLongerThanItsFieldFindsItsOwnAndNoOthers() throws Exception {
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
    void aFullRecordIsWrittenAnewAndKeepsWhatIsOpen() throws Exception {
        UseStore.Opened first = open("n1", NOW);
        int entries = (UseStore.SIZE - UseRecord.HEADER) / UseRecord.ENTRY;
        for (int i = 0; i < entries + 100; i++) {
            first.store().book().useChanged(i % 50, 1, 1, NOW);
        }
        assertEquals(1, files().size(), files().toString());
        assertEquals(UseStore.SIZE, Files.size(files().get(0)));
        leave(first);
        UseStore.Opened second = open("n1", NOW + 1_000);
        assertEquals(
                entries + 100,
                units(second).values().stream().mapToDouble(x -> x).sum());
        second.store().close();
    }

    @Test
    void aFolderThatCannotBeUsedCostsOneLineAndIsTakenUpWhenItCan() throws Exception {
        Path file = Files.writeString(folder.resolve("file"), "no folder");
        UseStore.Opened opened = UseStore.open(file, "n1", "p", NOW, said::add);
        opened.store().book().useChanged(7, 1, 5, NOW);
        for (int second = 1; second < 5; second++) {
            assertEquals(List.of(), opened.store().adopt(NOW + second * 1_000));
        }
        assertEquals(1, said.size(), said.toString());
        assertTrue(said.get(0).startsWith("use is not kept over a hard kill"), said.get(0));
        Files.delete(file);
        assertEquals(List.of(), opened.store().adopt(NOW + 5_000));
        assertEquals(2, said.size(), said.toString());
        assertTrue(said.get(1).endsWith("can be used again: use is kept over a hard kill"), said.get(1));
        opened.store().close();
        UseStore.Opened next = UseStore.open(file, "n1", "p", NOW + 6_000, said::add);
        assertEquals(Map.of(7L, 5.0), units(next), "what was taken meanwhile is owed");
        next.store().close();
    }

    /** The file system, of which steps fail while their names are named. */
    private static final class FailingDisk extends UseStore.SystemDisk {
        final Set<String> failing = new HashSet<>();
        /** Names of files that alone fail; empty for all. */
        String only = "";

        boolean renamesThenFails;

        private void step(String name, Path of) throws IOException {
            if (failing.contains(name) && of.toString().contains(only)) {
                throw new IOException(name + " fails");
            }
        }

        @Override
        public List<Path> list(Path folder) throws IOException {
            step("list", folder);
            return super.list(folder);
        }

        @Override
        public FileChannel open(Path file, OpenOption... how) throws IOException {
            step("open", file);
            return super.open(file, how);
        }

        @Override
        public byte[] read(FileChannel of) throws IOException {
            step("read", Path.of(only));
            return super.read(of);
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
            if (renamesThenFails) {
                super.move(from, to);
                throw new IOException("move fails late");
            }
            step("move", from);
            super.move(from, to);
        }

        @Override
        public void delete(Path file) throws IOException {
            step("delete", file);
            super.delete(file);
        }
    }

    private UseStore.Opened open(long now, FailingDisk disk) {
        return open("n1", now, disk);
    }

    @ParameterizedTest
    @ValueSource(strings = {"write", "write open", "write move", "write list", "write delete"})
    void aDiskThatFailsForAWhileCostsTwoLinesAndNoUse(String steps) throws Exception {
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
                said.stream().filter(line -> line.startsWith("use is not kept")).count(),
                said.toString());
        disk.failing.clear();
        assertEquals(List.of(), first.store().adopt(NOW + 4_000));
        assertEquals(
                1,
                said.stream()
                        .filter(line -> line.endsWith("use is kept over a hard kill"))
                        .count(),
                said.toString());
        first.store().book().useChanged(9, 1, 1, NOW);
        first.store().close();
        UseStore.Opened second = open(NOW + 5_000, disk);
        assertEquals(Map.of(7L, 7.0, 8L, 6.0, 9L, 1.0), units(second));
        assertEquals(1, files().size(), files().toString());
        second.store().close();
    }

    /** A store into a mapping of such a file is SIGBUS, and an error that ends the loop later. */
    @Test
    void aFileThatWasCutBeneathItsProcessHurtsNothing() throws Exception {
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
    void takingOverThatFailsHalfWayNeitherLosesNorDoubles(String step) throws Exception {
        FailingDisk disk = new FailingDisk();
        UseStore.Opened first = open(NOW, disk);
        UseStore.Opened next = open(NOW + 1_000, disk);
        first.store().book().useChanged(7, 1, 5, NOW);
        first.store().close();
        disk.failing.add(step);
        Map<Long, Double> told = new HashMap<>();
        for (int second = 2; second < 5; second++) {
            next.store().adopt(NOW + second * 1_000).forEach(b -> told.merge(b.customer(), b.units(), Double::sum));
        }
        disk.failing.clear();
        next.store().adopt(NOW + 5_000).forEach(b -> told.merge(b.customer(), b.units(), Double::sum));
        assertEquals(Map.of(7L, 5.0), told, said.toString());
        assertEquals(1, files().size(), files().toString());
        next.store().close();
        UseStore.Opened last = open(NOW + 6_000, disk);
        assertEquals(Map.of(7L, 5.0), units(last), "it was told to nobody yet");
        last.store().close();
    }

    @Test
    void aFileThatCannotBeDeletedIsNotCountedAgainHoweverOftenTheRecordIsRenewed() throws Exception {
        FailingDisk disk = new FailingDisk();
        UseStore.Opened first = open(NOW, disk);
        first.store().book().useChanged(7, 1, 5, NOW);
        first.store().close();
        disk.failing.add("delete");
        disk.only = "-" + NOW + "-";
        UseStore.Opened second = open(NOW + 1_000, disk);
        assertEquals(Map.of(7L, 5.0), units(second));
        second.store().book().reporting(7, 5, NOW + 1_000);
        second.store().book().reported(7, 5, true, NOW + 1_000);
        for (int i = 0; i < 2 * UseStore.SIZE / UseRecord.ENTRY; i++) {
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
    void aRenameThatIsDoneAndReportedAsFailedCountsNothingTwice() throws Exception {
        FailingDisk disk = new FailingDisk();
        UseStore.Opened first = open(NOW, disk);
        first.store().book().useChanged(7, 1, 5, NOW);
        disk.failing.add("write");
        first.store().book().useChanged(7, 1, 5, NOW);
        disk.failing.clear();
        disk.failing.add("delete");
        disk.renamesThenFails = true;
        assertEquals(List.of(), first.store().adopt(NOW + 1_000));
        assertEquals(List.of(), first.store().adopt(NOW + 2_000));
        disk.failing.clear();
        disk.renamesThenFails = false;
        assertEquals(List.of(), first.store().adopt(NOW + 3_000));
        assertEquals(1, files().size(), files().toString());
        first.store().close();
        UseStore.Opened second = open(NOW + 4_000, disk);
        assertEquals(Map.of(7L, 10.0), units(second));
        second.store().close();
    }

    @Test
    void anothersRecordCostsOneLineNotOneEachSecond() throws Exception {
        open("n2", NOW).store().close();
        UseStore.Opened mine = open("n1", NOW + 1_000);
        mine.store().adopt(NOW + 2_000);
        mine.store().adopt(NOW + 3_000);
        assertEquals(1, said.size(), said.toString());
        mine.store().close();
    }
}
