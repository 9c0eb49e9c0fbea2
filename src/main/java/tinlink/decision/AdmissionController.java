package tinlink.decision;

import java.util.SplittableRandom;

/**
 * Which lookups to reject on arrival: those with too few parts that some holder can be expected to answer
 * within a round or two, judged by how long it took of late and how many calls were in flight then.
 *
 * <p>Of nodes with no call in flight that look slow, a lookup still takes some by chance, fewer the slower
 * they look: a router of many seldom has a call in flight there, and so the judgement is renewed.
 *
 * <p>Guards against overload, in which all parts are sent, all end too late, clients ask again, and the
 * service stays down after the cause has gone: bursts, retry storms, lost capacity, slowness shared by all,
 * and shards too popular for their holders. May hurt where calls are too few to tell a slow call from a slow
 * node.
 */
public final class AdmissionController {
    /** A rejection costs little where clients are told when to retry, and the lookup's gain where not. */
    private static final double ROUNDS_WITH_RETRY_AFTER = 1.2;

    private static final double ROUNDS_WITHOUT = 2;

    private final long maxRetryAfterUs;
    private final SplittableRandom random;

    /**
     * @param seed of the chances that slow nodes without calls get
     * @param maxRetryAfterUs 0 where clients are told no time
     */
    public AdmissionController(long seed, long maxRetryAfterUs) {
        random = new SplittableRandom(seed);
        this.maxRetryAfterUs = maxRetryAfterUs;
    }

    /**
     * Whether too few of the lookup's parts have a holder with capacity. One draw counts for all its parts.
     */
    boolean isOverloaded(
            Lookup lookup, ReplicaSelector selector, LatencyEstimator latency, long nowUs) {
        double luck = random.nextDouble();
        double served = lookup.weight(part -> hasCapacity(part, luck, selector, latency, nowUs));
        return served < lookup.lookupClass.completeShare - Lookup.WEIGHT_TOLERANCE;
    }

    private boolean hasCapacity(
            Part part,
            double luck,
            ReplicaSelector selector,
            LatencyEstimator latency,
            long nowUs) {
        long roundUs = part.lookup.roundUs;
        for (ReplicaStats stats : selector.replicas().holders(part, nowUs)) {
            if (selector.admits(stats, nowUs)
                    && hasCapacity(
                            stats, latency.latencyUs(stats, roundUs, nowUs), luck, roundUs)) {
                return true;
            }
        }
        return false;
    }

    private boolean hasCapacity(ReplicaStats stats, double latencyUs, double luck, long roundUs) {
        if (stats.smoothedLatencyUs() == 0) {
            return true;
        }
        int calls = stats.callsInFlight();
        double expectedUs = latencyUs * (calls + 1) / (stats.usualCallsInFlight() + 1);
        double rounds = maxRetryAfterUs > 0 ? ROUNDS_WITH_RETRY_AFTER : ROUNDS_WITHOUT;
        return expectedUs * (calls == 0 ? luck : 1) <= rounds * roundUs;
    }

    /** What a client whose lookup is rejected is told; 0 for no advice. */
    long retryAfterUs(Lookup lookup) {
        return Math.min(maxRetryAfterUs, lookup.roundUs);
    }
}
