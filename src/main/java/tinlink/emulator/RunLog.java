package tinlink.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What ran where, as the data nodes saw it: the record that rules are checked against. Keeps the
 * newest only.
 */
public final class RunLog {
    /** One run of a part, which had its effect at that time; key is null where it had none. */
    public record Run(String part, String node, long atUs, String key) {}

    private final int capacity;
    private final Map<String, List<Run>> byPart = new HashMap<>();
    /** By part, the newest only. */
    private final Map<String, Long> timeoutsMs = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> e) {
            return size() > capacity;
        }
    };

    private final ArrayDeque<Run> inOrder = new ArrayDeque<>();

    /** @param most runs that are remembered */
    public RunLog(int most) {
        this.capacity = most;
    }

    /** A part call has come, with so much time to answer it, as it says itself. */
    void callReceived(String part, long waitMs) {
        timeoutsMs.putIfAbsent(part, waitMs);
    }

    /**
     * The time that the first call of that part gave its node, milliseconds; below 0 where none has
     * come.
     */
    public long timeoutMsOf(String part) {
        return timeoutsMs.getOrDefault(part, -1L);
    }

    public void add(Run r) {
        byPart.computeIfAbsent(r.part, p -> new ArrayList<>(1)).add(r);
        inOrder.add(r);
        if (inOrder.size() > capacity) {
            Run old = inOrder.poll();
            List<Run> others = byPart.get(old.part);
            others.remove(old);
            if (others.isEmpty()) {
                byPart.remove(old.part);
            }
        }
    }

    /** In the order in which they began; of a part that never ran, none. */
    public List<Run> runsOf(String part) {
        return List.copyOf(byPart.getOrDefault(part, List.of()));
    }

    /** How many parts began to run at that node in that time. */
    public long countBetween(String node, long fromUs, long toUs) {
        return inOrder.stream()
                .filter(r -> r.node.equals(node) && r.atUs >= fromUs && r.atUs < toUs)
                .count();
    }

    public int size() {
        return inOrder.size();
    }

    /** The value that a data node makes for a part; nobody else can make it up. */
    public static String value(String part, String text) {
        return "v-" + part + "-" + Integer.toHexString((part + "|" + text).hashCode());
    }
}
