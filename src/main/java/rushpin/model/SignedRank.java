package rushpin.model;

import java.util.Arrays;
import org.apache.commons.math3.distribution.NormalDistribution;

/**
 * Wilcoxon's signed-rank test of 'paired differences lie evenly about 0', and the interval for their middle that inverts it
 * (Hollander, Wolfe, Chicken: Nonparametric Statistical Methods, 3.1 to 3.3). The distribution is exact up to {@link #EXACT}
 * differences. Zeros count for both sides, which errs towards 'no difference'.
 *
 * @param low the interval's ends; infinite where so few differences allow no interval at this level
 * @param middle the median of all means of two differences
 * @param p the chance of a result like this or further out where there is no difference
 */
public record SignedRank(double low, double high, double middle, double p) {
    /** So many differences have an exact distribution. */
    public static final int EXACT = 60;

    /** For one difference or more; {@code level} is the interval's, between 0 and 1. */
    public static SignedRank of(double[] differences, double level) {
        int n = differences.length;
        double[] means = new double[n * (n + 1) / 2];
        int at = 0, below = 0, above = 0;
        for (int i = 0; i < n; i++) {
            for (int j = i; j < n; j++) {
                double mean = (differences[i] + differences[j]) / 2;
                means[at++] = mean;
                below += mean <= 0 ? 1 : 0;
                above += mean >= 0 ? 1 : 0;
            }
        }
        Arrays.sort(means);
        double half = (1 - level) / 2;
        double[] atMost = atMost(n);
        int outside = -1;
        while (outside + 1 < means.length && atMost[outside + 1] <= half) {
            outside++;
        }
        double middle = (means[(means.length - 1) / 2] + means[means.length / 2]) / 2;
        double p = Math.min(1, 2 * atMost[Math.min(below, above)]);
        return outside < 0 || outside > means.length - 1 - outside
                ? new SignedRank(Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, middle, p)
                : new SignedRank(means[outside], means[means.length - 1 - outside], middle, p);
    }

    /** Whether 0 lies outside the interval. */
    public boolean differs() {
        return low > 0 || high < 0;
    }

    /** For each sum from 0 on the chance that the ranks of one sign sum to so much or less. */
    private static double[] atMost(int n) {
        double[] ways = new double[n * (n + 1) / 2 + 1];
        if (n > EXACT) {
            double mean = n * (n + 1) / 4.0, sd = Math.sqrt(n * (n + 1) * (2 * n + 1) / 24.0);
            NormalDistribution normal = new NormalDistribution(null, mean, sd);
            for (int s = 0; s < ways.length; s++) {
                ways[s] = normal.cumulativeProbability(s + 0.5);
            }
            return ways;
        }
        ways[0] = 1;
        for (int rank = 1; rank <= n; rank++) {
            for (int s = ways.length - 1; s >= rank; s--) {
                ways[s] += ways[s - rank];
            }
        }
        double some = 0, all = Math.pow(2, n);
        for (int s = 0; s < ways.length; s++) {
            some += ways[s];
            ways[s] = some / all;
        }
        return ways;
    }
}
