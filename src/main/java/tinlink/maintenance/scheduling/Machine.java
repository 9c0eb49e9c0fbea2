package tinlink.maintenance.scheduling;

/**
 * A machine that may be taken out for maintenance, as all routers agree on it.
 *
 * @param cell the card block that it holds a replica of; below 0 for a router
 * @param voter whether it is a router that votes in consensus
 */
public record Machine(
        String id, Kind kind, int cell, String zone, String site, String model, boolean voter) {
    /** What a machine does. */
    public enum Kind {
        /** Holds a replica of a card block. */
        NODE,
        /** Sends queries on to data nodes. */
        ROUTER
    }

    /** @throws IllegalArgumentException where the id is empty */
    public Machine {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("a machine without a name");
        }
    }

    /** Whether it is a router, and no data node. */
    public boolean isRouter() {
        return kind == Kind.ROUTER;
    }

    /** The same, as one that votes or does not. */
    Machine withVoter(boolean isVoter) {
        return isVoter == voter ? this : new Machine(id, kind, cell, zone, site, model, isVoter);
    }
}
