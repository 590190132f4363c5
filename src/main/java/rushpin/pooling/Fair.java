package rushpin.pooling;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** Whole numbers divided fairly. */
final class Fair {
    private Fair() {}

    /**
     * Weighted max-min: nobody gets more than is wanted or its cap; floors go first; of the rest nobody gets more by its
     * weight than another one that wants more. Off the exact one by less than one connection each.
     *
     * @param wanted of each tenant
     */
    static int[] divide(int most, List<Rules.Tenant> tenants, int[] wanted) {
        int many = wanted.length;
        double[] low = new double[many], high = new double[many], weights = new double[many];
        double lows = 0;
        for (int t = 0; t < many; t++) {
            high[t] = Math.min(wanted[t], tenants.get(t).cap());
            low[t] = Math.min(high[t], tenants.get(t).floor());
            weights[t] = tenants.get(t).weight();
            lows += low[t];
        }
        // Floors that can't all be given: by weight, each up to its floor.
        return lows > most ? divide(most, weights, new double[many], low) : divide(most, weights, low, high);
    }

    private static int[] divide(int most, double[] weights, double[] low, double[] high) {
        int many = low.length;
        double all = Math.min(most, Arrays.stream(high).sum());
        double[] exact = new double[many];
        // Along the levels at which somebody begins to grow or has enough, the sum grows in straight lines.
        double[] levels = new double[2 * many];
        for (int t = 0; t < many; t++) {
            levels[2 * t] = low[t] / weights[t];
            levels[2 * t + 1] = high[t] / weights[t];
        }
        Arrays.sort(levels);
        int first = 0, last = Math.max(0, levels.length - 1);
        while (first < last) {
            int middle = (first + last) / 2;
            if (at(levels[middle], weights, low, high, exact) >= all) {
                last = middle;
            } else {
                first = middle + 1;
            }
        }
        if (many > 0) {
            double from = first == 0 ? 0 : levels[first - 1], to = levels[first];
            double sum = at(from, weights, low, high, exact), next = at(to, weights, low, high, exact);
            at(next > sum ? from + (to - from) * (all - sum) / (next - sum) : to, weights, low, high, exact);
        }
        return whole((int) all, exact, high);
    }

    private static double at(double level, double[] weights, double[] low, double[] high, double[] to) {
        double sum = 0;
        for (int t = 0; t < to.length; t++) {
            to[t] = Math.min(high[t], Math.max(low[t], level * weights[t]));
            sum += to[t];
        }
        return sum;
    }

    /** A part over places by max-min: what is wanted, but nowhere more than another place that wants more. */
    static int[] spread(int part, int[] wanted) {
        double[] high = Arrays.stream(wanted).asDoubleStream().toArray(), even = new double[wanted.length];
        Arrays.fill(even, 1);
        return divide(part, even, new double[wanted.length], high);
    }

    /** Whole numbers of a sum, by the largest remainder; the first of equal ones. */
    private static int[] whole(int sum, double[] exact, double[] high) {
        int[] to = new int[exact.length];
        int left = sum;
        for (int i = 0; i < to.length; i++) {
            // What is a hair below a whole number by rounding is that number.
            to[i] = (int) Math.floor(exact[i] + 1e-9);
            left -= to[i];
        }
        if (left > 0) {
            int[] order = IntStream.range(0, to.length)
                    .boxed()
                    .sorted(Comparator.comparingDouble((Integer i) -> to[i] - exact[i])
                            .thenComparing(i -> i))
                    .mapToInt(i -> i)
                    .toArray();
            for (int i : order) {
                if (left > 0 && to[i] < high[i]) {
                    to[i]++;
                    left--;
                }
            }
        }
        return to;
    }

    /** Down to which level all that is above it has to go so that at least so much is off, less than one off each. */
    static int level(int[] heights, int off) {
        int low = 0, high = Arrays.stream(heights).max().orElse(0);
        while (low < high) {
            int middle = (low + high + 1) / 2;
            long above = Arrays.stream(heights)
                    .mapToLong(each -> Math.max(0, each - middle))
                    .sum();
            if (above >= off) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low + 1;
    }
}
