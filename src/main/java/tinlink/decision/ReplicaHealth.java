package tinlink.decision;

/**
 * How data nodes are judged, by this router's own part calls alone: each outcome and each silence becomes
 * evidence on latency, on outliers and on idle connections.
 */
public final class ReplicaHealth {
    private final EvidenceDecay decay;
    private final LatencyEstimator latency;
    private final OutlierDetector outliers;
    private final IdleConnectionDetector idleConnections;

    /**
     * @param longestObjectiveUs the longest latency objective of any class; evidence fades over a few of
     * these
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
     * An attempt is over.
     *
     * @param tookUs below 0 where the router can't tell
     */
    void onOutcome(ReplicaStats stats, Attempt attempt, Outcome outcome, long tookUs, long nowUs) {
        switch (outcome) {
            case SATISFIED -> {
                latency.record(stats, attempt, (double) tookUs, nowUs);
                idleConnections.record(attempt, 0, nowUs);
                stats.recordAnswer(attempt.sentAtUs, decay, nowUs);
            }
            // A full node ends calls fast; without this it would look like the fastest one.
            case REJECTED -> {
                long twoRoundsUs = 2 * attempt.part.lookup.roundUs;
                double latencyUs = Math.max((double) twoRoundsUs, stats.smoothedLatencyUs());
                latency.record(stats, attempt, latencyUs, nowUs);
            }
            case ERROR -> outliers.recordFailure(stats, nowUs);
            case CONNECTION_LOST, NO_CONNECTION -> outliers.recordConnectionFailure(stats, nowUs);
            case NO_ANSWER -> latency.record(stats, attempt, (double) tookUs, nowUs);
            case CANCELLED, NOT_SENT -> {
                // They say nothing of the node.
            }
        }
    }

    /**
     * An attempt is still in flight after a full round. Guards against a node that takes parts and answers
     * none, and so costs every lookup a round.
     */
    void onSilence(ReplicaStats stats, Attempt attempt, long nowUs) {
        double latencyUs = Math.max((double) (nowUs - attempt.sentAtUs), stats.smoothedLatencyUs());
        latency.record(stats, attempt, latencyUs, nowUs);
        idleConnections.record(attempt, 1, nowUs);
        if (stats.lastAnswerAtUs() < attempt.sentAtUs
                && !idleConnections.isDropped(
                        attempt.idleStep, IdleConnectionDetector.SURE, nowUs)) {
            outliers.recordFailure(stats, nowUs);
        }
    }

    /** Parts a microsecond that this router has had from the node of late. */
    double answerRate(ReplicaStats stats, long nowUs) {
        return stats.answerRate(decay, nowUs);
    }
}
