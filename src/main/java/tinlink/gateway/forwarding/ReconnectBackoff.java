package tinlink.gateway.forwarding;

import java.util.SplittableRandom;

/** When a channel may connect again: exponential backoff with jitter. Microseconds of the owner's clock. */
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

    /** Danger: routers that lost the same link at once and all come back at once. */
    void onDisconnected(long now, SplittableRandom random) {
        currentUs = Math.min(maxUs, Math.max(minUs, 2 * currentUs));
        retryAt = now + currentUs / 2 + random.nextLong(currentUs);
    }

    /** At first, at once. */
    long retryAt() {
        return retryAt;
    }
}
