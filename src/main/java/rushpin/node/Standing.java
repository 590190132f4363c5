package rushpin.node;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.failover.Fallback;
import rushpin.membership.Names;

/**
 * What a pool goes by: the newest plan that this process has heard, and whether the fleet still says so.
 *
 * @param zone where this process stands
 * @param lease for how long a plan is in force after it was last heard to be, nanoseconds
 * @param plan the newest
 * @param stale whether this process has no session, and would hear of no newer one
 * @param since if so, when the plan was last known to be in force, {@link System#nanoTime}
 */
record Standing(String zone, long lease, Plan plan, boolean stale, long since) {
    /** Whether the local rule holds by now in place of the plan. */
    boolean isLocal(long now) {
        return stale && now - since >= lease;
    }

    /** How long until there may be other ways without another word. */
    long next(long now) {
        return isLocal(now) ? lease : Math.max(0, since + lease - now);
    }

    /**
     * Alike for what is spare while this process holds out its own zone: as the plan says as long as it holds; null without
     * one, and for a class for which there is nothing.
     */
    int[][] spare(long now, String pool, Names names, BitSet listed) {
        if (isLocal(now) || plan.ways().stream().noneMatch(way -> way.from().equals(zone))) {
            return null;
        }
        return rows(plan.ways(), Plan.Part::spare, pool, names, listed);
    }

    /**
     * For each class of a pool, and in it for each zone, thousandths; null for a class whose way names no zone of the
     * pool's, or for all if the plan does not tell of this process's zone. To those the plan says nothing.
     *
     * @param listed the zones in which the pool's list has had servers, by their index: a zone that is not there, or not yet,
     *     is passed over
     * @param fails whether a zone fails by what this process sees alone; asked for the local rule only
     */
    int[][] parts(long now, String pool, Names names, BitSet listed, Predicate<String> fails) {
        List<Plan.Way> own =
                plan.ways().stream().filter(way -> way.from().equals(zone)).toList();
        if (own.isEmpty()) {
            return null;
        }
        return rows(
                isLocal(now) ? Fallback.ways(plan, zone, now - since, lease, fails) : own,
                Plan.Part::thousandths,
                pool,
                names,
                listed);
    }

    private int[][] rows(List<Plan.Way> ways, ToIntFunction<Plan.Part> which, String pool, Names names, BitSet listed) {
        Map<String, int[]> rows = new HashMap<>();
        for (Plan.Way way : ways) {
            if (!way.from().equals(zone)) {
                continue;
            }
            int[] row = new int[names.zones().size()];
            boolean any = false;
            for (Plan.Part part : way.parts()) {
                int at = names.zones().indexOf(part.to());
                if (at >= 0 && listed.get(at) && which.applyAsInt(part) > 0) {
                    row[at] = which.applyAsInt(part);
                    any = true;
                }
            }
            rows.put(way.of(), any ? row : null);
        }
        int[][] parts = new int[names.classes().size()][];
        for (int i = 0; i < parts.length; i++) {
            String of = Report.of(pool, names.classes().get(i));
            parts[i] = rows.get(rows.containsKey(of) ? of : "");
        }
        return parts;
    }
}
