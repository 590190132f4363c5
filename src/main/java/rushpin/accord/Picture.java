package rushpin.accord;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import rushpin.accord.Evidence.Count;
import rushpin.accord.Evidence.Kept;
import rushpin.accord.Evidence.Row;
import rushpin.accord.Evidence.View;

/**
 * What processes say at one moment, by zone. A value: it doesn't change.
 *
 * <p>Of attempts it is a weighted median over reporters: each zone's reporters weigh as much together as another zone's, and
 * none weighs more than a third of all. So whatever a single one says, the median stays among what the others say; of two,
 * both have to say it. Who sent too little to tell alone tells together with the next ones of its zone, by name. Sums
 * (demand, what was served) take no process for more than {@value #CLIP} times the median of its zone, or, where it is alone
 * there, of what all were served for what it says of other zones. A liar with many
 * names is not told apart. Who stood still itself says nothing of others.
 */
public final class Picture {
    /** Who was late for more of its span than that, in thousandths, doesn't know why what it sent failed. */
    public static final int TROUBLED = 200;
    /** How much more than the median of its zone a process can be taken for. */
    public static final int CLIP = 4;
    /** Reporters that a fleet's view and that of one zone take at least. */
    private static final int FEWEST = 3, FEWEST_NEAR = 2;

    private static final double EPSILON = 1e-9;

    private record Voice(String where, Count count) {}

    private final int fewestZones;
    private final long fewestSent;
    private final Map<Row, Map<String, List<Count>>> seen = new HashMap<>();
    private final Map<String, List<Count>> lately = new HashMap<>();
    private final Map<String, Integer> reporters = new TreeMap<>();
    private final Map<String, Map<String, Double>> demand = new TreeMap<>();
    private final Map<String, Report.Stock> stocks = new TreeMap<>();
    private final Map<String, Double> served = new TreeMap<>(), sure = new TreeMap<>();

    Picture(Collection<Kept> reports, int fewestZones, long fewestSent) {
        this.fewestZones = fewestZones;
        this.fewestSent = fewestSent * Evidence.PARTS;
        List<Kept> all = new ArrayList<>(reports);
        all.sort(Comparator.comparing(kept -> kept.report().process()));
        Map<String, List<Kept>> byZone = new TreeMap<>();
        Map<String, List<Report.Stock>> told = new TreeMap<>();
        for (Kept kept : all) {
            byZone.computeIfAbsent(kept.report().zone(), zone -> new ArrayList<>())
                    .add(kept);
            if (kept.report().trouble() <= TROUBLED) {
                hear(kept);
                lately(kept.report());
                for (Report.Stock stock : kept.report().stocks()) {
                    told.computeIfAbsent(stock.zone(), zone -> new ArrayList<>())
                            .add(stock);
                }
            }
        }
        double[] sums = all.stream()
                .filter(kept -> kept.report().span() > 0)
                .mapToDouble(kept -> kept.served().values().stream()
                        .mapToDouble(rate -> rate)
                        .sum())
                .sorted()
                .toArray();
        double most = sums.length == 0 ? 0 : CLIP * sums[(sums.length - 1) / 2];
        byZone.forEach((zone, there) -> {
            reporters.put(zone, there.size());
            demand(zone, there);
            served(zone, there, most);
        });
        told.forEach((zone, said) -> stocks.put(
                zone,
                new Report.Stock(zone, (int) middle(said, Report.Stock::ready), middle(said, Report.Stock::warm))));
    }

    private void hear(Kept kept) {
        Map<String, Count> whole = new HashMap<>();
        kept.rows().forEach((row, count) -> {
            whole.merge(row.zone(), count, Count::plus);
            if (!row.of().isEmpty()) {
                add(row, kept.report().zone(), count);
            }
        });
        // Who holds out all that a zone has sends little there and sees nothing new: it goes on telling that it does.
        for (Report.Stock stock : kept.report().stocks()) {
            if (stock.isHeldOut()) {
                whole.merge(
                        stock.zone(),
                        new Count(fewestSent, fewestSent, 0, 0),
                        (count, failed) -> count.sent() < fewestSent ? failed : count);
            }
        }
        whole.forEach((zone, count) -> add(new Row(zone, ""), kept.report().zone(), count));
    }

    private void lately(Report report) {
        report.seen().stream()
                .filter(seen -> seen.sent() > 0 && !seen.zone().equals(report.zone()))
                .map(Count::of)
                .reduce(Count::plus)
                .ifPresent(count -> lately.computeIfAbsent(report.zone(), any -> new ArrayList<>())
                        .add(count));
    }

    private void add(Row row, String where, Count count) {
        seen.computeIfAbsent(row, any -> new TreeMap<>())
                .computeIfAbsent(where, any -> new ArrayList<>())
                .add(count);
    }

    private static long middle(List<Report.Stock> said, ToLongFunction<Report.Stock> which) {
        long[] values = said.stream().mapToLong(which).sorted().toArray();
        return values[(values.length - 1) / 2];
    }

    /** Sums rates by name; none counts for more than {@link #CLIP} times the lower median of those that tell. */
    private static Map<String, Double> clipped(List<Kept> there, Function<Kept, Map<String, Double>> rates) {
        List<Map<String, Double>> all = there.stream()
                .filter(kept -> kept.report().span() > 0)
                .map(rates)
                .toList();
        Map<String, Double> sums = new TreeMap<>();
        all.forEach(each -> each.keySet().forEach(name -> sums.put(name, 0.0)));
        for (Map.Entry<String, Double> sum : sums.entrySet()) {
            double[] values = all.stream()
                    .mapToDouble(each -> each.getOrDefault(sum.getKey(), 0.0))
                    .sorted()
                    .toArray();
            double most = values.length == 1 ? values[0] : CLIP * values[(values.length - 1) / 2];
            sum.setValue(
                    Arrays.stream(values).map(value -> Math.min(value, most)).sum());
        }
        return sums;
    }

    private void demand(String zone, List<Kept> there) {
        if (there.stream().anyMatch(kept -> kept.report().span() > 0)) {
            demand.put(zone, clipped(there, Kept::entered));
        }
    }

    /** Who is alone in its zone has no median there: of other zones it counts for {@code most}. */
    private void served(String where, List<Kept> there, double most) {
        Map<String, Double> rates = clipped(there, Kept::served);
        boolean alone = there.stream().filter(kept -> kept.report().span() > 0).count() == 1;
        rates.forEach((zone, rate) ->
                served.merge(zone, alone && !zone.equals(where) ? Math.min(rate, most) : rate, Double::sum));
        if (alone) {
            rates.keySet().retainAll(Set.of(where));
        }
        rates.forEach((zone, rate) -> sure.merge(zone, rate, Double::sum));
    }

    /** The zones that anybody sent to, in order of name. */
    public Set<String> seen() {
        Set<String> zones = new TreeSet<>();
        seen.keySet().forEach(row -> zones.add(row.zone()));
        return zones;
    }

    /** The classes that anybody sent to a zone, in order of name. */
    public Set<String> classes(String zone) {
        Set<String> classes = new TreeSet<>();
        for (Row row : seen.keySet()) {
            if (row.zone().equals(zone) && !row.of().isEmpty()) {
                classes.add(row.of());
            }
        }
        return classes;
    }

    /** All classes by the zones that anybody sent them to. */
    public Map<String, Set<String>> classes() {
        Map<String, Set<String>> classes = new TreeMap<>();
        for (Row row : seen.keySet()) {
            if (!row.of().isEmpty()) {
                classes.computeIfAbsent(row.zone(), zone -> new TreeSet<>()).add(row.of());
            }
        }
        return classes;
    }

    /** From where processes report, and how many. */
    public Map<String, Integer> reporters() {
        return Collections.unmodifiableMap(reporters);
    }

    /** What enters in a zone, by class, a second; empty if nobody there tells. */
    public Map<String, Double> demand(String zone) {
        return Collections.unmodifiableMap(demand.getOrDefault(zone, Map.of()));
    }

    /** What is known of a zone's servers: the lower median of what lists say. */
    public Optional<Report.Stock> stock(String zone) {
        return Optional.ofNullable(stocks.get(zone));
    }

    /**
     * How much of what is sent to a zone comes from others, in thousandths: processes of a zone count for the lower median
     * of them each.
     */
    public int fromOthers(String zone) {
        long all = 0, others = 0;
        for (Map.Entry<String, List<Count>> each :
                seen.getOrDefault(new Row(zone, ""), Map.of()).entrySet()) {
            long[] sent =
                    each.getValue().stream().mapToLong(Count::sent).sorted().toArray();
            long sum = sent.length * sent[(sent.length - 1) / 2];
            all += sum;
            others += each.getKey().equals(zone) ? 0 : sum;
        }
        return all == 0 ? 0 : (int) (others * 1_000 / all);
    }

    /** What a zone's servers answered, a second, as those say who sent it; empty if nobody sent anything. */
    public OptionalDouble served(String zone) {
        Double rate = served.get(zone);
        return rate == null ? OptionalDouble.empty() : OptionalDouble.of(rate);
    }

    /** The same as its own processes say, and those of other zones in which more than one tells. */
    public double servedSurely(String zone) {
        return sure.getOrDefault(zone, 0.0);
    }

    /**
     * A zone as the fleet sees it; empty if too few tell of it.
     *
     * @param of the class; empty for all
     * @param without zones whose processes are not heard
     */
    public Optional<View> across(String zone, String of, Set<String> without) {
        List<Voice> voices = new ArrayList<>();
        seen.getOrDefault(new Row(zone, of), Map.of()).forEach((where, counts) -> {
            if (!without.contains(where)) {
                speak(where, counts, voices);
            }
        });
        return view(zone, voices, FEWEST, fewestZones);
    }

    /** A zone as it is seen from one zone only; empty if fewer than two there can tell. */
    public Optional<View> from(String where, String zone, String of) {
        List<Voice> voices = new ArrayList<>();
        speak(where, seen.getOrDefault(new Row(zone, of), Map.of()).getOrDefault(where, List.of()), voices);
        return view(zone, voices, FEWEST_NEAR, 1);
    }

    /** A zone as its own processes see it, though only one of them can tell: for what nobody is left by. */
    public Optional<View> own(String zone, String of) {
        List<Voice> voices = new ArrayList<>();
        speak(zone, seen.getOrDefault(new Row(zone, of), Map.of()).getOrDefault(zone, List.of()), voices);
        return view(zone, voices, 1, 1);
    }

    /**
     * All other zones together as they are seen from one, by what its processes sent last, however little; empty if fewer
     * than two there sent anything.
     */
    public Optional<View> elsewhere(String where) {
        return view(
                "",
                lately.getOrDefault(where, List.of()).stream()
                        .map(count -> new Voice(where, count))
                        .toList(),
                FEWEST_NEAR,
                1);
    }

    private void speak(String where, List<Count> counts, List<Voice> voices) {
        Count together = null;
        for (Count count : counts) {
            if (count.sent() >= fewestSent) {
                voices.add(new Voice(where, count));
            } else {
                together = together == null ? count : together.plus(count);
                if (together.sent() >= fewestSent) {
                    voices.add(new Voice(where, together));
                    together = null;
                }
            }
        }
    }

    private static Optional<View> view(String zone, List<Voice> voices, int fewest, int fewestZones) {
        Map<String, Integer> of = new HashMap<>();
        voices.forEach(voice -> of.merge(voice.where, 1, Integer::sum));
        if (voices.size() < fewest || of.size() < fewestZones) {
            return Optional.empty();
        }
        double[] weights = new double[voices.size()];
        double all = 0, greatest = 0;
        for (int i = 0; i < weights.length; i++) {
            weights[i] = 1.0 / of.get(voices.get(i).where);
            all += weights[i];
            greatest = Math.max(greatest, weights[i]);
        }
        // Only one that stands alone in its zone, with all others in one more, can weigh over a third.
        double most = voices.size() == 1 ? all : (all - greatest) / 2;
        for (int i = 0; i < weights.length; i++) {
            weights[i] = Math.min(weights[i], most);
        }
        int[] failed = medians(voices, weights, Count::failed), slow = medians(voices, weights, Count::slow);
        return Optional.of(new View(
                zone,
                voices.size(),
                of.size(),
                failed[0],
                slow[0],
                medians(voices, weights, Count::unreachable)[0],
                failed[1],
                slow[1]));
    }

    /** The lower and the higher one. */
    private static int[] medians(List<Voice> voices, double[] weights, ToLongFunction<Count> which) {
        Integer[] order = new Integer[weights.length];
        int[] thousandths = new int[weights.length];
        double all = 0;
        for (int i = 0; i < weights.length; i++) {
            order[i] = i;
            Count count = voices.get(i).count;
            thousandths[i] = (int) (which.applyAsLong(count) * 1_000 / count.sent());
            all += weights[i];
        }
        Arrays.sort(order, Comparator.comparingInt(i -> thousandths[i]));
        double below = 0;
        int lower = -1;
        for (int i : order) {
            below += weights[i];
            if (lower < 0 && below >= all / 2 - EPSILON) {
                lower = thousandths[i];
            }
            if (below > all / 2 + EPSILON) {
                return new int[] {lower, thousandths[i]};
            }
        }
        int last = thousandths[order[order.length - 1]];
        return new int[] {lower, last};
    }
}
