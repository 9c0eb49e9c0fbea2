package tinlink.experiment.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The measurements of several sizes, under the names that docs/CAPACITY.md uses. */
final class ControlMeasurements {
    private static final String ROUTER = "query-router.control";
    private final String command;
    private final Map<String, Measurement> all = new LinkedHashMap<>();

    /** @param command the command that takes them again */
    ControlMeasurements(String command) {
        this.command = command;
    }

    /** Adds what was measured at one size, the values of the costliest router of each role. */
    void add(ControlResult result, String dimension, double size) {
        for (ControlUse.Role role : ControlUse.Role.values()) {
            rest(result, role, dimension, size);
            changes(result, role, dimension, size);
        }
        add(ROUTER, "heap", "MB", dimension, size, result.routerMb);
        add("voter", "heap", "MB", dimension, size, result.voterMb);
        add("leader", "heap", "MB", dimension, size, result.leaderMb);
        if (result.changeMs.getTotalCount() > 0) {
            add(ROUTER, "time to in force p50", "ms", dimension, size, (double)
                    result.changeMs.getValueAtPercentile(50));
            add(ROUTER, "time to in force p99", "ms", dimension, size, (double)
                    result.changeMs.getValueAtPercentile(99));
        }
        if (result.joinMs > 0) {
            add(ROUTER, "join time", "ms", dimension, size, (double) result.joinMs);
        }
    }

    private void rest(ControlResult result, ControlUse.Role role, String dimension, double size) {
        each(
                result.idle,
                role,
                "processor time a second",
                "ms/s",
                dimension,
                size,
                u -> u.cpuMs() / u.seconds());
        each(
                result.idle,
                role,
                "bytes a second",
                "B/s",
                dimension,
                size,
                u -> u.bytes() / u.seconds());
        each(
                result.idle,
                role,
                "messages a second",
                "1/s",
                dimension,
                size,
                u -> u.messages() / u.seconds());
        each(result.idle, role, "connections", "1", dimension, size, ControlUse::connections);
    }

    private void changes(
            ControlResult result, ControlUse.Role role, String dimension, double size) {
        each(result.changes, role, "bytes a change", "B", dimension, size, ControlUse::bytes);
        each(result.changes, role, "messages a change", "1", dimension, size, ControlUse::messages);
        each(
                result.changes,
                role,
                "processor time a change",
                "ms",
                dimension,
                size,
                ControlUse::cpuMs);
    }

    private void each(
            List<Map<String, ControlUse>> windows,
            ControlUse.Role role,
            String cost,
            String unit,
            String dimension,
            double size,
            ToDoubleFunction<ControlUse> value) {
        for (double one : ControlResult.costliest(windows, role, value)) {
            add(name(role), cost, unit, dimension, size, one);
        }
    }

    private void add(
            String role, String cost, String unit, String dimension, double size, double value) {
        Measurement empty = new Measurement(
                role, cost, unit, dimension, Measurement.Source.MEASURED, command, List.of());
        all.merge(empty.key(), empty.with(size, value), (old, one) -> old.with(size, value));
    }

    private static String name(ControlUse.Role role) {
        return switch (role) {
            case ROUTER -> ROUTER;
            case VOTER -> "voter";
            case LEADER -> "leader";
        };
    }

    List<Measurement> all() {
        return new ArrayList<>(all.values());
    }
}
