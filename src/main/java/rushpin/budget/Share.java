package rushpin.budget;

/**
 * The units of one resource that one pool may use: its guaranteed part, and what the {@link Lender} lends beyond that.
 *
 * <p>It decides at once from the units it holds, and requests more ahead of need by messages through {@link Port}, so
 * that no pool waits for another's thread. No I/O and no clock; one thread at a time.
 *
 * <p>Invariants: {@code used <= held}, and {@link #tryAcquire} never fails while use stays within the guarantee.
 */
public final class Share {
    /** Sends messages to the lender, which may run on another thread and answer later. */
    public interface Port {
        /** Requests more units, 0 to withdraw the request; the lender grants some now or when others are given back. */
        void request(long units);

        /** Gives units back. */
        void giveBack(long units);
    }

    private final Port port;
    private long guaranteed;
    private long held;
    private long used;
    private long owed;
    /** Whether a request to the lender is pending. */
    private boolean requested;

    /** Creates a share that holds nothing; the lender grants the guaranteed part first. */
    public Share(long guaranteed, Port port) {
        this.guaranteed = guaranteed;
        this.port = port;
    }

    /** Creates a share of constant size, for a resource with a single user. */
    public static Share fixed(long units) {
        Share share = new Share(units, new Port() {
            @Override
            public void request(long more) {
                // There is no lender.
            }

            @Override
            public void giveBack(long returned) {
                throw new IllegalStateException("a fixed share has no lender to give units back to");
            }
        });
        share.held = units;
        return share;
    }

    /** Acquires units if enough are held; requests more ahead of need. */
    public boolean tryAcquire(long units) {
        boolean available = used + units <= held - owed;
        used += available ? units : 0;
        if (!requested && owed == 0 && held - used < (available ? chunk() : units)) {
            requested = true;
            port.request(Math.max(chunk(), units));
        }
        return available;
    }

    /**
     * Releases units that were acquired.
     *
     * @throws IllegalStateException if fewer are in use
     */
    public void release(long units) {
        if (units > used) {
            throw new IllegalStateException("more units released than are in use: " + units + " > " + used);
        }
        used -= units;
        repay();
    }

    /** Adds units that the lender granted. */
    public void granted(long units) {
        held += units;
        requested = false;
        repay();
    }

    /** Gives lent units back to the lender as soon as they are free; returns how many are still in use. */
    public long recall(long units) {
        // Some may have been given back unasked since the recall was sent; the guaranteed part is never owed.
        owed = Math.max(owed, Math.min(owed + units, held - guaranteed));
        repay();
        return owed;
    }

    /** Sets the guaranteed part after the operator changed it; the lender settles the difference. */
    public void setGuarantee(long units) {
        guaranteed = units;
    }

    private void repay() {
        long repaid = Math.min(owed, held - used);
        if (repaid > 0) {
            owed -= repaid;
            held -= repaid;
            port.giveBack(repaid);
        }
    }

    /** Gives back lent units that are not needed; to be called regularly. */
    public void returnSpare() {
        long spare = Math.min(held - guaranteed, held - used - chunk());
        if (owed == 0 && spare > 0) {
            if (requested) {
                // Withdraws the request: two shares waiting for each other's spare units would deadlock.
                requested = false;
                port.request(0);
            }
            held -= spare;
            port.giveBack(spare);
        }
    }

    private long chunk() {
        return Math.max(1, guaranteed / 8);
    }

    /** Returns the units in use. */
    public long used() {
        return used;
    }

    /** Returns the units held, used or not. */
    public long held() {
        return held;
    }

    /** Returns the recalled units that are still in use. */
    public long owed() {
        return owed;
    }
}
