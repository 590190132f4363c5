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

/** The division over tenants against the exact weighted max-min, worked out by the simplex method. */
class FairTest {
    private static final double NEAR = 1e-6;

    /** Raises the least level of all that are not fixed yet, then fixes those that can't be raised; and so on. */
    private static double[] exact(int most, List<Rules.Tenant> tenants, int[] wanted) {
        int many = wanted.length;
        double[] fixed = new double[many];
        Arrays.fill(fixed, -1);
        while (Arrays.stream(fixed).anyMatch(each -> each < 0)) {
            double[] level = new double[many + 1];
            level[many] = 1;
            double least = best(most, tenants, wanted, fixed, 0, level);
            for (int t = 0; t < many; t++) {
                double[] one = new double[many + 1];
                one[t] = 1;
                if (fixed[t] < 0) {
                    double alone = best(most, tenants, wanted, fixed, least, one);
                    double at = Math.max(
                            low(tenants, wanted, t), least * tenants.get(t).weight());
                    if (alone <= at + NEAR) {
                        fixed[t] = alone;
                    }
                }
            }
        }
        return fixed;
    }

    private static double low(List<Rules.Tenant> tenants, int[] wanted, int t) {
        return Math.min(tenants.get(t).floor(), wanted[t]);
    }

    private static double best(
            int most, List<Rules.Tenant> tenants, int[] wanted, double[] fixed, double least, double[] what) {
        int many = wanted.length;
        List<LinearConstraint> rows = new ArrayList<>();
        double[] all = new double[many + 1];
        Arrays.fill(all, 0, many, 1);
        rows.add(new LinearConstraint(all, Relationship.LEQ, most));
        double[] level = new double[many + 1];
        level[many] = 1;
        rows.add(new LinearConstraint(level, Relationship.GEQ, least - NEAR / 100));
        for (int t = 0; t < many; t++) {
            double[] one = new double[many + 1];
            one[t] = 1;
            if (fixed[t] >= 0) {
                rows.add(new LinearConstraint(one, Relationship.EQ, fixed[t]));
                continue;
            }
            rows.add(new LinearConstraint(
                    one, Relationship.LEQ, Math.min(wanted[t], tenants.get(t).cap())));
            rows.add(new LinearConstraint(one, Relationship.GEQ, low(tenants, wanted, t)));
            double[] by = one.clone();
            by[many] = -tenants.get(t).weight();
            rows.add(new LinearConstraint(by, Relationship.GEQ, 0));
        }
        return new SimplexSolver(1e-9, 20, 1e-12)
                .optimize(
                        new LinearObjectiveFunction(what, 0),
                        new LinearConstraintSet(rows),
                        GoalType.MAXIMIZE,
                        new NonNegativeConstraint(true))
                .getValue();
    }

    /** A level can be raised above all that a tenant wants only where that one is fixed: so each goes by its own bound. */
    @Test
    void offTheExactDivisionByLessThanOneConnectionEach() {
        double worst = 0;
        for (int seed = 0; seed < 150; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            int many = 1 + chance.nextInt(6), most = chance.nextInt(120);
            List<Rules.Tenant> tenants = new ArrayList<>();
            int[] wanted = new int[many];
            int floors = 0;
            for (int t = 0; t < many; t++) {
                int floor = chance.nextInt(3) == 0 ? chance.nextInt(1 + Math.max(0, most - floors) / 2) : 0;
                floors += floor;
                tenants.add(new Rules.Tenant("t" + t, floor, 1 + chance.nextInt(5), floor + chance.nextInt(100)));
                wanted[t] = chance.nextInt(80);
            }
            int[] got = Fair.divide(most, tenants, wanted);
            String what = "seed " + seed + ": " + most + " " + tenants + " " + Arrays.toString(wanted) + " -> "
                    + Arrays.toString(got);
            double[] exact = exact(most, tenants, wanted);
            double sum = 0;
            for (int t = 0; t < many; t++) {
                sum += exact[t];
                worst = Math.max(worst, Math.abs(exact[t] - got[t]));
                assertTrue(Math.abs(exact[t] - got[t]) < 1, what + ", exact " + Arrays.toString(exact));
                assertTrue(got[t] <= Math.min(wanted[t], tenants.get(t).cap()), what);
                assertTrue(got[t] >= low(tenants, wanted, t), what);
            }
            assertEquals(sum, Arrays.stream(got).sum(), 1e-3, what);
        }
        System.out.printf("fair: at most %.3f of a connection off the exact division%n", worst);
    }
}
