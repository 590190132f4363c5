package rushpin.failover;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import rushpin.accord.Evidence.View;
import rushpin.accord.Picture;
import rushpin.accord.Plan;
import rushpin.accord.Report;

/**
 * What warm servers were seen to bear, learned over zones by whoever makes the plans; a new planner learns anew. Pure; one
 * thread at a time. Holds four numbers for each of at most {@link Plan#MOST_ZONES} zones.
 *
 * <p>What a zone bears of which a single process tells counts for what zones bear in common, where nobody is taken at his own
 * word: else a planner that begins where few report would know of no room at all.
 */
public final class Learned {
    /** Between two steps of what a zone is taken to bear once it was slow under load. */
    private static final long STEP = 5_000_000_000L;

    private static final double DOWN = 0.9, UP = 1.03;
    /** Who is slow under less of that than this is slow by itself. */
    private static final double LOADED = 0.5;
    /** A zone is warm from so many thousandths of each of its servers. */
    private static final long WARM = 980;
    /** What is left after a second of the most that was borne: half after some 20 minutes. */
    private static final double FADES = 0.999_4;

    private static final class Zone {
        double borne, alone, ceiling = Double.POSITIVE_INFINITY;
        long stepped;
    }

    private final Map<String, Zone> zones = new HashMap<>();
    private long last;
    private boolean any;

    /** Learns from a picture, and says what the zones can take now. */
    public Sight sight(Picture picture, Limits limits, long now) {
        double fades = any ? Math.pow(FADES, Math.max(0, now - last) / 1e9) : 1;
        last = now;
        any = true;
        zones.keySet().retainAll(picture.seen());
        for (String name : picture.seen()) {
            Optional<Report.Stock> stock = picture.stock(name);
            Optional<View> view = picture.across(name, "", Set.of()).or(() -> picture.from(name, name, ""));
            if (zones.size() < Plan.MOST_ZONES || zones.containsKey(name)) {
                Zone zone = zones.computeIfAbsent(name, each -> new Zone());
                long warm = stock.map(Report.Stock::warm).orElse(0L);
                double served = picture.served(name).orElse(0);
                learn(zone, warm, served, view, limits, fades, now);
                boolean told = view.or(() -> picture.own(name, ""))
                        .filter(each -> isBorne(each, limits))
                        .isPresent();
                // A process that is alone in its zone could say the same of all zones at once.
                double sure = picture.servedSurely(name);
                zone.alone = Math.max(zone.alone * fades, told && warm > 0 ? sure / (warm / 1_000.0) : 0);
            }
        }
        double[] borne = zones.values().stream()
                .mapToDouble(zone -> Math.max(zone.borne, zone.alone))
                .sorted()
                .toArray();
        // What one zone alone was seen to bear may be a mistake in the count of its servers.
        double common = borne.length == 0 ? 0 : borne[Math.max(0, borne.length - 2)];
        // Of two that became slow under load the better one tells what no other is to be tried beyond; one alone may be
        // at
        // fault itself.
        double[] ceilings = zones.values().stream()
                .mapToDouble(zone -> zone.ceiling)
                .filter(ceiling -> ceiling < Double.POSITIVE_INFINITY)
                .sorted()
                .toArray();
        double bound = ceilings.length < 2 ? Double.POSITIVE_INFINITY : ceilings[ceilings.length - 1];
        Map<String, Double> capacity = new HashMap<>();
        zones.forEach((name, zone) -> picture.stock(name).ifPresent(stock -> {
            // More than was ever borne is tried on warm servers only: cold ones fall by it.
            int growth = stock.warm() >= WARM * stock.ready() ? limits.growth() : Plan.WHOLE;
            double each = limits.perServer() > 0
                    ? limits.perServer() / 1_000.0 * (Plan.WHOLE - limits.reserve()) / Plan.WHOLE
                    : Math.min(Math.max(zone.borne, common) * growth / Plan.WHOLE, Math.max(zone.borne, bound));
            capacity.put(name, stock.warm() / 1_000.0 * Math.min(each, zone.ceiling));
        }));
        return new Sight(picture, capacity);
    }

    private static boolean isBorne(View view, Limits limits) {
        return view.mostSlow() < limits.slow() && view.mostFailed() < limits.bad();
    }

    private static void learn(
            Zone zone, long warm, double served, Optional<View> view, Limits limits, double fades, long now) {
        zone.borne *= fades;
        if (warm <= 0 || view.isEmpty()) {
            return;
        }
        double each = served / (warm / 1_000.0);
        boolean bounded = zone.ceiling < Double.POSITIVE_INFINITY, next = !bounded || now - zone.stepped >= STEP;
        if (view.get().slow() >= limits.slow()) {
            if (next && each >= LOADED * Math.min(zone.ceiling, zone.borne)) {
                zone.ceiling = bounded ? zone.ceiling * DOWN : zone.borne;
                zone.stepped = now;
            }
        } else if (isBorne(view.get(), limits)) {
            zone.borne = Math.max(zone.borne, each);
            if (bounded && next) {
                zone.ceiling *= UP;
                zone.stepped = now;
            }
        }
    }
}
