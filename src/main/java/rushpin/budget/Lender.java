package rushpin.budget;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides one resource of the process among its pools: each has a guaranteed part that is never lent, and the rest is
 * lent and recalled. No I/O and no clock; one thread at a time; answers go out through {@link Port}.
 *
 * <p>Invariant: no units are granted beyond the total. After the operator changed the total or a pool
 * was added, new guarantees are filled as lent units come back, before any units are lent.
 */
public final class Lender {
    /** Sends messages to a pool's {@link Share}, which arrive in the order in which they were sent. */
    public interface Port {
        /** Grants units to the pool. */
        void grant(long units);

        /** Recalls lent units, to be given back as soon as they are free. */
        void recall(long units);
    }

    private static final class Borrower {
        private Port port;
        private long guaranteed;
        private long held;
        private long recalled;
        private long requested;

        long loan() {
            return held - recalled - guaranteed;
        }

        long missing() {
            return Math.max(0, guaranteed - held);
        }
    }

    /** In the order in which they are served; one that was served moves to the end. */
    private final Map<String, Borrower> borrowers = new LinkedHashMap<>();

    private long total;

    /** Creates a lender of the given number of units. */
    public Lender(long total) {
        this.total = total;
    }

    /** Adds a pool or changes its guarantee. The sum of all guarantees must stay within the total. */
    public void reserve(String name, long guaranteed, Port port) {
        Borrower borrower = borrowers.computeIfAbsent(name, key -> new Borrower());
        borrower.guaranteed = guaranteed;
        borrower.port = port;
        settle();
    }

    /** Changes the total. */
    public void resize(long units) {
        total = units;
        settle();
    }

    /** Removes a pool with all units it held. */
    public void remove(String name) {
        borrowers.remove(name);
        settle();
    }

    /** Requests units for a pool, replacing its pending request. */
    public void request(String name, long units) {
        Borrower borrower = borrowers.get(name);
        if (borrower != null) {
            borrower.requested = units;
            settle();
        }
    }

    /** Takes back units from a pool. */
    public void giveBack(String name, long units) {
        Borrower borrower = borrowers.get(name);
        if (borrower != null) {
            borrower.held -= units;
            borrower.recalled = Math.max(0, borrower.recalled - units);
            settle();
        }
    }

    private void settle() {
        long free = total - granted();
        for (Borrower borrower : borrowers.values()) {
            long granting = Math.min(borrower.missing(), free);
            if (granting > 0) {
                free -= granting;
                grant(borrower, granting);
            }
        }
        long missing = borrowers.values().stream().mapToLong(Borrower::missing).sum();
        free -= missing;
        for (String name : List.copyOf(borrowers.keySet())) {
            Borrower borrower = borrowers.get(name);
            long granting = Math.min(borrower.requested, free);
            if (granting > 0) {
                free -= granting;
                borrowers.remove(name);
                borrowers.put(name, borrower);
                grant(borrower, granting);
            }
        }
        // Guarantees come first; units beyond the total count as missing too.
        recallLoans(missing + Math.max(0, granted() - total), 0);
        long fairLoan = fairLoan();
        long scarce = 0;
        for (Borrower borrower : borrowers.values()) {
            scarce += Math.max(0, Math.min(borrower.requested, fairLoan - borrower.loan()));
        }
        recallLoans(scarce + missing, fairLoan);
    }

    /** Returns the equal share of lendable units among the pools that borrow or request some. */
    private long fairLoan() {
        long rest =
                total - borrowers.values().stream().mapToLong(b -> b.guaranteed).sum();
        long users = borrowers.values().stream()
                .filter(b -> b.loan() > 0 || b.requested > 0)
                .count();
        return Math.max(0, rest) / Math.max(1, users);
    }

    /** Recalls units, largest loan first, until the given number is outstanding; leaves loans of {@code maxLoan}. */
    private void recallLoans(long units, long maxLoan) {
        long outstanding =
                units - borrowers.values().stream().mapToLong(b -> b.recalled).sum();
        while (outstanding > 0) {
            Borrower largest = null;
            for (Borrower borrower : borrowers.values()) {
                if (largest == null || borrower.loan() > largest.loan()) {
                    largest = borrower;
                }
            }
            if (largest == null || largest.loan() <= maxLoan) {
                return;
            }
            long recalling = Math.min(outstanding, largest.loan() - maxLoan);
            largest.recalled += recalling;
            outstanding -= recalling;
            largest.port.recall(recalling);
        }
    }

    private void grant(Borrower to, long units) {
        to.held += units;
        to.requested = 0;
        to.port.grant(units);
    }

    /** Returns the units that pools hold now, used or not. */
    public long granted() {
        return borrowers.values().stream().mapToLong(b -> b.held).sum();
    }
}
