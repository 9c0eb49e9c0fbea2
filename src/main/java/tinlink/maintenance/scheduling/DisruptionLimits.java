package tinlink.maintenance.scheduling;

/**
 * The limits on maintenance: how many machines must stay available, and how large the replicated maintenance
 * state may grow. Times are microseconds of agreed time ({@link MaintenanceState#agreedTimeUs}).
 *
 * @param minReplicas number of available data nodes that each cell keeps
 * @param minZoneShare share of its data nodes, and of its routers, that each zone keeps available, 0 to 1
 * @param minSiteShare share of its data nodes, and of its routers, that each site keeps available, 0 to 1
 * @param warmUpUs time for which a returned machine must have been healthy before it counts as available
 * @param grantTimeoutUs time after which a grant that has not been started ends
 * @param agingStepUs waiting time that raises the urgency of a task by 1
 * @param maxTasks number of tasks above which finished requests are dropped, the oldest first
 * @param maxEntries maximum number of open tasks, of machines and of routers, each
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
    /**
     * The limits before any have been agreed on. They allow machines to be registered, but no tasks. Compared
     * by identity.
     */
    static final DisruptionLimits UNSET = new DisruptionLimits(0, 0, 0, 1, 1, 1, 0, 1 << 14);

    /** Tolerance for the rounding error of a share multiplied by a number of machines. */
    private static final double ROUNDING_ERROR = 1e-9;

    /**
     * Returns how many machines of a failure domain must stay available. A site keeps at least one.
     *
     * @param total number of machines in the domain, available or not
     */
    int minimum(FailureDomain domain, int total) {
        return switch (domain.kind()) {
            case BLOCK -> minReplicas;
            case VOTERS -> total / 2 + 2; // A majority and one spare.
            case ZONE_NODES, ZONE_ROUTERS -> roundedUp(minZoneShare, total);
            case SITE_NODES, SITE_ROUTERS -> Math.max(1, roundedUp(minSiteShare, total));
        };
    }

    private static int roundedUp(double share, int total) {
        return (int) Math.ceil(share * total - ROUNDING_ERROR);
    }
}
