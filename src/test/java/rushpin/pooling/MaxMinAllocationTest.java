package rushpin.pooling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.commons.math3.optim.linear.LinearConstraint;
import org.apache.commons.math3.optim.linear.LinearConstraintSet;
import org.apache.commons.math3.optim.linear.LinearObjectiveFunction;
import org.apache.commons.math3.optim.linear.NonNegativeConstraint;
import org.apache.commons.math3.optim.linear.Relationship;
import org.apache.commons.math3.optim.linear.SimplexSolver;
import org.apache.commons.math3.optim.nonlinear.scalar.GoalType;
import org.junit.jupiter.api.Test;

/** Compares the allocation among tenants with the exact weighted max-min, computed by the simplex method. */
class MaxMinAllocationTest {
    private static final double TOLERANCE = 1e-6;

    /**
     * Computes the exact allocation: repeatedly maximizes the lowest level and fixes the tenants that can't be raised.
     */
    private static double[] exact(int capacity, List<Rules.Tenant> tenants, int[] wanted) {
        int count = wanted.length;
        double[] fixed = new double[count];
        Arrays.fill(fixed, -1);
        while (Arrays.stream(fixed).anyMatch(each -> each < 0)) {
            double[] level = new double[count + 1];
            level[count] = 1;
            double minLevel = maximize(capacity, tenants, wanted, fixed, 0, level);
            for (int t = 0; t < count; t++) {
                double[] one = new double[count + 1];
                one[t] = 1;
                if (fixed[t] < 0) {
                    double alone = maximize(capacity, tenants, wanted, fixed, minLevel, one);
                    double lowest = Math.max(
                            lowerBound(tenants, wanted, t),
                            minLevel * tenants.get(t).weight());
                    if (alone <= lowest + TOLERANCE) {
                        fixed[t] = alone;
                    }
                }
            }
        }
        return fixed;
    }

    private static double lowerBound(List<Rules.Tenant> tenants, int[] wanted, int t) {
        return Math.min(tenants.get(t).floor(), wanted[t]);
    }

    private static double maximize(
            int capacity,
            List<Rules.Tenant> tenants,
            int[] wanted,
            double[] fixed,
            double minLevel,
            double[] objective) {
        int count = wanted.length;
        List<LinearConstraint> rows = new ArrayList<>();
        double[] all = new double[count + 1];
        Arrays.fill(all, 0, count, 1);
        rows.add(new LinearConstraint(all, Relationship.LEQ, capacity));
        double[] level = new double[count + 1];
        level[count] = 1;
        rows.add(new LinearConstraint(level, Relationship.GEQ, minLevel - TOLERANCE / 100));
        for (int t = 0; t < count; t++) {
            double[] one = new double[count + 1];
            one[t] = 1;
            if (fixed[t] >= 0) {
                rows.add(new LinearConstraint(one, Relationship.EQ, fixed[t]));
                continue;
            }
            rows.add(new LinearConstraint(
                    one, Relationship.LEQ, Math.min(wanted[t], tenants.get(t).cap())));
            rows.add(new LinearConstraint(one, Relationship.GEQ, lowerBound(tenants, wanted, t)));
            double[] levelRow = one.clone();
            levelRow[count] = -tenants.get(t).weight();
            rows.add(new LinearConstraint(levelRow, Relationship.GEQ, 0));
        }
        return new SimplexSolver(1e-9, 20, 1e-12)
                .optimize(
                        new LinearObjectiveFunction(objective, 0),
                        new LinearConstraintSet(rows),
                        GoalType.MAXIMIZE,
                        new NonNegativeConstraint(true))
                .getValue();
    }

    /** The exact allocation bounds each tenant itself, as the common level may rise above what a fixed tenant wants. */
    @Test
    void eachTenantDiffersFromTheExactAllocationByLessThanOneConnection() {
        double worst = 0;
        for (int seed = 0; seed < 150; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int count = 1 + random.nextInt(6);
            int capacity = random.nextInt(120);
            List<Rules.Tenant> tenants = new ArrayList<>();
            int[] wanted = new int[count];
            int floors = 0;
            for (int t = 0; t < count; t++) {
                int floor = random.nextInt(3) == 0 ? random.nextInt(1 + Math.max(0, capacity - floors) / 2) : 0;
                floors += floor;
                tenants.add(new Rules.Tenant("t" + t, floor, 1 + random.nextInt(5), floor + random.nextInt(100)));
                wanted[t] = random.nextInt(80);
            }
            int[] got = MaxMinAllocation.allocate(capacity, tenants, wanted);
            String context = "seed " + seed + ": " + capacity + " " + tenants + " " + Arrays.toString(wanted) + " -> "
                    + Arrays.toString(got);
            double[] exact = exact(capacity, tenants, wanted);
            double sum = 0;
            for (int t = 0; t < count; t++) {
                sum += exact[t];
                worst = Math.max(worst, Math.abs(exact[t] - got[t]));
                assertTrue(Math.abs(exact[t] - got[t]) < 1, context + ", exact " + Arrays.toString(exact));
                assertTrue(got[t] <= Math.min(wanted[t], tenants.get(t).cap()), context);
                assertTrue(got[t] >= lowerBound(tenants, wanted, t), context);
            }
            assertEquals(sum, Arrays.stream(got).sum(), 1e-3, context);
        }
        System.out.printf("max-min: at most %.3f of a connection off the exact allocation%n", worst);
    }
}
