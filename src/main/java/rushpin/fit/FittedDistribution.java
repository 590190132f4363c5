package rushpin.fit;

import java.util.Arrays;
import java.util.Locale;
import org.apache.commons.math3.analysis.solvers.BrentSolver;
import org.apache.commons.math3.distribution.RealDistribution;
import org.apache.commons.math3.exception.MathIllegalArgumentException;
import org.apache.commons.math3.exception.MathIllegalStateException;
import org.apache.commons.math3.special.Gamma;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import org.apache.commons.math3.stat.inference.KolmogorovSmirnovTest;
import rushpin.model.Work;

/**
 * A distribution fitted to a sample. Each family is fitted to one half of the sample; the one with the smallest
 * Kolmogorov-Smirnov distance is tested against the other half. If it is rejected, the sample's own quantiles are used.
 *
 * @param work the distribution as text in the form of {@link Work}
 * @param name the nearest family
 * @param p p-value of the other half under that family
 * @param kept whether the family was accepted
 * @param samples the number of values in the sample
 */
public record FittedDistribution(String work, String name, double p, boolean kept, int samples) {
    /** Minimum number of values; fewer are too few to choose a family. */
    public static final int MIN_SAMPLES = 40;

    /** A family with a lower p-value is rejected. */
    private static final double MIN_P = 0.01;
    /** Maximum number of values tested; with more, irrelevant differences would reject every family. */
    private static final int MAX_TESTED = 400;

    /** Number of steps between the quantiles. */
    private static final int QUANTILE_STEPS = 100;

    /**
     * Fits a distribution.
     *
     * @param sample at least {@link #MIN_SAMPLES} values of 0 or more; their order decides which half each belongs to
     */
    public static FittedDistribution of(double[] sample) {
        double[] fitted = half(sample, 0);
        double[] tested = half(sample, 1);
        KolmogorovSmirnovTest test = new KolmogorovSmirnovTest();
        DescriptiveStatistics whole = new DescriptiveStatistics(sample);
        String best = null;
        double[] bestParameters = null;
        double minDistance = Double.MAX_VALUE;
        for (String name : Work.FAMILIES) {
            double[] parameters = estimate(name, fitted);
            RealDistribution distribution = parameters == null ? null : distribution(name, parameters);
            // Queueing depends on the mean above all, so a family that misses it by more than chance is excluded.
            boolean hasMean = distribution != null
                    && Math.abs(distribution.getNumericalMean() - whole.getMean())
                            <= 2 * whole.getStandardDeviation() / Math.sqrt(whole.getN());
            double distance = !hasMean ? Double.MAX_VALUE : test.kolmogorovSmirnovStatistic(distribution, fitted);
            if (distance < minDistance) {
                minDistance = distance;
                best = name;
                bestParameters = parameters;
            }
        }
        double p = best == null ? 0 : test.kolmogorovSmirnovTest(distribution(best, bestParameters), tested, false);
        if (p >= MIN_P) {
            StringBuilder text = new StringBuilder(best);
            Arrays.stream(bestParameters).forEach(x -> text.append(String.format(Locale.ROOT, " %.6g", x)));
            return new FittedDistribution(text.toString(), best, p, true, sample.length);
        }
        StringBuilder text = new StringBuilder("quantiles");
        for (int i = 0; i <= QUANTILE_STEPS; i++) {
            text.append(String.format(
                    Locale.ROOT, " %.6g", i == 0 ? whole.getMin() : whole.getPercentile(100.0 * i / QUANTILE_STEPS)));
        }
        return new FittedDistribution(text.toString(), best == null ? "no family" : best, p, false, sample.length);
    }

    /** Returns every second value, thinned to about {@link #MAX_TESTED}; {@code from}, 0 or 1, selects the half. */
    private static double[] half(double[] sample, int from) {
        int step = 2 * Math.max(1, sample.length / 2 / MAX_TESTED);
        double[] half = new double[(sample.length - from * step / 2 + step - 1) / step];
        for (int i = 0; i < half.length; i++) {
            half[i] = sample[from * step / 2 + i * step];
        }
        return half;
    }

    private static RealDistribution distribution(String name, double[] parameters) {
        try {
            return Work.family(name, parameters);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /**
     * Estimates a family's parameters by the method of moments, except for uniform (from the extremes) and lognormal
     * (from the logarithms); null if the sample allows no estimate.
     */
    private static double[] estimate(String name, double[] sample) {
        DescriptiveStatistics statistics = new DescriptiveStatistics(sample);
        double mean = statistics.getMean();
        double sd = statistics.getStandardDeviation();
        if (!(sd > 0) || !(statistics.getMin() > 0)) {
            return null;
        }
        switch (name) {
            case "exponential":
                return new double[] {mean};
            case "uniform":
                // On average a sample's extremes lie 1 / (n + 1) of the distribution's width inside its bounds.
                // That is 1 / (n - 1) of the sample's range.
                double margin = (statistics.getMax() - statistics.getMin()) / (sample.length - 1);
                return new double[] {Math.max(0, statistics.getMin() - margin), statistics.getMax() + margin};
            case "normal":
                return new double[] {mean, sd};
            case "lognormal":
                DescriptiveStatistics logs = new DescriptiveStatistics(
                        Arrays.stream(sample).map(Math::log).toArray());
                return new double[] {logs.getMean(), logs.getStandardDeviation()};
            case "gamma":
                return new double[] {mean * mean / (sd * sd), sd * sd / mean};
            default:
                try {
                    double squaredVariation = sd * sd / (mean * mean);
                    double shape = new BrentSolver(1e-6)
                            .solve(
                                    200,
                                    k -> Math.exp(Gamma.logGamma(1 + 2 / k) - 2 * Gamma.logGamma(1 + 1 / k))
                                            - 1
                                            - squaredVariation,
                                    0.2,
                                    200);
                    return new double[] {shape, mean / Math.exp(Gamma.logGamma(1 + 1 / shape))};
                } catch (MathIllegalArgumentException | MathIllegalStateException e) {
                    return null;
                }
        }
    }
}
