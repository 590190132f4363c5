package rushpin.net;

/**
 * Whether a client sends its request fast enough: a span for the head, then a least rate for the body, and no silence
 * longer than that span. Time in which it is kept from sending is not its own. Time comes as an argument; no I/O.
 */
final class RequestReadTimeout {
    /** Nanoseconds for a head, and of silence; bytes a millisecond of a body at least. */
    static final long SPAN = 2_500_000_000L, LEAST_RATE = 40;

    private static final long MS = 1_000_000L;

    private long began, last, bytes, heldSince, held;
    private boolean isHeld;

    /** A request began to come at a moment. */
    void begin(long at) {
        began = at;
        last = at;
        bytes = 0;
        held = 0;
        isHeld = false;
    }

    /** So many bytes of its body came. */
    void came(int size, long now) {
        bytes += size;
        last = now;
    }

    /** How much of its body has come. */
    long bytes() {
        return bytes;
    }

    /** It is kept from sending, or may go on. */
    void hold(boolean on, long now) {
        if (on && !isHeld) {
            heldSince = now;
        } else if (!on && isHeld) {
            held += now - heldSince;
            // Its silence counts from here.
            last = now;
        }
        isHeld = on;
    }

    /** Whether it is to be let go. */
    boolean isTooSlow(long now) {
        return !isHeld && (now - last > SPAN || now - began - held > SPAN + bytes * MS / LEAST_RATE);
    }
}
