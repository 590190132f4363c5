package rushpin.failover;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Regions with their zones, in the operator's order of preference; each zone stands in one of them.
 *
 * @param regions what comes first is preferred by all who don't stand in it
 */
public record Geography(List<Region> regions) {
    /** Zones near to each other. */
    public record Region(String name, List<String> zones) {
        /** Copies. */
        public Region {
            zones = List.copyOf(zones);
        }
    }

    /** Copies; throws if a zone stands twice. */
    public Geography {
        regions = List.copyOf(regions);
        Set<String> zones = new LinkedHashSet<>();
        for (Region region : regions) {
            for (String zone : region.zones) {
                if (!zones.add(zone)) {
                    throw new IllegalArgumentException("zone " + zone + " stands twice");
                }
            }
        }
    }

    /** With zones that the operator's list doesn't have, after all that it has: by region and name. */
    public Geography with(Map<String, String> regionsByZone) {
        Map<String, List<String>> more = new TreeMap<>();
        Set<String> known = Set.copyOf(zones());
        new TreeMap<>(regionsByZone).forEach((zone, region) -> {
            if (!known.contains(zone)) {
                more.computeIfAbsent(region, any -> new ArrayList<>()).add(zone);
            }
        });
        List<Region> all = new ArrayList<>();
        for (Region region : regions) {
            List<String> zones = new ArrayList<>(region.zones);
            List<String> come = more.remove(region.name);
            zones.addAll(come == null ? List.of() : come);
            all.add(new Region(region.name, zones));
        }
        more.forEach((name, zones) -> all.add(new Region(name, zones)));
        return new Geography(all);
    }

    /** All zones, in order. */
    public List<String> zones() {
        return regions.stream().flatMap(region -> region.zones.stream()).toList();
    }

    /** Where what a zone can't bear goes, nearest first: the rest of its own region, then the others in order. */
    public List<List<String>> levels(String zone) {
        List<List<String>> levels = new ArrayList<>();
        for (Region region : regions) {
            if (region.zones.contains(zone)) {
                levels.add(
                        0,
                        region.zones.stream()
                                .filter(other -> !other.equals(zone))
                                .toList());
            } else {
                levels.add(region.zones);
            }
        }
        return levels;
    }
}
