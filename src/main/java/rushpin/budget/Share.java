package rushpin.budget;

/**
 * What one pool may use of one resource of the process: its guaranteed part, and what the {@link Lender} has handed it
 * beyond that. It decides at once, from what it holds; more is asked for ahead of need, by messages to the desk, so
 * that no pool waits for another's thread. No I/O and no clock; one thread at a time.
 *
 * <p>Bounds: {@code used <= held} always, and {@link #take} never fails while the use stays within the guarantee.
 */
public final class Share {
    /** The way to the lender; may be a message to another thread, answered later. */
    public interface OperatorState {
        /** Wants so many more units, 0 for none any more; the lender hands some over now or when others come back. */
        void ask(long units);

        /** Gives units back. */
        void back(long units);
    }

    private final OperatorState desk;
    private long guaranteed, held, used, owed;
    private boolean asked;

    /** A share that holds nothing yet; the lender hands the guaranteed part over first. */
    public Share(long guaranteed, OperatorState desk) {
        this.guaranteed = guaranteed;
        this.desk = desk;
    }

    /** A share of a resource that has one user: so much, for good. */
    public static Share fixed(long units) {
        Share share = new Share(units, new OperatorState() {
            @Override
            public void ask(long more) {
                // There is nobody to ask.
            }

            @Override
            public void back(long given) {
                throw new IllegalStateException("a fixed share gives nothing back");
            }
        });
        share.held = units;
        return share;
    }

    /** Takes units if that is within what is held; asks for more ahead of need. */
    public boolean take(long units) {
        boolean may = used + units <= held - owed;
        used += may ? units : 0;
        if (!asked && owed == 0 && held - used < (may ? step() : units)) {
            asked = true;
            desk.ask(Math.max(step(), units));
        }
        return may;
    }

    /** Units are free again. */
    public void give(long units) {
        if (units > used) {
            throw new IllegalStateException("gives " + units + " of " + used);
        }
        used -= units;
        repay();
    }

    /** The lender handed units over. */
    public void handed(long units) {
        held += units;
        asked = false;
        repay();
    }

    /** The lender wants lent units back, as soon as they are free; returns how many are still in use. */
    public long recalled(long units) {
        // A part may be on its way back already, of the pool's own accord: the guaranteed part is never owed.
        owed = Math.max(owed, Math.min(owed + units, held - guaranteed));
        repay();
        return owed;
    }

    /** The operator changed the guaranteed part; the lender settles the difference. */
    public void guarantee(long units) {
        guaranteed = units;
    }

    private void repay() {
        long now = Math.min(owed, held - used);
        if (now > 0) {
            owed -= now;
            held -= now;
            desk.back(now);
        }
    }

    /** Now and then: what was lent and is not needed goes back. */
    public void sweep() {
        long spare = Math.min(held - guaranteed, held - used - step());
        if (owed == 0 && spare > 0) {
            if (asked) {
                // It wanted more once; two that wait for each other's spare units would wait for ever.
                asked = false;
                desk.ask(0);
            }
            held -= spare;
            desk.back(spare);
        }
    }

    private long step() {
        return Math.max(1, guaranteed / 8);
    }

    /** Units in use. */
    public long used() {
        return used;
    }

    /** Units at hand, used or not. */
    public long held() {
        return held;
    }

    /** Units wanted back that are still in use. */
    public long owed() {
        return owed;
    }
}
