package tinlink.decision;

/**
 * Tells failures of single data nodes from slowness or failures of many nodes at once, from the attempts of
 * this router alone.
 */
final class OutlierDetector {
    private static final double UNANSWERED_SMOOTHING = 0.05;
    private static final double WIDESPREAD_UNANSWERED_SHARE = 0.3;
    private static final double MIN_NODES_GOING_DOWN = 1.5;
    /** A client's retry is more likely to have crashed the nodes, and is suspected at fewer of them. */
    private static final double RETRY_SUSPICION_FACTOR = 4;

    private final EvidenceDecay decay;
    /** Share of parts, smoothed, that were unanswered after a round. */
    private double unansweredShare;
    /** Number of data nodes that were found down; decays with time. */
    private double nodesDown;

    private long nodesDownAtUs;

    OutlierDetector(EvidenceDecay decay) {
        this.decay = decay;
    }

    void recordFailure(ReplicaStats stats, long nowUs) {
        stats.recordFailure(decay, nowUs);
    }

    /** Records that a connection to the data node was lost or could not be opened. */
    void recordConnectionFailure(ReplicaStats stats, long nowUs) {
        stats.recordFailure(decay, nowUs);
        if (stats.markDown()) {
            nodesDown = nodesDown * decay.remaining(nodesDownAtUs, nowUs) + 1;
            nodesDownAtUs = nowUs;
        }
    }

    /** Share of recent failures, from 0 for a data node without any to 1. */
    double failureShare(ReplicaStats stats, long nowUs) {
        return stats.failureShare(decay, nowUs);
    }

    /**
     * Records a lookup's round. All of its parts count at once: one by one, the unanswered parts would be
     * recorded last, and outweigh the others.
     */
    void recordRound(int parts, int unansweredParts) {
        unansweredShare += (1 - Math.pow(1 - UNANSWERED_SMOOTHING, parts))
                * ((double) unansweredParts / parts - unansweredShare);
    }

    /**
     * Whether so many parts are unanswered after a round that hedged attempts would only add to the load, as
     * in overload, in a burst, or when something that all nodes share is slow. The rule also holds back
     * useful hedged attempts where a third of the nodes hang at once.
     */
    boolean isSlownessWidespread() {
        return unansweredShare > WIDESPREAD_UNANSWERED_SHARE;
    }

    /** Whether enough nodes were found down recently for a lookup to be suspected of crashing them. */
    boolean areNodesGoingDown(boolean clientRetry, long nowUs) {
        return nodesDown * decay.remaining(nodesDownAtUs, nowUs)
                >= (clientRetry
                        ? MIN_NODES_GOING_DOWN / RETRY_SUSPICION_FACTOR
                        : MIN_NODES_GOING_DOWN);
    }
}
