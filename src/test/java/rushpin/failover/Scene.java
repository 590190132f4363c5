package rushpin.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import rushpin.accord.Evidence;
import rushpin.accord.Plan;
import rushpin.accord.Report;

/** A fleet whose zones answer as a test says, a second a turn: processes go by the plan and report what came of it. */
final class Scene {
    /** How what is sent ends, in thousandths. */
    record Ends(int failed, int slow) {
        static final Ends WELL = new Ends(0, 0), DEAD = new Ends(1_000, 0), SLOW = new Ends(0, 900);
    }

    /** What comes of what is sent from one zone to another, of a class. */
    interface Nature {
        Ends ends(String from, String to, String of);
    }

    static final long SECOND = 1_000_000_000L;
    final Geography geography;
    final Limits limits;
    final int processes;
    final Map<String, Integer> rates = new TreeMap<>();
    final Map<String, Long> warm = new HashMap<>();
    final Evidence evidence = new Evidence(2_000, 5 * SECOND, 2, 5);
    Learned learned = new Learned();
    /** Reports of some can be changed or lost on their way. */
    UnaryOperator<Report> way = report -> report;
    /** What the planner is told can be changed too; what it was told, and what is so. */
    UnaryOperator<Sight> sees = sight -> sight;

    Sight sight, told;
    Plan plan = Plan.NONE;
    long now;
    long turn;
    int moves;

    /** Regions as lists of zones; each process gets {@code rate} requests a second of each class. */
    Scene(Limits limits, int processes, int rate, List<String> classes, List<List<String>> regions) {
        this.limits = limits;
        this.processes = processes;
        List<Geography.Region> all = new ArrayList<>();
        for (int i = 0; i < regions.size(); i++) {
            all.add(new Geography.Region("r" + i, regions.get(i)));
        }
        geography = new Geography(all);
        classes.forEach(of -> rates.put(of, rate));
        geography.zones().forEach(zone -> warm.put(zone, 10_000L));
    }

    /** One second: reports, then perhaps a plan. */
    Optional<Planner.Draft> turn(Nature nature) {
        turn++;
        now += SECOND;
        for (String zone : geography.zones()) {
            List<Report.Entered> entered = new ArrayList<>();
            rates.forEach((of, rate) -> entered.add(new Report.Entered(of, rate)));
            List<Report.Stock> stocks = warm.entrySet().stream()
                    .map(each -> new Report.Stock(each.getKey(), (int) (each.getValue() / 1_000), each.getValue()))
                    .toList();
            for (int i = 0; i < processes; i++) {
                Report report = way.apply(
                        new Report(1, turn, zone + "-" + i, zone, SECOND, 0, seen(zone, i, nature), stocks, entered));
                if (report != null) {
                    evidence.report(report, now);
                }
            }
        }
        return plan();
    }

    private List<Report.Seen> seen(String zone, int process, Nature nature) {
        List<Report.Seen> seen = new ArrayList<>();
        rates.forEach((of, rate) -> {
            for (String to : geography.zones()) {
                // Of a small part each process sends one at times, not all at once.
                long parts = (long) Fallback.part(plan, zone, of, to) * rate, ahead = process * 1_000L / processes;
                long sent = (parts * turn + ahead) / 1_000 - (parts * (turn - 1) + ahead) / 1_000;
                Ends ends = nature.ends(zone, to, of);
                long failed = sent * ends.failed / 1_000;
                if (sent > 0) {
                    seen.add(new Report.Seen(to, of, sent, sent - failed, failed, sent * ends.slow / 1_000, 0));
                }
            }
        });
        return seen;
    }

    Optional<Planner.Draft> plan() {
        told = learned.sight(evidence.picture(now), limits, now);
        sight = sees.apply(told);
        Optional<Planner.Draft> draft = Planner.next(plan, sight, geography, limits, now);
        draft.ifPresent(next -> {
            moves++;
            plan = new Plan(plan.number() + 1, 1, next.ways(), next.marks());
        });
        return draft;
    }

    void turns(int many, Nature nature) {
        for (int i = 0; i < many; i++) {
            turn(nature);
        }
    }

    int part(String from, String to) {
        return Fallback.part(plan, from, "", to);
    }

    Optional<Plan.Mark> mark(String from, String zone, String of) {
        return plan.marks().stream()
                .filter(mark -> mark.from().equals(from)
                        && mark.zone().equals(zone)
                        && mark.of().equals(of))
                .findFirst();
    }

    boolean isLeft(String from, String zone, String of) {
        return mark(from, zone, of).filter(mark -> mark.open() < Plan.WHOLE).isPresent();
    }
}
