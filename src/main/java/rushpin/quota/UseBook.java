package rushpin.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rushpin.quota.UseRecord.Balance;
import rushpin.quota.UseRecord.Entry;
import rushpin.quota.UseRecord.Kind;

/**
 * Keeps a record of use within its size: decides where each entry goes, and when the record is to be compacted to the
 * balances alone. It does no I/O itself and may be used by one thread at a time.
 *
 * <p>The number of entries and the number of customers with unreported use are bounded; use of further customers is not
 * recorded.
 */
public final class UseBook {
    /** The storage of the record. */
    public interface Port {
        /** Writes the entry at a place of the present record; returns whether it was stored. */
        boolean write(int place, Entry entry);

        /**
         * Replaces the present record atomically by a new one with these entries; returns how many entries it begins
         * with, or {@link #NOT_STORED} if the present one is still in place.
         *
         * @param absorbed the start times of other records whose balances are among the entries
         */
        int renew(List<Long> absorbed, List<Entry> open, long now);

        /** Returns the time to record for one of the wall clock, for storage that has a clock of its own. */
        default long time(long wall) {
            return wall;
        }

        /** Writes a line to the log. */
        void log(String text);
    }

    /** The use of one customer that the counter may not know of. */
    private static final class OpenUse {
        private int plan;
        /** Units that no call has reported. */
        private double unreported;
        /** Units that calls in flight report. */
        private double reporting;
        /** When the customer's last entry was made, in milliseconds of the wall clock. */
        private long at;

        OpenUse copy() {
            OpenUse copy = new OpenUse();
            copy.plan = plan;
            copy.unreported = unreported;
            copy.reporting = reporting;
            copy.at = at;
            return copy;
        }
    }

    /** Units below this are rounding errors, as the module reports millionths. */
    static final double ROUNDING = 1e-5;
    /** Stands for a number of entries if there is no record, or no new one could be stored. */
    public static final int NOT_STORED = -1;

    private final Port port;
    private final int maxEntries;
    private final int maxCustomers;
    private final Map<Long, OpenUse> open = new LinkedHashMap<>();
    /** The place of the next entry. */
    private int next;

    /** Whether it was logged that the record is full. */
    private boolean fullLogged;

    /** Whether the record lacks entries; new ones are kept in memory alone until it has been written anew. */
    private boolean behind;

    /**
     * Creates a book.
     *
     * @param maxEntries how many entries a record holds
     * @param maxCustomers how many customers with unreported use are recorded
     * @param balances the use that the record holds
     * @param begun how many entries are written; {@link #NOT_STORED} if there is no record yet
     */
    public UseBook(int maxEntries, int maxCustomers, List<Balance> balances, int begun, Port port) {
        this.maxEntries = maxEntries;
        this.maxCustomers = maxCustomers;
        this.port = port;
        next = begun;
        behind = begun == NOT_STORED;
        balances.forEach(this::open);
    }

    /** Records that units were taken, or given back if negative. */
    public void useChanged(long customer, int plan, double units, long at) {
        add(new Entry(Kind.TOOK, plan, customer, units, port.time(at)));
    }

    /** Records that a call to the counter is about to report units. */
    public void reporting(long customer, double units, long at) {
        add(new Entry(Kind.TELLING, plan(customer), customer, units, port.time(at)));
    }

    /** Records that a call has ended; {@code added} is false only if the units are known not to have been counted. */
    public void reported(long customer, double units, boolean added, long at) {
        add(new Entry(added ? Kind.TOLD : Kind.UNTOLD, plan(customer), customer, units, port.time(at)));
    }

    private int plan(long customer) {
        OpenUse use = open.get(customer);
        return use == null ? 0 : use.plan;
    }

    private void add(Entry entry) {
        if (entry.units() == 0) {
            return;
        }
        OpenUse use = open.get(entry.customer());
        if (use == null) {
            if (open.size() >= maxCustomers) {
                open.values().removeIf(UseBook::isBlank);
            }
            if (open.size() >= maxCustomers) {
                logFull();
                return;
            }
            use = new OpenUse();
            open.put(entry.customer(), use);
        }
        use.plan = entry.plan();
        use.at = entry.at();
        switch (entry.kind()) {
            case TOOK -> use.unreported += entry.units();
            case TELLING -> {
                use.unreported -= entry.units();
                use.reporting += entry.units();
            }
            case TOLD -> use.reporting -= entry.units();
            default -> {
                use.unreported += entry.units();
                use.reporting -= entry.units();
            }
        }
        if (behind) {
            return;
        }
        if (next < maxEntries) {
            behind = !port.write(next++, entry);
        } else {
            behind = !renew(List.of(), List.of(), entry.at());
        }
    }

    /** Takes over the balances of other records; on false none was taken over, and they still hold them. */
    public boolean absorb(List<Long> begins, List<Balance> balances, long at) {
        return renew(begins, balances, port.time(at));
    }

    /** Returns whether some unreported use is not stored; {@link #catchUp} tries again. */
    public boolean isBehind() {
        return behind;
    }

    /** Stores all unreported use, if some of it is not stored. */
    public void catchUp(long at) {
        if (behind) {
            renew(List.of(), List.of(), port.time(at));
        }
    }

    private void open(Balance balance) {
        open(balance, open);
    }

    private void open(Balance balance, Map<Long, OpenUse> target) {
        if (!target.containsKey(balance.customer()) && target.size() >= maxCustomers) {
            logFull();
            return;
        }
        OpenUse use = target.computeIfAbsent(balance.customer(), customer -> new OpenUse());
        use.plan = balance.plan();
        use.unreported += balance.units();
        use.at = balance.at();
    }

    private void logFull() {
        if (!fullLogged) {
            fullLogged = true;
            port.log("the record of use is full: use of further customers is not kept over a hard kill");
        }
    }

    private static boolean isBlank(OpenUse use) {
        return Math.abs(use.unreported) < ROUNDING && Math.abs(use.reporting) < ROUNDING;
    }

    /** Replaces the record by one of all unreported use and other records' balances; returns whether it was stored. */
    private boolean renew(List<Long> absorbed, List<Balance> balances, long at) {
        open.values().removeIf(UseBook::isBlank);
        fullLogged = false;
        Map<Long, OpenUse> all = open;
        if (!balances.isEmpty()) {
            all = new LinkedHashMap<>();
            for (Map.Entry<Long, OpenUse> each : open.entrySet()) {
                all.put(each.getKey(), each.getValue().copy());
            }
            for (Balance balance : balances) {
                open(balance, all);
            }
        }
        int begun = port.renew(absorbed, entries(all), at);
        if (begun == NOT_STORED) {
            return false;
        }
        if (all != open) {
            open.clear();
            open.putAll(all);
        }
        next = begun;
        behind = false;
        return true;
    }

    /** Returns the entries of a new record: half of it at most, or it would be replaced with every entry. */
    private static List<Entry> entries(Map<Long, OpenUse> all) {
        List<Entry> entries = new ArrayList<>();
        all.forEach((customer, use) -> {
            if (Math.abs(use.unreported + use.reporting) > ROUNDING) {
                entries.add(new Entry(Kind.TOOK, use.plan, customer, use.unreported + use.reporting, use.at));
            }
            if (Math.abs(use.reporting) > ROUNDING) {
                entries.add(new Entry(Kind.TELLING, use.plan, customer, use.reporting, use.at));
            }
        });
        return entries;
    }

    /** Returns the unreported use, as it would be read from the record now. */
    public List<Balance> balances() {
        List<Balance> all = new ArrayList<>();
        open.forEach((customer, use) -> {
            if (Math.abs(use.unreported + use.reporting) > ROUNDING) {
                all.add(new Balance(customer, use.plan, use.unreported + use.reporting, use.at));
            }
        });
        return all;
    }
}
