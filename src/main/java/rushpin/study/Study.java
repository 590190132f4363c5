package rushpin.study;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import rushpin.fit.Fit;
import rushpin.model.Comparison;

/** What is asked of the model: a forecast of one choice, a comparison of two, one key over a range. */
public final class Study {
    /**
     * How it is played.
     *
     * @param level of verdicts and intervals, as 0.95
     * @param halfWidth the interval for service should be so wide to each side
     * @param first seeds before their number is set; {@code budget} the most
     * @param seed the seeds are those after it
     * @param independent whether B gets seeds of its own: for checks of the method
     */
    public record Options(double level, double halfWidth, int first, int budget, long seed, boolean independent) {}

    /** Where a figure will lie in one further run. */
    public record Forecast(double low, double mean, double high) {
        /** Whether it lies there. */
        public boolean holds(double figure) {
            return figure >= low && figure <= high;
        }
    }

    private static final long APART = 1_000_003;
    private final Runner runner;
    private final Map<String, String> day;
    private final Fit.Columns replay;
    private final Options options;

    /** On a day; {@code replay} null where arrivals are drawn. */
    public Study(Runner runner, Map<String, String> day, Fit.Columns replay, Options options) {
        this.runner = runner;
        this.day = day;
        this.replay = replay;
        this.options = options;
    }

    /** Runs of one choice, with so many seeds. */
    public List<Map<String, Object>> play(Choice choice, int seeds) throws UnusableInputException, InterruptedException {
        List<Runner.Job> jobs = new ArrayList<>();
        for (int i = 1; i <= seeds; i++) {
            jobs.add(new Runner.Job(choice, choice.on(day), replay, options.seed() + i));
        }
        List<Map<String, Object>> runs = new ArrayList<>();
        for (Runner.Done done : runner.play(jobs)) {
            if (done.failure() != null) {
                throw new UnusableInputException(choice.name() + ": " + done.failure());
            }
            runs.add(done.figures());
        }
        return runs;
    }

    /** A prediction interval for one further run, from runs that came out of one law. */
    public static Forecast forecast(List<Map<String, Object>> runs, String figure, double level) {
        SummaryStatistics of = new SummaryStatistics();
        runs.forEach(run -> of.addValue((Double) run.get(figure)));
        double half = new TDistribution(null, Math.max(1, of.getN() - 1)).inverseCumulativeProbability((1 + level) / 2)
                * of.getStandardDeviation()
                * Math.sqrt(1 + 1.0 / of.getN());
        return new Forecast(of.getMean() - half, of.getMean(), of.getMean() + half);
    }

    /** Plays both on the same seeds until enough is known, one fails, or the budget is spent. */
    public Comparison compare(Choice a, Choice b) throws UnusableInputException, InterruptedException {
        Comparison comparison = new Comparison(options.level(), options.halfWidth(), options.first(), options.budget());
        for (int more = comparison.more(), next = 1; more > 0; more = comparison.more()) {
            List<Runner.Job> jobs = new ArrayList<>();
            for (int i = 0; i < more; i++) {
                jobs.add(new Runner.Job(a, a.on(day), replay, options.seed() + next + i));
                jobs.add(new Runner.Job(
                        b, b.on(day), replay, options.seed() + next + i + (options.independent() ? APART : 0)));
            }
            List<Runner.Done> done = runner.play(jobs);
            for (int i = 0; i < more; i++) {
                Runner.Done ofA = done.get(2 * i), ofB = done.get(2 * i + 1);
                if (ofA.failure() == null && ofB.failure() == null) {
                    comparison.add(options.seed() + next + i, ofA.figures(), ofB.figures());
                    continue;
                }
                if (ofA.failure() != null) {
                    comparison.failed(true, options.seed() + next + i, ofA.failure());
                }
                if (ofB.failure() != null) {
                    comparison.failed(false, options.seed() + next + i, ofB.failure());
                }
                return comparison;
            }
            next += more;
        }
        return comparison;
    }

    /**
     * A choice against itself, each side with seeds of its own, so many times: how many say that it differs.
     */
    public int countDifferences(Choice choice, int comparisons) throws UnusableInputException, InterruptedException {
        int differs = 0;
        for (int i = 0; i < comparisons; i++) {
            Options apart = new Options(
                    options.level(),
                    options.halfWidth(),
                    options.first(),
                    options.budget(),
                    options.seed() + i * (long) (options.budget() + 1),
                    true);
            differs += new Study(runner, day, replay, apart)
                                    .compare(choice, choice)
                                    .verdict()
                            == Comparison.Verdict.CANNOT_TELL
                    ? 0
                    : 1;
        }
        return differs;
    }

    /** One key over values, each against the choice as it stands; the level is corrected for their number. */
    public List<Comparison> sweep(Choice of, String key, List<String> values) throws UnusableInputException, InterruptedException {
        Options each = new Options(
                1 - (1 - options.level()) / Math.max(1, values.size()),
                options.halfWidth(),
                options.first(),
                options.budget(),
                options.seed(),
                options.independent());
        List<Comparison> all = new ArrayList<>();
        for (String value : values) {
            all.add(new Study(runner, day, replay, each).compare(of, of.with(key, value)));
        }
        return all;
    }
}
