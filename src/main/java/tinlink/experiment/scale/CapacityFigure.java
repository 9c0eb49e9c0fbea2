package tinlink.experiment.scale;

import java.util.Optional;

/**
 * One row of a table of docs/CAPACITY.md: a figure that is worked out from a measured cost.
 *
 * @param group the role or the kind of failure that the row stands under
 * @param title what the figure says
 * @param unit unit of the figure
 * @param role role of the measurement
 * @param cost cost of the measurement
 * @param rate how often the cost arises at the size to plan with; 1 where the figure
 *     is the cost itself
 * @param budget what the figure is held against
 * @param carriedBy the mechanism that carries it
 */
record CapacityFigure(
        String group,
        String title,
        String unit,
        String role,
        String cost,
        double rate,
        Optional<Budget> budget,
        String carriedBy) {
    /**
     * A bound on a figure.
     *
     * @param limit in the unit of the figure
     * @param isFloor the figure has to be at least the limit, where others may be at most that
     * @param source who states it
     */
    record Budget(double limit, boolean isFloor, String source) {
        static Optional<Budget> most(double limit, String source) {
            return Optional.of(new Budget(limit, false, source));
        }

        static Optional<Budget> least(double limit, String source) {
            return Optional.of(new Budget(limit, true, source));
        }

        /** Share of the budget that a value uses: 1 is all of it. */
        double shareUsed(double value) {
            return isFloor ? limit / value : value / limit;
        }
    }

    boolean isOf(Measurement measurement) {
        return measurement.role().equals(role) && measurement.cost().equals(cost);
    }
}
