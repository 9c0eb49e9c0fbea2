package tinlink.gateway.forwarding;

import java.util.SplittableRandom;

/**
 * Computes when a channel may connect again: exponential backoff with jitter. Times are microseconds of the
 * owner's clock.
 */
final class ReconnectBackoff {
    private final long minUs;
    private final long maxUs;
    private long currentUs;
    private long retryAt;

    ReconnectBackoff(long minUs, long maxUs) {
        this.minUs = minUs;
        this.maxUs = maxUs;
    }

    void onConnected() {
        currentUs = 0;
    }

    /**
     * Schedules the next connect. The jitter keeps routers that lost a link at the same time from all
     * reconnecting at the same time.
     */
    void onDisconnected(long now, SplittableRandom random) {
        currentUs = Math.min(maxUs, Math.max(minUs, 2 * currentUs));
        retryAt = now + currentUs / 2 + random.nextLong(currentUs);
    }

    /** The earliest time to connect again; 0 before the first loss of a connection. */
    long retryAt() {
        return retryAt;
    }
}
