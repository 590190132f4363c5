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

/** The record of use, cut and bent everywhere. */
class UseRecordTest {
    private static final Origin ORIGIN = new Origin("n3", "bookings", 1_700_000_000_000L);

    /** A book over records in memory, each a byte array. */
    private static final class Memory implements UseBook.Port {
        final int most;
        byte[] bytes;
        long begun = ORIGIN.begun();
        int renewed, tries;
        boolean failing;
        final UseBook book;

        Memory(int most, int customers) {
            this.most = most;
            bytes = new byte[UseRecord.HEADER + most * UseRecord.ENTRY];
            UseRecord.header(RecordBuffer.of(bytes), ORIGIN);
            book = new UseBook(most, customers, List.of(), 0, this);
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
            tries++;
            if (failing) {
                return UseBook.NOT_STORED;
            }
            bytes = new byte[UseRecord.HEADER + most * UseRecord.ENTRY];
            UseRecord.header(RecordBuffer.of(bytes), new Origin("n3", "bookings", ++begun));
            UseRecord.entry(RecordBuffer.of(bytes), 0, new Entry(Kind.ABSORBED, 0, begun - 1, 0, now));
            for (int i = 0; i < open.size(); i++) {
                UseRecord.entry(RecordBuffer.of(bytes), i + 1, open.get(i));
            }
            renewed++;
            return open.size() + 1;
        }

        @Override
        public void log(String text) {
            // Told once; not looked at here.
        }
    }

    private static Map<Long, Double> units(List<Balance> balances) {
        Map<Long, Double> units = new HashMap<>();
        balances.forEach(b -> units.put(b.customer(), Math.rint(b.units() * 1e6) / 1e6));
        return units;
    }

    /** Every byte of a run: what was whole before the cut is there, and nothing else. */
    @Test
    void aRecordCutAtEveryByteSaysWhatWasWhole() {
        SplittableRandom random = new SplittableRandom(11);
        Memory memory = new Memory(40, 100);
        List<Map<Long, Double>> after = new ArrayList<>();
        after.add(Map.of());
        Map<Long, Double> telling = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            long customer = random.nextInt(4);
            if (i % 4 == 3 && telling.containsKey(customer)) {
                memory.book.reported(customer, telling.remove(customer), random.nextBoolean(), 5);
            } else if (i % 4 == 2 && !telling.containsKey(customer)) {
                telling.put(customer, 1.5);
                memory.book.reporting(customer, 1.5, 5);
            } else {
                memory.book.useChanged(customer, 1, 1 + random.nextInt(8), 5);
            }
            after.add(units(memory.book.balances()));
        }
        for (int cut = 0; cut <= memory.bytes.length; cut++) {
            // A file of fixed size: behind the cut stand the zeros that it was made of.
            byte[] torn = Arrays.copyOf(Arrays.copyOf(memory.bytes, cut), memory.bytes.length);
            Contents contents = UseRecord.read(torn);
            if (cut < UseRecord.HEADER) {
                int at = cut;
                assertTrue(
                        contents.origin() == null
                                || Arrays.equals(torn, 0, UseRecord.HEADER, memory.bytes, 0, UseRecord.HEADER),
                        () -> "cut at " + at);
                continue;
            }
            assertEquals(ORIGIN, contents.origin(), "cut at " + cut);
            int whole = contents.entries();
            assertTrue(
                    whole >= (cut - UseRecord.HEADER) / UseRecord.ENTRY
                            && whole <= (cut - UseRecord.HEADER) / UseRecord.ENTRY + 1,
                    "cut at " + cut + ": " + whole);
            assertFalse(contents.damaged(), "cut at " + cut);
            assertEquals(after.get(whole), units(contents.balances()), "cut at " + cut);
            assertEquals(
                    whole,
                    UseRecord.read(Arrays.copyOf(memory.bytes, cut)).entries()
                            + (whole > (cut - UseRecord.HEADER) / UseRecord.ENTRY ? 1 : 0),
                    "a shorter file, cut at " + cut);
        }
    }

    @Test
    void everyChangedBitIsNoticedAndNothingIsCountedByIt() {
        Memory memory = new Memory(6, 10);
        for (int i = 0; i < 6; i++) {
            memory.book.useChanged(i, 0, 2, 5);
        }
        for (int bit = 0; bit < memory.bytes.length * 8; bit++) {
            byte[] bent = memory.bytes.clone();
            bent[bit / 8] ^= (byte) (1 << bit % 8);
            Contents contents = UseRecord.read(bent);
            int place = (bit / 8 - UseRecord.HEADER) / UseRecord.ENTRY;
            boolean padding = bit / 8 >= UseRecord.HEADER && (bit / 8 - UseRecord.HEADER) % UseRecord.ENTRY >= 36;
            if (bit / 8 < UseRecord.HEADER) {
                assertNull(contents.origin(), "bit " + bit);
            } else if (padding) {
                assertEquals(6, contents.balances().size(), "bit " + bit);
            } else if (place < 5) {
                assertTrue(contents.damaged() && contents.balances().isEmpty(), "bit " + bit);
            } else {
                assertEquals(5, contents.balances().size(), "the last entry looks torn, bit " + bit);
            }
        }
    }

    @Test
    void whatWasBeingToldIsToldAgainAndWhatWasNotAddedToo() {
        Memory memory = new Memory(20, 10);
        memory.book.useChanged(1, 2 | 3 << 8, 8, 5);
        memory.book.reporting(1, 6, 6);
        assertEquals(Map.of(1L, 8.0), units(UseRecord.read(memory.bytes).balances()), "6 may have been added");
        memory.book.reported(1, 6, true, 7);
        assertEquals(Map.of(1L, 2.0), units(UseRecord.read(memory.bytes).balances()));
        memory.book.reporting(1, 2, 8);
        memory.book.reported(1, 2, false, 9);
        Balance balance = UseRecord.read(memory.bytes).balances().get(0);
        assertEquals(new Balance(1, 2 | 3 << 8, 2, 9), balance);
    }

    @Test
    void beyondTheMostCustomersUseIsNotKept() {
        Memory memory = new Memory(100, 3);
        for (long customer = 0; customer < 5; customer++) {
            memory.book.useChanged(customer, 0, 1, 5);
        }
        assertEquals(3, memory.book.balances().size());
        memory.book.reporting(0, 1, 6);
        memory.book.reported(0, 1, true, 6);
        memory.book.useChanged(9, 0, 1, 7);
        assertTrue(units(memory.book.balances()).containsKey(9L), "one that is told makes room");
    }

    @Test
    void whatCouldNotBeStoredIsStoredWholeWithTheNextTry() {
        Memory memory = new Memory(20, 10);
        memory.book.useChanged(1, 1, 8, 5);
        memory.failing = true;
        memory.book.useChanged(1, 1, 2, 6);
        memory.book.reporting(1, 3, 6);
        memory.book.useChanged(2, 1, 4, 6);
        assertTrue(memory.book.isBehind());
        assertEquals(0, memory.tries, "an entry tries nothing by itself: a failing disk costs no request time");
        memory.book.catchUp(7);
        assertTrue(memory.book.isBehind());
        assertEquals(Map.of(1L, 8.0), units(UseRecord.read(memory.bytes).balances()));
        memory.failing = false;
        memory.book.catchUp(8);
        assertFalse(memory.book.isBehind());
        assertEquals(
                Map.of(1L, 10.0, 2L, 4.0), units(UseRecord.read(memory.bytes).balances()));
        memory.book.reported(1, 3, true, 9);
        assertEquals(
                Map.of(1L, 7.0, 2L, 4.0), units(UseRecord.read(memory.bytes).balances()));
    }

    @Test
    void othersUseIsTakenOverWholeOrNotAtAll() {
        Memory memory = new Memory(20, 10);
        memory.book.useChanged(1, 1, 8, 5);
        memory.failing = true;
        assertFalse(memory.book.absorb(List.of(99L), List.of(new Balance(1, 1, 2, 4), new Balance(2, 1, 3, 4)), 6));
        assertEquals(Map.of(1L, 8.0), units(memory.book.balances()));
        assertFalse(memory.book.isBehind(), "the present record still says all that is open");
        memory.failing = false;
        assertTrue(memory.book.absorb(List.of(99L), List.of(new Balance(1, 1, 2, 4), new Balance(2, 1, 3, 4)), 6));
        assertEquals(
                Map.of(1L, 10.0, 2L, 3.0), units(UseRecord.read(memory.bytes).balances()));
    }

    @Test
    void othersUseBeyondTheMostCustomersLeavesRoomForWhatFollows() {
        Memory memory = new Memory(20, 3);
        List<Balance> many = new ArrayList<>();
        for (long customer = 0; customer < 30; customer++) {
            many.add(new Balance(customer, 1, 1, 4));
        }
        assertTrue(memory.book.absorb(List.of(99L), many, 6));
        assertEquals(3, UseRecord.read(memory.bytes).balances().size());
    }

    @Property
    void aRecordReadAtAnyTimeSaysWhatTheBookSays(@ForAll long seed, @ForAll @IntRange(min = 24, max = 80) int most) {
        SplittableRandom random = new SplittableRandom(seed);
        Memory memory = new Memory(most, 8);
        Map<Long, List<Double>> telling = new HashMap<>();
        for (int step = 0; step < 600; step++) {
            long customer = random.nextInt(8);
            List<Double> out = telling.computeIfAbsent(customer, c -> new ArrayList<>());
            int what = random.nextInt(3);
            if (what == 0 && out.size() < 3) {
                double units = random.nextInt(1, 5);
                memory.book.reporting(customer, units, step);
                out.add(units);
            } else if (what == 1 && !out.isEmpty()) {
                memory.book.reported(customer, out.remove(0), random.nextBoolean(), step);
            } else {
                memory.book.useChanged(customer, 1, random.nextInt(-3, 9), step);
            }
            assertEquals(
                    units(memory.book.balances()),
                    units(UseRecord.read(memory.bytes).balances()),
                    "seed " + seed + ", step " + step);
        }
        assertTrue(memory.renewed > 0, "seed " + seed + ": the record never filled");
    }
}
