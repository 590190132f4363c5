package rushpin.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.apache.commons.math3.distribution.NormalDistribution;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;

/**
 * Two choices over many seeds, a pair of runs each. It says how many seeds are wanted by a rule that sees how large differences
 * are and not which way they point, so that the test holds for whatever number that is.
 */
public final class Comparison {
    /** What decides. All others are shown beside it, corrected for being many. */
    public static final String FIGURE = "service";
    /** The signed-rank test needs so much more than one by means, where means would do (3 / pi). */
    private static final double EFFICIENCY = Math.PI / 3;
    /** The least difference to be found is what would be found so often. */
    private static final double POWER = 0.8;

    /** What came out. */
    public enum Verdict {
        A,
        B,
        CANNOT_TELL
    }

    /** One figure of both choices: means, and what is known of the difference, B less A. */
    public record Figure(String name, double a, double b, SignedRank difference, double level) {}

    /** A run that has no figures, by its seed. */
    public record Failure(boolean ofA, long seed, String why) {}

    /** A seed, and a side's {@link #FIGURE} there. */
    public record Worst(long seed, double service) {}

    private final double level, halfWidth;
    private final int first, budget;
    private final List<Long> seeds = new ArrayList<>();
    private final List<Map<String, Object>> runsA = new ArrayList<>(), runsB = new ArrayList<>();
    private final List<Failure> failures = new ArrayList<>();
    private int wanted;

    /**
     * A comparison with nothing played yet.
     *
     * @param level of the verdict, as 0.95
     * @param halfWidth the interval for {@link #FIGURE} should be so wide to each side
     * @param first seeds played before the number is set; {@code budget} the most
     */
    public Comparison(double level, double halfWidth, int first, int budget) {
        this.level = level;
        this.halfWidth = halfWidth;
        this.first = Math.min(first, budget);
        this.budget = budget;
    }

    /** How many more seeds are wanted; 0 at the end. */
    public int more() {
        if (!failures.isEmpty()) {
            return 0;
        }
        if (seeds.size() < first) {
            return first - seeds.size();
        }
        if (wanted == 0) {
            double squares = 0;
            for (double each : differences(FIGURE)) {
                squares += each * each;
            }
            double rms = Math.sqrt(squares / first);
            double n = Math.pow(z((1 + level) / 2) * rms / halfWidth, 2) * EFFICIENCY;
            wanted = (int) Math.max(first, Math.min(budget, Math.ceil(n)));
        }
        return wanted - seeds.size();
    }

    private static double z(double at) {
        return new NormalDistribution().inverseCumulativeProbability(at);
    }

    /** Both runs of a seed, in the order of the seeds. */
    public void add(long seed, Map<String, Object> a, Map<String, Object> b) {
        seeds.add(seed);
        runsA.add(a);
        runsB.add(b);
    }

    /** A run that threw or came to no end: the comparison is over. */
    public void failed(boolean ofA, long seed, String why) {
        failures.add(new Failure(ofA, seed, why));
    }

    /** Failures, in the order in which they were told. */
    public List<Failure> failures() {
        return List.copyOf(failures);
    }

    /** How many seeds both were played with. */
    public int seeds() {
        return seeds.size();
    }

    /** The runs of one side, in the order of their seeds. */
    public List<Map<String, Object>> runs(boolean ofA) {
        return List.copyOf(ofA ? runsA : runsB);
    }

    private static double number(Map<String, Object> run, String name) {
        return run.get(name) instanceof Double value ? value : Double.NaN;
    }

    private double[] differences(String name) {
        double[] differences = new double[seeds.size()];
        for (int i = 0; i < differences.length; i++) {
            differences[i] = number(runsB.get(i), name) - number(runsA.get(i), name);
        }
        return differences;
    }

    private static double mean(List<Map<String, Object>> runs, String name) {
        return runs.stream().mapToDouble(run -> number(run, name)).average().orElse(Double.NaN);
    }

    /** All figures that both have in every run: the one that decides first, then by name. */
    public List<Figure> figures() {
        TreeSet<String> names = new TreeSet<>();
        if (seeds.isEmpty()) {
            return List.of();
        }
        for (String name : runsA.get(0).keySet()) {
            if (shown(name)
                    && runsA.stream().allMatch(run -> run.get(name) instanceof Double)
                    && runsB.stream().allMatch(run -> run.get(name) instanceof Double)) {
                names.add(name);
            }
        }
        names.remove(FIGURE);
        double corrected = 1 - (1 - level) / Math.max(1, names.size());
        List<Figure> figures = new ArrayList<>(List.of(figure(FIGURE, level)));
        names.forEach(name -> figures.add(figure(name, corrected)));
        return figures;
    }

    private static boolean shown(String name) {
        return !name.startsWith("servers.")
                && !List.of("events", "tries", "asks", "breaches").contains(name);
    }

    private Figure figure(String name, double at) {
        return new Figure(name, mean(runsA, name), mean(runsB, name), SignedRank.of(differences(name), at), at);
    }

    /** In how many seeds a side broke a rule. */
    public int broken(boolean ofA) {
        return (int) (ofA ? runsA : runsB)
                .stream().filter(run -> number(run, "breaches") > 0).count();
    }

    /** The first broken rule of a side, with its seed; empty if it kept them. */
    public String breach(boolean ofA) {
        List<Map<String, Object>> runs = ofA ? runsA : runsB;
        for (int i = 0; i < runs.size(); i++) {
            if (number(runs.get(i), "breaches") > 0) {
                return "seed " + seeds.get(i) + ": " + runs.get(i).get("breach");
            }
        }
        return "";
    }

    /** Whether a side can't be chosen, whatever it serves. */
    private boolean out(boolean ofA) {
        return failures.stream().anyMatch(failure -> failure.ofA() == ofA) || broken(ofA) > 0;
    }

    /** What can be told. */
    public Verdict verdict() {
        if (out(true) || out(false)) {
            return out(true) && out(false) ? Verdict.CANNOT_TELL : out(true) ? Verdict.B : Verdict.A;
        }
        if (seeds.isEmpty()) {
            return Verdict.CANNOT_TELL;
        }
        SignedRank difference = SignedRank.of(differences(FIGURE), level);
        return difference.low() > 0 ? Verdict.B : difference.high() < 0 ? Verdict.A : Verdict.CANNOT_TELL;
    }

    /** The verdict's reasons, a line each. */
    public List<String> reasons() {
        List<String> said = new ArrayList<>();
        failures.forEach(f -> said.add((f.ofA() ? "A" : "B") + " failed at seed " + f.seed() + ": " + f.why()));
        for (boolean a : new boolean[] {true, false}) {
            if (broken(a) > 0) {
                said.add((a ? "A" : "B") + " broke a rule in " + broken(a) + " of " + seeds.size() + " seeds, "
                        + breach(a));
            }
        }
        if (out(true) && out(false)) {
            said.add("neither can be chosen");
        } else if (said.isEmpty() && !seeds.isEmpty()) {
            SignedRank of = SignedRank.of(differences(FIGURE), level);
            if (!of.differs()) {
                said.add(
                        Double.isInfinite(of.low())
                                ? seeds.size() + " seeds can tell nothing at this level"
                                : "with " + seeds.size() + " seeds a difference in " + FIGURE + " of "
                                        + String.format(java.util.Locale.ROOT, "%.4f", least()) + " would be found in "
                                        + (int) (POWER * 100) + " of 100 comparisons");
            }
        }
        return said;
    }

    /** The least difference in {@link #FIGURE} that so many seeds find in 80 of 100 comparisons. */
    public double least() {
        DescriptiveStatistics of = new DescriptiveStatistics(differences(FIGURE));
        return (z((1 + level) / 2) + z(POWER))
                * of.getStandardDeviation()
                * Math.sqrt(EFFICIENCY / Math.max(1, seeds.size()));
    }

    /** The worst seed of a side by {@link #FIGURE}; null if none was played. */
    public Worst worst(boolean ofA) {
        List<Map<String, Object>> runs = ofA ? runsA : runsB;
        int worst = -1;
        for (int i = 0; i < runs.size(); i++) {
            worst = worst < 0 || number(runs.get(i), FIGURE) < number(runs.get(worst), FIGURE) ? i : worst;
        }
        return worst < 0 ? null : new Worst(seeds.get(worst), number(runs.get(worst), FIGURE));
    }
}
