package rushpin.gateway;

import org.ejml.simple.SimpleMatrix;

/** Recursive least squares with forgetting: y = theta phi, all outputs sharing one covariance. */
final class RecursiveLeastSquares {
    /** The estimator's memory of some 50 intervals. */
    private static final double FORGET = 0.98;
    /** The bound on the covariance's trace in a quiet spell, for each input. */
    private static final double TRACE = 100;

    private final SimpleMatrix theta;
    private SimpleMatrix covariance;
    private int updates;

    RecursiveLeastSquares(int outputs, int inputs) {
        theta = new SimpleMatrix(outputs, inputs);
        covariance = SimpleMatrix.identity(inputs).scale(TRACE / 10);
    }

    /** Folds one observation in; outputs that are no number keep their parameters. */
    void update(SimpleMatrix phi, double... y) {
        SimpleMatrix pPhi = covariance.mult(phi);
        SimpleMatrix gain = pPhi.divide(FORGET + phi.dot(pPhi));
        for (int i = 0; i < y.length; i++) {
            if (!Double.isNaN(y[i])) {
                double error = y[i] - predict(phi).get(i);
                for (int j = 0; j < theta.getNumCols(); j++) {
                    theta.set(i, j, theta.get(i, j) + gain.get(j) * error);
                }
            }
        }
        covariance = covariance.minus(gain.mult(pPhi.transpose())).divide(FORGET);
        double bound = TRACE * theta.getNumCols();
        if (covariance.trace() > bound) {
            covariance = covariance.scale(bound / covariance.trace());
        }
        updates++;
    }

    /** The outputs that are expected for these inputs. */
    SimpleMatrix predict(SimpleMatrix phi) {
        return theta.mult(phi);
    }

    /** What was fitted: a row for each output. */
    SimpleMatrix parameters() {
        return theta;
    }

    /** How many observations were folded in. */
    int updates() {
        return updates;
    }
}
