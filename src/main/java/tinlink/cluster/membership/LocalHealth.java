package tinlink.cluster.membership;

/**
 * How much this router doubts its own view, since it may be slow or cut off itself: Lifeguard's local health
 * multiplier. Its patience with others is stretched by it.
 */
final class LocalHealth {
    private static final int MAX_MULTIPLIER = 8;

    private int multiplier;

    /** 0 where nothing speaks against this router's view. */
    int multiplier() {
        return multiplier;
    }

    void worsen() {
        multiplier = Math.min(MAX_MULTIPLIER, multiplier + 1);
    }

    void improve() {
        multiplier = Math.max(0, multiplier - 1);
    }

    /** A time that others are given, stretched by the doubt in itself. */
    long stretch(long durationUs) {
        return durationUs * (1 + multiplier);
    }
}
