package rushpin.authority.finding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import rushpin.authority.finding.Assignment.Held;
import rushpin.authority.finding.Assignment.Pick;

/**
 * Makes the next assignment from the one in force and from what is known. A function: all it remembers stands in the assignment,
 * so that the next planner goes on from there.
 *
 * <p>In this order, until {@link Limits#steps} objects have changed: what lost its holder gets one, the hottest first; what has
 * cooled is given up, the coldest first; slow and overfull holders lose some; what is hot gets a holder, the hottest first; what
 * gains the most by a move moves.
 *
 * <p>A new holder is the one with the least load times distance among those with room, and of these the least filled one. So
 * an object's place is the best there is when it is placed, the places of others being as they are; not the best for all at
 * once. A draft costs processes times objects, of which it looks at {@link Limits#most} that are held and twice as many others.
 *
 * <p>Nothing changes before most processes are heard: what is not told of may be asked for all the same.
 */
public final class Chooser {
    /** A process and what it holds by the draft. */
    private static final class Spot {
        final Sight.Edge edge;
        /** As is filled; and as nobody makes it more alone, by which it is overfull. */
        long load, sure;

        int many;

        Spot(Sight.Edge edge) {
            this.edge = edge;
        }

        boolean isOverfull() {
            return edge.room() >= 0 && sure > edge.room();
        }

        boolean takes(long more, Limits limits) {
            return !edge.isSlow()
                    && many < limits.mostEach()
                    && (load + more) * Limits.WHOLE <= edge.room() * limits.fill();
        }

        double filled(long more) {
            return (double) (load + more) / Math.max(1, edge.room());
        }
    }

    private record Gain(String object, Spot to, double gain) {}

    /** One that replaces the coldest has to be so many times as hot. */
    private static final int HOTTER = 2;

    private final Assignment inForce;
    private final Sight sight;
    private final Limits limits;
    private final long now;
    private final Map<Long, Spot> spots = new TreeMap<>();
    private final Map<String, String> regions = new HashMap<>();
    /** What the draft says so far, and which of it stands as it was. */
    private final Map<String, Spot> held = new TreeMap<>();

    private final Map<String, Held> before = new TreeMap<>();
    /** What lost its holder and has to wait for a step. */
    private final Map<String, Long> lost = new TreeMap<>();

    private int steps;

    private Chooser(Assignment inForce, Sight sight, Limits limits, long now) {
        this.inForce = inForce;
        this.sight = sight;
        this.limits = limits;
        this.now = now;
        steps = limits.steps();
        for (Sight.Edge edge : sight.edges()) {
            spots.put(edge.session(), new Spot(edge));
            regions.put(edge.zone(), edge.region());
        }
        for (Held each : inForce.held()) {
            before.put(each.object(), each);
            Spot spot = spots.get(each.session());
            if (spot == null) {
                lost.put(each.object(), each.session());
            } else {
                put(each.object(), spot);
            }
        }
    }

    /**
     * What is to be in force instead of what is; empty if that stands.
     *
     * @param now log time
     */
    public static Optional<Assignment.Draft> next(Assignment inForce, Sight sight, Limits limits, long now) {
        boolean isCalm = inForce.number() == 0 || now - inForce.at() >= limits.calm();
        return !isCalm || !sight.isEnough() ? Optional.empty() : new Chooser(inForce, sight, limits, now).next();
    }

    private Optional<Assignment.Draft> next() {
        replaceTheLost();
        giveUp();
        unburden();
        take();
        gain();
        if (steps == limits.steps()) {
            return Optional.empty();
        }
        Map<String, Long> all = new TreeMap<>(lost);
        held.forEach((object, spot) -> all.put(object, spot.edge.session()));
        return Optional.of(new Assignment.Draft(
                inForce.number(),
                all.entrySet().stream()
                        .map(each -> new Pick(each.getKey(), each.getValue()))
                        .toList()));
    }

    private void replaceTheLost() {
        for (String object : hottest(lost.keySet())) {
            Sight.Demand demand = sight.of(object);
            boolean isCool = demand.heat() < limits.cool();
            if (steps == 0) {
                return;
            }
            Spot to = isCool ? null : best(object, null);
            lost.remove(object);
            if (to != null) {
                put(object, to);
            }
            steps--;
        }
    }

    private void giveUp() {
        List<String> cold = new ArrayList<>(hottest(held.keySet()));
        for (int i = cold.size() - 1; i >= 0 && steps > 0; i--) {
            String object = cold.get(i);
            if (sight.of(object).heat() >= limits.cool()) {
                return;
            }
            if (isSettled(object)) {
                remove(object);
                steps--;
            }
        }
    }

    /** Slow ones lose what they hold, if need be to nobody; overfull ones what others have room for. */
    private void unburden() {
        long slow = spots.values().stream().filter(spot -> spot.edge.isSlow()).count();
        boolean isSuspect = slow * Limits.WHOLE > (long) spots.size() * limits.slowPart();
        for (Spot spot : spots.values()) {
            boolean isSlow = spot.edge.isSlow();
            if (isSlow ? isSuspect : !spot.isOverfull()) {
                continue;
            }
            int most = limits.slowSteps();
            for (String object : hottest(held.keySet().stream()
                    .filter(each -> held.get(each) == spot)
                    .toList())) {
                if (steps == 0 || most == 0 || !isSlow && !spot.isOverfull()) {
                    break;
                }
                Spot to = best(object, spot);
                if (isSlow || to != null) {
                    remove(object);
                    if (to != null) {
                        put(object, to);
                    }
                    steps--;
                    most--;
                }
            }
        }
    }

    private void take() {
        List<String> cold = hottest(held.keySet());
        int last = cold.size() - 1;
        List<String> hot = hottest(sight.demands().keySet());
        for (String object : hot.subList(0, Math.min(hot.size(), 2 * limits.most()))) {
            long heat = sight.of(object).heat();
            if (steps == 0 || heat < limits.hot()) {
                return;
            }
            // What was given up in this draft for its slow holder may come back in the next.
            if (before.containsKey(object)) {
                continue;
            }
            boolean isFull = held.size() + lost.size() >= limits.most();
            while (isFull && last >= 0 && (held.get(cold.get(last)) == null || !isSettled(cold.get(last)))) {
                last--;
            }
            if (isFull
                    && (last < 0
                            || steps < 2
                            || heat < HOTTER * sight.of(cold.get(last)).heat())) {
                return;
            }
            Spot to = best(object, null);
            if (to != null) {
                if (isFull) {
                    remove(cold.get(last--));
                    steps--;
                }
                put(object, to);
                steps--;
            }
        }
    }

    private void gain() {
        List<Gain> gains = new ArrayList<>();
        held.forEach((object, spot) -> {
            if (isSettled(object) && !spot.edge.isSlow()) {
                Spot to = best(object, spot);
                double gain = to == null ? 0 : gain(sight.of(object), spot.edge, to.edge);
                if (limits.isWorth(gain, sight.of(object).load())) {
                    gains.add(new Gain(object, to, gain));
                }
            }
        });
        gains.sort(Comparator.comparingDouble((Gain each) -> -each.gain).thenComparing(Gain::object));
        for (Gain each : gains) {
            if (steps > 0 && each.to.takes(sight.of(each.object).load(), limits)) {
                remove(each.object);
                put(each.object, each.to);
                steps--;
            }
        }
    }

    /** What all gain by a move but the one process that gains the most: with one liar never more than the honest ones gain. */
    private double gain(Sight.Demand demand, Sight.Edge from, Sight.Edge to) {
        double all = 0, most = 0;
        for (Map.Entry<String, Sight.Part> each : demand.zones().entrySet()) {
            String region = regions.getOrDefault(each.getKey(), "");
            int nearer = Limits.distance(each.getKey(), region, from) - Limits.distance(each.getKey(), region, to);
            all += (double) each.getValue().sum() * nearer;
            most = Math.max(most, (double) each.getValue().greatest() * nearer);
        }
        return all - most;
    }

    /** Load times distance, a second. */
    private double cost(Sight.Demand demand, Sight.Edge at) {
        double cost = 0;
        for (Map.Entry<String, Sight.Part> each : demand.zones().entrySet()) {
            cost += (double) each.getValue().fair()
                    * Limits.distance(each.getKey(), regions.getOrDefault(each.getKey(), ""), at);
        }
        return cost;
    }

    /** Where it is best held, except by one; null if nobody has room. */
    private Spot best(String object, Spot except) {
        Sight.Demand demand = sight.of(object);
        Map<String, Double> costs = new HashMap<>();
        Spot best = null;
        double least = 0, filled = 0;
        for (Spot spot : spots.values()) {
            if (spot == except || !spot.takes(demand.load(), limits)) {
                continue;
            }
            double cost = costs.computeIfAbsent(spot.edge.zone(), zone -> cost(demand, spot.edge));
            double fills = spot.filled(demand.load());
            if (best == null || cost < least || cost == least && fills < filled) {
                best = spot;
                least = cost;
                filled = fills;
            }
        }
        return best;
    }

    private boolean isSettled(String object) {
        Held old = before.get(object);
        Spot spot = held.get(object);
        return old != null
                && spot != null
                && spot.edge.session() == old.session()
                && now - old.since() >= limits.stay();
    }

    private void put(String object, Spot spot) {
        held.put(object, spot);
        spot.load += sight.of(object).load();
        spot.sure += sight.of(object).heat();
        spot.many++;
    }

    private void remove(String object) {
        Spot spot = held.remove(object);
        spot.load -= sight.of(object).load();
        spot.sure -= sight.of(object).heat();
        spot.many--;
    }

    /** By heat, then by name. */
    private List<String> hottest(Iterable<String> objects) {
        List<String> sorted = new ArrayList<>();
        objects.forEach(sorted::add);
        sorted.sort(
                Comparator.comparingLong((String object) -> -sight.of(object).heat())
                        .thenComparing(object -> object));
        return sorted;
    }
}
