package rushpin.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import rushpin.quota.UseRecord.Balance;
import rushpin.quota.UseRecord.Contents;
import rushpin.quota.UseRecord.Entry;
import rushpin.quota.UseRecord.Kind;
import rushpin.quota.UseRecord.Origin;

/** The record of use with truncation at every byte, changed bits and failing storage. */
class UseRecordTest {
    private static final Origin ORIGIN = new Origin("n3", "bookings", 1_700_000_000_000L);

    /** Fake storage that keeps each record as a byte array in memory. */
    private static final class MemoryStorage implements UseBook.Port {
        final int maxEntries;
        byte[] bytes;
        long begun = ORIGIN.begun();
        int replacements;
        int attempts;
        boolean failing;
        final UseBook book;

        MemoryStorage(int maxEntries, int customers) {
            this.maxEntries = maxEntries;
            bytes = new byte[UseRecord.HEADER + maxEntries * UseRecord.ENTRY];
            UseRecord.header(RecordBuffer.of(bytes), ORIGIN);
            book = new UseBook(maxEntries, customers, List.of(), 0, this);
        }

        @Override
        public boolean write(int place, Entry entry) {
            if (failing) {
                return false;
            }
            UseRecord.entry(RecordBuffer.of(bytes), place, entry);
            return true;
        }

        @Override
        public int renew(List<Long> absorbed, List<Entry> open, long now) {
            attempts++;
            if (failing) {
                return UseBook.NOT_STORED;
            }
            bytes = new byte[UseRecord.HEADER + maxEntries * UseRecord.ENTRY];
            UseRecord.header(RecordBuffer.of(bytes), new Origin("n3", "bookings", ++begun));
            UseRecord.entry(RecordBuffer.of(bytes), 0, new Entry(Kind.ABSORBED, 0, begun - 1, 0, now));
            for (int i = 0; i < open.size(); i++) {
                UseRecord.entry(RecordBuffer.of(bytes), i + 1, open.get(i));
            }
            replacements++;
            return open.size() + 1;
        }

        @Override
        public void log(String text) {
            // These tests do not check the log.
        }
    }

    private static Map<Long, Double> units(List<Balance> balances) {
        Map<Long, Double> units = new HashMap<>();
        balances.forEach(b -> units.put(b.customer(), Math.rint(b.units() * 1e6) / 1e6));
        return units;
    }

    /** Truncates a record at every byte: exactly the complete entries before the cut must be read. */
    @Test
    void truncatedRecordHoldsItsCompleteEntries() {
        SplittableRandom random = new SplittableRandom(11);
        MemoryStorage storage = new MemoryStorage(40, 100);
        List<Map<Long, Double>> after = new ArrayList<>();
        after.add(Map.of());
        Map<Long, Double> telling = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            long customer = random.nextInt(4);
            if (i % 4 == 3 && telling.containsKey(customer)) {
                storage.book.reported(customer, telling.remove(customer), random.nextBoolean(), 5);
            } else if (i % 4 == 2 && !telling.containsKey(customer)) {
                telling.put(customer, 1.5);
                storage.book.reporting(customer, 1.5, 5);
            } else {
                storage.book.useChanged(customer, 1, 1 + random.nextInt(8), 5);
            }
            after.add(units(storage.book.balances()));
        }
        for (int cut = 0; cut <= storage.bytes.length; cut++) {
            // The file has a fixed size and is filled with zeros behind the cut.
            byte[] truncated = Arrays.copyOf(Arrays.copyOf(storage.bytes, cut), storage.bytes.length);
            Contents contents = UseRecord.read(truncated);
            if (cut < UseRecord.HEADER) {
                int at = cut;
                assertTrue(
                        contents.origin() == null
                                || Arrays.equals(truncated, 0, UseRecord.HEADER, storage.bytes, 0, UseRecord.HEADER),
                        () -> "cut at " + at);
                continue;
            }
            assertEquals(ORIGIN, contents.origin(), "cut at " + cut);
            int complete = contents.entries();
            assertTrue(
                    complete >= (cut - UseRecord.HEADER) / UseRecord.ENTRY
                            && complete <= (cut - UseRecord.HEADER) / UseRecord.ENTRY + 1,
                    "cut at " + cut + ": " + complete);
            assertFalse(contents.damaged(), "cut at " + cut);
            assertEquals(after.get(complete), units(contents.balances()), "cut at " + cut);
            assertEquals(
                    complete,
                    UseRecord.read(Arrays.copyOf(storage.bytes, cut)).entries()
                            + (complete > (cut - UseRecord.HEADER) / UseRecord.ENTRY ? 1 : 0),
                    "a shorter file, cut at " + cut);
        }
    }

    @Test
    void everyChangedBitIsDetected() {
        MemoryStorage storage = new MemoryStorage(6, 10);
        for (int i = 0; i < 6; i++) {
            storage.book.useChanged(i, 0, 2, 5);
        }
        for (int bit = 0; bit < storage.bytes.length * 8; bit++) {
            byte[] corrupted = storage.bytes.clone();
            corrupted[bit / 8] ^= (byte) (1 << bit % 8);
            Contents contents = UseRecord.read(corrupted);
            int place = (bit / 8 - UseRecord.HEADER) / UseRecord.ENTRY;
            boolean padding = bit / 8 >= UseRecord.HEADER && (bit / 8 - UseRecord.HEADER) % UseRecord.ENTRY >= 36;
            if (bit / 8 < UseRecord.HEADER) {
                assertNull(contents.origin(), "bit " + bit);
            } else if (padding) {
                assertEquals(6, contents.balances().size(), "bit " + bit);
            } else if (place < 5) {
                assertTrue(contents.damaged() && contents.balances().isEmpty(), "bit " + bit);
            } else {
                assertEquals(5, contents.balances().size(), "the last entry looks truncated, bit " + bit);
            }
        }
    }

    @Test
    void unfinishedAndFailedReportsAreStillUnreported() {
        MemoryStorage storage = new MemoryStorage(20, 10);
        storage.book.useChanged(1, 2 | 3 << 8, 8, 5);
        storage.book.reporting(1, 6, 6);
        assertEquals(Map.of(1L, 8.0), units(UseRecord.read(storage.bytes).balances()), "6 may have been added");
        storage.book.reported(1, 6, true, 7);
        assertEquals(Map.of(1L, 2.0), units(UseRecord.read(storage.bytes).balances()));
        storage.book.reporting(1, 2, 8);
        storage.book.reported(1, 2, false, 9);
        Balance balance = UseRecord.read(storage.bytes).balances().get(0);
        assertEquals(new Balance(1, 2 | 3 << 8, 2, 9), balance);
    }

    @Test
    void useBeyondMaxCustomersIsNotKept() {
        MemoryStorage storage = new MemoryStorage(100, 3);
        for (long customer = 0; customer < 5; customer++) {
            storage.book.useChanged(customer, 0, 1, 5);
        }
        assertEquals(3, storage.book.balances().size());
        storage.book.reporting(0, 1, 6);
        storage.book.reported(0, 1, true, 6);
        storage.book.useChanged(9, 0, 1, 7);
        assertTrue(units(storage.book.balances()).containsKey(9L), "a customer whose use is reported makes room");
    }

    @Test
    void useThatCouldNotBeStoredIsStoredByTheNextTry() {
        MemoryStorage storage = new MemoryStorage(20, 10);
        storage.book.useChanged(1, 1, 8, 5);
        storage.failing = true;
        storage.book.useChanged(1, 1, 2, 6);
        storage.book.reporting(1, 3, 6);
        storage.book.useChanged(2, 1, 4, 6);
        assertTrue(storage.book.isBehind());
        assertEquals(
                0,
                storage.attempts,
                "an entry does not retry by itself, so that a failing disk does not delay requests");
        storage.book.catchUp(7);
        assertTrue(storage.book.isBehind());
        assertEquals(Map.of(1L, 8.0), units(UseRecord.read(storage.bytes).balances()));
        storage.failing = false;
        storage.book.catchUp(8);
        assertFalse(storage.book.isBehind());
        assertEquals(
                Map.of(1L, 10.0, 2L, 4.0), units(UseRecord.read(storage.bytes).balances()));
        storage.book.reported(1, 3, true, 9);
        assertEquals(
                Map.of(1L, 7.0, 2L, 4.0), units(UseRecord.read(storage.bytes).balances()));
    }

    @Test
    void useOfOtherRecordsIsTakenOverCompletelyOrNotAtAll() {
        MemoryStorage storage = new MemoryStorage(20, 10);
        storage.book.useChanged(1, 1, 8, 5);
        storage.failing = true;
        assertFalse(storage.book.absorb(List.of(99L), List.of(new Balance(1, 1, 2, 4), new Balance(2, 1, 3, 4)), 6));
        assertEquals(Map.of(1L, 8.0), units(storage.book.balances()));
        assertFalse(storage.book.isBehind(), "the present record still holds all unreported use");
        storage.failing = false;
        assertTrue(storage.book.absorb(List.of(99L), List.of(new Balance(1, 1, 2, 4), new Balance(2, 1, 3, 4)), 6));
        assertEquals(
                Map.of(1L, 10.0, 2L, 3.0), units(UseRecord.read(storage.bytes).balances()));
    }

    @Test
    void useOfOtherRecordsIsBoundedByMaxCustomers() {
        MemoryStorage storage = new MemoryStorage(20, 3);
        List<Balance> many = new ArrayList<>();
        for (long customer = 0; customer < 30; customer++) {
            many.add(new Balance(customer, 1, 1, 4));
        }
        assertTrue(storage.book.absorb(List.of(99L), many, 6));
        assertEquals(3, UseRecord.read(storage.bytes).balances().size());
    }

    @Property
    void recordAlwaysHoldsTheBalancesOfTheBook(
            @ForAll long seed, @ForAll @IntRange(min = 24, max = 80) int maxEntries) {
        SplittableRandom random = new SplittableRandom(seed);
        MemoryStorage storage = new MemoryStorage(maxEntries, 8);
        Map<Long, List<Double>> telling = new HashMap<>();
        for (int step = 0; step < 600; step++) {
            long customer = random.nextInt(8);
            List<Double> unfinished = telling.computeIfAbsent(customer, c -> new ArrayList<>());
            int what = random.nextInt(3);
            if (what == 0 && unfinished.size() < 3) {
                double units = random.nextInt(1, 5);
                storage.book.reporting(customer, units, step);
                unfinished.add(units);
            } else if (what == 1 && !unfinished.isEmpty()) {
                storage.book.reported(customer, unfinished.remove(0), random.nextBoolean(), step);
            } else {
                storage.book.useChanged(customer, 1, random.nextInt(-3, 9), step);
            }
            assertEquals(
                    units(storage.book.balances()),
                    units(UseRecord.read(storage.bytes).balances()),
                    "seed " + seed + ", step " + step);
        }
        assertTrue(storage.replacements > 0, "seed " + seed + ": the record never filled");
    }
}
