package tinlink.decision;

import java.util.ArrayDeque;

/**
 * Limits further attempts: hedged attempts to a tenth of the parts, retries to a fifth, and both together to
 * the configured budget.
 */
public final class RetryBudget {
    private static final double HEDGES_PER_PART = 0.1;
    private static final double RETRIES_PER_PART = 0.2;

    private final long windowUs;
    private final double freeAttempts;
    private final double attemptsPerArrival;
    private final double maxTokens;
    private double hedgeTokens;
    private double retryTokens;
    /** Times at which lookups and parts arrived within the window; empty where no budget is configured. */
    private final ArrayDeque<Long> arrivals = new ArrayDeque<>();

    /** Times of the further attempts within the window; empty where no budget is configured. */
    private final ArrayDeque<Long> furtherAttempts = new ArrayDeque<>();

    /**
     * @param windowUs window of the configured budget, in microseconds; 0 where none is configured
     * @param freeAttempts further attempts that any window allows
     * @param attemptsPerArrival further attempts that each lookup and each part in the window adds
     * @param maxInFlight greatest number of lookups and parts in flight
     */
    public RetryBudget(
            long windowUs, double freeAttempts, double attemptsPerArrival, int maxInFlight) {
        this.windowUs = windowUs;
        this.freeAttempts = freeAttempts;
        this.attemptsPerArrival = attemptsPerArrival;
        maxTokens = maxInFlight;
        retryTokens = RETRIES_PER_PART * maxTokens / 2;
    }

    /**
     * Counts a lookup. A forwarded lookup counts at the site that it comes from; counted here as well, it
     * would allow more further attempts than the budget.
     */
    void onLookup(Lookup lookup, long nowUs) {
        if (!lookup.forwarded) {
            recordArrival(nowUs);
        }
    }

    /** Counts a part of the lookup; as above, the part of a forwarded lookup does not count here. */
    void onPart(Lookup lookup, long nowUs) {
        if (!lookup.forwarded) {
            hedgeTokens = Math.min(maxTokens, hedgeTokens + HEDGES_PER_PART);
            retryTokens = Math.min(maxTokens, retryTokens + RETRIES_PER_PART);
            recordArrival(nowUs);
        }
    }

    private void recordArrival(long nowUs) {
        if (windowUs > 0) {
            arrivals.add(nowUs);
        }
    }

    boolean allowsHedge(long nowUs) {
        return isWithinConfiguredBudget(nowUs) && hedgeTokens >= 1;
    }

    boolean allowsRetry(long nowUs) {
        return isWithinConfiguredBudget(nowUs) && retryTokens >= 1;
    }

    /**
     * Whether one more attempt keeps the configured budget, which must hold in any window. So an arrival at
     * the very start of the window, which is about to leave it, no longer counts, and a further attempt does.
     */
    private boolean isWithinConfiguredBudget(long nowUs) {
        while (!arrivals.isEmpty() && arrivals.peek() <= nowUs - windowUs) {
            arrivals.poll();
        }
        while (!furtherAttempts.isEmpty() && furtherAttempts.peek() < nowUs - windowUs) {
            furtherAttempts.poll();
        }
        return windowUs <= 0
                || furtherAttempts.size() + 1
                        <= freeAttempts + attemptsPerArrival * arrivals.size();
    }

    void spendHedge(long nowUs) {
        hedgeTokens -= 1;
        recordFurtherAttempt(nowUs);
    }

    void spendRetry(long nowUs) {
        retryTokens -= 1;
        recordFurtherAttempt(nowUs);
    }

    private void recordFurtherAttempt(long nowUs) {
        if (windowUs > 0) {
            furtherAttempts.add(nowUs);
        }
    }
}
