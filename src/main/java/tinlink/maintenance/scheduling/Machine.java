package tinlink.maintenance.scheduling;

/**
 * A machine that can be taken out for maintenance, as the replicated state describes it.
 *
 * @param cell number of the cell that a data node belongs to; negative for a router
 * @param voter whether the machine is a router that votes in consensus
 */
public record Machine(
        String id, Kind kind, int cell, String zone, String site, String model, boolean voter) {
    /** The role of a machine. */
    public enum Kind {
        /** A data node, which holds a replica of the shards of its cell. */
        NODE,
        /** A router, which sends the parts of lookups to data nodes. */
        ROUTER
    }

    /** @throws IllegalArgumentException if the id is empty */
    public Machine {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("machine id must not be empty: " + kind + " in zone "
                    + zone + ", site " + site);
        }
    }

    /** Returns whether the machine is a router rather than a data node. */
    public boolean isRouter() {
        return kind == Kind.ROUTER;
    }

    /** Returns this machine with another value of {@link #voter}. */
    Machine withVoter(boolean votes) {
        return votes == voter ? this : new Machine(id, kind, cell, zone, site, model, votes);
    }
}
