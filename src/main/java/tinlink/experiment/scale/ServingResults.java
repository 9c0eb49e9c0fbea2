package tinlink.experiment.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Gathers measured points by role, cost and dimension. */
final class ServingResults {
    private static final String COMMAND = "make lab-scale-serving";
    private final Map<String, Measurement> byKey = new LinkedHashMap<>();

    /** One more point of a measurement; the first one begins it. */
    void add(String role, String cost, String unit, String dimension, double size, double value) {
        Measurement begun = new Measurement(
                role, cost, unit, dimension, Measurement.Source.MEASURED, COMMAND, List.of());
        byKey.merge(begun.key(), begun.with(size, value), (held, fresh) -> held.with(size, value));
    }

    /** In the order in which they were begun. */
    List<Measurement> all() {
        return List.copyOf(byKey.values());
    }
}
