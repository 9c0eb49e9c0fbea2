package tinlink.experiment.simulation;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** All lines that any router has found agreed, by index: two lines at one index break the agreement. */
final class CommittedLog {
    private final List<String> violations;
    private final TreeMap<Long, String> lines = new TreeMap<>();

    CommittedLog(List<String> violations) {
        this.violations = violations;
    }

    void record(long index, String line) {
        if (line.isEmpty()) {
            return;
        }
        String before = lines.putIfAbsent(index, line);
        if (before != null && !before.equals(line)) {
            violations.add("at " + index + " two lines were agreed: " + before + " / " + line);
        }
    }

    /** Lines after that index, in order. */
    Map<Long, String> after(long index) {
        return lines.tailMap(index, false);
    }

    void forEach(BiConsumer<Long, String> visitor) {
        lines.forEach(visitor);
    }
}
