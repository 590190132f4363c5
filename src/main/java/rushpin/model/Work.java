package rushpin.model;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.GammaDistribution;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.distribution.NormalDistribution;
import org.apache.commons.math3.distribution.RealDistribution;
import org.apache.commons.math3.distribution.UniformRealDistribution;
import org.apache.commons.math3.distribution.WeibullDistribution;

/**
 * How long a server works on a request, in milliseconds, from a text: {@code fixed M}, {@code uniform LEAST MOST},
 * {@code exponential MEAN}, {@code normal MEAN SD}, {@code lognormal MU SIGMA} (of the logarithm), {@code gamma SHAPE SCALE}, {@code weibull
 * SHAPE SCALE}, or {@code quantiles Q0 Q1 ...} at even steps from 0 to 1.
 */
public final class Work {
    /** The families, as a text begins. */
    public static final List<String> FAMILIES =
            List.of("exponential", "uniform", "normal", "lognormal", "gamma", "weibull");
    /** Quantiles beyond these are not asked for: some families have no end. */
    private static final double LEAST = 1e-9;

    private final String text;
    private final RealDistribution family;
    private final double[] steps;

    private Work(String text, RealDistribution family, double[] steps) {
        this.text = text;
        this.family = family;
        this.steps = steps;
    }

    /** Reads the text; an {@link IllegalArgumentException} says what is wrong with it. */
    public static Work of(String text) {
        String[] parts = text.trim().split("\\s+");
        double[] figures = new double[parts.length - 1];
        for (int i = 0; i < figures.length; i++) {
            try {
                figures[i] = Double.parseDouble(parts[i + 1]);
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException("\"" + parts[i + 1] + "\" is no number");
            }
        }
        int wanted = switch (parts[0]) {
            case "fixed", "exponential" -> 1;
            case "uniform", "normal", "lognormal", "gamma", "weibull" -> 2;
            case "quantiles" -> Math.max(2, figures.length);
            default ->
                throw new IllegalArgumentException(
                        "\"" + parts[0] + "\" is no family of distributions; allowed: fixed, " + "quantiles, "
                                + String.join(", ", FAMILIES));
        };
        if (figures.length != wanted) {
            throw new IllegalArgumentException(parts[0] + " wants " + wanted + " figures");
        }
        for (int i = 0; i < figures.length; i++) {
            boolean free = parts[0].equals("lognormal") && i == 0;
            if (!Double.isFinite(figures[i]) || !free && figures[i] < 0) {
                throw new IllegalArgumentException(parts[0] + ": " + figures[i] + " is not a figure from 0");
            }
            if (parts[0].equals("quantiles") && i > 0 && figures[i] < figures[i - 1]) {
                throw new IllegalArgumentException("quantiles fall from " + figures[i - 1] + " to " + figures[i]);
            }
        }
        return switch (parts[0]) {
            case "fixed" -> new Work(text, null, new double[] {figures[0], figures[0]});
            case "quantiles" -> new Work(text, null, figures);
            default -> new Work(text, family(parts[0], figures), null);
        };
    }

    /** A family with its figures, in the order of its text. */
    public static RealDistribution family(String name, double... f) {
        try {
            return switch (name) {
                case "exponential" -> new ExponentialDistribution(null, f[0]);
                case "uniform" -> new UniformRealDistribution(null, f[0], f[1]);
                case "normal" -> new NormalDistribution(null, f[0], f[1]);
                case "lognormal" -> new LogNormalDistribution(null, f[0], f[1]);
                case "gamma" -> new GammaDistribution(null, f[0], f[1]);
                case "weibull" -> new WeibullDistribution(null, f[0], f[1]);
                default -> throw new IllegalArgumentException(name);
            };
        } catch (org.apache.commons.math3.exception.MathIllegalArgumentException e) {
            throw new IllegalArgumentException(name + ": " + e.getMessage().toLowerCase(Locale.ROOT));
        }
    }

    /** Nanoseconds at a quantile from 0 to 1. */
    long nanos(double at) {
        double ms;
        if (steps != null) {
            double place = at * (steps.length - 1);
            int low = Math.min(steps.length - 2, (int) place);
            ms = steps[low] + (place - low) * (steps[low + 1] - steps[low]);
        } else {
            ms = family.inverseCumulativeProbability(Math.min(1 - LEAST, Math.max(LEAST, at)));
        }
        return (long) (Math.max(0, ms) * 1e6);
    }

    /** The mean, milliseconds. */
    public double mean() {
        if (family != null) {
            return family.getNumericalMean();
        }
        double sum = Arrays.stream(steps).sum() - (steps[0] + steps[steps.length - 1]) / 2;
        return sum / (steps.length - 1);
    }

    @Override
    public String toString() {
        return text;
    }
}
