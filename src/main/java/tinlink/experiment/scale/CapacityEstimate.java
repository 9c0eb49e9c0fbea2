package tinlink.experiment.scale;

import java.util.DoubleSummaryStatistics;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What a measurement says of its cost at the size to plan with.
 *
 * @param size the size that the value is for
 * @param value the cost at that size
 * @param margin half of the 95% prediction interval of a fit, or half of the range of repeats
 * @param fit empty where too few sizes were measured
 * @param basis how the value came about
 */
record CapacityEstimate(
        Measurement measurement,
        double size,
        double value,
        double margin,
        Optional<GrowthFit> fit,
        Basis basis) {
    /** How a value came about. */
    enum Basis {
        /** Measured at that very size. */
        MEASURED("measured"),
        /** Fitted between sizes that were measured. */
        INTERPOLATED("between measured sizes"),
        /** Fitted, and the size lies beyond the largest that was measured. */
        EXTRAPOLATED("**extrapolated**"),
        /** Of the largest size measured; too few sizes to say more. */
        LARGEST_MEASURED("**at the largest size measured**");

        private final String words;

        Basis(String words) {
            this.words = words;
        }
    }

    /** Sizes that are told apart when a size to plan with is looked for. */
    private static final double SAME = 1e-9;
    /** Where a budget is looked for, by doublings beyond the size to plan with. */
    private static final int MOST_DOUBLINGS = 20;

    private static final int HALVINGS = 40;

    static CapacityEstimate of(Measurement measurement) {
        Optional<GrowthFit> fit = measurement.sizes() >= GrowthFit.LEAST_SIZES
                ? Optional.of(GrowthFit.of(measurement))
                : Optional.empty();
        OptionalDouble planned = CapacityPlan.sizeOf(measurement.dimension());
        double size = planned.orElse(measurement.largestSize());
        DoubleSummaryStatistics there = repeats(measurement, size);
        if (there.getCount() > 0) {
            return repeated(measurement, size, there, fit, Basis.MEASURED);
        }
        if (fit.isEmpty()) {
            size = measurement.largestSize();
            return repeated(
                    measurement, size, repeats(measurement, size), fit, Basis.LARGEST_MEASURED);
        }
        GrowthFit.Estimate estimate = fit.get().at(size);
        Basis basis = size > measurement.largestSize() ? Basis.EXTRAPOLATED : Basis.INTERPOLATED;
        return new CapacityEstimate(
                measurement, size, estimate.value(), estimate.margin(), fit, basis);
    }

    private static CapacityEstimate repeated(
            Measurement measurement,
            double size,
            DoubleSummaryStatistics repeats,
            Optional<GrowthFit> fit,
            Basis basis) {
        double margin = (repeats.getMax() - repeats.getMin()) / 2;
        return new CapacityEstimate(measurement, size, repeats.getAverage(), margin, fit, basis);
    }

    private static DoubleSummaryStatistics repeats(Measurement measurement, double size) {
        return measurement.points().stream()
                .filter(p -> Math.abs(p.size() - size) <= SAME * size)
                .mapToDouble(Measurement.Point::value)
                .summaryStatistics();
    }

    /** How the value came about, as the page says it. */
    String basisWords() {
        return measurement.source() == Measurement.Source.SIMULATED
                ? "**simulated**, " + basis.words
                : basis.words;
    }

    /**
     * The smallest size at which a growing cost reaches a value, by its fit; empty where it does
     * not grow, or not within a million times the size to plan with.
     */
    OptionalDouble sizeAt(double wanted) {
        if (fit.isEmpty()
                || fit.get().law() == GrowthFit.Law.CONSTANT
                || fit.get().slope() <= 0) {
            return OptionalDouble.empty();
        }
        double low = 0;
        double high = size;
        for (int i = 0; fit.get().at(high).value() < wanted; i++) {
            if (i == MOST_DOUBLINGS) {
                return OptionalDouble.empty();
            }
            low = high;
            high *= 2;
        }
        for (int i = 0; i < HALVINGS; i++) {
            double middle = (low + high) / 2;
            if (fit.get().at(middle).value() < wanted) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return OptionalDouble.of(high);
    }
}
