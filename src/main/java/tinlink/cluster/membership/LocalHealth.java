package tinlink.cluster.membership;

/**
 * The local health multiplier of Lifeguard: a measure of the signs that this router itself is slow or
 * partitioned off, so that its view of the others is unreliable. The timeouts that it applies to other
 * routers grow with the multiplier.
 */
final class LocalHealth {
    private static final int MAX_MULTIPLIER = 8;

    private int multiplier;

    /** Returns the multiplier; 0 if there is no sign of a problem of this router. */
    int multiplier() {
        return multiplier;
    }

    void worsen() {
        multiplier = Math.min(MAX_MULTIPLIER, multiplier + 1);
    }

    void improve() {
        multiplier = Math.max(0, multiplier - 1);
    }

    /** Returns the timeout that applies to other routers at the present multiplier. */
    long scaleTimeout(long timeoutUs) {
        return timeoutUs * (1 + multiplier);
    }
}
