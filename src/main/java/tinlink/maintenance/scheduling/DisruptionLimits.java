package tinlink.maintenance.scheduling;

/**
 * What has to stay available while machines are out, and how large the state of maintenance may grow.
 *
 * @param minReplicas healthy data nodes that each card block keeps
 * @param minZoneShare share of its data nodes, and of its routers, that each zone keeps
 * @param minSiteShare the same for each site
 * @param warmUpUs how long a machine that came back has to have been healthy before it counts
 * @param grantTimeoutUs how long a grant may wait to be started
 * @param agingStepUs after so long a task counts as one step more urgent
 * @param maxTasks tasks above which finished requests are forgotten, the oldest first
 * @param maxEntries open tasks, machines and routers, each
 */
public record DisruptionLimits(
        int minReplicas,
        double minZoneShare,
        double minSiteShare,
        long warmUpUs,
        long grantTimeoutUs,
        long agingStepUs,
        int maxTasks,
        int maxEntries) {
    /** Before any have been agreed on: machines may become known, nothing else. Compared by identity. */
    static final DisruptionLimits UNSET = new DisruptionLimits(0, 0, 0, 1, 1, 1, 0, 1 << 14);

    /** What a share of many may be off by through rounding. */
    private static final double ROUNDING_ERROR = 1e-9;

    /** The machines of a failure domain that have to stay available. A site keeps one in any case. */
    int minimum(FailureDomain domain, int total) {
        return switch (domain.kind()) {
            case BLOCK -> minReplicas;
            case VOTERS -> total / 2 + 2; // A majority, and one to spare.
            case ZONE_NODES, ZONE_ROUTERS -> roundedUp(minZoneShare, total);
            case SITE_NODES, SITE_ROUTERS -> Math.max(1, roundedUp(minSiteShare, total));
        };
    }

    private static int roundedUp(double share, int total) {
        return (int) Math.ceil(share * total - ROUNDING_ERROR);
    }
}
