package tinlink.decision;

/**
 * Judges data nodes by the attempts of this router alone. Outcomes and unanswered attempts become evidence on
 * latency, on outliers and on idle connections.
 */
public final class ReplicaHealth {
    private final EvidenceDecay decay;
    private final LatencyEstimator latency;
    private final OutlierDetector outliers;
    private final IdleConnectionDetector idleConnections;

    /**
     * @param longestObjectiveUs the longest latency objective of any lookup class, which sets how fast
     *     evidence decays
     */
    public ReplicaHealth(long longestObjectiveUs) {
        long usualRoundUs = longestObjectiveUs / 3;
        decay = new EvidenceDecay(longestObjectiveUs);
        latency = new LatencyEstimator(decay, usualRoundUs);
        outliers = new OutlierDetector(decay);
        idleConnections = new IdleConnectionDetector(decay, usualRoundUs);
    }

    LatencyEstimator latency() {
        return latency;
    }

    OutlierDetector outliers() {
        return outliers;
    }

    IdleConnectionDetector idleConnections() {
        return idleConnections;
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param tookUs negative where it is unknown
     */
    void onOutcome(ReplicaStats stats, Attempt attempt, Outcome outcome, long tookUs, long nowUs) {
        switch (outcome) {
            case SATISFIED -> {
                latency.record(stats, attempt, (double) tookUs, nowUs);
                idleConnections.record(attempt, 0, nowUs);
                stats.recordAnswer(attempt.sentAtUs, decay, nowUs);
            }
            // A full node rejects fast; by its real latency it would look like the fastest node.
            case REJECTED -> {
                long twoRoundsUs = 2 * attempt.part.lookup.roundUs;
                double latencyUs = Math.max((double) twoRoundsUs, stats.smoothedLatencyUs());
                latency.record(stats, attempt, latencyUs, nowUs);
            }
            case ERROR -> outliers.recordFailure(stats, nowUs);
            case CONNECTION_LOST, NO_CONNECTION -> outliers.recordConnectionFailure(stats, nowUs);
            case NO_ANSWER -> latency.record(stats, attempt, (double) tookUs, nowUs);
            case CANCELLED, NOT_SENT -> {
                // These outcomes show nothing about the data node.
            }
        }
    }

    /**
     * Records that an attempt is still in flight after a full round. Without this, a data node that takes
     * parts and never answers would cost every lookup a round.
     */
    void onUnanswered(ReplicaStats stats, Attempt attempt, long nowUs) {
        double latencyUs = Math.max((double) (nowUs - attempt.sentAtUs), stats.smoothedLatencyUs());
        latency.record(stats, attempt, latencyUs, nowUs);
        idleConnections.record(attempt, 1, nowUs);
        if (stats.lastAnswerAtUs() < attempt.sentAtUs
                && !idleConnections.isDropped(
                        attempt.idleStep,
                        IdleConnectionDetector.SIGNIFICANT_STANDARD_ERRORS,
                        nowUs)) {
            outliers.recordFailure(stats, nowUs);
        }
    }

    /** Parts per microsecond that the data node has recently answered for this router. */
    double answerRate(ReplicaStats stats, long nowUs) {
        return stats.answerRate(decay, nowUs);
    }
}
