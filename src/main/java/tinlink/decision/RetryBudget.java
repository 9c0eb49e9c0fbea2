package tinlink.decision;

import java.util.ArrayDeque;

/**
 * Bounds further attempts: hedged ones under a tenth of parts, retries under a fifth, and both together
 * within the stated budget.
 */
public final class RetryBudget {
    private static final double HEDGES_PER_PART = 0.1;
    private static final double RETRIES_PER_PART = 0.2;

    private final long windowUs;
    private final double freeAttempts;
    private final double attemptsPerArrival;
    private final double cap;
    private double hedges;
    private double retries;
    /** When lookups and parts arrived, and further attempts left; emptied as the window passes. */
    private final ArrayDeque<Long> arrivals = new ArrayDeque<>();

    private final ArrayDeque<Long> furtherAttempts = new ArrayDeque<>();

    /**
     * @param windowUs over which the stated budget counts; 0 where none is stated
     * @param freeAttempts further attempts that are allowed in any window
     * @param attemptsPerArrival further attempts that each lookup and each part allows besides
     * @param openCap lookups and parts in flight at most
     */
    public RetryBudget(long windowUs, double freeAttempts, double attemptsPerArrival, int openCap) {
        this.windowUs = windowUs;
        this.freeAttempts = freeAttempts;
        this.attemptsPerArrival = attemptsPerArrival;
        cap = openCap;
        retries = RETRIES_PER_PART * cap / 2;
    }

    /** What another site forwards is counted there; counted twice it would be over the budget. */
    void onLookup(Lookup lookup, long nowUs) {
        if (!lookup.isForwarded) {
            recordArrival(nowUs);
        }
    }

    /** Of a lookup that another site has forwarded nothing counts here, as above. */
    void onPart(Lookup lookup, long nowUs) {
        if (!lookup.isForwarded) {
            hedges = Math.min(cap, hedges + HEDGES_PER_PART);
            retries = Math.min(cap, retries + RETRIES_PER_PART);
            recordArrival(nowUs);
        }
    }

    private void recordArrival(long nowUs) {
        if (windowUs > 0) {
            arrivals.add(nowUs);
        }
    }

    boolean allowsHedge(long nowUs) {
        return withinStatedBudget(nowUs) && hedges >= 1;
    }

    boolean allowsRetry(long nowUs) {
        return withinStatedBudget(nowUs) && retries >= 1;
    }

    /** The stated budget holds in any window: what has arrived by now may soon leave it. */
    private boolean withinStatedBudget(long nowUs) {
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
        hedges -= 1;
        recordFurtherAttempt(nowUs);
    }

    void spendRetry(long nowUs) {
        retries -= 1;
        recordFurtherAttempt(nowUs);
    }

    private void recordFurtherAttempt(long nowUs) {
        if (windowUs > 0) {
            furtherAttempts.add(nowUs);
        }
    }
}
