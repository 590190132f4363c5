package rushpin.failover;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Fixed priorities with spill by health, as proxies do that decide alone: for comparison. Levels are the own zone, its
 * region, then the others in order. A level takes as much as its healthy part times {@value #OVERPROVISIONING} hundredths;
 * what is more goes to the next. Where all levels together can't take all, they are taken up in proportion; a level with
 * fewer healthy servers than {@value #PANIC} percent is used as if all were.
 */
public final class Spill {
    /** Servers of one zone as one process sees them. */
    public record Health(int servers, int healthy) {}

    /** In hundredths. */
    static final int OVERPROVISIONING = 140, PANIC = 50;

    private Spill() {}

    /** Which part of what enters in a zone goes where, summing to one; near if nothing is known of any. */
    public static Map<String, Double> parts(String zone, Geography geography, Map<String, Health> health) {
        List<List<String>> levels = new ArrayList<>();
        levels.add(List.of(zone));
        levels.addAll(geography.levels(zone));
        double[] able = new double[levels.size()];
        double all = 0;
        for (int i = 0; i < able.length; i++) {
            int servers = servers(levels.get(i), health), healthy = healthy(levels.get(i), health);
            able[i] = servers == 0 ? 0 : Math.min(1, OVERPROVISIONING / 100.0 * healthy / servers);
            all += able[i];
        }
        Map<String, Double> parts = new LinkedHashMap<>();
        if (all == 0) {
            return Map.of(zone, 1.0);
        }
        double left = 1;
        for (int i = 0; i < able.length && left > 0; i++) {
            double part = all < 1 ? able[i] / all : Math.min(left, able[i]);
            left -= part;
            int servers = servers(levels.get(i), health), healthy = healthy(levels.get(i), health);
            boolean panic = 100L * healthy < (long) PANIC * servers;
            for (String each : levels.get(i)) {
                Health of = health.getOrDefault(each, new Health(0, 0));
                double share = panic ? (double) of.servers / servers : healthy == 0 ? 0 : (double) of.healthy / healthy;
                if (part * share > 0) {
                    parts.merge(each, part * share, Double::sum);
                }
            }
        }
        return parts;
    }

    private static int servers(List<String> zones, Map<String, Health> health) {
        return zones.stream()
                .mapToInt(zone -> health.getOrDefault(zone, new Health(0, 0)).servers)
                .sum();
    }

    private static int healthy(List<String> zones, Map<String, Health> health) {
        return zones.stream()
                .mapToInt(zone -> health.getOrDefault(zone, new Health(0, 0)).healthy)
                .sum();
    }
}
