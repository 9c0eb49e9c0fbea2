package tinlink.decision;

import java.util.SplittableRandom;

/** Schedules subscriptions to the endpoint list where the router has to ask for the list. */
public final class EndpointListPoller {
    private static final long NEVER = Long.MAX_VALUE;
    /** The first poll's latest time and the shortest backoff are the poll limit divided by this. */
    private static final int MIN_BACKOFF_DIVISOR = 16;

    private static final int MAX_BACKOFF_DIVISOR = 2;

    private final SplittableRandom random;
    private final boolean polling;
    private final long maxPollUs;
    private long nextPollAtUs = NEVER;
    private long backoffUs;

    /**
     * @param seed of the random delays
     * @param polling false where the list is pushed, and the router never asks for it
     * @param maxPollUs time within which the router must have asked for the list
     */
    public EndpointListPoller(long seed, boolean polling, long maxPollUs) {
        random = new SplittableRandom(seed);
        this.polling = polling;
        this.maxPollUs = maxPollUs;
        backoffUs = maxPollUs / MIN_BACKOFF_DIVISOR;
    }

    /**
     * Schedules the next poll. Each router waits for a random time, so that many routers that restart
     * together don't overload discovery.
     */
    void onUpdate(QueryCoordinator.EndpointListUpdate update, long nowUs) {
        if (!polling) {
            return;
        }
        long minBackoffUs = maxPollUs / MIN_BACKOFF_DIVISOR;
        switch (update) {
            case CACHED -> nextPollAtUs = nowUs + random.nextLong(Math.max(1, minBackoffUs));
            case FAILED -> {
                nextPollAtUs = nowUs + backoffUs / 2 + random.nextLong(Math.max(1, backoffUs));
                backoffUs = Math.min(maxPollUs / MAX_BACKOFF_DIVISOR, 2 * backoffUs);
            }
            case CHANGES, FULL -> backoffUs = minBackoffUs;
        }
    }

    /** {@code Long.MAX_VALUE} where no poll is planned. */
    long nextPollAtUs() {
        return nextPollAtUs;
    }

    /** Returns whether a poll is due, and counts it as made. */
    boolean takeDuePoll(long nowUs) {
        boolean due = nowUs >= nextPollAtUs;
        nextPollAtUs = due ? NEVER : nextPollAtUs;
        return due;
    }
}
