package rushpin.quota;

import java.util.Arrays;

/** The bytes of a record, in memory or in a mapped file; numbers are big-endian. */
public interface RecordBuffer {
    /** Sets one byte. */
    void put(int at, byte value);

    /** Sets four bytes. */
    void putInt(int at, int value);

    /** Sets eight bytes. */
    void putLong(int at, long value);

    /** Reads four bytes. */
    int getInt(int at);

    /** Reads eight bytes. */
    long getLong(int at);

    /** Returns a copy of {@code length} bytes from {@code at} on. */
    byte[] copy(int at, int length);

    /** Returns a buffer over an array, which it writes through to. */
    static RecordBuffer of(byte[] bytes) {
        return new RecordBuffer() {
            @Override
            public void put(int at, byte value) {
                bytes[at] = value;
            }

            @Override
            public void putInt(int at, int value) {
                for (int i = 0; i < 4; i++) {
                    bytes[at + i] = (byte) (value >>> 24 - 8 * i);
                }
            }

            @Override
            public void putLong(int at, long value) {
                for (int i = 0; i < 8; i++) {
                    bytes[at + i] = (byte) (value >>> 56 - 8 * i);
                }
            }

            @Override
            public int getInt(int at) {
                int value = 0;
                for (int i = 0; i < 4; i++) {
                    value = value << 8 | bytes[at + i] & 0xff;
                }
                return value;
            }

            @Override
            public long getLong(int at) {
                return (long) getInt(at) << 32 | getInt(at + 4) & 0xffffffffL;
            }

            @Override
            public byte[] copy(int at, int length) {
                return Arrays.copyOfRange(bytes, at, at + length);
            }
        };
    }
}
