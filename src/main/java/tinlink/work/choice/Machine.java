package tinlink.work.choice;

import tinlink.cluster.membership.LineCodec;

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
    Machine votes(boolean is) {
        return is == voter ? this : new Machine(id, kind, cell, zone, site, model, is);
    }

    String words() {
        return LineCodec.encode("machine", id, kind, cell, zone, site, model, voter);
    }

    static Machine of(List<String> w) {
        return new Machine(
                w.get(1),
                Kind.valueOf(w.get(2)),
                Integer.parseInt(w.get(3)),
                w.get(4),
                w.get(5),
                w.get(6),
                Boolean.parseBoolean(w.get(7)));
    }
}
