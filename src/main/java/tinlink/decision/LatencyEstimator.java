package tinlink.decision;

/** Estimates the latency of attempts at each data node, and its average over all nodes with samples. */
final class LatencyEstimator {
    /** Least weight of a new sample; the companion of {@code docs/design.md} leaves the value open. */
    private static final double MIN_SAMPLE_WEIGHT = 0.2;

    private final EvidenceDecay decay;
    private final long usualRoundUs;
    /** Sum of the smoothed latencies of all nodes with samples; updated with each sample. */
    private double sumUs;

    private int sampledNodes;

    LatencyEstimator(EvidenceDecay decay, long usualRoundUs) {
        this.decay = decay;
        this.usualRoundUs = usualRoundUs;
    }

    /** @param latencyUs negative where it is unknown, and nothing is recorded */
    void record(ReplicaStats stats, Attempt attempt, double latencyUs, long nowUs) {
        if (latencyUs < 0) {
            return;
        }
        double previousUs = stats.smoothedLatencyUs();
        double weight = sampleWeight(stats, nowUs);
        stats.recordLatency(latencyUs, weight, attempt.callsInFlightBefore, nowUs);
        if (!stats.isForgotten()) {
            sampledNodes += previousUs == 0 ? 1 : 0;
            sumUs += stats.smoothedLatencyUs() - previousUs;
        }
    }

    /**
     * The weight of a new sample, which grows with the time since the last evidence. A router in a large
     * fleet may get one sample a second from a data node; at a constant weight, its estimate would rise only
     * after the node is full. So a sample that comes a round after the last evidence counts for several.
     */
    private double sampleWeight(ReplicaStats stats, long nowUs) {
        long sinceUs = nowUs - stats.lastEvidenceAtUs();
        return Math.max(MIN_SAMPLE_WEIGHT, 1 - Math.exp(-(double) sinceUs / usualRoundUs));
    }

    /**
     * The estimated latency of a data node. The estimate decays to the average of all nodes with its age; a
     * node without samples has the average.
     */
    double latencyUs(ReplicaStats stats, long roundUs, long nowUs) {
        double averageUs = averageUs(roundUs);
        return stats.smoothedLatencyUs() == 0
                ? averageUs
                : averageUs
                        + (stats.smoothedLatencyUs() - averageUs)
                                * decay.remaining(stats.lastEvidenceAtUs(), nowUs);
    }

    /** @param roundUs the average before the first sample of any node */
    double averageUs(long roundUs) {
        return sampledNodes == 0 ? roundUs : sumUs / sampledNodes;
    }

    double averageUs() {
        return averageUs(usualRoundUs);
    }

    /** Removes a data node from the average. */
    void forget(ReplicaStats stats) {
        sampledNodes -= stats.smoothedLatencyUs() > 0 ? 1 : 0;
        sumUs = sampledNodes == 0 ? 0 : sumUs - stats.smoothedLatencyUs();
    }
}
