package tinlink.maintenance.scheduling;

import java.util.List;

/** Something that machines make up together, and that must not lose too many of them. */
record FailureDomain(Kind kind, String name) {
    /** What it is made of. */
    enum Kind {
        BLOCK,
        VOTERS,
        ZONE_NODES,
        ZONE_ROUTERS,
        SITE_NODES,
        SITE_ROUTERS
    }

    /** All places that a machine is in. */
    static List<FailureDomain> of(Machine machine) {
        if (!machine.isRouter()) {
            return List.of(
                    new FailureDomain(Kind.BLOCK, Integer.toString(machine.cell())),
                    new FailureDomain(Kind.ZONE_NODES, machine.zone()),
                    new FailureDomain(Kind.SITE_NODES, machine.site()));
        }
        FailureDomain zoneRouters = new FailureDomain(Kind.ZONE_ROUTERS, machine.zone());
        FailureDomain siteRouters = new FailureDomain(Kind.SITE_ROUTERS, machine.site());
        return machine.voter()
                ? List.of(zoneRouters, siteRouters, new FailureDomain(Kind.VOTERS, ""))
                : List.of(zoneRouters, siteRouters);
    }

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
