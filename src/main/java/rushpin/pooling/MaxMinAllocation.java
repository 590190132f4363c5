package rushpin.pooling;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** Weighted max-min allocation in whole numbers. */
final class MaxMinAllocation {
    private MaxMinAllocation() {}

    /**
     * Allocates by weighted max-min: no tenant gets more than it wants or than its cap; floors are met first; of the
     * rest no tenant gets more, relative to its weight, than another that wants more. Each result differs from the
     * exact allocation by less than one connection.
     *
     * @param capacity connections to allocate
     * @param tenants floors, weights and caps
     * @param wanted connections that each tenant wants, in the same order
     */
    static int[] allocate(int capacity, List<Rules.Tenant> tenants, int[] wanted) {
        int count = wanted.length;
        double[] low = new double[count];
        double[] high = new double[count];
        double[] weights = new double[count];
        double lowSum = 0;
        for (int t = 0; t < count; t++) {
            high[t] = Math.min(wanted[t], tenants.get(t).cap());
            low[t] = Math.min(high[t], tenants.get(t).floor());
            weights[t] = tenants.get(t).weight();
            lowSum += low[t];
        }
        // If the floors exceed the capacity, they are met by weight, each up to its floor.
        return lowSum > capacity
                ? allocate(capacity, weights, new double[count], low)
                : allocate(capacity, weights, low, high);
    }

    /** Allocates between the bounds of each tenant, by the level at which the sum reaches the capacity. */
    private static int[] allocate(int capacity, double[] weights, double[] low, double[] high) {
        int count = low.length;
        double total = Math.min(capacity, Arrays.stream(high).sum());
        double[] exact = new double[count];
        // Between the levels at which a tenant reaches a bound, the sum grows linearly: a search finds the segment.
        double[] levels = new double[2 * count];
        for (int t = 0; t < count; t++) {
            levels[2 * t] = low[t] / weights[t];
            levels[2 * t + 1] = high[t] / weights[t];
        }
        Arrays.sort(levels);
        int first = 0;
        int last = Math.max(0, levels.length - 1);
        while (first < last) {
            int middle = (first + last) / 2;
            if (sumAtLevel(levels[middle], weights, low, high, exact) >= total) {
                last = middle;
            } else {
                first = middle + 1;
            }
        }
        if (count > 0) {
            double lower = first == 0 ? 0 : levels[first - 1];
            double upper = levels[first];
            double lowerSum = sumAtLevel(lower, weights, low, high, exact);
            double upperSum = sumAtLevel(upper, weights, low, high, exact);
            sumAtLevel(
                    upperSum > lowerSum ? lower + (upper - lower) * (total - lowerSum) / (upperSum - lowerSum) : upper,
                    weights,
                    low,
                    high,
                    exact);
        }
        return roundToWhole((int) total, exact, high);
    }

    /** Writes the allocation at a level per unit of weight to {@code result} and returns its sum. */
    private static double sumAtLevel(double level, double[] weights, double[] low, double[] high, double[] result) {
        double sum = 0;
        for (int t = 0; t < result.length; t++) {
            result[t] = Math.min(high[t], Math.max(low[t], level * weights[t]));
            sum += result[t];
        }
        return sum;
    }

    /** Spreads {@code part} by unweighted max-min, up to what each place wants. */
    static int[] spread(int part, int[] wanted) {
        double[] high = Arrays.stream(wanted).asDoubleStream().toArray();
        double[] even = new double[wanted.length];
        Arrays.fill(even, 1);
        return allocate(part, even, new double[wanted.length], high);
    }

    /**
     * Rounds to whole numbers with the given sum by the largest remainder; the first of equal remainders goes first.
     */
    private static int[] roundToWhole(int sum, double[] exact, double[] high) {
        int[] result = new int[exact.length];
        int remaining = sum;
        for (int i = 0; i < result.length; i++) {
            // The margin absorbs floating-point errors just below a whole number.
            result[i] = (int) Math.floor(exact[i] + 1e-9);
            remaining -= result[i];
        }
        if (remaining > 0) {
            int[] order = IntStream.range(0, result.length)
                    .boxed()
                    .sorted(Comparator.comparingDouble((Integer i) -> result[i] - exact[i])
                            .thenComparing(i -> i))
                    .mapToInt(i -> i)
                    .toArray();
            for (int i : order) {
                if (remaining > 0 && result[i] < high[i]) {
                    result[i]++;
                    remaining--;
                }
            }
        }
        return result;
    }

    /**
     * Returns the lowest level, at least 1, such that cutting all heights above it to it takes off less than
     * {@code reduction}. One more unit off each height that reaches the level is enough, if the sum of the heights is.
     */
    static int reductionLevel(int[] heights, int reduction) {
        int low = 0;
        int high = Arrays.stream(heights).max().orElse(0);
        while (low < high) {
            int middle = (low + high + 1) / 2;
            long above = Arrays.stream(heights)
                    .mapToLong(each -> Math.max(0, each - middle))
                    .sum();
            if (above >= reduction) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low + 1;
    }
}
