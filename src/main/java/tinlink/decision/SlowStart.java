package tinlink.decision;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * Limits the attempts at data nodes that are warming up. Without a limit, a node that has just started may
 * get more than it can handle, crash, and stay down.
 *
 * <p>Times are microseconds. A <em>window</em> is the span of time over which attempts count towards the
 * limit: too many of them within one window bring a cold node down.
 */
public final class SlowStart {
    /** The rate of warm nodes shows how much they were asked to do, which is less than they could do. */
    private static final double HEADROOM_FACTOR = 1.2;
    /** Keeps the cost of a data node finite while it has no capacity yet. */
    private static final double MIN_CAPACITY = 0.01;

    /** The attempts that this router has made at one warming node, and the figures of its limit. */
    static final class Quota {
        /** Times of the attempts within the last window; emptied once the node is warm. */
        private final ArrayDeque<Long> sentAtUs = new ArrayDeque<>();
        /** Number of the present window, counted from the node's start; -1 before the first one. */
        private long window = -1;
        /** Random number from 0 to 1, by which a fractional limit is rounded in the present window. */
        private double draw;
        /** Parts per microsecond of a warm node, as of the start of the present window. */
        private double warmRate;
    }

    private final int routers;
    private final double startCapacity;
    private final long warmUpUs;
    private final double windowMultiple;
    private final long windowUs;
    private final ReplicaHealth health;
    private final SplittableRandom random;

    /**
     * @param seed of the random numbers by which fractional limits are rounded
     * @param routers configured number of routers that send to the same nodes
     * @param startCapacity share of its full capacity that a node has when it starts
     * @param warmUpUs time from a node's start to its full capacity
     * @param windowMultiple multiple of its present capacity that a node can take within one window
     * @param windowUs length of a window; 0 where none is configured, and all nodes count as warm
     */
    public SlowStart(
            long seed,
            int routers,
            double startCapacity,
            long warmUpUs,
            double windowMultiple,
            long windowUs,
            ReplicaHealth health) {
        random = new SplittableRandom(seed);
        this.routers = Math.max(1, routers);
        this.startCapacity = startCapacity;
        this.warmUpUs = warmUpUs;
        this.windowMultiple = windowMultiple;
        this.windowUs = windowUs;
        this.health = health;
    }

    /** The share of its full capacity that the node has at least now; 1 once the node is warm. */
    double capacity(DataNode node, long nowUs) {
        if (node.startedAtUs == Long.MIN_VALUE
                || windowUs <= 0
                || nowUs - node.startedAtUs >= warmUpUs) {
            return 1;
        }
        double warmed = Math.max(0, (double) (nowUs - node.startedAtUs) / warmUpUs);
        return Math.max(MIN_CAPACITY, startCapacity + (1 - startCapacity) * warmed);
    }

    /**
     * Whether this router may make one more attempt at the node within the present window.
     *
     * <p>If each router rounded its limit up to one attempt, the attempts of all routers would add up to too
     * many. So a fractional limit is rounded at random, anew for each window since the node's start.
     */
    boolean admits(ReplicaStats stats, Iterable<ReplicaStats> all, long nowUs) {
        Quota quota = stats.slowStartQuota();
        double capacity = capacity(stats.node(), nowUs);
        if (capacity >= 1) {
            quota.sentAtUs.clear();
            return true;
        }
        while (!quota.sentAtUs.isEmpty() && quota.sentAtUs.peek() <= nowUs - windowUs) {
            quota.sentAtUs.poll();
        }
        long window = (nowUs - stats.node().startedAtUs) / windowUs;
        if (quota.window != window) {
            quota.window = window;
            quota.draw = random.nextDouble();
            quota.warmRate = warmRate(stats.node().kind, all, nowUs);
        }
        double usualParts = windowUs * quota.warmRate;
        double limit = HEADROOM_FACTOR * windowMultiple * capacity * usualParts;
        // Only windows in which a part comes up for the node can use a fractional limit, so the
        // limit is divided by the share of such windows.
        limit = limit < 1 ? Math.min(1, limit / -Math.expm1(-usualParts)) : limit;
        return quota.sentAtUs.size() + quota.draw < limit;
    }

    /**
     * Parts per microsecond that a warm node of the kind answers for this router.
     *
     * <p>The rates of all routers add up to what the nodes really answer. Shares by the configured number of
     * routers would add up to too much where there are more routers than configured; a router without answers
     * from such nodes still uses that number.
     */
    private double warmRate(int kind, Iterable<ReplicaStats> all, long nowUs) {
        double rate = 0;
        int warmNodes = 0;
        for (ReplicaStats stats : all) {
            if (stats.node().kind == kind && capacity(stats.node(), nowUs) >= 1) {
                rate += health.answerRate(stats, nowUs);
                warmNodes++;
            }
        }
        return rate == 0 ? 1 / (health.latency().averageUs() * routers) : rate / warmNodes;
    }

    void recordSend(ReplicaStats stats, long nowUs) {
        if (capacity(stats.node(), nowUs) < 1) {
            stats.slowStartQuota().sentAtUs.add(nowUs);
        }
    }
}
