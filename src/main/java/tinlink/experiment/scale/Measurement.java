package tinlink.experiment.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * One cost, measured at several sizes of one dimension of the deployment.
 *
 * @param role whose cost it is, as named in docs/CAPACITY.md, for example {@code query-router.control}
 * @param cost what was measured, for example {@code processor time a change}
 * @param unit unit of the values, for example {@code ms}
 * @param dimension what was varied, for example {@code routers}
 * @param source how the values were taken
 * @param command the command that takes them again
 * @param points the measured values; several points may have the same size, one a repeat
 */
public record Measurement(
        String role,
        String cost,
        String unit,
        String dimension,
        Source source,
        String command,
        List<Point> points) {
    /** How a value was taken. */
    public enum Source {
        /** Real processes over real sockets. */
        MEASURED,
        /** Simulated time. */
        SIMULATED
    }

    /**
     * One measured value.
     *
     * @param size the size in the dimension of the measurement
     * @param value the value, in the unit of the measurement
     */
    public record Point(double size, double value) {}

    /** Copies the list of points. */
    public Measurement {
        points = List.copyOf(points);
    }

    /** A name that no other measurement of a result file has. */
    public String key() {
        return role + "/" + cost + "/" + dimension;
    }

    /** The largest size that was measured. */
    public double largestSize() {
        return points.stream().mapToDouble(Point::size).max().orElse(0);
    }

    /** How many different sizes were measured. */
    public int sizes() {
        return (int) points.stream().mapToDouble(Point::size).distinct().count();
    }

    /** The same measurement with one more point. */
    public Measurement with(double size, double value) {
        List<Point> all = new ArrayList<>(points);
        all.add(new Point(size, value));
        return new Measurement(role, cost, unit, dimension, source, command, all);
    }
}
