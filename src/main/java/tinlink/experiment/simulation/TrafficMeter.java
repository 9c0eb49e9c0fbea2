package tinlink.experiment.simulation;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Counts messages and bytes by party and kind, sent and received alike. */
public final class TrafficMeter {
    /** Messages and bytes, in both directions together. */
    public record Count(long messages, long bytes) {
        static final Count NONE = new Count(0, 0);

        Count plus(long moreMessages, long moreBytes) {
            return new Count(messages + moreMessages, bytes + moreBytes);
        }

        /** The sum of both. */
        public Count plus(Count other) {
            return plus(other.messages, other.bytes);
        }

        /** What has come since. */
        public Count minus(Count earlier) {
            return new Count(messages - earlier.messages, bytes - earlier.bytes);
        }
    }

    private final Map<String, EnumMap<MessageKind, Count>> counts = new HashMap<>();

    void sent(String from, MessageKind kind, int bytes) {
        add(from, kind, bytes);
    }

    void received(String to, MessageKind kind, int bytes) {
        add(to, kind, bytes);
    }

    private void add(String party, MessageKind kind, int bytes) {
        counts.computeIfAbsent(party, p -> new EnumMap<>(MessageKind.class))
                .merge(kind, new Count(1, bytes), Count::plus);
    }

    /** What that party has sent and received so far, by kind. */
    public Map<MessageKind, Count> of(String party) {
        EnumMap<MessageKind, Count> own = counts.get(party);
        return own == null ? Map.of() : new EnumMap<>(own);
    }

    /** The sum over all kinds. */
    public static Count total(Map<MessageKind, Count> byKind) {
        return byKind.values().stream().reduce(Count.NONE, Count::plus);
    }
}
