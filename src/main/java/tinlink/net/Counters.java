package tinlink.net;

import java.util.Map;
import java.util.TreeMap;

/**
 * Event counts of a subsystem by name. All names are fixed in the code, so the table is bounded.
 */
public final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();

    public void increment(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Returns a line of {@code name=count} pairs, sorted by name. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder();
        counts.forEach((name, count) -> line.append(line.length() == 0 ? "" : " ")
                .append(name)
                .append('=')
                .append(count));
        return line.toString();
    }

    public long get(String name) {
        return counts.getOrDefault(name, 0L);
    }
}
