package tinlink.decision;

/** Tells data nodes that fail from trouble that all of them share, by this router's own part calls alone. */
final class OutlierDetector {
    private static final double SILENCE_SMOOTHING = 0.05;
    private static final double SHARED_SILENCE = 0.3;
    private static final double NODES_GOING_DOWN = 1.5;
    /** A client's retry is the likelier one to have brought the nodes down. */
    private static final double RETRY_SUSPICION = 4;

    private final EvidenceDecay decay;
    /** Share of parts, smoothed, that were still in flight after a round. */
    private double silentShare;
    /** Nodes that were found down of late, fading. */
    private double nodesDown;

    private long nodesDownAtUs;

    OutlierDetector(EvidenceDecay decay) {
        this.decay = decay;
    }

    void recordFailure(ReplicaStats stats, long nowUs) {
        stats.recordFailure(decay, nowUs);
    }

    /** A connection to the node was lost or did not come up. */
    void recordConnectionFailure(ReplicaStats stats, long nowUs) {
        stats.recordFailure(decay, nowUs);
        if (stats.markDown()) {
            nodesDown = nodesDown * decay.remaining(nodesDownAtUs, nowUs) + 1;
            nodesDownAtUs = nowUs;
        }
    }

    /** From 0 for a node with no recent failure up to 1. */
    double failureShare(ReplicaStats stats, long nowUs) {
        return stats.failureShare(decay, nowUs);
    }

    /** A lookup's parts count together: one by one its silent ones, judged last, would pass for all. */
    void recordRound(int parts, int silentParts) {
        silentShare += (1 - Math.pow(1 - SILENCE_SMOOTHING, parts))
                * ((double) silentParts / parts - silentShare);
    }

    /**
     * Hedged attempts for what all nodes are slow at only add to it. Guards against overload, bursts and
     * whatever the nodes share; may hurt where a third of them hang at once.
     */
    boolean isTroubleShared() {
        return silentShare > SHARED_SILENCE;
    }

    /** Whether enough nodes were found down of late for a lookup to be suspected of bringing them down. */
    boolean areNodesGoingDown(boolean isClientRetry, long nowUs) {
        return nodesDown * decay.remaining(nodesDownAtUs, nowUs)
                >= (isClientRetry ? NODES_GOING_DOWN / RETRY_SUSPICION : NODES_GOING_DOWN);
    }
}
