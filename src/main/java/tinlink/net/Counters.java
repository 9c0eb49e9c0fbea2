package tinlink.net;

import java.util.Map;
import java.util.TreeMap;

/**
 * What a subsystem has done, by standard names; the names are fixed in the code, so the table is
 * bounded.
 */
public final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();

    public void increment(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** A line of name=count pairs, by name. */
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
