package rushpin.study;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import rushpin.fit.Fit;
import rushpin.model.Comparison;

/** Simulation studies: the forecast of one choice, the comparison of two, and a sweep of one key over values. */
public final class Study {
    /**
     * Parameters of a study.
     *
     * @param level confidence level of verdicts and intervals, such as 0.95
     * @param halfWidth wanted half width of the confidence interval of service
     * @param first number of seeds simulated before the total number of seeds is computed
     * @param budget maximum number of seeds
     * @param seed the seeds used are those that follow this one
     * @param independent whether B gets other seeds than A, to check the method
     */
    public record Options(double level, double halfWidth, int first, int budget, long seed, boolean independent) {}

    /** A prediction interval of a figure for one further run. */
    public record Forecast(double low, double mean, double high) {
        /** Whether the figure lies within the interval. */
        public boolean contains(double figure) {
            return figure >= low && figure <= high;
        }
    }

    /** Distance of B's seeds from A's if both are independent. */
    private static final long INDEPENDENT_SEED_OFFSET = 1_000_003;

    private final Runner runner;
    private final Map<String, String> day;
    private final Fit.Columns replay;
    private final Options options;

    /** Creates a study of a day; {@code replay} is null if arrivals are drawn at random. */
    public Study(Runner runner, Map<String, String> day, Fit.Columns replay, Options options) {
        this.runner = runner;
        this.day = day;
        this.replay = replay;
        this.options = options;
    }

    /** Simulates one choice with a number of seeds and returns the figures of each run. */
    public List<Map<String, Object>> play(Choice choice, int seeds)
            throws UnusableInputException, InterruptedException {
        List<Runner.Job> jobs = new ArrayList<>();
        for (int i = 1; i <= seeds; i++) {
            jobs.add(new Runner.Job(choice, choice.applyTo(day), replay, options.seed() + i));
        }
        List<Map<String, Object>> runs = new ArrayList<>();
        for (Runner.Result result : runner.play(jobs)) {
            if (result.failure() != null) {
                throw new UnusableInputException(choice.name() + ": " + result.failure());
            }
            runs.add(result.figures());
        }
        return runs;
    }

    /** Returns the prediction interval of a figure for one further run; the runs must differ by their seeds only. */
    public static Forecast forecast(List<Map<String, Object>> runs, String figure, double level) {
        SummaryStatistics statistics = new SummaryStatistics();
        runs.forEach(run -> statistics.addValue((Double) run.get(figure)));
        double halfWidth = new TDistribution(null, Math.max(1, statistics.getN() - 1))
                        .inverseCumulativeProbability((1 + level) / 2)
                * statistics.getStandardDeviation()
                * Math.sqrt(1 + 1.0 / statistics.getN());
        return new Forecast(statistics.getMean() - halfWidth, statistics.getMean(), statistics.getMean() + halfWidth);
    }

    /**
     * Simulates both choices, on the same seeds unless they are independent, until the verdict has the wanted
     * precision, a run fails, or the budget of seeds is used up.
     */
    public Comparison compare(Choice a, Choice b) throws UnusableInputException, InterruptedException {
        Comparison comparison = new Comparison(options.level(), options.halfWidth(), options.first(), options.budget());
        for (int more = comparison.more(), next = 1; more > 0; more = comparison.more()) {
            List<Runner.Job> jobs = new ArrayList<>();
            for (int i = 0; i < more; i++) {
                jobs.add(new Runner.Job(a, a.applyTo(day), replay, options.seed() + next + i));
                jobs.add(new Runner.Job(
                        b,
                        b.applyTo(day),
                        replay,
                        options.seed() + next + i + (options.independent() ? INDEPENDENT_SEED_OFFSET : 0)));
            }
            List<Runner.Result> results = runner.play(jobs);
            for (int i = 0; i < more; i++) {
                Runner.Result resultA = results.get(2 * i);
                Runner.Result resultB = results.get(2 * i + 1);
                if (resultA.failure() == null && resultB.failure() == null) {
                    comparison.add(options.seed() + next + i, resultA.figures(), resultB.figures());
                    continue;
                }
                if (resultA.failure() != null) {
                    comparison.failed(true, options.seed() + next + i, resultA.failure());
                }
                if (resultB.failure() != null) {
                    comparison.failed(false, options.seed() + next + i, resultB.failure());
                }
                return comparison;
            }
            next += more;
        }
        return comparison;
    }

    /**
     * Compares a choice with itself on independent seeds a number of times and returns how many comparisons find a
     * difference, that is the number of false verdicts.
     */
    public int countDifferences(Choice choice, int comparisons) throws UnusableInputException, InterruptedException {
        int differences = 0;
        for (int i = 0; i < comparisons; i++) {
            Options independent = new Options(
                    options.level(),
                    options.halfWidth(),
                    options.first(),
                    options.budget(),
                    options.seed() + i * (long) (options.budget() + 1),
                    true);
            differences += new Study(runner, day, replay, independent)
                                    .compare(choice, choice)
                                    .verdict()
                            == Comparison.Verdict.CANNOT_TELL
                    ? 0
                    : 1;
        }
        return differences;
    }

    /**
     * Compares a choice with copies that differ in the value of one key; the level is corrected for the number of
     * values (Bonferroni).
     */
    public List<Comparison> sweep(Choice choice, String key, List<String> values)
            throws UnusableInputException, InterruptedException {
        Options corrected = new Options(
                1 - (1 - options.level()) / Math.max(1, values.size()),
                options.halfWidth(),
                options.first(),
                options.budget(),
                options.seed(),
                options.independent());
        List<Comparison> comparisons = new ArrayList<>();
        for (String value : values) {
            comparisons.add(new Study(runner, day, replay, corrected).compare(choice, choice.with(key, value)));
        }
        return comparisons;
    }
}
