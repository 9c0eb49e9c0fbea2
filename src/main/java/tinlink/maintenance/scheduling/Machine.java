package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.LineCodec;

import java.util.List;

/**
 * A machine that work may be done on, as all routers agree on it.
 *
 * @param cell the card block that it holds a copy of; below 0 for a router
 * @param voter a router whose voice counts in agreeing
 */
public record Machine(
        String id, Kind kind, int cell, String zone, String site, String model, boolean voter) {
    /** What a machine does. */
    public enum Kind {
        NODE,
        ROUTER
    }

    public Machine {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("a machine without a name");
        }
    }

    public boolean isRouter() {
        return kind == Kind.ROUTER;
    }

    /** The same, as one whose voice counts or does not. */
    Machine withVoter(boolean isVoter) {
        return isVoter == voter ? this : new Machine(id, kind, cell, zone, site, model, isVoter);
    }

    String encode() {
        return LineCodec.encode("machine", id, kind, cell, zone, site, model, voter);
    }

    static Machine decode(List<String> fields) {
        return new Machine(
                fields.get(1),
                Kind.valueOf(fields.get(2)),
                Integer.parseInt(fields.get(3)),
                fields.get(4),
                fields.get(5),
                fields.get(6),
                Boolean.parseBoolean(fields.get(7)));
    }
}
