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
 * A law for a sample: the family that is nearest by Kolmogorov and Smirnov on one half, held against the other half. Where none is
 * let pass, the sample's own quantiles.
 *
 * @param work the law in the model's words
 * @param name the nearest family
 * @param p how likely the other half is under it
 * @param kept whether that family was let pass
 */
public record FittedDistribution(String work, String name, double p, boolean kept, int samples) {
    /** So many figures are too few to choose by. */
    public static final int MIN_SAMPLES = 40;

    private static final double TURNED_DOWN = 0.01;
    /** With more, a difference of no consequence turns down every family. */
    private static final int MOST_TESTED = 400;

    private static final int STEPS = 100;

    /** For {@link #MIN_SAMPLES} figures above 0 or more, in any order; the order decides the halves. */
    public static FittedDistribution of(double[] sample) {
        double[] fitted = half(sample, 0), tested = half(sample, 1);
        KolmogorovSmirnovTest test = new KolmogorovSmirnovTest();
        DescriptiveStatistics whole = new DescriptiveStatistics(sample);
        String best = null;
        double[] figures = null;
        double least = Double.MAX_VALUE;
        for (String name : Work.FAMILIES) {
            double[] f = figures(name, fitted);
            RealDistribution law = f == null ? null : law(name, f);
            // A queue hangs on the mean before all else: who misses it by more than chance is no law of this sample.
            boolean near = law != null
                    && Math.abs(law.getNumericalMean() - whole.getMean())
                            <= 2 * whole.getStandardDeviation() / Math.sqrt(whole.getN());
            double distance = !near ? Double.MAX_VALUE : test.kolmogorovSmirnovStatistic(law, fitted);
            if (distance < least) {
                least = distance;
                best = name;
                figures = f;
            }
        }
        double p = best == null ? 0 : test.kolmogorovSmirnovTest(law(best, figures), tested, false);
        if (p >= TURNED_DOWN) {
            StringBuilder text = new StringBuilder(best);
            Arrays.stream(figures).forEach(f -> text.append(String.format(Locale.ROOT, " %.6g", f)));
            return new FittedDistribution(text.toString(), best, p, true, sample.length);
        }
        StringBuilder text = new StringBuilder("quantiles");
        for (int i = 0; i <= STEPS; i++) {
            text.append(String.format(
                    Locale.ROOT, " %.6g", i == 0 ? whole.getMin() : whole.getPercentile(100.0 * i / STEPS)));
        }
        return new FittedDistribution(text.toString(), best == null ? "no family" : best, p, false, sample.length);
    }

    /** Every second figure, of no more than are tested. */
    private static double[] half(double[] sample, int from) {
        int step = 2 * Math.max(1, sample.length / 2 / MOST_TESTED);
        double[] half = new double[(sample.length - from * step / 2 + step - 1) / step];
        for (int i = 0; i < half.length; i++) {
            half[i] = sample[from * step / 2 + i * step];
        }
        return half;
    }

    private static RealDistribution law(String name, double[] figures) {
        try {
            return Work.family(name, figures);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** By moments, but for the uniform's ends and the logarithm's; null where the sample allows none. */
    private static double[] figures(String name, double[] of) {
        DescriptiveStatistics s = new DescriptiveStatistics(of);
        double mean = s.getMean(), sd = s.getStandardDeviation();
        if (!(sd > 0) || !(s.getMin() > 0)) {
            return null;
        }
        switch (name) {
            case "exponential":
                return new double[] {mean};
            case "uniform":
                // The ends of a sample lie inside those of its law, by a part of its width in n + 1.
                double beyond = (s.getMax() - s.getMin()) / (of.length - 1);
                return new double[] {Math.max(0, s.getMin() - beyond), s.getMax() + beyond};
            case "normal":
                return new double[] {mean, sd};
            case "lognormal":
                DescriptiveStatistics logs = new DescriptiveStatistics(
                        Arrays.stream(of).map(Math::log).toArray());
                return new double[] {logs.getMean(), logs.getStandardDeviation()};
            case "gamma":
                return new double[] {mean * mean / (sd * sd), sd * sd / mean};
            default:
                try {
                    double cv = sd * sd / (mean * mean);
                    double shape = new BrentSolver(1e-6)
                            .solve(
                                    200,
                                    k -> Math.exp(Gamma.logGamma(1 + 2 / k) - 2 * Gamma.logGamma(1 + 1 / k)) - 1 - cv,
                                    0.2,
                                    200);
                    return new double[] {shape, mean / Math.exp(Gamma.logGamma(1 + 1 / shape))};
                } catch (MathIllegalArgumentException | MathIllegalStateException e) {
                    return null;
                }
        }
    }
}
