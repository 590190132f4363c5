package rushpin.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import rushpin.judge.Records.Attempt;
import rushpin.judge.Records.Exchange;

/** Holds the records of a run against the five rules. It knows no scenario. */
public final class Judge {
    private static final long MS = 1_000_000L;
    /** Each time limit is so much longer on sockets, and a ceiling's slack wider by what its rate gives in so long. */
    private static final long SOCKET_SLACK = 50 * MS, CEILING_SLACK = 150 * MS;

    /** The rules, in the order of the brief. */
    public enum Rule {
        /** Exactly one final answer in time, and nothing sent after it. */
        NO_REQUEST_LOST,
        /** No effect twice, no refusal of what may have run, never two attempts out at once. */
        NO_EFFECT_TWICE,
        /** Nothing new to a server that drains or is gone. */
        DRAINS_KEPT,
        /** No cold server pushed over. */
        COLD_NOT_PUSHED_OVER,
        /** No customer beyond its ceiling. */
        CEILINGS_KEPT
    }

    /** A rule that was broken, and by what. */
    public record Breach(Rule rule, String what) {}

    /** How a class may be repeated: its name, whether it is safe, and for how long servers drop repeats if keyed. */
    public record Kind(boolean safe, boolean keyed, long keyWindow) {}

    /** A plan's ceiling: units a second, units at once, and how far below nothing it may fall; rate 0 for none. */
    public record Ceiling(double rate, double burst, double slack) {}

    /** What holds in a run: classes by name, ceilings by plan, and the grace after a drain is told. */
    public record Rules(Map<String, Kind> kinds, Map<String, Ceiling> ceilings, long drainGrace) {}

    private final Records records;
    private final Rules rules;
    private final List<Breach> breaches = new ArrayList<>();

    private Judge(Records records, Rules rules) {
        this.records = records;
        this.rules = rules;
    }

    /** The breaches in the records of a run that is over; none if all rules were kept. */
    public static List<Breach> judge(Records records, Rules rules) {
        Judge judge = new Judge(records, rules);
        Map<String, List<Attempt>> byRequest = new HashMap<>();
        for (Attempt attempt : records.attempts) {
            byRequest
                    .computeIfAbsent(attempt.pool() + "/" + attempt.id(), id -> new ArrayList<>())
                    .add(attempt);
        }
        byRequest.values().forEach(list -> list.sort(Comparator.comparingLong(Attempt::first)));
        judge.answers(byRequest);
        judge.effects(byRequest);
        judge.drains();
        records.falls.forEach(fall ->
                judge.breach(Rule.COLD_NOT_PUSHED_OVER, fall.pool() + ": " + fall.server() + " was pushed over"));
        judge.ceilings(byRequest);
        return judge.breaches;
    }

    private void breach(Rule rule, String what) {
        breaches.add(new Breach(rule, what));
    }

    private void answers(Map<String, List<Attempt>> byRequest) {
        Map<String, Integer> seen = new HashMap<>();
        for (Exchange e : records.exchanges) {
            String name = e.pool() + "/" + e.id();
            if (seen.merge(name, 1, Integer::sum) > 1) {
                breach(Rule.NO_REQUEST_LOST, name + " was answered twice");
            }
            if (e.excused()) {
                continue;
            }
            if (e.status() == Records.NONE) {
                breach(
                        Rule.NO_REQUEST_LOST,
                        name + " got no answer, the end came after " + (e.answeredAt() - e.at()) / MS + " ms");
            } else if (e.answeredAt() - e.at() > e.patience() + SOCKET_SLACK) {
                breach(
                        Rule.NO_REQUEST_LOST,
                        name + " was answered " + (e.answeredAt() - e.at()) / MS + " ms after it "
                                + "was sent, its client waits " + e.patience() / MS);
            } else if (e.status() == 200 && !e.whole()) {
                breach(Rule.NO_REQUEST_LOST, name + " was served with what no server made for it");
            }
            for (Attempt attempt : byRequest.getOrDefault(name, List.of())) {
                if (e.status() != Records.NONE && attempt.first() - e.answeredAt() > SOCKET_SLACK) {
                    breach(Rule.NO_REQUEST_LOST, name + " was sent on after its answer");
                }
            }
        }
    }

    private void effects(Map<String, List<Attempt>> byRequest) {
        Map<String, List<Long>> effects = new TreeMap<>();
        Map<String, Long> windows = new HashMap<>();
        Map<String, Exchange> exchanges = new HashMap<>();
        records.exchanges.forEach(e -> exchanges.put(e.pool() + "/" + e.id(), e));
        for (Map.Entry<String, List<Attempt>> one : byRequest.entrySet()) {
            Exchange e = exchanges.get(one.getKey());
            Kind kind = e == null ? null : rules.kinds().get(e.kind());
            Attempt before = null;
            int ran = 0;
            StringBuilder where = new StringBuilder();
            for (Attempt attempt : one.getValue()) {
                if (before != null && attempt.first() - before.until() < -MS) {
                    breach(
                            Rule.NO_EFFECT_TWICE,
                            one.getKey() + " was out twice at once, at " + before.server() + " and "
                                    + attempt.server());
                }
                before = before == null || attempt.until() > before.until() ? attempt : before;
                if (attempt.effect() && kind != null && !kind.safe()) {
                    String name = e.pool() + "/" + (kind.keyed() ? e.key() : e.id());
                    effects.computeIfAbsent(name, n -> new ArrayList<>()).add(attempt.at());
                    windows.put(name, kind.keyed() ? kind.keyWindow() : Long.MAX_VALUE);
                    ran++;
                    where.append(where.isEmpty() ? "" : ", ")
                            .append(attempt.server())
                            .append(" at ")
                            .append((attempt.at() - e.at()) / MS)
                            .append(" ms");
                }
            }
            if (ran > 1) {
                breach(Rule.NO_EFFECT_TWICE, one.getKey() + " took effect " + ran + " times: " + where);
            }
            if (kind != null && !kind.safe() && !kind.keyed() && ran > 0 && (e.status() == 429 || e.status() == 503)) {
                breach(Rule.NO_EFFECT_TWICE, one.getKey() + " was refused though it ran");
            }
        }
        // Over a client's tries a key counts while servers remember it; a client that comes later means it anew.
        effects.forEach((name, times) -> {
            times.sort(null);
            for (int i = 1; i < times.size(); i++) {
                if (times.get(i) - times.get(i - 1) <= windows.get(name)) {
                    breach(
                            Rule.NO_EFFECT_TWICE,
                            name + " took effect again after " + (times.get(i) - times.get(i - 1)) / MS + " ms");
                }
            }
        });
    }

    private void drains() {
        Map<String, List<Records.Told>> told = new HashMap<>();
        records.told.forEach(t -> told.computeIfAbsent(t.pool() + "/" + t.server(), s -> new ArrayList<>())
                .add(t));
        for (Attempt attempt : records.attempts) {
            for (Records.Told t : told.getOrDefault(attempt.pool() + "/" + attempt.server(), List.of())) {
                if (attempt.first() - t.at() > rules.drainGrace() + SOCKET_SLACK && attempt.first() < t.until()) {
                    breach(
                            Rule.DRAINS_KEPT,
                            attempt.pool() + "/" + attempt.id() + " came to " + attempt.server() + " "
                                    + (attempt.first() - t.at()) / MS + " ms after its drain was told");
                }
            }
        }
    }

    private void ceilings(Map<String, List<Attempt>> byRequest) {
        Map<String, List<double[]>> sent = new TreeMap<>();
        Map<String, Ceiling> of = new HashMap<>();
        for (Exchange e : records.exchanges) {
            Ceiling ceiling = rules.ceilings().get(e.plan());
            List<Attempt> attempts = byRequest.getOrDefault(e.pool() + "/" + e.id(), List.of());
            if (ceiling != null && ceiling.rate() > 0 && !attempts.isEmpty()) {
                String customer = e.pool() + "/" + e.customer();
                of.put(customer, ceiling);
                sent.computeIfAbsent(customer, c -> new ArrayList<>())
                        .add(new double[] {attempts.get(0).at() / 1e9, e.units()});
            }
        }
        sent.forEach((customer, draws) -> {
            Ceiling ceiling = of.get(customer);
            draws.sort(Comparator.comparingDouble(draw -> draw[0]));
            double store = ceiling.burst(), at = draws.get(0)[0], least = 0;
            for (double[] draw : draws) {
                store = Math.min(ceiling.burst(), store + (draw[0] - at) * ceiling.rate()) - draw[1];
                at = draw[0];
                least = Math.min(least, store);
            }
            double slack = ceiling.slack() + ceiling.rate() * CEILING_SLACK / 1e9;
            if (least < -slack) {
                breach(
                        Rule.CEILINGS_KEPT,
                        String.format(
                                Locale.ROOT,
                                "%s went %.1f units beyond its ceiling, %.1f are let pass",
                                customer,
                                -least,
                                slack));
            }
        });
    }
}
