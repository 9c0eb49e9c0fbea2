package tinlink.maintenance.scheduling;

import java.util.List;

/**
 * A group of machines of one kind of which a minimum must stay available.
 *
 * @param name the cell's number, the zone or the site; empty for the voters
 */
record FailureDomain(Kind kind, String name) {
    /** What the machines share. A block is the data nodes of one cell, which hold the same shards. */
    enum Kind {
        BLOCK,
        VOTERS,
        ZONE_NODES,
        ZONE_ROUTERS,
        SITE_NODES,
        SITE_ROUTERS
    }

    /** Returns all failure domains that a machine belongs to. */
    static List<FailureDomain> containing(Machine machine) {
        if (!machine.isRouter()) {
            return List.of(
                    new FailureDomain(Kind.BLOCK, Integer.toString(machine.cell())),
                    new FailureDomain(Kind.ZONE_NODES, machine.zone()),
                    new FailureDomain(Kind.SITE_NODES, machine.site()));
        }
        FailureDomain zone = new FailureDomain(Kind.ZONE_ROUTERS, machine.zone());
        FailureDomain site = new FailureDomain(Kind.SITE_ROUTERS, machine.site());
        return machine.voter()
                ? List.of(zone, site, new FailureDomain(Kind.VOTERS, ""))
                : List.of(zone, site);
    }

    /** The text becomes part of a task's reason, which is stored, so its wording must not change. */
    @Override
    public String toString() {
        return switch (kind) {
            case BLOCK -> "block " + name;
            case VOTERS -> "voters";
            case ZONE_NODES -> "data nodes of zone " + name;
            case ZONE_ROUTERS -> "routers of zone " + name;
            case SITE_NODES -> "data nodes of site " + name;
            case SITE_ROUTERS -> "routers of site " + name;
        };
    }
}
