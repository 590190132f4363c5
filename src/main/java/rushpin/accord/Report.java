package rushpin.accord;

import java.util.List;
import java.util.function.Function;

/**
 * What one process saw lately, as counts since its last report. Late, repeated, reordered and false ones are expected.
 *
 * @param session of the process; grows with each of its starts
 * @param sequence grows by one with each report of a session
 * @param process its name
 * @param zone where it stands
 * @param span what the counts were counted over, nanoseconds; 0 where that is not told
 * @param trouble how much of that span the process itself stood still or was late, in thousandths
 * @param seen attempts at servers, by zone and class; {@link #MOST_SEEN} at most, each once
 * @param stocks the servers that its lists hold; at most {@link Plan#MOST_ZONES}, each zone once
 * @param entered what its clients asked for; {@link #MOST_ENTERED} at most, each class once
 * @param needs connections that its tenants' requests take and wait for; {@link #MOST_NEEDS} at most, each group and tenant
 *     once
 */
public record Report(
        long session,
        long sequence,
        String process,
        String zone,
        long span,
        int trouble,
        List<Seen> seen,
        List<Stock> stocks,
        List<Entered> entered,
        List<Need> needs) {
    /**
     * Attempts at servers of one zone. Those that are slow are counted among the others too; those that are unreachable got
     * no connection, and count among the failed.
     *
     * @param of the class, by its name over all pools; empty where classes are not told apart
     */
    public record Seen(String zone, String of, long sent, long ok, long failed, long slow, long unreachable) {
        /** Of all classes. */
        public Seen(String zone, long sent, long ok, long failed, long slow, long unreachable) {
            this(zone, "", sent, ok, failed, slow, unreachable);
        }

        boolean isSound() {
            return Who.isName(zone)
                    && isClass(of)
                    && ok >= 0
                    && slow >= 0
                    && unreachable >= 0
                    && unreachable <= failed
                    && sent <= MOST
                    && ok <= sent
                    && failed <= sent - ok
                    && slow <= sent;
        }
    }

    /**
     * Servers of one zone by the list: those that may be sent to.
     *
     * @param ready how many
     * @param warm what they can do now in warm servers of the usual size, in thousandths
     * @param held how many of them this process holds out, since all that it sent there lately failed
     */
    public record Stock(String zone, int ready, long warm, int held) {
        /** Of which none is held out. */
        public Stock(String zone, int ready, long warm) {
            this(zone, ready, warm, 0);
        }

        /** Whether a request has nobody there to go to, by this process's sight. */
        public boolean isHeldOut() {
            return ready > 0 && held == ready;
        }

        boolean isSound() {
            return Who.isName(zone)
                    && ready >= 0
                    && ready <= MOST_READY
                    && warm >= 0
                    && warm <= MOST
                    && held >= 0
                    && held <= ready;
        }
    }

    /** Requests of a class that came from clients, first tries and those that came again. */
    public record Entered(String of, long count) {
        boolean isSound() {
            return isClass(of) && count >= 0 && count <= MOST;
        }
    }

    /**
     * Connections to a group, of one tenant; of an empty one the process tells only that it takes part.
     *
     * @param wanted the most that could have been in use at once: those in use and requests that waited for one
     * @param used the most that were in use at once
     */
    public record Need(String group, String tenant, int wanted, int used) {
        boolean isSound() {
            return Who.isName(group)
                    && isClass(tenant)
                    && used >= 0
                    && used <= wanted
                    && wanted <= Budget.MOST_CONNECTIONS;
        }
    }

    /** The most attempts that one report can tell of: more than a process can make in a minute. */
    public static final long MOST = 1L << 32;
    /** The most rows of attempts and of classes: what fits the bytes of a report. */
    public static final int MOST_SEEN = 256, MOST_ENTERED = 64, MOST_NEEDS = 128;

    private static final int MOST_READY = 1 << 20;

    /** Copies. */
    public Report {
        seen = List.copyOf(seen);
        stocks = List.copyOf(stocks);
        entered = List.copyOf(entered);
        needs = List.copyOf(needs);
    }

    /** Without needs. */
    public Report(
            long session,
            long sequence,
            String process,
            String zone,
            long span,
            int trouble,
            List<Seen> seen,
            List<Stock> stocks,
            List<Entered> entered) {
        this(session, sequence, process, zone, span, trouble, seen, stocks, entered, List.of());
    }

    /** Of attempts alone. */
    public Report(long session, long sequence, String process, String zone, List<Seen> seen) {
        this(session, sequence, process, zone, 0, 0, seen, List.of(), List.of());
    }

    /** A class's name over all pools, in the letters that names have; {@code pool} is empty for the platform's one. */
    public static String of(String pool, String className) {
        String name = (pool.isEmpty() ? className : pool + "." + className).replaceAll("[^a-zA-Z0-9._:-]", "_");
        return name.length() <= Who.LONGEST ? name : name.substring(0, Who.LONGEST);
    }

    private static boolean isClass(String of) {
        return of.isEmpty() || Who.isName(of);
    }

    /** Whether it can be true: names, bounds, counts that fit together. */
    public boolean isSound() {
        return session > 0
                && Who.isName(process)
                && Who.isName(zone)
                && span >= 0
                && trouble >= 0
                && trouble <= Plan.WHOLE
                && seen.size() <= MOST_SEEN
                && stocks.size() <= Plan.MOST_ZONES
                && entered.size() <= MOST_ENTERED
                && seen.stream().allMatch(Seen::isSound)
                && stocks.stream().allMatch(Stock::isSound)
                && entered.stream().allMatch(Entered::isSound)
                && once(seen, each -> List.of(each.zone, each.of))
                && once(stocks, Stock::zone)
                && once(entered, Entered::of)
                && needs.size() <= MOST_NEEDS
                && needs.stream().allMatch(Need::isSound)
                && once(needs, each -> List.of(each.group, each.tenant));
    }

    private static <T> boolean once(List<T> all, Function<T, Object> by) {
        return all.stream().map(by).distinct().count() == all.size();
    }
}
