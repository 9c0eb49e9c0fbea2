package tinlink.gateway.forwarding;

/**
 * How long a connection takes there and back, smoothed, and its deviation: the estimator of RFC 6298.
 * Microseconds.
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

    /** What has to be kept of a part's time beside a round trip that is measured anew for each. */
    long marginUs() {
        return (long) (DEVIATIONS_RESERVED * deviationUs);
    }

    /** What has to be kept of a part's time for the network, whichever way is the slower one. */
    long reservedUs() {
        return (long) (smoothedUs + DEVIATIONS_RESERVED * deviationUs);
    }
}
