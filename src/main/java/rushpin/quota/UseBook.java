package rushpin.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rushpin.quota.UseRecord.Balance;
import rushpin.quota.UseRecord.Entry;
import rushpin.quota.UseRecord.Kind;

/**
 * Keeps a record of use within its size: says which entry goes where, and when the record is to be begun anew with the
 * balances alone. No I/O; one thread at a time.
 *
 * <p>Bounds: so many entries, and so many customers with untold use; use of customers beyond that is not recorded.
 */
public final class UseBook {
    /** Where entries go. */
    public interface Port {
        /** The entry at a place of the present record; whether it was stored. */
        boolean write(int place, Entry entry);

        /**
         * A new record with these entries takes the present one's place whole; returns how many it begins with, or
         * {@link #NOT_STORED} if the present one still stands.
         *
         * @param absorbed the begins of further records that it takes over
         */
        int renew(List<Long> absorbed, List<Entry> open, long now);

        /** The time to be noted for one that the wall's clock says; another's where that may be set. */
        default long time(long wall) {
            return wall;
        }

        /** A line for the operators. */
        void log(String text);
    }

    private static final class Open {
        private int plan;
        private double untold, telling;
        private long at;

        Open copy() {
            Open copy = new Open();
            copy.plan = plan;
            copy.untold = untold;
            copy.telling = telling;
            copy.at = at;
            return copy;
        }
    }

    /** The module tells millionths: what is left of rounding is nothing. */
    static final double NOTHING = 1e-5;
    /** In place of a number of entries: there is no record, or no new one. */
    public static final int NOT_STORED = -1;

    private final Port port;
    private final int most, mostCustomers;
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private int next;
    private boolean crowded;
    /** The record lacks something: entries go to memory alone until it has been written anew. */
    private boolean behind;

    /**
     * A book whose record holds {@code most} entries, of which {@code begun} are written and say what is open;
     * {@link #NOT_STORED} if there is no record yet.
     */
    public UseBook(int most, int mostCustomers, List<Balance> balances, int begun, Port port) {
        this.most = most;
        this.mostCustomers = mostCustomers;
        this.port = port;
        next = begun;
        behind = begun == NOT_STORED;
        balances.forEach(this::open);
    }

    /** Units were taken, or given back if below 0. */
    public void useChanged(long customer, int plan, double units, long at) {
        add(new Entry(Kind.TOOK, plan, customer, units, port.time(at)));
    }

    /** The counter is about to be called. */
    public void reporting(long customer, double units, long at) {
        add(new Entry(Kind.TELLING, plan(customer), customer, units, port.time(at)));
    }

    /** A call has ended; {@code added} unless it is known that nothing was. */
    public void reported(long customer, double units, boolean added, long at) {
        add(new Entry(added ? Kind.TOLD : Kind.UNTOLD, plan(customer), customer, units, port.time(at)));
    }

    private int plan(long customer) {
        Open of = open.get(customer);
        return of == null ? 0 : of.plan;
    }

    private void add(Entry entry) {
        if (entry.units() == 0) {
            return;
        }
        Open of = open.get(entry.customer());
        if (of == null) {
            if (open.size() >= mostCustomers) {
                open.values().removeIf(UseBook::isBlank);
            }
            if (open.size() >= mostCustomers) {
                tellCrowded();
                return;
            }
            of = new Open();
            open.put(entry.customer(), of);
        }
        of.plan = entry.plan();
        of.at = entry.at();
        switch (entry.kind()) {
            case TOOK -> of.untold += entry.units();
            case TELLING -> {
                of.untold -= entry.units();
                of.telling += entry.units();
            }
            case TOLD -> of.telling -= entry.units();
            default -> {
                of.untold += entry.units();
                of.telling -= entry.units();
            }
        }
        if (behind) {
            return;
        }
        if (next < most) {
            behind = !port.write(next++, entry);
        } else {
            behind = !renew(List.of(), List.of(), entry.at());
        }
    }

    /** Takes over what other records held, all or nothing; false for nothing: they are still theirs. */
    public boolean absorb(List<Long> begins, List<Balance> balances, long at) {
        return renew(begins, balances, port.time(at));
    }

    /** Whether something that is open is not stored: to be tried again by {@link #catchUp}. */
    public boolean isBehind() {
        return behind;
    }

    /** Stores all that is open, if some of it is not stored. */
    public void catchUp(long at) {
        if (behind) {
            renew(List.of(), List.of(), port.time(at));
        }
    }

    private void open(Balance balance) {
        open(balance, open);
    }

    private void open(Balance balance, Map<Long, Open> into) {
        if (!into.containsKey(balance.customer()) && into.size() >= mostCustomers) {
            tellCrowded();
            return;
        }
        Open of = into.computeIfAbsent(balance.customer(), customer -> new Open());
        of.plan = balance.plan();
        of.untold += balance.units();
        of.at = balance.at();
    }

    private void tellCrowded() {
        if (!crowded) {
            crowded = true;
            port.log("the record of use is full: use of further customers is not kept over a hard kill");
        }
    }

    private static boolean isBlank(Open of) {
        return Math.abs(of.untold) < NOTHING && Math.abs(of.telling) < NOTHING;
    }

    /** Whether a new record stands with what is open, the entry at hand included, and with balances of others. */
    private boolean renew(List<Long> absorbed, List<Balance> balances, long at) {
        open.values().removeIf(UseBook::isBlank);
        crowded = false;
        Map<Long, Open> all = open;
        if (!balances.isEmpty()) {
            all = new LinkedHashMap<>();
            for (Map.Entry<Long, Open> each : open.entrySet()) {
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

    /** Half of a new record at most, or it would be renewed for ever. */
    private static List<Entry> entries(Map<Long, Open> all) {
        List<Entry> first = new ArrayList<>();
        all.forEach((customer, of) -> {
            if (Math.abs(of.untold + of.telling) > NOTHING) {
                first.add(new Entry(Kind.TOOK, of.plan, customer, of.untold + of.telling, of.at));
            }
            if (Math.abs(of.telling) > NOTHING) {
                first.add(new Entry(Kind.TELLING, of.plan, customer, of.telling, of.at));
            }
        });
        return first;
    }

    /** What is open, as a record read now would say. */
    public List<Balance> balances() {
        List<Balance> all = new ArrayList<>();
        open.forEach((customer, of) -> {
            if (Math.abs(of.untold + of.telling) > NOTHING) {
                all.add(new Balance(customer, of.plan, of.untold + of.telling, of.at));
            }
        });
        return all;
    }
}
