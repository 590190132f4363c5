package rushpin.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rushpin.accord.Plan;
import rushpin.accord.Plan.Mark;
import rushpin.accord.Plan.Part;
import rushpin.accord.Plan.Way;

/**
 * Divides what enters by what marks leave open and by what servers can take: near first, then level by level. What finds no
 * room stays where it enters. One of these makes one plan's ways.
 */
final class Division {
    /** What enters in a zone, of one class that has a way of its own or of all others. */
    private static final class Flow {
        final String from, of;
        final double rate;
        final Map<String, Double> away = new TreeMap<>(), spare = new TreeMap<>();
        double excess;

        Flow(String from, String of, double rate) {
            this.from = from;
            this.of = of;
            this.rate = rate;
        }

        double near() {
            return rate - away.values().stream().mapToDouble(each -> each).sum();
        }
    }

    /** Rounds in which what one target could not take is offered to the others of its level. */
    private static final int ROUNDS = 4;
    /** Of what stays in a zone, so much may go elsewhere while it is held out: the rest goes on looking at it. */
    private static final int SPARE_MOST = 900;
    /** What is spare is told in such steps, thousandths. */
    private static final int SPARE_STEP = 50;
    /** Zones beside the usual ones that are looked at because they were left. */
    private static final int MORE_LOOKS = 4;

    private final Plan inForce;
    private final Sight sight;
    private final Geography geography;
    private final Limits limits;
    private final List<String> zones;
    private final Map<List<String>, Integer> opens = new HashMap<>();
    private final Set<String> classes = new TreeSet<>();
    private final Map<String, Double> room = new HashMap<>();
    private final List<Way> ways = new ArrayList<>();

    Division(Plan inForce, List<Mark> marks, Sight sight, Geography geography, Limits limits) {
        this.inForce = inForce;
        this.sight = sight;
        this.geography = geography;
        this.limits = limits;
        this.zones = geography.zones().stream().limit(Plan.MOST_ZONES).toList();
        for (Mark mark : marks) {
            opens.put(List.of(mark.from(), mark.zone(), mark.of()), mark.open());
            if (!mark.of().isEmpty() && mark.open() < Plan.WHOLE) {
                classes.add(mark.of());
            }
        }
    }

    private int open(String from, String zone, String of) {
        int open = Plan.WHOLE;
        for (String who : List.of("", from)) {
            open = Math.min(open, opens.getOrDefault(List.of(who, zone, ""), Plan.WHOLE));
            open = Math.min(open, opens.getOrDefault(List.of(who, zone, of), Plan.WHOLE));
        }
        return open;
    }

    /** All ways, in order. */
    List<Way> ways() {
        Map<String, List<Flow>> flows = new LinkedHashMap<>();
        zones.forEach(zone -> room.put(zone, sight.capacity().getOrDefault(zone, 0.0)));
        for (String zone : zones) {
            flows.put(zone, flows(zone));
        }
        zones.forEach(zone -> stay(zone, flows.get(zone)));
        for (String zone : zones) {
            // Whatever comes back here comes in steps too, from others as from its own.
            room.compute(zone, (any, left) -> Math.max(0, left) * open("", zone, "") / Plan.WHOLE);
        }
        int depth = geography.regions().size();
        for (int level = 0; level < depth; level++) {
            for (int round = 0; round < ROUNDS; round++) {
                fill(flows, level);
            }
        }
        for (String zone : zones) {
            spare(zone, flows.get(zone));
        }
        for (String zone : zones) {
            if (flows.get(zone).isEmpty()) {
                unheard(zone);
            }
            flows.get(zone).forEach(flow -> ways.add(way(flow)));
        }
        return bounded();
    }

    /** Without word of what enters there nothing is divided. */
    private List<Flow> flows(String zone) {
        Map<String, Double> demand = sight.picture().demand(zone);
        if (demand.isEmpty()) {
            return List.of();
        }
        List<Flow> flows = new ArrayList<>();
        double rest = 0;
        for (Map.Entry<String, Double> each : demand.entrySet()) {
            if (classes.contains(each.getKey())) {
                flows.add(new Flow(zone, each.getKey(), each.getValue()));
            } else {
                rest += each.getValue();
            }
        }
        flows.add(0, new Flow(zone, "", rest));
        return flows;
    }

    /**
     * What stays: all of it where nothing is known against that, since a figure of what servers bear is no reason to leave
     * them by itself, unless the operator gave it.
     */
    private void stay(String zone, List<Flow> flows) {
        double staying = 0;
        for (Flow flow : flows) {
            staying += flow.rate * open(zone, zone, flow.of) / Plan.WHOLE;
        }
        boolean left = flows.stream().anyMatch(flow -> open(zone, zone, flow.of) < Plan.WHOLE);
        Double most = sight.capacity().get(zone);
        double bearable = most != null && staying > most && (left || limits.perServer() > 0) ? most / staying : 1;
        for (Flow flow : flows) {
            flow.excess = flow.rate * (1 - bearable * open(zone, zone, flow.of) / Plan.WHOLE);
        }
        room.merge(zone, -staying * bearable, Double::sum);
    }

    /** Each flow asks the targets of a level by the room they have; who is asked for more gives all the same part. */
    private void fill(Map<String, List<Flow>> flows, int level) {
        Map<Flow, Map<String, Double>> asks = new LinkedHashMap<>();
        Map<String, Double> asked = new HashMap<>();
        for (Map.Entry<String, List<Flow>> entry : flows.entrySet()) {
            List<String> targets = geography.levels(entry.getKey()).get(level);
            for (Flow flow : entry.getValue()) {
                Map<String, Double> weights = new TreeMap<>();
                for (String target : targets) {
                    double weight = room.getOrDefault(target, 0.0) * open(flow.from, target, flow.of) / Plan.WHOLE;
                    if (weight > 0 && flow.excess > 0) {
                        weights.put(target, weight);
                    }
                }
                double sum =
                        weights.values().stream().mapToDouble(weight -> weight).sum();
                weights.replaceAll((target, weight) -> Math.min(weight, flow.excess * weight / sum));
                weights.forEach((target, ask) -> asked.merge(target, ask, Double::sum));
                asks.put(flow, weights);
            }
        }
        Map<String, Double> parts = new HashMap<>();
        asked.forEach((target, ask) -> parts.put(target, Math.min(1, room.get(target) / ask)));
        asks.forEach((flow, weights) -> weights.forEach((target, ask) -> {
            double given = ask * parts.get(target);
            flow.away.merge(target, given, Double::sum);
            flow.excess -= given;
            room.merge(target, -given, Double::sum);
        }));
        room.replaceAll((target, left) -> Math.max(0, left));
    }

    /**
     * Where what stays in a zone may go as well, until there is a plan for it: the room that is left, level by level, as if
     * no other zone were left meanwhile; of as many as may be left at once, each has its share.
     */
    private void spare(String zone, List<Flow> flows) {
        double near = flows.stream().mapToDouble(Flow::near).sum();
        for (Flow flow : near <= 0 ? List.<Flow>of() : flows) {
            double part = flow.near() / near, left = flow.near() * SPARE_MOST / Plan.WHOLE;
            for (List<String> level : geography.levels(zone)) {
                Map<String, Double> rooms = new TreeMap<>();
                for (String target : level) {
                    // Rooms are by the marks of all from all already.
                    int all = open("", target, "");
                    double open = target.equals(zone) || all == 0 ? 0 : (double) open(zone, target, flow.of) / all;
                    rooms.put(
                            target,
                            part * open * room.getOrDefault(target, 0.0) / Math.max(1, limits.left(zones.size())));
                }
                double sum = rooms.values().stream().mapToDouble(room -> room).sum();
                double given = Math.min(1, left / Math.max(sum, 1e-9));
                rooms.forEach((target, room) -> flow.spare.put(target, room * given));
                left -= sum * given;
            }
        }
    }

    private void unheard(String zone) {
        List<Way> before = inForce.ways().stream()
                .filter(way ->
                        way.from().equals(zone) && way.parts().stream().allMatch(part -> zones.contains(part.to())))
                .toList();
        if (before.isEmpty()) {
            ways.add(way(new Flow(zone, "", 0)));
        } else {
            // What was spare then may be others' by now.
            before.forEach(way -> ways.add(new Way(
                    way.from(),
                    way.of(),
                    way.parts().stream()
                            .map(part -> new Part(part.to(), part.thousandths(), 0))
                            .toList())));
        }
    }

    private Way way(Flow flow) {
        Map<String, Integer> parts = new TreeMap<>();
        int near = Plan.WHOLE;
        for (Map.Entry<String, Double> each : flow.away.entrySet()) {
            int part = (int) (each.getValue() / flow.rate * Plan.WHOLE);
            if (part > 0) {
                parts.put(each.getKey(), part);
                near -= part;
            }
        }
        for (String zone : lookedAt(flow.from)) {
            if (near - limits.look() >= limits.look() && !parts.containsKey(zone)) {
                parts.put(zone, limits.look());
                near -= limits.look();
            }
        }
        if (near < limits.look()) {
            // Who left its own servers looks at them.
            String most = null;
            for (Map.Entry<String, Integer> each : parts.entrySet()) {
                most = most == null || each.getValue() > parts.get(most) ? each.getKey() : most;
            }
            parts.merge(most, near - limits.look(), Integer::sum);
            near = limits.look();
        }
        parts.put(flow.from, near);
        List<Part> all = new ArrayList<>();
        parts.forEach((zone, part) -> {
            double spare = flow.rate > 0 ? flow.spare.getOrDefault(zone, 0.0) / flow.rate * Plan.WHOLE : 0;
            all.add(new Part(zone, part, (int) (spare + 1e-6) / SPARE_STEP * SPARE_STEP));
        });
        return new Way(flow.from, flow.of, all);
    }

    /** The next ones in the operator's order, so that each zone is seen from as many others, and those that were left. */
    private Set<String> lookedAt(String from) {
        Set<String> looked = new LinkedHashSet<>();
        int at = zones.indexOf(from);
        for (int i = 1; i <= limits.looks() && i < zones.size(); i++) {
            looked.add(zones.get((at + i) % zones.size()));
        }
        int most = looked.size() + MORE_LOOKS;
        for (String zone : zones) {
            boolean left = opens.entrySet().stream()
                    .anyMatch(each -> each.getKey().get(0).equals(from)
                            && each.getKey().get(1).equals(zone)
                            && each.getValue() < Plan.WHOLE);
            if (left && looked.size() < most && !zone.equals(from)) {
                looked.add(zone);
            }
        }
        return looked;
    }

    /** In order; a class that goes as all others do needs no way, and beyond the bound classes go as all others do. */
    private List<Way> bounded() {
        Map<String, Way> whole = new HashMap<>();
        ways.stream().filter(way -> way.of().isEmpty()).forEach(way -> whole.put(way.from(), way));
        int most = Plan.MOST_WAYS - zones.size();
        List<Way> own = ways.stream()
                .filter(way -> !way.of().isEmpty()
                        && (!whole.containsKey(way.from())
                                || !whole.get(way.from()).parts().equals(way.parts())))
                .sorted(Plan.WAYS)
                .limit(Math.max(0, most))
                .toList();
        List<Way> all = new ArrayList<>(whole.values());
        all.addAll(own);
        all.sort(Plan.WAYS);
        return all;
    }
}
