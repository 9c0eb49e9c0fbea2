package tinlink.simadapter;

import tinlink.decision.DataNode;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A numbered list of data nodes, as the wire gives it to all routers of the process. */
final class WireEndpointList {
    /** One entry, decoded. */
    record Entry(
            long id,
            int zone,
            int kind,
            int cell,
            DataNode.State state,
            double size,
            long startedAt) {}

    private final List<Entry> entries;
    private final Set<Long> ids = new HashSet<>();

    WireEndpointList(List<Entry> entries) {
        this.entries = entries;
        entries.forEach(e -> ids.add(e.id()));
    }

    List<Entry> entries() {
        return entries;
    }

    boolean contains(long id) {
        return ids.contains(id);
    }

    static Entry parseEntry(WireLine line) {
        if (!line.name().equals("node")) {
            throw new WireFormatException("sheet", "a node line was expected, not " + line.name());
        }
        long id = line.wholeNumber("node");
        int zone = (int) line.wholeNumber("campus", 0);
        int kind = (int) line.wholeNumber("kind", 0);
        int cell = (int) line.wholeNumber("setNo", 0);
        long stateCode = line.wholeNumber("health");
        DataNode.State state =
                switch ((int) stateCode) {
                    case 0 -> DataNode.State.GONE;
                    case 1 -> DataNode.State.READY;
                    case 2 -> DataNode.State.DRAINING;
                    default ->
                        throw new WireFormatException("node", "no such health: " + stateCode);
                };
        double size = line.number("capacityHint", 1);
        long startedAt = line.micros("readyAtMs", 0);
        line.expectEnd();
        return new Entry(
                id, zone, kind, cell, state, size, startedAt == 0 ? Long.MIN_VALUE : startedAt);
    }
}
