package rushpin.failover;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import rushpin.accord.Plan;

/** The plan of calm days: what enters in a zone stays there. */
public final class Near {
    private Near() {}

    /** Each zone's traffic to itself, in order of name; of more zones than a plan takes, the rest stays near unsaid. */
    public static List<Plan.Way> ways(Collection<String> zones) {
        return new TreeSet<>(zones)
                .stream()
                        .limit(Plan.MOST_ZONES)
                        .map(zone -> new Plan.Way(zone, List.of(new Plan.Part(zone, Plan.WHOLE))))
                        .toList();
    }

    /**
     * What is to be published, if anything: other zones than in the plan in force, or a plan that another planner made, which
     * is said anew so that all know whose word counts.
     *
     * @param inForce as far as the planner knows
     * @param fence the planner's
     * @param zones of all who are there
     */
    public static Optional<List<Plan.Way>> next(Plan inForce, long fence, Collection<String> zones) {
        List<Plan.Way> ways = ways(zones);
        boolean said = inForce.fence() == fence && inForce.ways().equals(ways);
        return said || ways.isEmpty() ? Optional.empty() : Optional.of(ways);
    }
}
