package rushpin.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import rushpin.accord.Picture;
import rushpin.accord.Plan;

/**
 * Makes the next plan from the one in force and from what is known. A function: all it remembers stands in the plan's marks,
 * so that the next planner goes on from there.
 */
public final class Planner {
    /** What is to be published. */
    public record Draft(List<Plan.Way> ways, List<Plan.Mark> marks) {
        /** Copies. */
        public Draft {
            ways = List.copyOf(ways);
            marks = List.copyOf(marks);
        }
    }

    private Planner() {}

    /**
     * What is to be in force instead of the plan that is; empty if that one stands, as it does where too little is known.
     * A planner that didn't make the plan in force says it anew if it stands, so that all know whose word counts.
     *
     * @param inForce the plan that counts, whoever made it
     * @param now log time
     */
    public static Optional<Draft> next(Plan inForce, Sight sight, Geography geography, Limits limits, long now) {
        Marks marks = new Marks(inForce, sight.picture(), geography, limits, now);
        List<Plan.Mark> nextMarks = marks.next();
        List<Plan.Way> ways = new Division(inForce, nextMarks, sight, geography, limits).ways();
        if (ways.isEmpty() || !Plan.isWhole(ways, nextMarks)) {
            return Optional.empty();
        }
        boolean stands = nextMarks.equals(inForce.marks())
                && difference(inForce.ways(), ways) < limits.least()
                && !isWayOutWider(inForce.ways(), ways, sight.picture(), limits);
        return stands ? Optional.empty() : Optional.of(new Draft(ways, nextMarks));
    }

    /** What is spare has to differ by so many times as much as a part, for a plan to be worth it. */
    private static final int SPARE_TELLS = 10;
    /** Where it is needed now, so much more of a way is worth a plan; less is not told sooner for that. */
    private static final int WIDER = 100;

    /**
     * Whether a zone that one of its own processes at least sees fail has more spare than is said. Room that is learned grows
     * with what was borne: only who is told of it step by step gets as far as it goes. This moves no part of a plan.
     */
    private static boolean isWayOutWider(List<Plan.Way> said, List<Plan.Way> ways, Picture picture, Limits limits) {
        Map<List<String>, Integer> spare = new HashMap<>();
        said.forEach(way -> spare.put(List.of(way.from(), way.of()), spare(way)));
        return ways.stream()
                .anyMatch(way -> picture.own(way.from(), "")
                                .filter(view -> view.mostFailed() >= limits.bad())
                                .isPresent()
                        && spare(way) - spare.getOrDefault(List.of(way.from(), way.of()), 0) >= WIDER);
    }

    private static int spare(Plan.Way way) {
        return way.parts().stream().mapToInt(Plan.Part::spare).sum();
    }

    /** The greatest difference between what two plans send from one zone to one other, of one class. */
    static int difference(List<Plan.Way> one, List<Plan.Way> other) {
        Map<List<String>, Integer> parts =
                new TreeMap<>((a, b) -> String.join(" ", a).compareTo(String.join(" ", b)));
        List<List<String>> ways = new ArrayList<>(), others = new ArrayList<>();
        for (Plan.Way way : one) {
            ways.add(List.of(way.from(), way.of()));
            way.parts().forEach(part -> {
                parts.merge(List.of(way.from(), way.of(), part.to()), part.thousandths(), Integer::sum);
                parts.merge(List.of(way.from(), way.of(), part.to(), "+"), part.spare() / SPARE_TELLS, Integer::sum);
            });
            // Many small ways out together are one that tells.
            parts.merge(List.of(way.from(), way.of(), "+"), spare(way) / SPARE_TELLS, Integer::sum);
        }
        for (Plan.Way way : other) {
            others.add(List.of(way.from(), way.of()));
            way.parts().forEach(part -> {
                parts.merge(List.of(way.from(), way.of(), part.to()), -part.thousandths(), Integer::sum);
                parts.merge(List.of(way.from(), way.of(), part.to(), "+"), -(part.spare() / SPARE_TELLS), Integer::sum);
            });
            parts.merge(List.of(way.from(), way.of(), "+"), -(spare(way) / SPARE_TELLS), Integer::sum);
        }
        return ways.equals(others)
                ? parts.values().stream().mapToInt(Math::abs).max().orElse(0)
                : Plan.WHOLE;
    }
}
