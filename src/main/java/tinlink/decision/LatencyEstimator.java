package tinlink.decision;

/** What a part call to each data node takes, smoothed, and the average of all nodes that were heard of. */
final class LatencyEstimator {
    /** Smoothing weight of the companion: the one figure that the design leaves open. */
    private static final double SMOOTHING = 0.2;

    private final EvidenceDecay decay;
    private final long usualRoundUs;
    /** The smoothed latencies of all nodes heard of, kept up as samples come. */
    private double sumUs;

    private int sampledNodes;

    LatencyEstimator(EvidenceDecay decay, long usualRoundUs) {
        this.decay = decay;
        this.usualRoundUs = usualRoundUs;
    }

    /** @param latencyUs below 0 where the router can't tell: nothing is recorded */
    void record(ReplicaStats stats, Attempt attempt, double latencyUs, long nowUs) {
        if (latencyUs < 0) {
            return;
        }
        double before = stats.smoothedLatencyUs();
        double weight = sampleWeight(stats, nowUs);
        stats.recordLatency(latencyUs, weight, attempt.callsInFlightBefore, nowUs);
        if (!stats.isForgotten()) {
            sampledNodes += before == 0 ? 1 : 0;
            sumUs += stats.smoothedLatencyUs() - before;
        }
    }

    /**
     * A router of many hears of a node once in a second, and by the smoothing weight alone its estimate would
     * move only after the node is full. So a sample that comes a round after the last one counts for many.
     */
    private double sampleWeight(ReplicaStats stats, long nowUs) {
        long sinceUs = nowUs - stats.lastEvidenceAtUs();
        return Math.max(SMOOTHING, 1 - Math.exp(-(double) sinceUs / usualRoundUs));
    }

    /** A node without samples counts as average; estimates fade to the average with their age. */
    double latencyUs(ReplicaStats stats, long roundUs, long nowUs) {
        double average = averageUs(roundUs);
        return stats.smoothedLatencyUs() == 0
                ? average
                : average
                        + (stats.smoothedLatencyUs() - average)
                                * decay.remaining(stats.lastEvidenceAtUs(), nowUs);
    }

    /** @param roundUs what counts before the first sample of any node */
    double averageUs(long roundUs) {
        return sampledNodes == 0 ? roundUs : sumUs / sampledNodes;
    }

    double averageUs() {
        return averageUs(usualRoundUs);
    }

    /** The node no longer counts into the average. */
    void forget(ReplicaStats stats) {
        sampledNodes -= stats.smoothedLatencyUs() > 0 ? 1 : 0;
        sumUs = sampledNodes == 0 ? 0 : sumUs - stats.smoothedLatencyUs();
    }
}
