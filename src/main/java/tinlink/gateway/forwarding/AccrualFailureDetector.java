package tinlink.gateway.forwarding;

import org.apache.commons.statistics.distribution.NormalDistribution;

/**
 * Judges from the answers to heartbeats whether a connection works. Accrual: the longer an answer is overdue,
 * relative to the mean and deviation of the earlier gaps between answers, the less likely the connection
 * works. Two thresholds: past the first, nothing new is sent on the connection; past the second, the
 * connection is closed. Hysteresis: a channel that has failed recently needs more answers in a row before it
 * is trusted again. Times are microseconds of one clock; no I/O.
 *
 * <p>Source: N. Hayashibara and others, "The phi accrual failure detector" (SRDS 2004), with the two
 * thresholds computed as times instead of a suspicion level that is polled.
 */
final class AccrualFailureDetector {
    private static final double SMOOTHING = 0.125;
    /** Thresholds in standard deviations past the mean, from the probability of a false alarm. */
    private static final double SUSPECT_DEVIATIONS =
            NormalDistribution.of(0, 1).inverseSurvivalProbability(1e-3);

    private static final double DEAD_DEVIATIONS =
            NormalDistribution.of(0, 1).inverseSurvivalProbability(1e-8);
    /** The half-life of the failure score, in heartbeats. */
    private static final double FAILURE_HALF_LIFE_HEARTBEATS = 40;

    private static final int MAX_REQUIRED_ACKS = 12;
    private final long heartbeatUs;
    private double meanUs;
    private double deviationUs;
    /** When the last answer came; for a new connection, one interval before the first answer is due. */
    private long lastAckAt;

    private int consecutiveAcks;
    private double failureScore;
    private long failedAt;
    private boolean connected;

    AccrualFailureDetector(long heartbeatUs) {
        this.heartbeatUs = heartbeatUs;
    }

    /** Starts to judge a new connection; its first answer is due one round trip from now. */
    void onConnected(long now, long roundTripUs) {
        connected = true;
        consecutiveAcks = 0;
        meanUs = heartbeatUs;
        deviationUs = heartbeatUs / 2.0;
        lastAckAt = now + roundTripUs - heartbeatUs;
    }

    /** Records an answer to a heartbeat. */
    void onHeartbeatAck(long now) {
        double gapUs = Math.max(0, now - lastAckAt);
        // The gap is bounded: a single long gap would raise the mean so far that the next failure
        // would be detected late.
        double boundedGapUs = Math.min(gapUs, meanUs + 4 * deviationUs);
        deviationUs += SMOOTHING * (Math.abs(boundedGapUs - meanUs) - deviationUs);
        meanUs += SMOOTHING * (boundedGapUs - meanUs);
        consecutiveAcks = now > suspectAt() ? 1 : consecutiveAcks + 1;
        lastAckAt = Math.max(lastAckAt, now);
    }

    void onDisconnected(long now) {
        // Only the loss of an established connection is a failure; a channel that never connects
        // does not flap.
        if (connected) {
            failureScore = decayedFailureScore(now) + 1;
            failedAt = now;
        }
        connected = false;
        consecutiveAcks = 0;
    }

    private double decayedFailureScore(long now) {
        double halfLives = (now - failedAt) / (FAILURE_HALF_LIFE_HEARTBEATS * heartbeatUs);
        return failureScore * Math.pow(0.5, halfLives);
    }

    /** The answers in a row needed before the connection is trusted: one, doubled for each recent failure. */
    private int requiredAcks(long now) {
        double doublings = Math.max(0, decayedFailureScore(now) - 0.5);
        return (int) Math.min(MAX_REQUIRED_ACKS, Math.round(Math.pow(2, doublings)));
    }

    private double boundedDeviationUs() {
        // Without a lower bound, very regular answers would leave no tolerance for a small delay.
        return Math.max(deviationUs, heartbeatUs / 4.0);
    }

    /** The time from which nothing new is sent on the connection, unless an answer comes before. */
    long suspectAt() {
        return lastAckAt + (long) (meanUs + SUSPECT_DEVIATIONS * boundedDeviationUs());
    }

    /** The time from which the connection counts as dead, unless an answer comes before. */
    long deadAt() {
        return lastAckAt + (long) (meanUs + DEAD_DEVIATIONS * boundedDeviationUs());
    }

    boolean isTrusted(long now) {
        return connected && consecutiveAcks >= requiredAcks(now) && now < suspectAt();
    }

    boolean isDead(long now) {
        return connected && now >= deadAt();
    }
}
