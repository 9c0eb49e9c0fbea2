package tinlink.decision;

/**
 * Selects the replica for an attempt, by the companion rule of {@code docs/design.md}: the replica with the
 * lowest product of smoothed latency and calls in flight plus one. A replica whose call is sent in this turn
 * and has room counts as cheaper. Data nodes that have had an attempt at the part come last.
 */
public final class ReplicaSelector {
    /** Makes a data node of another site serve only where the near ones are gone or as bad. */
    private static final double OTHER_SITE_COST_FACTOR = 10;
    /** Weight of the price of a call into another zone in the cost of a data node there. */
    private static final double ZONE_PRICE_WEIGHT = 10;
    /** Cost of a failed attempt in rounds, for lookups that can complete without one of their parts. */
    private static final int FAILURE_ROUNDS_IF_SPARABLE = 3;

    /** Cost of a failed attempt in rounds, for lookups that need all of their parts. */
    private static final int FAILURE_ROUNDS_IF_NEEDED = 9;

    private final ReplicaDirectory replicas;
    private final SlowStart slowStart;
    private final CallSharing callSharing;
    private final int zone;
    private final double otherZoneCostFactor;
    private final ReplicaHealth health;

    /**
     * @param zone of this router
     * @param crossZonePrice price of a call into another zone, as a share of the value of a lookup; 0 where
     *     such calls are free
     */
    public ReplicaSelector(
            ReplicaDirectory replicas,
            SlowStart slowStart,
            CallSharing callSharing,
            int zone,
            double crossZonePrice,
            ReplicaHealth health) {
        this.replicas = replicas;
        this.slowStart = slowStart;
        this.callSharing = callSharing;
        this.zone = zone;
        otherZoneCostFactor = 1 + ZONE_PRICE_WEIGHT * crossZonePrice;
        this.health = health;
    }

    ReplicaDirectory replicas() {
        return replicas;
    }

    CallSharing callSharing() {
        return callSharing;
    }

    /** Whether slow start allows one more attempt of this router at the data node now. */
    boolean admits(ReplicaStats stats, long nowUs) {
        return slowStart.admits(stats, replicas.all(), nowUs);
    }

    void recordSend(ReplicaStats stats, long nowUs) {
        slowStart.recordSend(stats, nowUs);
    }

    /**
     * Selects the replica for the part's next attempt; null where no data node may take the part now.
     *
     * @param hedged whether the attempt is hedged, and must go to a data node that the part has not tried
     */
    ReplicaStats select(Part part, boolean hedged, long nowUs) {
        double saving = callSharing.saving(health.latency().averageUs(part.lookup.roundUs));
        ReplicaStats best = null;
        double lowestCost = Double.MAX_VALUE;
        boolean bestTried = true;
        for (ReplicaStats stats : replicas.availableReplicas(part, nowUs)) {
            boolean tried = part.hasTried(stats.node());
            if ((hedged && tried) || !admits(stats, nowUs)) {
                continue;
            }
            double cost = cost(stats, part.lookup, saving, nowUs);
            if (best == null
                    || (tried != bestTried
                            ? bestTried
                            : cost < lowestCost || (cost == lowestCost && isOlder(stats, best)))) {
                best = stats;
                bestTried = tried;
                lowestCost = cost;
            }
        }
        return best;
    }

    private double cost(ReplicaStats stats, Lookup lookup, double saving, long nowUs) {
        double latencyUs = health.latency().latencyUs(stats, lookup.roundUs, nowUs);
        // The rounds that a failed attempt costs its lookup are added, so that a node that fails
        // fast does not look fast. They are fewer for lookups that can complete without one of
        // their parts, so that those lookups try a failing node first and show its recovery.
        int rounds = lookup.lookupClass.completeShare < 1
                ? FAILURE_ROUNDS_IF_SPARABLE
                : FAILURE_ROUNDS_IF_NEEDED;
        double failureCost =
                health.outliers().failureShare(stats, nowUs) * (double) (rounds * lookup.roundUs);
        return (latencyUs * (stats.callsInFlight() + 1) + failureCost)
                / slowStart.capacity(stats.node(), nowUs)
                * (callSharing.canJoin(stats, nowUs) ? 1 - saving : 1)
                * distanceFactor(stats.node());
    }

    /**
     * Differs from the fastest-valid configuration: calls into another zone have a price, so that a near node
     * is preferred even where it is a little slower.
     */
    private double distanceFactor(DataNode node) {
        if (node.linkRoundTripUs > 0) {
            return OTHER_SITE_COST_FACTOR;
        }
        return node.zone == zone ? 1 : otherZoneCostFactor;
    }

    private static boolean isOlder(ReplicaStats one, ReplicaStats other) {
        return one.node().startedAtUs != other.node().startedAtUs
                ? one.node().startedAtUs < other.node().startedAtUs
                : one.node().nodeId < other.node().nodeId;
    }
}
