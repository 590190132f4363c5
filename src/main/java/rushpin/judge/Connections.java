package rushpin.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Holds what was open at a group of app servers, as these saw it, against what was agreed: never over the number, floors
 * kept, nothing closed under a request. All moments are {@link System#nanoTime} of one machine.
 */
public final class Connections {
    /** A connection from its accept to its end at the servers' side. */
    public record Open(String server, long from, long until) {}

    /** A connection was ended by its other side under a request, whose sender would have waited until {@code due}. */
    public record Under(String server, String request, long at, long due) {}

    /** The number from a moment on: when the operator has lowered it, from when the fleet must have closed down. */
    public record Number(long from, int most) {}

    /** A tenant's requests would have taken more than its floor of connections all the time. */
    public record Asked(String tenant, int floor, long from, long until) {}

    /** A connection carried a request of a tenant. */
    public record Carried(String tenant, long from, long until) {}

    /** A span in which connections may end under requests: a process died, or a link was cut. */
    public record Trouble(long from, long until) {}

    /**
     * What holds.
     *
     * @param floorAfter a tenant that asks has its floor after so long
     * @param window over so long a tenant's use is averaged
     * @param use what part of its floor it uses then at least, by connections that carry: between two requests is time too
     * @param slack by how much the two sides' clocks and timers may differ on when a request's time is over
     */
    public record Bounds(long floorAfter, long window, double use, long slack) {}

    /** A rule. */
    public enum Rule implements Breach.Rule {
        /** Never more open than the number, of all processes together. */
        NEVER_OVER("open connections never over the number"),
        /** A tenant that asks has its floor. */
        FLOOR_KEPT("a tenant's floor is its own when it asks"),
        /** No connection is closed under a request. */
        NOT_UNDER_A_REQUEST("no connection is closed under a request");

        private final String line;

        Rule(String line) {
            this.line = line;
        }

        @Override
        public String line() {
            return line;
        }
    }

    private Connections() {}

    /** The most that were open at once from a moment on, until another. */
    public static int most(List<Open> opens, long from, long until) {
        int now = 0, most = 0;
        for (long[] step : steps(opens)) {
            if (step[0] >= until) {
                break;
            }
            // What stands when the span begins counts in it.
            most = step[0] > from ? Math.max(most, now) : 0;
            now += (int) step[1];
        }
        return Math.max(most, now);
    }

    /** Moments at which one more or one less is open, in order; at one moment ends come first. */
    private static List<long[]> steps(List<Open> opens) {
        List<long[]> steps = new ArrayList<>();
        for (Open open : opens) {
            steps.add(new long[] {open.from, 1});
            if (open.until != Long.MAX_VALUE) {
                steps.add(new long[] {open.until, -1});
            }
        }
        steps.sort(Comparator.<long[]>comparingLong(step -> step[0]).thenComparingLong(step -> step[1]));
        return steps;
    }

    /** How many connections were in use on average in a span. */
    public static double use(List<Carried> carried, long from, long until) {
        double sum = 0;
        for (Carried each : carried) {
            sum += Math.max(0, Math.min(until, each.until) - Math.max(from, each.from));
        }
        return sum / Math.max(1, until - from);
    }

    /**
     * The breaches.
     *
     * @param numbers in order; the first from before anything was open
     * @param carried by tenant
     */
    public static List<Breach<Rule>> judge(
            Bounds bounds,
            List<Open> opens,
            List<Under> unders,
            List<Number> numbers,
            List<Asked> asked,
            Map<String, List<Carried>> carried,
            List<Trouble> troubles) {
        List<Breach<Rule>> found = new ArrayList<>();
        never(opens, numbers, found);
        for (Asked one : asked) {
            List<Carried> own = carried.getOrDefault(one.tenant, List.of());
            for (long from = one.from + bounds.floorAfter;
                    from + bounds.window <= one.until;
                    from += bounds.window / 2) {
                double use = use(own, from, from + bounds.window);
                if (use < bounds.use * one.floor) {
                    found.add(new Breach<>(
                            Rule.FLOOR_KEPT,
                            "tenant " + one.tenant + " had " + Math.round(10 * use) / 10.0 + " of its " + one.floor
                                    + ", " + (from - one.from) / 1_000_000 + " ms after it asked"));
                    break;
                }
            }
        }
        for (Under one : unders) {
            boolean excused = one.at >= one.due - bounds.slack
                    || troubles.stream().anyMatch(trouble -> trouble.from <= one.at && one.at <= trouble.until);
            if (!excused) {
                found.add(new Breach<>(
                        Rule.NOT_UNDER_A_REQUEST,
                        "request " + one.request + " at " + one.server + ", " + (one.due - one.at) / 1_000_000
                                + " ms before its time was over"));
            }
        }
        return found;
    }

    private static void never(List<Open> opens, List<Number> numbers, List<Breach<Rule>> found) {
        int now = 0, next = 0, most = 0;
        for (long[] step : steps(opens)) {
            while (next < numbers.size() && numbers.get(next).from <= step[0]) {
                most = numbers.get(next++).most;
                over(now, most, step[0], found);
            }
            now += (int) step[1];
            if (step[1] > 0) {
                over(now, most, step[0], found);
            }
        }
        for (; next < numbers.size(); next++) {
            over(now, numbers.get(next).most, numbers.get(next).from, found);
        }
    }

    private static void over(int now, int most, long at, List<Breach<Rule>> found) {
        if (now > most) {
            found.add(new Breach<>(Rule.NEVER_OVER, now + " of " + most + " at " + at));
        }
    }
}
