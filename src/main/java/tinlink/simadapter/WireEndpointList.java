package tinlink.simadapter;

import tinlink.decision.DataNode;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** An endpoint list of the simulator's protocol, which all routers of the process share. */
final class WireEndpointList {
    /** One data node of the list. */
    record Entry(
            long nodeId,
            int zone,
            int kind,
            int cell,
            DataNode.State state,
            double size,
            long startedAtUs) {}

    private final List<Entry> entries;
    private final Set<Long> nodeIds = new HashSet<>();

    WireEndpointList(List<Entry> entries) {
        this.entries = entries;
        entries.forEach(entry -> nodeIds.add(entry.nodeId()));
    }

    List<Entry> entries() {
        return entries;
    }

    boolean contains(long nodeId) {
        return nodeIds.contains(nodeId);
    }

    static Entry parseEntry(WireLine line) {
        if (!line.name().equals("node")) {
            throw new WireFormatException(
                    "sheet", "expected a node line, found '" + line.name() + "'");
        }
        long nodeId = line.wholeNumber("node");
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
                        throw new WireFormatException("node", "unknown health: " + stateCode);
                };
        double size = line.number("capacityHint", 1);
        long startedAtUs = line.micros("readyAtMs", 0);
        line.expectEnd();
        return new Entry(
                nodeId,
                zone,
                kind,
                cell,
                state,
                size,
                startedAtUs == 0 ? Long.MIN_VALUE : startedAtUs);
    }
}
