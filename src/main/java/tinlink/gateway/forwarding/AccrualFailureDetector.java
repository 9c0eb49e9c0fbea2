package tinlink.gateway.forwarding;

import org.apache.commons.statistics.distribution.NormalDistribution;

/**
 * Whether a connection can be relied on. Accrual: the longer the answer to a heartbeat is overdue, measured
 * by how regularly answers have come so far, the less likely the connection is sound. Two levels: past the
 * first nothing new is sent on it, past the second it is cut. Hysteresis: a channel that has failed of late
 * has to show more answers in a row before it is trusted again. Times are microseconds of one clock; no
 * I/O.
 *
 * <p>Source: N. Hayashibara and others, "The phi accrual failure detector" (SRDS 2004), with the two levels
 * computed as times rather than as a figure that is polled.
 */
final class AccrualFailureDetector {
    private static final double SMOOTHING = 0.125;
    /** Standard deviations past the mean: the chance that a sound connection is suspected, and held dead. */
    private static final double SUSPECT_DEVIATIONS =
            NormalDistribution.of(0, 1).inverseSurvivalProbability(1e-3);

    private static final double DEAD_DEVIATIONS =
            NormalDistribution.of(0, 1).inverseSurvivalProbability(1e-8);
    /** What failed is forgotten by half in so many heartbeats. */
    private static final double FAILURE_HALF_LIFE_HEARTBEATS = 40;

    private static final int MAX_REQUIRED_ACKS = 12;
    private final long heartbeatUs;
    private double meanUs;
    private double deviationUs;
    /** When the last answer came, or would have been due. */
    private long lastAckAt;

    private int consecutiveAcks;
    private double failureScore;
    private long failedAt;
    private boolean connected;

    AccrualFailureDetector(long heartbeatUs) {
        this.heartbeatUs = heartbeatUs;
    }

    /** The connection is up; its first answer is due a round trip from now. */
    void onConnected(long now, long roundTripUs) {
        connected = true;
        consecutiveAcks = 0;
        meanUs = heartbeatUs;
        deviationUs = heartbeatUs / 2.0;
        lastAckAt = now + roundTripUs - heartbeatUs;
    }

    /** A heartbeat was answered. */
    void onHeartbeatAck(long now) {
        double gapUs = Math.max(0, now - lastAckAt);
        // Danger: one long gap, taken in whole, would make the next silence look usual.
        double boundedGapUs = Math.min(gapUs, meanUs + 4 * deviationUs);
        deviationUs += SMOOTHING * (Math.abs(boundedGapUs - meanUs) - deviationUs);
        meanUs += SMOOTHING * (boundedGapUs - meanUs);
        consecutiveAcks = now > suspectAt() ? 1 : consecutiveAcks + 1;
        lastAckAt = Math.max(lastAckAt, now);
    }

    void onDisconnected(long now) {
        // Only a connection that was up has failed anybody; a channel that never comes up does not
        // flap.
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

    /** Answers in a row before it is trusted: one, and twice as many for each recent failure. */
    private int requiredAcks(long now) {
        double doublings = Math.max(0, decayedFailureScore(now) - 0.5);
        return (int) Math.min(MAX_REQUIRED_ACKS, Math.round(Math.pow(2, doublings)));
    }

    private double boundedDeviationUs() {
        // Danger: answers that come like clockwork leave no room for the least delay.
        return Math.max(deviationUs, heartbeatUs / 4.0);
    }

    /** From then on nothing new goes on it, unless an answer comes. */
    long suspectAt() {
        return lastAckAt + (long) (meanUs + SUSPECT_DEVIATIONS * boundedDeviationUs());
    }

    /** From then on it counts as dead, unless an answer comes. */
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
