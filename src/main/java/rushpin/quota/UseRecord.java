package rushpin.quota;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * The binary form of a record of use: which customers took how many units, and which of these were reported to the
 * counter. Entries have a fixed size and follow each other, each with its place and a checksum, so that the complete
 * entries of a record can be read wherever it was truncated. It does no I/O.
 *
 * <p>The header of {@link #HEADER} bytes holds a magic number with the version, the time when the record was begun, the
 * names of the node and the pool, the same time by the machine's monotonic clock, and a checksum.
 */
public final class UseRecord {
    /** Size of the header in bytes. */
    public static final int HEADER = 128;
    /** Size of an entry in bytes. */
    public static final int ENTRY = 40;

    private static final long MAGIC = 0x5255535045_0001L;
    /** The longest name of a node or pool, in bytes. */
    private static final int MAX_NAME_BYTES = 48;
    /** Offset of the checksum in an entry, which covers the bytes before it. */
    private static final int CHECKSUM_OFFSET = 32;
    /** Offset of the monotonic time in the header. */
    private static final int STEADY_OFFSET = 120;

    /** The kinds of entry; their order is part of the binary form. */
    public enum Kind {
        /** Units were taken, or given back if negative, and are not reported yet. */
        TOOK,
        /** A call to the counter is about to report these units. */
        TELLING,
        /** The call has ended, and the units were counted or may have been. */
        TOLD,
        /** The call has ended, and the units were not counted. */
        UNTOLD,
        /** The balances of another record were taken over; {@code customer} is the time when that record was begun. */
        ABSORBED
    }

    /** An entry of the record; {@code at} is in milliseconds of the wall clock. */
    public record Entry(Kind kind, int plan, long customer, double units, long at) {}

    /**
     * The origin of a record. A name of more than {@value #MAX_NAME_BYTES} bytes is replaced by its beginning and a
     * checksum.
     *
     * @param begun when the record was begun, in milliseconds of the wall clock
     * @param steady the same time in seconds of the monotonic clock that all processes of the machine share since its
     *     boot; 0 if unknown
     */
    public record Origin(String node, String pool, long begun, int steady) {
        /** Shortens the names. */
        public Origin {
            node = shortened(node);
            pool = shortened(pool);
        }

        /** Creates an origin whose monotonic time is unknown. */
        public Origin(String node, String pool, long begun) {
            this(node, pool, begun, 0);
        }

        /**
         * Returns the age of an entry of this record, in milliseconds and never negative. Of the two clocks the one
         * with the lower age is used, as the wall clock may have been set.
         */
        public long age(long at, long nowMs, int nowSteady) {
            long byWall = nowMs - at;
            long bySteady = steady == 0 ? byWall : (nowSteady - steady) * 1_000L - (at - begun);
            return Math.max(0, Math.min(byWall, bySteady));
        }
    }

    /** Use of a customer that the counter may not know of; {@code at} is the time of its last entry. */
    public record Balance(long customer, int plan, double units, long at) {}

    /**
     * The contents of a record.
     *
     * @param origin null if the header cannot be read; nothing else is known then
     * @param balances the use that was not reported, by the valid entries; empty if damaged
     * @param absorbed the times at which the records were begun whose balances this one took over
     * @param entries how many entries are valid, up to the first that is not
     * @param damaged whether a valid entry follows an invalid one: bits have changed, so no balance can be trusted
     */
    public record Contents(Origin origin, List<Balance> balances, List<Long> absorbed, int entries, boolean damaged) {}

    private UseRecord() {}

    /** Writes a header at the beginning of a record. */
    public static void header(RecordBuffer to, Origin origin) {
        byte[] node = name(origin.node());
        byte[] pool = name(origin.pool());
        to.putLong(0, MAGIC);
        to.putLong(8, origin.begun());
        to.putInt(16, node.length);
        to.putInt(20, pool.length);
        for (int i = 0; i < MAX_NAME_BYTES; i++) {
            to.put(24 + i, i < node.length ? node[i] : 0);
            to.put(24 + MAX_NAME_BYTES + i, i < pool.length ? pool[i] : 0);
        }
        to.putInt(STEADY_OFFSET, origin.steady());
        to.putInt(HEADER - 4, checksum(to.copy(0, HEADER - 4)));
    }

    private static byte[] name(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String shortened(String text) {
        byte[] bytes = name(text);
        if (bytes.length <= MAX_NAME_BYTES) {
            return text;
        }
        String sum = String.format("~%08x", checksum(bytes));
        String begin = new String(bytes, 0, MAX_NAME_BYTES - sum.length(), StandardCharsets.UTF_8);
        // A character that was cut in two decodes to U+FFFD and is left out.
        return begin.replace("\uFFFD", "") + sum;
    }

    /** Writes the entry of a place, counted from 0; its checksum is written last. */
    public static void entry(RecordBuffer to, int place, Entry entry) {
        entry(to, offset(place), place, entry);
    }

    /** Returns the bytes of the entry of a place. */
    public static byte[] entry(int place, Entry entry) {
        byte[] bytes = new byte[ENTRY];
        entry(RecordBuffer.of(bytes), 0, place, entry);
        return bytes;
    }

    /** Returns the offset of the entry of a place in a record. */
    public static int offset(int place) {
        return HEADER + place * ENTRY;
    }

    private static void entry(RecordBuffer to, int at, int place, Entry entry) {
        to.putInt(at, place + 1);
        to.putInt(at + 4, entry.kind().ordinal() << 16 | entry.plan() & 0xffff);
        to.putLong(at + 8, entry.customer());
        to.putLong(at + 16, Double.doubleToRawLongBits(entry.units()));
        to.putLong(at + 24, entry.at());
        to.putInt(at + CHECKSUM_OFFSET, checksum(to.copy(at, CHECKSUM_OFFSET)));
    }

    private static int checksum(byte[] bytes) {
        CRC32 sum = new CRC32();
        sum.update(bytes);
        return (int) sum.getValue();
    }

    /** Reads the valid entries of a record, which may have been truncated at any byte. */
    public static Contents read(byte[] bytes) {
        RecordBuffer from = RecordBuffer.of(bytes);
        if (bytes.length < HEADER
                || from.getLong(0) != MAGIC
                || from.getInt(HEADER - 4) != checksum(from.copy(0, HEADER - 4))) {
            return new Contents(null, List.of(), List.of(), 0, false);
        }
        Origin origin = new Origin(
                text(bytes, 24, from.getInt(16)),
                text(bytes, 24 + MAX_NAME_BYTES, from.getInt(20)),
                from.getLong(8),
                from.getInt(STEADY_OFFSET));
        int places = (bytes.length - HEADER) / ENTRY;
        int valid = 0;
        while (valid < places && isValid(from, valid)) {
            valid++;
        }
        boolean damaged = false;
        for (int place = valid + 1; place < places; place++) {
            damaged |= isValid(from, place);
        }
        Map<Long, double[]> open = new LinkedHashMap<>();
        List<Long> absorbed = new ArrayList<>();
        for (int place = 0; place < valid; place++) {
            apply(get(from, place), open, absorbed);
        }
        List<Balance> balances = new ArrayList<>();
        open.forEach((customer, use) -> {
            // A report in flight may not have been counted: it is sent again, as counting twice is the safer error.
            double units = use[0] + use[1];
            if (Math.abs(units) > UseBook.ROUNDING) {
                balances.add(new Balance(customer, (int) use[2], units, (long) use[3]));
            }
        });
        return new Contents(origin, damaged ? List.of() : balances, absorbed, valid, damaged);
    }

    /** Applies an entry to the customers' use: units unreported, units of calls in flight, plan and time. */
    private static void apply(Entry entry, Map<Long, double[]> open, List<Long> absorbed) {
        if (entry.kind() == Kind.ABSORBED) {
            absorbed.add(entry.customer());
            return;
        }
        double[] use = open.computeIfAbsent(entry.customer(), key -> new double[4]);
        use[2] = entry.plan();
        use[3] = entry.at();
        switch (entry.kind()) {
            case TOOK -> use[0] += entry.units();
            case TELLING -> {
                use[0] -= entry.units();
                use[1] += entry.units();
            }
            case TOLD -> use[1] -= entry.units();
            default -> {
                use[0] += entry.units();
                use[1] -= entry.units();
            }
        }
    }

    private static boolean isValid(RecordBuffer from, int place) {
        int at = offset(place);
        return from.getInt(at) == place + 1
                && from.getInt(at + CHECKSUM_OFFSET) == checksum(from.copy(at, CHECKSUM_OFFSET))
                && (from.getInt(at + 4) >>> 16) < Kind.values().length;
    }

    private static Entry get(RecordBuffer from, int place) {
        int at = offset(place);
        int kind = from.getInt(at + 4);
        return new Entry(
                Kind.values()[kind >>> 16],
                kind & 0xffff,
                from.getLong(at + 8),
                Double.longBitsToDouble(from.getLong(at + 16)),
                from.getLong(at + 24));
    }

    private static String text(byte[] bytes, int at, int length) {
        return length < 0 || length > MAX_NAME_BYTES ? "" : new String(bytes, at, length, StandardCharsets.UTF_8);
    }
}
