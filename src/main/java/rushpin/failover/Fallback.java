package rushpin.failover;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleBiFunction;
import rushpin.accord.Plan;
import rushpin.accord.Plan.Part;
import rushpin.accord.Plan.Way;

/**
 * What a process goes by when it hears no more: never more to any other zone than its last plan sent there.
 */
public final class Fallback {
    private Fallback() {}

    /**
     * The ways of what enters in one zone, one for each class that has its own and one for all others.
     *
     * <p>The plan for its lease. Then less to each other zone with each lease, half of it each time, and nothing to one that
     * this process sees fail; what comes back by that stays near. A process whose own zone fails by its own sight keeps
     * its parts: nothing waits for it at home. Without a plan all stays near.
     *
     * @param last the last plan heard; {@link Plan#NONE} for none
     * @param age since it was heard to be in force, own time
     * @param lease of the plan, own time; over 0
     * @param fails whether a zone fails by what this process sees alone
     */
    public static List<Way> ways(Plan last, String zone, long age, long lease, Predicate<String> fails) {
        List<Way> own =
                last.ways().stream().filter(way -> way.from().equals(zone)).toList();
        if (own.isEmpty()) {
            return List.of(new Way(zone, List.of(new Part(zone, Plan.WHOLE))));
        }
        if (age < lease) {
            return own;
        }
        int halved = fails.test(zone) ? 0 : (int) Math.min(Integer.SIZE - 1, age / lease);
        List<Way> ways = new ArrayList<>();
        for (Way way : own) {
            List<Part> parts = new ArrayList<>();
            int near = Plan.WHOLE;
            for (Part part : way.parts()) {
                int left = part.to().equals(zone) || fails.test(part.to()) ? 0 : part.thousandths() >> halved;
                if (left > 0) {
                    parts.add(new Part(part.to(), left));
                    near -= left;
                }
            }
            if (near > 0) {
                parts.add(new Part(zone, near));
            }
            ways.add(new Way(zone, way.of(), parts));
        }
        return ways;
    }

    /**
     * The most that a target can get while some processes go by one plan and some by another, requests a second: of each
     * zone's traffic the greater of its two parts. Beyond what the newer plan sends it gets what late processes still send,
     * for at most one lease whole, and half as much with each further one.
     */
    public static double most(Plan one, Plan other, String target, ToDoubleBiFunction<String, String> rate) {
        Set<List<String>> flows = new LinkedHashSet<>();
        one.ways().forEach(way -> flows.add(List.of(way.from(), way.of())));
        other.ways().forEach(way -> flows.add(List.of(way.from(), way.of())));
        double sum = 0;
        for (List<String> flow : flows) {
            int part = Math.max(
                    part(one, flow.get(0), flow.get(1), target), part(other, flow.get(0), flow.get(1), target));
            sum += rate.applyAsDouble(flow.get(0), flow.get(1)) * part / Plan.WHOLE;
        }
        return sum;
    }

    /** What a plan sends of a class; a class without a way of its own goes as all others, and without a plan all stays. */
    static int part(Plan plan, String from, String of, String to) {
        Way found = null;
        for (Way way : plan.ways()) {
            if (way.from().equals(from) && (way.of().equals(of) || way.of().isEmpty() && found == null)) {
                found = way;
            }
        }
        if (found == null) {
            return from.equals(to) ? Plan.WHOLE : 0;
        }
        return found.parts().stream()
                .filter(part -> part.to().equals(to))
                .mapToInt(Part::thousandths)
                .sum();
    }
}
