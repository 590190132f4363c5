package rushpin.authority.finding;

import java.util.List;
import java.util.Map;

/**
 * What a planner knows at one moment.
 *
 * @param edges all processes whose sessions live
 * @param demands objects of which at least two processes tell
 * @param heard how many of the processes told anything lately
 */
public record Sight(List<Edge> edges, Map<String, Demand> demands, int heard) {
    /** The room of a process that told nothing lately, or was slow lately: it gets nothing. */
    static final long UNKNOWN = -1;

    /** What nobody is known to ask for. */
    static final Demand NONE = new Demand(0, 0, Map.of());

    /**
     * A process.
     *
     * @param room what it may hold, in weight a second; below 0 if that is not known: it gets nothing and is not overfull
     * @param isSlow by what others say of it
     */
    public record Edge(long session, String zone, String region, long room, boolean isSlow) {}

    /**
     * What is asked for, in weight a second.
     *
     * @param heat of all processes but the one that tells the most
     * @param load what its holder will get: of all, where nobody counts for more than the one next to him
     * @param zones where it is asked for
     */
    public record Demand(long heat, long load, Map<String, Part> zones) {}

    /**
     * In one zone.
     *
     * @param sum what its processes tell
     * @param greatest what one of them tells at most
     * @param fair their sum, where nobody in the fleet counts for more than the one next to him
     */
    public record Part(long sum, long greatest, long fair) {}

    /** Copies. */
    public Sight {
        edges = List.copyOf(edges);
        demands = Map.copyOf(demands);
    }

    /** Whether most processes are heard. */
    boolean isEnough() {
        return 2 * heard > edges.size();
    }

    Demand of(String object) {
        return demands.getOrDefault(object, NONE);
    }
}
