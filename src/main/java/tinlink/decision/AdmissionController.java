package tinlink.decision;

import java.util.SplittableRandom;

/**
 * Decides which lookups to reject on arrival: those of which too few parts have a data node that is expected
 * to answer within a round or two. The expected time follows from the node's recent latency, the calls that
 * were in flight then, and the calls that are in flight now.
 *
 * <p>A data node that looks slow and has no call in flight is still given some lookups at random, fewer the
 * slower it looks. Otherwise a router in a large fleet, which seldom has a call in flight to any one node,
 * would never measure that node again.
 *
 * <p>Admission control prevents the overload that outlasts its cause: all parts are sent, all end too late,
 * clients ask again, and the service stays down. Such overload can begin with a burst, a retry storm, lost
 * capacity, slowness of all nodes, or a shard too popular for its nodes. Where a router makes few calls, it
 * can't tell a slow call from a slow node, and may reject too much.
 */
public final class AdmissionController {
    /** A rejection costs little where clients get a Retry-After, and else the value of the lookup. */
    private static final double MAX_ROUNDS_WITH_RETRY_AFTER = 1.2;

    private static final double MAX_ROUNDS_WITHOUT_RETRY_AFTER = 2;

    private final long maxRetryAfterUs;
    private final SplittableRandom random;

    /**
     * @param seed of the random choice of lookups for idle nodes that look slow
     * @param maxRetryAfterUs the longest Retry-After; 0 where clients are given none
     */
    public AdmissionController(long seed, long maxRetryAfterUs) {
        random = new SplittableRandom(seed);
        this.maxRetryAfterUs = maxRetryAfterUs;
    }

    /**
     * Whether too few of the lookup's parts have a data node with capacity. All parts share one random
     * number.
     */
    boolean isOverloaded(
            Lookup lookup, ReplicaSelector selector, LatencyEstimator latency, long nowUs) {
        double draw = random.nextDouble();
        double servedWeight =
                lookup.weight(part -> hasCapacity(part, draw, selector, latency, nowUs));
        return servedWeight < lookup.lookupClass.completeShare - Lookup.WEIGHT_TOLERANCE;
    }

    private boolean hasCapacity(
            Part part,
            double draw,
            ReplicaSelector selector,
            LatencyEstimator latency,
            long nowUs) {
        long roundUs = part.lookup.roundUs;
        for (ReplicaStats stats : selector.replicas().availableReplicas(part, nowUs)) {
            if (selector.admits(stats, nowUs)
                    && hasCapacity(
                            stats, latency.latencyUs(stats, roundUs, nowUs), draw, roundUs)) {
                return true;
            }
        }
        return false;
    }

    private boolean hasCapacity(ReplicaStats stats, double latencyUs, double draw, long roundUs) {
        if (stats.smoothedLatencyUs() == 0) {
            return true;
        }
        int calls = stats.callsInFlight();
        double expectedUs = latencyUs * (calls + 1) / (stats.usualCallsInFlight() + 1);
        double maxRounds =
                maxRetryAfterUs > 0 ? MAX_ROUNDS_WITH_RETRY_AFTER : MAX_ROUNDS_WITHOUT_RETRY_AFTER;
        return expectedUs * (calls == 0 ? draw : 1) <= maxRounds * roundUs;
    }

    /** The Retry-After of a rejected lookup, in microseconds; 0 where clients are given none. */
    long retryAfterUs(Lookup lookup) {
        return Math.min(maxRetryAfterUs, lookup.roundUs);
    }
}
