package rushpin.quota;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * The form of a record of use: what customers' units were taken, and what of them was told to the counter. Entries of
 * fixed size stand one behind another, each with its place and a checksum, so that a record cut at any byte says what
 * was whole. Bytes in, values out; no I/O.
 *
 * <p>A header of {@link #HEADER} bytes: magic, version, the time it was begun, the node's and the pool's name, the same
 * time by the machine's steady clock, a checksum.
 */
public final class UseRecord {
    /** Bytes of the header and of an entry. */
    public static final int HEADER = 128, ENTRY = 40;

    private static final long MAGIC = 0x5255535045_0001L;
    private static final int MOST_NAME = 48, CHECKED = 32, STEADY = 120;

    /** What an entry says. */
    public enum Kind {
        /** Units were taken, or given back if below 0, and are not told yet. */
        TOOK,
        /** The counter is about to be called with these units. */
        TELLING,
        /** The call is over, and they were added or may have been. */
        TOLD,
        /** The call is over, and they were not added. */
        UNTOLD,
        /** All that another record held was taken over into this one; {@code customer} is that record's begin. */
        ABSORBED
    }

    /** One entry; times in milliseconds of the wall's clock. */
    public record Entry(Kind kind, int plan, long customer, double units, long at) {}

    /**
     * Where a record comes from. Names of more than {@value #MOST_NAME} bytes stand for themselves by their beginning and a
     * checksum.
     *
     * @param begun in milliseconds of the wall's clock
     * @param steady the same moment in seconds of a clock that nobody sets, as all processes of the machine have it since it
     *     was booted; 0 where that is not known
     */
    public record Origin(String node, String pool, long begun, int steady) {
        public Origin {
            node = shortened(node);
            pool = shortened(pool);
        }

        /** One whose steady time is not known. */
        public Origin(String node, String pool, long begun) {
            this(node, pool, begun, 0);
        }

        /** How old an entry of this record is: by the clock that says less, as the wall's may have been set, and not below 0. */
        public long age(long at, long nowMs, int nowSteady) {
            long byWall = nowMs - at;
            long bySteady = steady == 0 ? byWall : (nowSteady - steady) * 1_000L - (at - begun);
            return Math.max(0, Math.min(byWall, bySteady));
        }
    }

    /** Use of a customer that the counter may not know of. */
    public record Balance(long customer, int plan, double units, long at) {}

    /**
     * What a record holds.
     *
     * @param origin null if the header cannot be read: nothing else is known then
     * @param balances what was taken and not told, of the entries that are whole
     * @param absorbed the begins of records that this one took over
     * @param entries how many entries are whole
     * @param damaged whether there are whole entries behind one that is not: bits have changed, and no balance is safe
     */
    public record Contents(Origin origin, List<Balance> balances, List<Long> absorbed, int entries, boolean damaged) {}

    private UseRecord() {}

    /** Writes a header at the beginning of a buffer. */
    public static void header(RecordBuffer to, Origin origin) {
        byte[] node = name(origin.node()), pool = name(origin.pool());
        to.putLong(0, MAGIC);
        to.putLong(8, origin.begun());
        to.putInt(16, node.length);
        to.putInt(20, pool.length);
        for (int i = 0; i < MOST_NAME; i++) {
            to.put(24 + i, i < node.length ? node[i] : 0);
            to.put(24 + MOST_NAME + i, i < pool.length ? pool[i] : 0);
        }
        to.putInt(STEADY, origin.steady());
        to.putInt(HEADER - 4, checksum(to.copy(0, HEADER - 4)));
    }

    private static byte[] name(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String shortened(String text) {
        byte[] bytes = name(text);
        if (bytes.length <= MOST_NAME) {
            return text;
        }
        String sum = String.format("~%08x", checksum(bytes));
        String begin = new String(bytes, 0, MOST_NAME - sum.length(), StandardCharsets.UTF_8);
        // A character that was cut in two is left out.
        return begin.replace("\uFFFD", "") + sum;
    }

    /** Writes the entry of a place, counted from 0; its checksum is the last that is written of it. */
    public static void entry(RecordBuffer to, int place, Entry entry) {
        entry(to, offset(place), place, entry);
    }

    /** The bytes of the entry of a place. */
    public static byte[] entry(int place, Entry entry) {
        byte[] bytes = new byte[ENTRY];
        entry(RecordBuffer.of(bytes), 0, place, entry);
        return bytes;
    }

    /** Where the entry of a place stands in a record. */
    public static int offset(int place) {
        return HEADER + place * ENTRY;
    }

    private static void entry(RecordBuffer to, int at, int place, Entry entry) {
        to.putInt(at, place + 1);
        to.putInt(at + 4, entry.kind().ordinal() << 16 | entry.plan() & 0xffff);
        to.putLong(at + 8, entry.customer());
        to.putLong(at + 16, Double.doubleToRawLongBits(entry.units()));
        to.putLong(at + 24, entry.at());
        to.putInt(at + CHECKED, checksum(to.copy(at, CHECKED)));
    }

    private static int checksum(byte[] bytes) {
        CRC32 sum = new CRC32();
        sum.update(bytes);
        return (int) sum.getValue();
    }

    /** Reads what is whole of a record; it may have been cut at any byte. */
    public static Contents read(byte[] bytes) {
        RecordBuffer from = RecordBuffer.of(bytes);
        if (bytes.length < HEADER
                || from.getLong(0) != MAGIC
                || from.getInt(HEADER - 4) != checksum(from.copy(0, HEADER - 4))) {
            return new Contents(null, List.of(), List.of(), 0, false);
        }
        Origin origin = new Origin(
                text(bytes, 24, from.getInt(16)),
                text(bytes, 24 + MOST_NAME, from.getInt(20)),
                from.getLong(8),
                from.getInt(STEADY));
        int places = (bytes.length - HEADER) / ENTRY, whole = 0;
        while (whole < places && isWhole(from, whole)) {
            whole++;
        }
        boolean damaged = false;
        for (int place = whole + 1; place < places; place++) {
            damaged |= isWhole(from, place);
        }
        Map<Long, double[]> open = new LinkedHashMap<>();
        List<Long> absorbed = new ArrayList<>();
        for (int place = 0; place < whole; place++) {
            apply(get(from, place), open, absorbed);
        }
        List<Balance> balances = new ArrayList<>();
        open.forEach((customer, b) -> {
            // What was being told may not have come: it is told again, too much rather than too little.
            double units = b[0] + b[1];
            if (Math.abs(units) > UseBook.NOTHING) {
                balances.add(new Balance(customer, (int) b[2], units, (long) b[3]));
            }
        });
        return new Contents(origin, damaged ? List.of() : balances, absorbed, whole, damaged);
    }

    private static void apply(Entry entry, Map<Long, double[]> open, List<Long> absorbed) {
        if (entry.kind() == Kind.ABSORBED) {
            absorbed.add(entry.customer());
            return;
        }
        double[] b = open.computeIfAbsent(entry.customer(), c -> new double[4]);
        b[2] = entry.plan();
        b[3] = entry.at();
        switch (entry.kind()) {
            case TOOK -> b[0] += entry.units();
            case TELLING -> {
                b[0] -= entry.units();
                b[1] += entry.units();
            }
            case TOLD -> b[1] -= entry.units();
            default -> {
                b[0] += entry.units();
                b[1] -= entry.units();
            }
        }
    }

    private static boolean isWhole(RecordBuffer from, int place) {
        int at = offset(place);
        return from.getInt(at) == place + 1
                && from.getInt(at + CHECKED) == checksum(from.copy(at, CHECKED))
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
        return length < 0 || length > MOST_NAME ? "" : new String(bytes, at, length, StandardCharsets.UTF_8);
    }
}
