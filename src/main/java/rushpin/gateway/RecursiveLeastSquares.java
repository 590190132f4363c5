package rushpin.gateway;

import org.ejml.simple.SimpleMatrix;

/** Recursive least squares with a forgetting factor: y = theta phi, where all outputs share one covariance. */
final class RecursiveLeastSquares {
    /** The forgetting factor: a memory of some 50 intervals. */
    private static final double FORGETTING_FACTOR = 0.98;
    /** Upper bound of the covariance's trace per input; without excitation it would grow without bound. */
    private static final double MAX_TRACE_PER_INPUT = 100;

    /** The fitted parameters: a row for each output. */
    private final SimpleMatrix theta;

    private SimpleMatrix covariance;
    private int updates;

    /** Creates an estimator whose parameters start at zero. */
    RecursiveLeastSquares(int outputs, int inputs) {
        theta = new SimpleMatrix(outputs, inputs);
        covariance = SimpleMatrix.identity(inputs).scale(MAX_TRACE_PER_INPUT / 10);
    }

    /** Updates the fit with one observation; the parameters of an output that is NaN are kept. */
    void update(SimpleMatrix phi, double... y) {
        SimpleMatrix pPhi = covariance.mult(phi);
        SimpleMatrix gain = pPhi.divide(FORGETTING_FACTOR + phi.dot(pPhi));
        for (int i = 0; i < y.length; i++) {
            if (!Double.isNaN(y[i])) {
                double error = y[i] - predict(phi).get(i);
                for (int j = 0; j < theta.getNumCols(); j++) {
                    theta.set(i, j, theta.get(i, j) + gain.get(j) * error);
                }
            }
        }
        covariance = covariance.minus(gain.mult(pPhi.transpose())).divide(FORGETTING_FACTOR);
        double maxTrace = MAX_TRACE_PER_INPUT * theta.getNumCols();
        if (covariance.trace() > maxTrace) {
            covariance = covariance.scale(maxTrace / covariance.trace());
        }
        updates++;
    }

    /** Returns the outputs that the fit predicts for these inputs. */
    SimpleMatrix predict(SimpleMatrix phi) {
        return theta.mult(phi);
    }

    /** Returns the fitted parameters, a row for each output. */
    SimpleMatrix parameters() {
        return theta;
    }

    /** Returns how many observations the fit was updated with. */
    int updates() {
        return updates;
    }
}
