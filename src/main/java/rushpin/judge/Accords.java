package rushpin.judge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import rushpin.judge.AccordEvent.Held;
import rushpin.judge.AccordEvent.Holds;
import rushpin.judge.AccordEvent.Lost;
import rushpin.judge.AccordEvent.Planned;
import rushpin.judge.AccordEvent.Session;
import rushpin.judge.AccordEvent.Voter;
import rushpin.judge.AccordEvent.Yields;

/**
 * What the processes of a fleet said of their sessions, what they hold and the plans they apply, and what was done to them;
 * held against the rules of what is decided in common. All processes run on one machine, so all times are of one clock
 * ({@link System#nanoTime}). Lines may come from many threads; the judgement is for when all is over.
 */
public final class Accords {
    private static final int MOST_EVENTS = 1_000_000;
    private static final long MS = 1_000_000L;

    /** The rules. */
    public enum Rule implements Breach.Rule {
        /** Every line could be read, and none was left out. */
        ALL_READ("each line was read"),
        /** At most one process holds a resource at any moment. */
        ONE_HOLDER("at most one holder of a resource at any time"),
        /** No lease is longer than agreed, counted from when its holder could say that it has it. */
        LEASES_KEPT("no lease is longer than agreed"),
        /** Who takes over from one that did not give back waits for the old one's lease and its longest effect. */
        WAITED_FOR("who takes over waits for the lease and the longest effect of the one before"),
        /** A process that was stopped for longer than its lease says that it holds no more before it holds again. */
        YIELDS_FIRST("who wakes from a stop yields what it held before it acts"),
        /** Fences of a resource grow over the fleet; each fence and session number is given once. */
        FENCES_GROW("fences grow and are given once"),
        /** A pool never goes back to an older plan. */
        PLANS_GO_FORWARD("no pool goes back to an older plan"),
        /** A number means the same plan everywhere, and a later plan was not made under an older fence. */
        PLAN_IS_ONE("a plan's number means one plan"),
        /** Who is there at the end has the last plan, in each pool. */
        SAME_LAST_PLAN("all who are there have the same last plan"),
        /** A voter that lost its folder is a new one. */
        BLANK_IS_NEW("a voter with a blank folder is a new one");

        private final String line;

        Rule(String line) {
            this.line = line;
        }

        @Override
        public String line() {
            return line;
        }
    }

    /** What was agreed: the lease and the longest effect, nanoseconds. */
    public record Bounds(long lease, long effect) {}

    /** One process from its start to its end; a restart makes another one of the same name. */
    public final class Run {
        private final String name;
        private final int number;
        private final List<long[]> stops = new ArrayList<>();
        private volatile long endedAt = Long.MAX_VALUE;

        private Run(String name, int number) {
            this.name = name;
            this.number = number;
        }

        /** The process' name, the same over its restarts. */
        public String name() {
            return name;
        }

        /** Takes a line that it said; lines that are not of the fleet are passed over. Whether it was one. */
        public boolean said(String line) {
            AccordEvent event;
            try {
                event = AccordEvent.of(line);
            } catch (IllegalArgumentException e) {
                breach(Rule.ALL_READ, name + " said '" + line + "': " + e.getMessage());
                return true;
            }
            if (event == null) {
                return false;
            }
            if (count.incrementAndGet() <= MOST_EVENTS) {
                events.add(new Said(this, event));
            }
            return true;
        }

        /** It has ended, at the latest at this moment; what it held is nobody's. */
        public void ended(long at) {
            endedAt = Math.min(endedAt, at);
        }

        /** It was stopped as it stood between these moments. */
        public synchronized void stopped(long from, long until) {
            stops.add(new long[] {from, until});
        }

        synchronized List<long[]> stops() {
            return List.copyOf(stops);
        }

        /** When it had ended at the latest; {@link Long#MAX_VALUE} while it has not. */
        public long endedAt() {
            return endedAt;
        }

        @Override
        public String toString() {
            return name + "#" + number;
        }
    }

    /** What a process said. */
    public record Said(Run by, AccordEvent event) {}

    /** A process that holds a resource under a fence; {@code until} the first of all that ends it. */
    private record Span(Run by, long fence, long from, long until, long lease, boolean gaveBack) {}

    private final Map<String, Integer> starts = new HashMap<>();
    private final Collection<Said> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger count = new AtomicInteger();
    private final Collection<Breach<Rule>> found = new ConcurrentLinkedQueue<>();

    /** A process that is started now. */
    public synchronized Run run(String name) {
        return new Run(name, starts.merge(name, 1, Integer::sum));
    }

    /** All that was said so far; in the order of each process. */
    public List<Said> said() {
        return List.copyOf(events);
    }

    private void breach(Rule rule, String what) {
        found.add(new Breach<>(rule, what));
    }

    /** The same where all that was said up to now is the end. */
    public List<Breach<Rule>> judge(Bounds bounds, Collection<Run> there) {
        return judge(bounds, there, said());
    }

    /**
     * Holds what was said against the rules, once, when the run is over.
     *
     * @param there the runs that were alive at the end; those of them count that have a session
     * @param atEnd what was said up to the end, by {@link #said}: a plan that is on its way later is no breach
     */
    public List<Breach<Rule>> judge(Bounds bounds, Collection<Run> there, Collection<Said> atEnd) {
        if (count.get() > MOST_EVENTS) {
            breach(Rule.ALL_READ, count.get() - MOST_EVENTS + " lines were left out");
        }
        Map<String, List<Span>> spans = spans(bounds);
        spans.forEach((resource, held) -> holders(resource, held, bounds));
        wakes(bounds);
        fences(spans);
        plans();
        last(there, atEnd);
        voters();
        return Breach.sorted(found);
    }

    /** By resource, in order of their beginning. */
    private Map<String, List<Span>> spans(Bounds bounds) {
        Map<String, List<Span>> spans = new TreeMap<>();
        for (Said said : events) {
            if (said.event instanceof Holds holds) {
                if (holds.until() - holds.at() > bounds.lease) {
                    breach(
                            Rule.LEASES_KEPT,
                            said.by + " holds " + holds.resource() + " for " + (holds.until() - holds.at()) / MS
                                    + " ms from when it says so");
                }
                long yields = ends(said.by, holds, false);
                long until = Math.min(Math.min(holds.until(), said.by.endedAt), ends(said.by, holds, true));
                spans.computeIfAbsent(holds.resource(), any -> new ArrayList<>())
                        .add(new Span(
                                said.by,
                                holds.fence(),
                                holds.at(),
                                Math.max(until, holds.at()),
                                holds.until(),
                                yields < holds.until()));
            }
        }
        spans.values().forEach(list -> list.sort(Comparator.comparingLong(Span::from)));
        return spans;
    }

    /** When a holder said next that it holds that no more, or, if asked for, that its session is over. */
    private long ends(Run by, Held holds, boolean orLost) {
        return events.stream()
                .filter(said -> said.by == by
                        && said.event.at() >= holds.at()
                        && (said.event instanceof Yields yields
                                        && yields.resource().equals(holds.resource())
                                        && yields.fence() == holds.fence()
                                || orLost && said.event instanceof Lost))
                .mapToLong(said -> said.event.at())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private void holders(String resource, List<Span> held, Bounds bounds) {
        Map<Long, Run> begun = new HashMap<>();
        for (int i = 0; i < held.size(); i++) {
            Span one = held.get(i);
            Span before = null;
            for (Span other : held.subList(0, i)) {
                if (other.by != one.by) {
                    before = other;
                    if (other.until > one.from) {
                        breach(
                                Rule.ONE_HOLDER,
                                one.by + " holds " + resource + " under " + one.fence + " while " + other.by
                                        + " does under " + other.fence + ", for "
                                        + (Math.min(one.until, other.until) - one.from) / MS
                                        + " ms");
                    }
                }
            }
            boolean first = begun.put(one.fence, one.by) != one.by;
            if (first && before != null) {
                takesOver(resource, last(held, before), one, bounds);
            }
        }
    }

    /** The span in which a holder's lease under a fence ends last. */
    private static Span last(List<Span> held, Span of) {
        return held.stream()
                .filter(each -> each.by == of.by && each.fence == of.fence)
                .max(Comparator.comparingLong(Span::lease))
                .orElse(of);
    }

    private void takesOver(String resource, Span before, Span next, Bounds bounds) {
        long waited = next.from - before.lease;
        if (!before.gaveBack && waited < bounds.effect) {
            breach(
                    Rule.WAITED_FOR,
                    next.by + " holds " + resource + " under " + next.fence + " " + waited / MS
                            + " ms after the lease of " + before.by + ", which did not give it back");
        }
    }

    private void wakes(Bounds bounds) {
        Map<Run, Map<String, Holds>> holding = new HashMap<>();
        for (Said said : events) {
            Map<String, Holds> held = holding.computeIfAbsent(said.by, any -> new HashMap<>());
            if (said.event instanceof Yields yields) {
                held.remove(yields.resource());
            } else if (said.event instanceof Lost) {
                held.clear();
            } else if (said.event instanceof Holds holds) {
                Holds before = held.put(holds.resource(), holds);
                if (before != null
                        && said.by.stops().stream()
                                .anyMatch(stop -> stop[1] - stop[0] > bounds.lease
                                        && before.at() <= stop[0]
                                        && stop[0] <= holds.at())) {
                    breach(
                            Rule.YIELDS_FIRST,
                            said.by + " was stopped for longer than its lease, and holds "
                                    + holds.resource() + " under " + holds.fence() + " without having yielded it under "
                                    + before.fence());
                }
            }
        }
    }

    private void fences(Map<String, List<Span>> spans) {
        Map<Long, Object> given = new HashMap<>();
        spans.forEach((resource, held) -> {
            Span before = null;
            for (Span span : held) {
                if (before != null
                        && (span.fence < before.fence || span.fence == before.fence && span.by != before.by)) {
                    breach(
                            Rule.FENCES_GROW,
                            span.by + " holds " + resource + " under " + span.fence + " after " + before.by
                                    + " did under " + before.fence);
                }
                once(given, span.fence, resource + " by " + span.by);
                before = span;
            }
        });
        for (Said said : events) {
            if (said.event instanceof Session session) {
                once(given, session.number(), "the session of " + said.by);
            }
        }
    }

    private void once(Map<Long, Object> given, long number, Object what) {
        Object before = given.putIfAbsent(number, what);
        if (before != null && !before.equals(what)) {
            breach(Rule.FENCES_GROW, number + " was given twice: for " + before + " and for " + what);
        }
    }

    private void plans() {
        Map<String, Long> applied = new HashMap<>();
        TreeMap<Long, Planned> byNumber = new TreeMap<>();
        for (Said said : events) {
            if (said.event instanceof Planned plan) {
                Long before = applied.put(said.by + "/" + plan.pool(), plan.number());
                if (before != null && before > plan.number()) {
                    breach(
                            Rule.PLANS_GO_FORWARD,
                            said.by + ": pool " + plan.pool() + " went from plan " + before + " to " + plan.number());
                }
                Planned same = byNumber.putIfAbsent(plan.number(), plan);
                if (same != null && same.fence() != plan.fence()) {
                    breach(
                            Rule.PLAN_IS_ONE,
                            "plan " + plan.number() + " is of fence " + same.fence() + " and, at " + said.by + ", of "
                                    + plan.fence());
                }
            }
        }
        Planned before = null;
        for (Planned plan : byNumber.values()) {
            if (before != null && plan.fence() < before.fence()) {
                breach(
                        Rule.PLAN_IS_ONE,
                        "plan " + plan.number() + " was made under fence " + plan.fence() + ", plan " + before.number()
                                + " before it under " + before.fence());
            }
            before = plan;
        }
    }

    private void last(Collection<Run> there, Collection<Said> atEnd) {
        long newest = 0;
        Map<Run, Map<String, Long>> applied = new HashMap<>();
        Set<Run> connected = new HashSet<>();
        for (Said said : atEnd) {
            if (said.event instanceof Session) {
                connected.add(said.by);
            } else if (said.event instanceof Lost) {
                connected.remove(said.by);
            } else if (said.event instanceof Planned plan) {
                newest = Math.max(newest, plan.number());
                applied.computeIfAbsent(said.by, any -> new TreeMap<>()).put(plan.pool(), plan.number());
            }
        }
        for (Run run : there) {
            Map<String, Long> pools = applied.getOrDefault(run, Map.of());
            long last = newest;
            if (newest > 0
                    && connected.contains(run)
                    && (pools.isEmpty() || pools.values().stream().anyMatch(number -> number != last))) {
                breach(Rule.SAME_LAST_PLAN, run + " goes by " + pools + " at the end, the newest plan is " + newest);
            }
        }
    }

    private void voters() {
        Map<String, String> names = new HashMap<>();
        Set<String> seen = new HashSet<>();
        for (Said said : events) {
            if (said.event instanceof Voter voter) {
                boolean known = !seen.add(voter.id());
                String owner = names.putIfAbsent(voter.id(), said.by.name);
                if (known && voter.blank()) {
                    breach(Rule.BLANK_IS_NEW, said.by + " has a blank folder and is voter " + voter.id() + " again");
                } else if (owner != null && !owner.equals(said.by.name)) {
                    breach(Rule.BLANK_IS_NEW, "voter " + voter.id() + " is " + owner + " and " + said.by);
                }
            }
        }
    }
}
