package tinlink.experiment.scale;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.SimpleRegression;

import java.util.List;

/**
 * How a measured cost grows with size: a least-squares fit of the value over a function of the
 * size, for the growth law that leaves the smallest squared residuals. Regression by commons-math3.
 */
public final class GrowthFit {
    /** Sizes below which no growth law is told apart from another. */
    public static final int LEAST_SIZES = 4;

    private static final double CONFIDENCE = 0.95;
    /** A slope that chance alone would give more often than this is held to be none. */
    private static final double SLOPE_BY_CHANCE = 0.01;

    /** Laws of growth that are told apart. */
    public enum Law {
        /** Does not grow: the slope of a line can't be told from 0. */
        CONSTANT("constant") {
            @Override
            double of(double size) {
                return size;
            }
        },
        /** In proportion to the size. */
        LINEAR("n") {
            @Override
            double of(double size) {
                return size;
            }
        },
        /** In proportion to the size times its logarithm. */
        LOG_LINEAR("n log n") {
            @Override
            double of(double size) {
                return size * Math.log(Math.max(size, 1));
            }
        },
        /** In proportion to the square of the size. */
        QUADRATIC("n²") {
            @Override
            double of(double size) {
                return size * size;
            }
        };

        private final String title;

        Law(String title) {
            this.title = title;
        }

        /** The law as a page names it. */
        public String title() {
            return title;
        }

        abstract double of(double size);
    }

    /**
     * A value that was worked out from a fit.
     *
     * @param value the expected value
     * @param margin half of the 95% prediction interval
     */
    public record Estimate(double value, double margin) {}

    private final Law law;
    private final SimpleRegression regression;
    private final double meanX;

    private GrowthFit(Law law, SimpleRegression regression, double meanX) {
        this.law = law;
        this.regression = regression;
        this.meanX = meanX;
    }

    /**
     * Fits all laws and keeps the one with the smallest squared residuals; a line whose slope can't
     * be told from 0 is reported as constant.
     *
     * @throws IllegalArgumentException where fewer than {@link #LEAST_SIZES} sizes were measured
     */
    public static GrowthFit of(Measurement measurement) {
        if (measurement.sizes() < LEAST_SIZES) {
            throw new IllegalArgumentException(measurement.key() + ": measured at "
                    + measurement.sizes() + " sizes, at least " + LEAST_SIZES + " are needed");
        }
        GrowthFit linear = fit(Law.LINEAR, measurement.points());
        if (!(linear.regression.getSignificance() < SLOPE_BY_CHANCE)) {
            return new GrowthFit(Law.CONSTANT, linear.regression, linear.meanX);
        }
        GrowthFit best = linear;
        for (Law law : List.of(Law.LOG_LINEAR, Law.QUADRATIC)) {
            GrowthFit other = fit(law, measurement.points());
            if (other.squaredResiduals() < best.squaredResiduals()) {
                best = other;
            }
        }
        return best;
    }

    private static GrowthFit fit(Law law, List<Measurement.Point> points) {
        SimpleRegression regression = new SimpleRegression();
        double sum = 0;
        for (Measurement.Point point : points) {
            double x = law.of(point.size());
            regression.addData(x, point.value());
            sum += x;
        }
        return new GrowthFit(law, regression, sum / points.size());
    }

    /** The law that fits best. */
    public Law law() {
        return law;
    }

    /** Growth of the value for each unit of the law's function of the size. */
    public double slope() {
        return regression.getSlope();
    }

    /** Half of the 95% interval of the slope. */
    public double slopeMargin() {
        return regression.getSlopeConfidenceInterval(1 - CONFIDENCE);
    }

    /** The value at size 0, as fitted. */
    public double intercept() {
        return regression.getIntercept();
    }

    /** Share of the values' variance that the fit explains. */
    public double explained() {
        return regression.getRSquare();
    }

    /** Sum of the squared residuals. */
    public double squaredResiduals() {
        return regression.getSumSquaredErrors();
    }

    /** The value to expect at a size, also an unmeasured one, with its 95% prediction interval. */
    public Estimate at(double size) {
        double x = law.of(size);
        long count = regression.getN();
        double quantile =
                new TDistribution(count - 2).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2);
        double distance = x - meanX;
        double spread = 1 + 1.0 / count + distance * distance / regression.getXSumSquares();
        double margin = quantile * Math.sqrt(regression.getMeanSquareError() * spread);
        return new Estimate(regression.predict(x), margin);
    }
}
