package tinlink.decision;

/**
 * The companion of the design page: which replica serves a part. The holder with the least smoothed latency
 * times its own calls in flight plus one; one whose call departs in this turn costs no call of its own. Nodes
 * that this part has tried go last.
 */
public final class ReplicaSelector {
    /** A node at another site costs so many times more: it serves when near ones are gone, or as bad. */
    private static final double OTHER_SITE = 10;
    /** How many times the price of crossing zones makes a node in another zone count slower. */
    private static final double PRICE_TO_COST = 10;
    /** Rounds that a failed attempt costs a lookup, by whether it can spare a part. */
    private static final int ROUNDS_IF_SPARED = 3;

    private static final int ROUNDS_IF_NEEDED = 9;

    private final ReplicaDirectory replicas;
    private final SlowStart slowStart;
    private final CallSharing callSharing;
    private final int zone;
    private final double otherZone;
    private final ReplicaHealth health;

    /**
     * @param zone of this router
     * @param crossZonePrice what a call into another zone costs, as a share of the gain of a lookup; 0 for
     *     free
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
        otherZone = 1 + PRICE_TO_COST * crossZonePrice;
        this.health = health;
    }

    ReplicaDirectory replicas() {
        return replicas;
    }

    CallSharing callSharing() {
        return callSharing;
    }

    /** Whether slow start lets this router send one more call to the node now. */
    boolean admits(ReplicaStats stats, long nowUs) {
        return slowStart.admits(stats, replicas.all(), nowUs);
    }

    void recordSend(ReplicaStats stats, long nowUs) {
        slowStart.recordSend(stats, nowUs);
    }

    /**
     * The replica for the part's next attempt; null where no holder may take it.
     *
     * @param isHedge a hedged attempt goes to no node that the part has tried
     */
    ReplicaStats select(Part part, boolean isHedge, long nowUs) {
        double saving = callSharing.saving(health.latency().averageUs(part.lookup.roundUs));
        ReplicaStats best = null;
        double leastCost = Double.MAX_VALUE;
        boolean isBestTried = true;
        for (ReplicaStats stats : replicas.holders(part, nowUs)) {
            boolean isTried = part.hasTried(stats.node());
            if ((isHedge && isTried) || !admits(stats, nowUs)) {
                continue;
            }
            double cost = cost(stats, part.lookup, saving, nowUs);
            if (best == null
                    || (isTried != isBestTried
                            ? isBestTried
                            : cost < leastCost || (cost == leastCost && isOlder(stats, best)))) {
                best = stats;
                isBestTried = isTried;
                leastCost = cost;
            }
        }
        return best;
    }

    private double cost(ReplicaStats stats, Lookup lookup, double saving, long nowUs) {
        double latencyUs = health.latency().latencyUs(stats, lookup.roundUs, nowUs);
        // An attempt that fails costs its lookup the rounds; without this, failing fast looks
        // quick. Lookups that can spare a part are the trials by which a node finds its way back.
        int rounds = lookup.lookupClass.completeShare < 1 ? ROUNDS_IF_SPARED : ROUNDS_IF_NEEDED;
        double failureCost =
                health.outliers().failureShare(stats, nowUs) * (double) (rounds * lookup.roundUs);
        return (latencyUs * (stats.callsInFlight() + 1) + failureCost)
                / slowStart.capacity(stats.node(), nowUs)
                * (callSharing.canJoin(stats, nowUs) ? 1 - saving : 1)
                * distance(stats.node());
    }

    /** Departure: crossing zones has a price, so a near node may be a little slower. */
    private double distance(DataNode node) {
        if (node.linkRoundTripUs > 0) {
            return OTHER_SITE;
        }
        return node.zone == zone ? 1 : otherZone;
    }

    private static boolean isOlder(ReplicaStats one, ReplicaStats other) {
        return one.node().startedAtUs != other.node().startedAtUs
                ? one.node().startedAtUs < other.node().startedAtUs
                : one.node().nodeId < other.node().nodeId;
    }
}
