package tinlink.gateway.forwarding;

/**
 * How many parts of other sites may be in flight to this router, shared out evenly among the channels that
 * are connected. Additive increase, multiplicative decrease: a quarter less after rejections, so that the
 * forwarding sides hold back what would be rejected here. Times are microseconds of the owner's clock.
 */
final class ConcurrencyLimit {
    private static final double DECREASE = 0.75;
    /** It grows by one part in so many, at least by one. */
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

    /** Adjusts the limit where that is due. */
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

    /** The credit window of each of so many connected channels; at least 1. */
    int windowOfEach(int channels) {
        return Math.max(1, (int) (limit / Math.max(1, channels)));
    }

    /** When it grows next; {@link Long#MAX_VALUE} where it can't. */
    long growsAt() {
        return limit < maxRunning ? adjustAt : Long.MAX_VALUE;
    }
}
