package rushpin.judge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rushpin.judge.AccordEvent.Agreed;
import rushpin.judge.AccordEvent.Lost;
import rushpin.judge.AccordEvent.Planned;
import rushpin.judge.AccordEvent.Ruled;
import rushpin.judge.AccordEvent.Session;

/**
 * Where requests went, held against the plans that the fleet had agreed on and each process said it goes by. All times are
 * of one clock ({@link System#nanoTime}). That drains and cold servers go before a plan is what the {@link Judge} looks at,
 * under a plan as without one.
 */
public final class Zones {
    private static final int HALF = 500;
    private static final long MS = 1_000_000L, HOUR = 3_600_000 * MS;

    /** The rules. */
    public enum Rule implements Breach.Rule {
        /** Whoever goes by a plan was told what it says. */
        PLANS_KNOWN("each plan that a pool goes by was agreed, and means one thing"),
        /** Nothing goes to a zone that the plan does not name, except what was out. */
        ONLY_NAMED("nothing goes to a zone that the plan in force does not name"),
        /** No zone gets more than its part of the first attempts, but for chance. */
        PARTS_KEPT("no zone gets more than the plan in force gives it"),
        /** Whoever is there is at most one plan behind, but for a bound. */
        TWO_PLANS("at most two plans are in force at a time"),
        /** A zone is left at most so many times an hour. */
        MOVES_BOUNDED("no zone is left more often than agreed");

        private final String line;

        Rule(String line) {
            this.line = line;
        }

        @Override
        public String line() {
            return line;
        }
    }

    /**
     * What was agreed.
     *
     * @param out how long after a pool's change of its plan an attempt by the one before may still reach a server, ns
     * @param lag how long a process that has a session may go by a plan when two newer ones are in force, nanoseconds
     * @param leaves the most times that a zone is left in any hour
     * @param odds of a breach found by chance alone, for each sum that is looked at
     */
    public record Bounds(long out, long lag, int leaves, double odds) {}

    /**
     * An attempt, where it came from and where it went.
     *
     * @param from the zone in which the request entered, that of the process
     * @param of the class, by its name over all pools
     * @param to the zone of the server
     * @param at when it reached the server
     * @param first whether it was the request's first one
     */
    public record Sent(Accords.Run by, String pool, String from, String of, String to, long at, boolean first) {}

    /**
     * A zone's servers could not be sent to, or not to all, by what was done to them.
     *
     * @param process empty for all
     * @param heldOut they are listed, warm, and answer nothing: whoever stands there has no other reason to send first
     *     attempts elsewhere but that it holds them out, and no more than is spare
     */
    public record Trouble(String process, String zone, long from, long until, boolean heldOut) {
        /** Any other. */
        public Trouble(String process, String zone, long from, long until) {
            this(process, zone, from, until, false);
        }

        private boolean touches(Sent one, long out) {
            return (process.isEmpty() || process.equals(one.by.name())) && from <= one.at && one.at - out <= until;
        }
    }

    /** What a pool goes by from a moment until the next. */
    private record Epoch(Accords.Run by, Planned plan, long until) {}

    /** First attempts against what was agreed: how many could have gone there, did, and were to. */
    private static final class Sum {
        private int all, there;
        private double agreed;
    }

    private final Bounds bounds;
    private final List<Breach<Rule>> found = new ArrayList<>();
    private final TreeMap<Key, Agreed> agreed = new TreeMap<>();
    private final Map<String, List<Epoch>> epochs = new HashMap<>();
    /** By pool: the spans in which it went by the local rule, which keeps more near than the plan and sends no more away. */
    private final Map<String, List<long[]>> local = new HashMap<>();

    private record Key(long fence, long number) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            return fence != other.fence ? Long.compare(fence, other.fence) : Long.compare(number, other.number);
        }
    }

    private Zones(Bounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Holds a run that is over against the rules.
     *
     * @param said what the processes said, in each one's order
     * @param sent what reached servers
     * @param end when the run was over
     */
    public static List<Breach<Rule>> judge(
            Bounds bounds,
            Collection<Accords.Said> said,
            Collection<Sent> sent,
            Collection<Trouble> troubles,
            long end) {
        Zones zones = new Zones(bounds);
        zones.read(said, end);
        zones.named(sent);
        zones.parts(sent, troubles);
        zones.behind(said, end);
        zones.leaves();
        return Breach.sorted(zones.found);
    }

    private void breach(Rule rule, String what) {
        found.add(new Breach<>(rule, what));
    }

    private void read(Collection<Accords.Said> said, long end) {
        for (Accords.Said one : said) {
            if (one.event() instanceof Agreed plan) {
                Agreed same = agreed.putIfAbsent(new Key(plan.fence(), plan.number()), plan);
                if (same != null && !same.ways().equals(plan.ways())) {
                    breach(
                            Rule.PLANS_KNOWN,
                            "plan " + plan.number() + " is " + same.ways() + " and, by " + one.by() + ", "
                                    + plan.ways());
                }
            }
        }
        for (Accords.Said one : said) {
            if (one.event() instanceof Ruled rule) {
                List<long[]> spans = local.computeIfAbsent(name(one.by(), rule.pool()), none -> new ArrayList<>());
                if (rule.local()) {
                    spans.add(new long[] {rule.at(), Long.MAX_VALUE});
                } else if (!spans.isEmpty()) {
                    spans.get(spans.size() - 1)[1] = rule.at();
                }
            }
        }
        Map<String, Accords.Said> last = new LinkedHashMap<>();
        for (Accords.Said one : said) {
            if (one.event() instanceof Planned plan) {
                if (!agreed.containsKey(key(plan))) {
                    breach(Rule.PLANS_KNOWN, one.by() + " goes by plan " + plan.number() + ", which nobody was told");
                }
                Accords.Said before = last.put(name(one.by(), plan.pool()), one);
                if (before != null) {
                    add(before, plan.at());
                }
            }
        }
        last.values().forEach(one -> add(one, Math.min(end, one.by().endedAt())));
    }

    private void add(Accords.Said one, long until) {
        Planned plan = (Planned) one.event();
        epochs.computeIfAbsent(name(one.by(), plan.pool()), none -> new ArrayList<>())
                .add(new Epoch(one.by(), plan, until));
    }

    private static Key key(Planned plan) {
        return new Key(plan.fence(), plan.number());
    }

    private static String name(Accords.Run by, String pool) {
        return by + "/" + pool;
    }

    /** What a pool went by at a moment, and {@code out} before; the newest first. */
    private List<Epoch> at(Sent one) {
        List<Epoch> all = epochs.getOrDefault(name(one.by, one.pool), List.of()), in = new ArrayList<>();
        for (Epoch epoch : all) {
            if (epoch.plan.at() <= one.at && one.at - bounds.out < epoch.until) {
                in.add(0, epoch);
            }
        }
        return in;
    }

    private boolean isLocal(Sent one) {
        return local.getOrDefault(name(one.by, one.pool), List.of()).stream()
                .anyMatch(span -> span[0] <= one.at && one.at - bounds.out <= span[1]);
    }

    /** The way of a class that enters in a zone; without parts where the plan says nothing of it. */
    private AccordEvent.Way way(Epoch epoch, Sent one) {
        Agreed plan = agreed.get(key(epoch.plan));
        AccordEvent.Way found = new AccordEvent.Way(one.from, "", Map.of(), Map.of());
        for (AccordEvent.Way way : plan == null ? List.<AccordEvent.Way>of() : plan.ways()) {
            if (way.from().equals(one.from)
                    && (way.of().equals(one.of)
                            || way.of().isEmpty() && found.parts().isEmpty())) {
                found = way;
            }
        }
        return found;
    }

    private Map<String, Integer> parts(Epoch epoch, Sent one) {
        return way(epoch, one).parts();
    }

    /** Of what was to go to a zone in trouble, how much may go to one that the plan names instead. */
    private int instead(AccordEvent.Way way, String zone, String other, Sent one, Collection<Trouble> troubles) {
        int most = 0;
        for (Trouble trouble : troubles) {
            if (trouble.zone.equals(other) && trouble.touches(one, bounds.out)) {
                most = Math.max(
                        most,
                        !trouble.heldOut
                                ? way.parts().get(other)
                                : other.equals(one.from) ? way.spare().getOrDefault(zone, 0) : 0);
            }
        }
        return most;
    }

    private void named(Collection<Sent> sent) {
        for (Sent one : sent) {
            List<Epoch> in = at(one);
            // What a pool did before its first plan may still be out as well.
            boolean free = in.isEmpty() || first(one) > one.at - bounds.out || one.to.equals(one.from) && isLocal(one);
            if (!free
                    && in.stream()
                            .map(epoch -> parts(epoch, one))
                            .noneMatch(parts -> parts.isEmpty() || parts.containsKey(one.to))) {
                breach(
                        Rule.ONLY_NAMED,
                        one.by + " sent " + one.of + " of " + one.from + " to " + one.to + " under plan "
                                + in.get(0).plan.number() + ", "
                                + (one.at - in.get(0).plan.at()) / MS + " ms after it came");
            }
        }
    }

    private long first(Sent one) {
        return epochs.get(name(one.by, one.pool)).get(0).plan.at();
    }

    private void parts(Collection<Sent> sent, Collection<Trouble> troubles) {
        Map<String, Sum> sums = new TreeMap<>();
        TreeSet<String> zones = new TreeSet<>();
        agreed.values()
                .forEach(plan ->
                        plan.ways().forEach(way -> zones.addAll(way.parts().keySet())));
        for (Sent one : sent) {
            List<Epoch> in = at(one);
            if (!one.first || in.size() != 1 || first(one) > one.at - bounds.out) {
                continue;
            }
            AccordEvent.Way way = way(in.get(0), one);
            Map<String, Integer> parts = way.parts();
            boolean rule = isLocal(one);
            for (String zone : parts.isEmpty() ? List.<String>of() : List.copyOf(zones)) {
                if (rule && zone.equals(one.from)) {
                    continue;
                }
                int most = parts.getOrDefault(zone, 0);
                for (String other : parts.containsKey(zone) ? parts.keySet() : Set.<String>of()) {
                    // What could not go there goes to the others that the plan names.
                    most += other.equals(zone) ? 0 : instead(way, zone, other, one, troubles);
                }
                for (String sum : List.of(
                        "all to " + zone,
                        one.by + " to " + zone,
                        one.by + " under plan " + in.get(0).plan.number() + " to " + zone)) {
                    add(sums.computeIfAbsent(sum, none -> new Sum()), one.to.equals(zone), most);
                }
            }
        }
        sums.forEach((what, sum) -> {
            // Hoeffding: independent draws, each between 0 and 1, exceed their mean's sum by more than this at the
            // odds.
            double chance = Math.sqrt(sum.all * Math.log(1 / bounds.odds) / 2);
            if (sum.there > sum.agreed + chance) {
                breach(
                        Rule.PARTS_KEPT,
                        String.format(
                                Locale.ROOT,
                                "%s: %d of %d, agreed were %.0f and %.0f by chance",
                                what,
                                sum.there,
                                sum.all,
                                sum.agreed,
                                chance));
            }
        });
    }

    private static void add(Sum sum, boolean there, int most) {
        sum.all++;
        sum.there += there ? 1 : 0;
        sum.agreed += Math.min(1, most / 1_000.0);
    }

    /** Who goes by a plan when two newer ones have been in force for longer than the bound, and could have heard of them. */
    private void behind(Collection<Accords.Said> said, long end) {
        TreeMap<Key, Long> first = new TreeMap<>();
        epochs.values().forEach(all -> all.forEach(epoch -> first.merge(key(epoch.plan), epoch.plan.at(), Math::min)));
        for (List<Epoch> all : epochs.values()) {
            for (Epoch epoch : all) {
                Key next = first.higherKey(key(epoch.plan)), second = next == null ? null : first.higherKey(next);
                if (second == null) {
                    continue;
                }
                long since = first.tailMap(second).values().stream()
                        .min(Long::compare)
                        .orElseThrow();
                long span = epoch.until - since - away(epoch.by, said, since, epoch.until, end);
                if (span > bounds.lag) {
                    breach(
                            Rule.TWO_PLANS,
                            epoch.by + " goes by plan " + epoch.plan.number() + " for " + span / MS + " ms after plan "
                                    + second.number + " came in force");
                }
            }
        }
    }

    /** How long a process was stopped or had no session between two moments. */
    private static long away(Accords.Run by, Collection<Accords.Said> said, long from, long until, long end) {
        List<long[]> spans = new ArrayList<>(by.stops());
        long lost = Long.MIN_VALUE;
        for (Accords.Said one : said) {
            if (one.by() == by && one.event() instanceof Lost gone) {
                lost = gone.at();
            } else if (one.by() == by && one.event() instanceof Session again && lost != Long.MIN_VALUE) {
                spans.add(new long[] {lost, again.at()});
                lost = Long.MIN_VALUE;
            }
        }
        if (lost != Long.MIN_VALUE) {
            spans.add(new long[] {lost, end});
        }
        // Spans that lie over one another count once.
        spans.sort(Comparator.comparingLong(span -> span[0]));
        long sum = 0, at = from;
        for (long[] span : spans) {
            long begin = Math.max(at, span[0]), over = Math.min(until, span[1]);
            sum += Math.max(0, over - begin);
            at = Math.max(at, over);
        }
        return sum;
    }

    /** A zone is left when it gets less than half of what enters there, where it got half or more before. */
    private void leaves() {
        Map<String, List<Long>> left = new TreeMap<>();
        Map<String, Integer> own = new HashMap<>();
        for (Agreed plan : agreed.values()) {
            for (AccordEvent.Way way : plan.ways()) {
                String what = way.from() + (way.of().isEmpty() ? "" : " of " + way.of());
                int part = way.parts().getOrDefault(way.from(), 0);
                Integer before = own.put(what, part);
                if (part < HALF && (before == null || before >= HALF)) {
                    left.computeIfAbsent(what, none -> new ArrayList<>()).add(plan.at());
                }
            }
        }
        left.forEach((what, times) -> {
            for (int i = bounds.leaves; i < times.size(); i++) {
                if (times.get(i) - times.get(i - bounds.leaves) < HOUR) {
                    breach(
                            Rule.MOVES_BOUNDED,
                            what + " was left " + (bounds.leaves + 1) + " times within "
                                    + (times.get(i) - times.get(i - bounds.leaves)) / MS + " ms");
                    return;
                }
            }
        });
    }
}
