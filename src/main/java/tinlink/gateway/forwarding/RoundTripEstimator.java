package tinlink.gateway.forwarding;

/**
 * How long a line takes there and back, smoothed, and its spread (the estimator of RFC 6298).
 * Microseconds.
 */
final class RoundTripEstimator {
    private double smoothedUs;
    private double deviationUs;

    void sample(long sampleUs) {
        if (smoothedUs == 0) {
            smoothedUs = Math.max(1, sampleUs);
            deviationUs = sampleUs / 4.0;
        } else {
            deviationUs += 0.25 * (Math.abs(sampleUs - smoothedUs) - deviationUs);
            smoothedUs += 0.125 * (sampleUs - smoothedUs);
        }
    }

    /** What has to be kept of a part's time beside a round trip that is measured anew for each. */
    long marginUs() {
        return (long) (4 * deviationUs);
    }

    /** What has to be kept of a part's time for the line, whichever way is the slower one. */
    long reservedUs() {
        return (long) (smoothedUs + 4 * deviationUs);
    }
}
