package tinlink.decision;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * Holds back what goes to data nodes that are warming up. Guards against a node that has just started, is
 * sent more than it can do, falls over and stays down.
 *
 * <p>Times in microseconds. A <em>window</em> is the time within which too much brings a cold node down.
 */
public final class SlowStart {
    /** Like nodes do what they are asked, which is less than they could. */
    private static final double HEADROOM = 1.2;
    /** Keeps costs finite for a node that can do nothing yet. */
    private static final double LEAST_CAPACITY = 0.01;

    /** What this router has sent to one node that warms up, and may still send within the present window. */
    static final class Quota {
        private final ArrayDeque<Long> sentAtUs = new ArrayDeque<>();
        private long window = -1;
        private double chance;
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
     * @param seed of the chances by which routers share parts of a call
     * @param routers that send to the same nodes, as the settings say
     * @param startCapacity share of its capacity that a node has as it starts
     * @param warmUpUs time from a node's start to its full capacity
     * @param windowMultiple of its present capacity that a node stands within one window
     * @param windowUs 0 where no rule is stated: all nodes count as warm
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

    /** The least share of its capacity that the node can have now; 1 once it is warm. */
    double capacity(DataNode node, long nowUs) {
        if (node.startedAtUs == Long.MIN_VALUE
                || windowUs <= 0
                || nowUs - node.startedAtUs >= warmUpUs) {
            return 1;
        }
        double warmed = Math.max(0, (double) (nowUs - node.startedAtUs) / warmUpUs);
        return Math.max(LEAST_CAPACITY, startCapacity + (1 - startCapacity) * warmed);
    }

    /**
     * Whether this router's quota of what may be sent within a window has room for one more call.
     *
     * <p>One call from each router adds up over many routers. Where the quota is no whole call, chance from
     * the seed says within which windows, counted from the node's start, this router may make one.
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
            quota.chance = random.nextDouble();
            quota.warmRate = warmRate(stats.node().kind, all, nowUs);
        }
        double usual = windowUs * quota.warmRate;
        double allowed = HEADROOM * windowMultiple * capacity * usual;
        // A chance counts for those windows alone in which a part comes up for it.
        allowed = allowed < 1 ? Math.min(1, allowed / -Math.expm1(-usual)) : allowed;
        return quota.sentAtUs.size() + quota.chance < allowed;
    }

    /**
     * Parts a microsecond that this router may count on a warm node of the kind to do for it.
     *
     * <p>Where each router takes a share of a node by their stated number, and there are more of them, the
     * sum is too much; by what nodes do for each, the sum is what they do. A router that knows nothing goes
     * by the number.
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
