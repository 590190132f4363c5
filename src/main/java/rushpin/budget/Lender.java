package rushpin.budget;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Deals one resource of the process out to its pools: each has a guaranteed part that is never lent, and the common
 * rest is lent and called back. No I/O and no clock; one thread at a time; answers go out through {@link Port}.
 *
 * <p>Bounds: what is handed out never exceeds the total, also while the operator changes it or pools come and go; then
 * a new guarantee is filled as lent units come back, before anybody is lent anything.
 */
public final class Lender {
    /** The way to a pool's {@link Share}; messages arrive in the order in which they were sent. */
    public interface Port {
        /** These units are the pool's now. */
        void hand(long units);

        /** So many lent units are wanted back as soon as they are free. */
        void recall(long units);
    }

    private static final class Borrower {
        private Port port;
        private long guaranteed, held, recalled, wanted;

        long loan() {
            return held - recalled - guaranteed;
        }

        long missing() {
            return Math.max(0, guaranteed - held);
        }
    }

    /** In the order in which they wait: who was served goes to the end. */
    private final Map<String, Borrower> borrowers = new LinkedHashMap<>();

    private long total;

    /** Deals out so many units. */
    public Lender(long total) {
        this.total = total;
    }

    /** A pool comes, or its guarantee changes. The sum of all guarantees must stay within the total. */
    public void reserve(String who, long guaranteed, Port port) {
        Borrower borrower = borrowers.computeIfAbsent(who, name -> new Borrower());
        borrower.guaranteed = guaranteed;
        borrower.port = port;
        settle();
    }

    /** The operator changes the total. */
    public void resize(long units) {
        total = units;
        settle();
    }

    /** A pool is gone with all it had. */
    public void leave(String who) {
        borrowers.remove(who);
        settle();
    }

    /** A pool wants more; it waits for one answer at a time. */
    public void ask(String who, long units) {
        Borrower borrower = borrowers.get(who);
        if (borrower != null) {
            borrower.wanted = units;
            settle();
        }
    }

    /** A pool gives units back. */
    public void back(String who, long units) {
        Borrower borrower = borrowers.get(who);
        if (borrower != null) {
            borrower.held -= units;
            borrower.recalled = Math.max(0, borrower.recalled - units);
            settle();
        }
    }

    private void settle() {
        long free = total - handedOut();
        for (Borrower borrower : borrowers.values()) {
            long now = Math.min(borrower.missing(), free);
            if (now > 0) {
                free -= now;
                hand(borrower, now);
            }
        }
        long missing = borrowers.values().stream().mapToLong(Borrower::missing).sum();
        free -= missing;
        for (String who : List.copyOf(borrowers.keySet())) {
            Borrower borrower = borrowers.get(who);
            long now = Math.min(borrower.wanted, free);
            if (now > 0) {
                free -= now;
                borrowers.remove(who);
                borrowers.put(who, borrower);
                hand(borrower, now);
            }
        }
        // Guarantees come before everything; what is over the total counts as missing too.
        callBack(missing + Math.max(0, handedOut() - total), 0);
        long fair = fair();
        long scarce = 0;
        for (Borrower borrower : borrowers.values()) {
            scarce += Math.max(0, Math.min(borrower.wanted, fair - borrower.loan()));
        }
        callBack(scarce + missing, fair);
    }

    /** Lent units that each of those who have or want some may count on. */
    private long fair() {
        long rest =
                total - borrowers.values().stream().mapToLong(b -> b.guaranteed).sum();
        long users = borrowers.values().stream()
                .filter(b -> b.loan() > 0 || b.wanted > 0)
                .count();
        return Math.max(0, rest) / Math.max(1, users);
    }

    /** Calls units back, from the greatest loan first, until so many are on their way. */
    private void callBack(long units, long leave) {
        long open =
                units - borrowers.values().stream().mapToLong(b -> b.recalled).sum();
        while (open > 0) {
            Borrower greatest = null;
            for (Borrower borrower : borrowers.values()) {
                if (greatest == null || borrower.loan() > greatest.loan()) {
                    greatest = borrower;
                }
            }
            if (greatest == null || greatest.loan() <= leave) {
                return;
            }
            long now = Math.min(open, greatest.loan() - leave);
            greatest.recalled += now;
            open -= now;
            greatest.port.recall(now);
        }
    }

    private void hand(Borrower to, long units) {
        to.held += units;
        to.wanted = 0;
        to.port.hand(units);
    }

    /** Units that pools hold now, used or not. */
    public long handedOut() {
        return borrowers.values().stream().mapToLong(b -> b.held).sum();
    }
}
