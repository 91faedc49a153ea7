package topazladder.experiment;

import java.util.List;
import org.apache.commons.math3.exception.MathIllegalArgumentException;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through measurements, by least squares (Apache Commons Math), and how it did on one that was held
 * back from the fit.
 *
 * @param slope of the figure for one more member
 * @param interval half the width of the 95% interval of the slope; NaN of two points
 * @param intercept at no member
 * @param residual root of the mean square of the residuals; NaN of two points
 * @param heldBack the measurement that was not fitted, and what the line predicts there; null where there is none
 */
public record Slope(double slope, double interval, double intercept, double residual, Prediction heldBack) {

    /** One measurement. */
    public record Point(double x, double y) {
    }

    /** What the line says at a place that it has not seen, beside what was measured there. */
    public record Prediction(double x, double predicted, double measured) {

        /** Part of the measurement by which the prediction misses it. */
        public double miss() {
            return measured == 0 ? Math.abs(predicted) : Math.abs(predicted - measured) / Math.abs(measured);
        }
    }

    /** @param heldBack x of the measurement that is not fitted; none is where no point has it */
    public static Slope of(List<Point> points, double heldBack) {
        SimpleRegression fit = new SimpleRegression();
        Point kept = null;
        for (Point p : points) {
            if (p.x() == heldBack) {
                kept = p;
            } else {
                fit.addData(p.x(), p.y());
            }
        }
        Prediction prediction = kept == null ? null : new Prediction(kept.x(), fit.predict(kept.x()), kept.y());
        return new Slope(fit.getSlope(), interval(fit), fit.getIntercept(),
                fit.getN() > 2 ? Math.sqrt(fit.getMeanSquareError()) : Double.NaN, prediction);
    }

    private static double interval(SimpleRegression fit) {
        try {
            return fit.getN() > 2 ? fit.getSlopeConfidenceInterval() : Double.NaN;
        } catch (MathIllegalArgumentException e) {
            return Double.NaN;
        }
    }

    public double at(double x) {
        return intercept + slope * x;
    }
}
