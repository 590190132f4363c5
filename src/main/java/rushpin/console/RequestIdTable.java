package rushpin.console;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Remembers request IDs for a time, so that an ID that comes again does not run again: neither while its first request
 * is open, nor after that may have had an effect. The processes of one node share the table through a mapped file; each
 * ID is a 64-bit hash with the time at which it expires.
 *
 * <p>Bounds: {@value #SLOTS} IDs in a file of 16 bytes for each, a quarter of that for a process alone. An ID may stand
 * in {@value #WAYS} slots; if none is free, the one that expires first is forgotten. Times are {@link System#nanoTime},
 * which the processes of a machine share. Thread-safe without locks: two claims of one ID at the same moment leave at
 * most one of them.
 */
public final class RequestIdTable {
    /** How long an ID is remembered whose request may have had an effect, in nanoseconds. */
    public static final long RETENTION_NANOS = 60_000_000_000L;

    static final int SLOTS = 32 * 1024;
    static final int WAYS = 8;
    private static final int SLOT_BYTES = 16;
    static final int FILE_BYTES = SLOTS * SLOT_BYTES;
    /** An expiry further ahead than this was written before the machine's last start. */
    private static final long MAX_AHEAD_NANOS = 3_600_000_000_000L;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer slots;

    private RequestIdTable(ByteBuffer slots) {
        this.slots = slots;
    }

    /** Creates a table for this process alone. */
    public static RequestIdTable local() {
        return new RequestIdTable(ByteBuffer.allocateDirect(FILE_BYTES / 4));
    }

    /** Opens the table that all processes with this file share; creates the file if it does not exist. */
    public static RequestIdTable shared(Path file) throws IOException {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return new RequestIdTable(channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES));
        }
    }

    /** The number by which the table knows an ID of a pool; never 0. */
    public static long key(String pool, String id) {
        long hash = FNV_OFFSET;
        for (String part : new String[] {pool, "\n", id}) {
            for (int i = 0; i < part.length(); i++) {
                hash = (hash ^ part.charAt(i)) * FNV_PRIME;
            }
        }
        hash = (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L;
        hash ^= hash >>> 32;
        return hash == 0 ? 1 : hash;
    }

    /** Claims an ID until the given time; returns false if it is claimed already. */
    public boolean claim(long key, long now, long until) {
        for (int attempt = 0; attempt < WAYS; attempt++) {
            if (find(key, now) >= 0) {
                return false;
            }
            Slot slot = firstToExpire(key, now);
            // Fails if another claim has taken the slot since it was looked at.
            if (LONGS.compareAndSet(slots, slot.offset + Long.BYTES, slot.expiry, until)) {
                LONGS.setVolatile(slots, slot.offset, key);
                return keepIfAlone(key, slot.offset, now);
            }
        }
        // Other claims took slots each time; remembering is given up rather than the request.
        return true;
    }

    /**
     * Another process may have claimed the same ID in another slot at the same moment. Whoever writes last sees the
     * other one and withdraws; if both see each other, both do.
     */
    private boolean keepIfAlone(long key, int own, long now) {
        int base = base(key);
        for (int slot = base; slot < base + WAYS * SLOT_BYTES; slot += SLOT_BYTES) {
            if (slot != own && holds(slot, key, now)) {
                LONGS.setVolatile(slots, own + Long.BYTES, 0L);
                return false;
            }
        }
        return true;
    }

    private boolean holds(int slot, long key, long now) {
        return (long) LONGS.getVolatile(slots, slot) == key && isLive(expiry(slot), now);
    }

    /** Changes until when a claimed ID is remembered; the present or an earlier time forgets it. */
    public void extend(long key, long now, long until) {
        int slot = find(key, now);
        if (slot >= 0) {
            LONGS.setVolatile(slots, slot + Long.BYTES, until);
        }
    }

    /** The offset of the slot that holds a live ID; -1 if there is none. */
    private int find(long key, long now) {
        int base = base(key);
        for (int slot = base; slot < base + WAYS * SLOT_BYTES; slot += SLOT_BYTES) {
            if (holds(slot, key, now)) {
                return slot;
            }
        }
        return -1;
    }

    /** A slot by its offset, with the expiry that it had when it was looked at. */
    private record Slot(int offset, long expiry) {}

    private Slot firstToExpire(long key, long now) {
        int base = base(key);
        Slot first = null;
        for (int offset = base; offset < base + WAYS * SLOT_BYTES; offset += SLOT_BYTES) {
            Slot slot = new Slot(offset, expiry(offset));
            if (!isLive(slot.expiry, now)) {
                return slot;
            }
            if (first == null || slot.expiry - first.expiry < 0) {
                first = slot;
            }
        }
        return first;
    }

    private long expiry(int slot) {
        return (long) LONGS.getVolatile(slots, slot + Long.BYTES);
    }

    private static boolean isLive(long expiry, long now) {
        return expiry != 0 && expiry - now > 0 && expiry - now <= MAX_AHEAD_NANOS;
    }

    private int base(long key) {
        int groupBytes = WAYS * SLOT_BYTES;
        return (int) Long.remainderUnsigned(key, slots.capacity() / groupBytes) * groupBytes;
    }
}
