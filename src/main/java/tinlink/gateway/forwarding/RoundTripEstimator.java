package tinlink.gateway.forwarding;

/**
 * Estimates the smoothed round-trip time of a connection and its deviation as RFC 6298 does, in microseconds.
 */
final class RoundTripEstimator {
    private static final double MEAN_GAIN = 0.125;
    private static final double DEVIATION_GAIN = 0.25;
    private static final double DEVIATIONS_RESERVED = 4;

    private double smoothedUs;
    private double deviationUs;

    void sample(long sampleUs) {
        if (smoothedUs == 0) {
            smoothedUs = Math.max(1, sampleUs);
            deviationUs = sampleUs / 4.0;
        } else {
            deviationUs += DEVIATION_GAIN * (Math.abs(sampleUs - smoothedUs) - deviationUs);
            smoothedUs += MEAN_GAIN * (sampleUs - smoothedUs);
        }
    }

    /** The time to reserve for a part in addition to the round trip measured for that part. */
    long marginUs() {
        return (long) (DEVIATIONS_RESERVED * deviationUs);
    }

    /** The time to reserve for a part's round trip; it covers both directions, however unequal they are. */
    long reservedUs() {
        return (long) (smoothedUs + DEVIATIONS_RESERVED * deviationUs);
    }
}
