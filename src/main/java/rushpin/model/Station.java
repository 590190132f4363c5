package rushpin.model;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Rules;

/**
 * An app server: so many requests at a time, a line behind them, first come first served. What it does to a request is told to the
 * {@link Visit}, at its own place; the way back is the network's.
 */
final class Station {
    /** One attempt at a server. */
    static class Visit {
        /** Work at a warm server, nanoseconds. */
        final long work;
        /** What decides whether a server that fails at times fails this one. */
        final double luck;

        private long cameAt, endsAt;
        private int generation;
        private boolean waiting, running;
        boolean cancelled;

        Visit(long work, double luck) {
            this.work = work;
            this.luck = luck;
        }

        /** It runs: from here on it may have had its effect. */
        void begins() {}

        /** The server has answered, or its end has broken the connection. */
        void ends(Outcome outcome) {}
    }

    final String id;
    final int zone, cell;
    /** When it last started; 0 for long ago. */
    long startedAt;

    private final Timeline time;
    private final Rules rules;
    private final int cores, line;
    private final boolean cancelStops;
    private final Runnable fell;
    private final ArrayDeque<Visit> waiting = new ArrayDeque<>();
    private final Set<Visit> running = new HashSet<>();
    private boolean up = true, silent, fallen;
    private double slow = 1, failChance;
    private long pausedFrom, pausedUntil;
    /** What has come while it was cold, in the span of the rule: when, and how much work. */
    private final ArrayDeque<double[]> pushes = new ArrayDeque<>();

    private double pushed;
    /** What was seen: requests present over time, their spans here, work done, in nanoseconds. */
    private double presentNanos, sojournNanos, busyNanos;

    private int present;
    private long presentSince, arrived;

    /** A warm server; {@code fell} hears when it is pushed over. */
    Station(
            String id,
            int zone,
            int cell,
            Timeline time,
            Rules rules,
            int cores,
            int line,
            boolean cancelStops,
            Runnable fell) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.time = time;
        this.rules = rules;
        this.cores = cores;
        this.line = line;
        this.cancelStops = cancelStops;
        this.fell = fell;
    }

    boolean isUp() {
        return up && !fallen;
    }

    boolean isSilent() {
        return silent;
    }

    void silent(boolean now) {
        silent = now;
    }

    void slow(double factor) {
        slow = factor;
    }

    void failing(double chance) {
        failChance = chance;
    }

    /** Nothing gets on until then. */
    void pause(long until) {
        pausedFrom = time.now();
        pausedUntil = until;
    }

    /** It has just started, and is cold. */
    void start() {
        up = true;
        silent = false;
        fallen = false;
        startedAt = Math.max(1, time.now());
        pushes.clear();
        pushed = 0;
    }

    /** Its process ends: what it had is broken off, unheard if nothing goes from here. */
    void stop() {
        up = false;
        breakOff();
    }

    private void breakOff() {
        while (!waiting.isEmpty()) {
            Visit one = waiting.poll();
            one.waiting = false;
            broken(one);
        }
        for (Visit one : running.stream()
                .sorted((a, b) -> Long.compare(a.endsAt, b.endsAt))
                .toList()) {
            busyNanos -= one.endsAt - time.now();
            one.running = false;
            one.generation++;
            broken(one);
        }
        running.clear();
    }

    private void broken(Visit one) {
        leave(one);
        if (!silent && !one.cancelled) {
            one.ends(Outcome.RESET);
        }
    }

    /** The part of its capacity that it has now. */
    double warmth() {
        double since = time.now() - startedAt;
        return startedAt == 0 || since >= rules.coldDuration()
                ? 1
                : Math.min(1, rules.coldFrom() + (1 - rules.coldFrom()) * since / Math.max(1, rules.coldDuration()));
    }

    private void count(int by) {
        presentNanos += (double) present * (time.now() - presentSince);
        presentSince = time.now();
        present += by;
    }

    private void leave(Visit one) {
        count(-1);
        sojournNanos += time.now() - one.cameAt;
    }

    /** The last byte of a request has come. */
    void arrive(Visit one) {
        if (silent) {
            // Nothing comes here, and nothing goes from here.
            return;
        }
        if (!isUp()) {
            one.ends(Outcome.CONNECT_FAILED);
        } else if (one.luck < failChance) {
            one.ends(Outcome.ERROR);
        } else if (running.size() >= cores && waiting.size() >= line) {
            // What is turned away has come all the same (rule 4).
            push(one.work);
            if (isUp()) {
                one.ends(Outcome.FULL);
            }
        } else {
            one.cameAt = time.now();
            arrived++;
            count(1);
            if (running.size() < cores) {
                begin(one);
            } else {
                one.waiting = true;
                waiting.add(one);
            }
            push(one.work);
        }
    }

    private void begin(Visit one) {
        one.waiting = false;
        one.running = true;
        running.add(one);
        one.begins();
        long span = (long) (one.work * slow / warmth());
        long from = Math.max(time.now(), pausedUntil);
        one.endsAt = from + span;
        busyNanos += one.endsAt - time.now();
        int mine = one.generation;
        time.at(one.endsAt, () -> end(one, mine));
    }

    private void end(Visit one, int generation) {
        if (!one.running || one.generation != generation) {
            return;
        }
        if (pausedFrom < one.endsAt && time.now() < pausedUntil) {
            // What was left when it stopped is still to be done.
            long left = one.endsAt - pausedFrom;
            busyNanos += pausedUntil + left - one.endsAt;
            one.endsAt = pausedUntil + left;
            time.at(one.endsAt, () -> end(one, generation));
            return;
        }
        one.running = false;
        running.remove(one);
        leave(one);
        if (!one.cancelled) {
            one.ends(Outcome.OK);
        }
        next();
    }

    private void next() {
        while (isUp() && running.size() < cores && !waiting.isEmpty()) {
            begin(waiting.poll());
        }
    }

    /** Whoever asked has gone: waiting work is dropped, running work stops where the server can do that. */
    void cancel(Visit one) {
        one.cancelled = true;
        if (one.waiting) {
            waiting.remove(one);
            one.waiting = false;
            leave(one);
        } else if (one.running && cancelStops) {
            busyNanos -= one.endsAt - time.now();
            one.running = false;
            one.generation++;
            running.remove(one);
            leave(one);
            next();
        }
    }

    /** Work that reaches a cold server counts against what it can do in the span. */
    private void push(double work) {
        if (startedAt == 0 || warmth() >= 1 || fallen) {
            return;
        }
        pushes.add(new double[] {time.now(), work});
        pushed += work;
        while (time.now() - pushes.peek()[0] > rules.overloadDuration()) {
            pushed -= pushes.poll()[1];
        }
        if (rules.overloadFactor() > 0
                && pushed > rules.overloadFactor() * warmth() * cores * rules.overloadDuration()) {
            fallen = true;
            fell.run();
            breakOff();
        }
    }

    /** Little's law: requests present, summed over time, are the spans of all that were here. Both in seconds. */
    double[] little() {
        count(0);
        double still = waiting.stream().mapToDouble(v -> time.now() - v.cameAt).sum()
                + running.stream().mapToDouble(v -> time.now() - v.cameAt).sum();
        return new double[] {presentNanos / 1e9, (sojournNanos + still) / 1e9};
    }

    /** Core-seconds of work, begun and not called off. */
    double busy() {
        return busyNanos / 1e9;
    }

    long arrived() {
        return arrived;
    }
}
