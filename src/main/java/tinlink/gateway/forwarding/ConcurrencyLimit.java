package tinlink.gateway.forwarding;

/**
 * Limits the parts of other sites that may be in flight to this router, and divides the limit evenly among
 * the connected channels. Additive increase, multiplicative decrease: rejections lower the limit by a
 * quarter, so that the forwarding routers queue parts that this router would reject. Times are microseconds
 * of the owner's clock.
 */
final class ConcurrencyLimit {
    private static final double DECREASE = 0.75;
    /** Each increase adds the maximum divided by this number, but at least one part. */
    private static final double INCREASE_DIVISOR = 32.0;

    private final int maxRunning;
    private final long adjustIntervalUs;
    private double limit;
    private boolean rejectedSinceAdjust;
    private long adjustAt;

    ConcurrencyLimit(int maxRunning, long adjustIntervalUs) {
        this.maxRunning = maxRunning;
        this.adjustIntervalUs = adjustIntervalUs;
        limit = maxRunning;
    }

    /** A part was rejected for lack of capacity. */
    void onRejected() {
        rejectedSinceAdjust = true;
    }

    /** Adjusts the limit if the adjustment interval has passed. */
    void adjust(long now) {
        if (now < adjustAt) {
            return;
        }
        adjustAt = now + adjustIntervalUs;
        limit = rejectedSinceAdjust
                ? Math.max(1, DECREASE * limit)
                : Math.min(maxRunning, limit + Math.max(1, maxRunning / INCREASE_DIVISOR));
        rejectedSinceAdjust = false;
    }

    /** The credit window of each connected channel, given the number of them; at least 1. */
    int windowOfEach(int channels) {
        return Math.max(1, (int) (limit / Math.max(1, channels)));
    }

    /** When the limit may increase next; {@link Long#MAX_VALUE} if it is at its maximum. */
    long growsAt() {
        return limit < maxRunning ? adjustAt : Long.MAX_VALUE;
    }
}
