package tinlink.decision;

import java.util.SplittableRandom;

/** Keeps the subscription to the endpoint list open where the list must be asked for. */
public final class EndpointListPoller {
    private static final long NEVER = Long.MAX_VALUE;
    /**
     * The first poll and the least backoff, as a fraction of the time within which the list must be asked.
     */
    private static final int FIRST = 16;

    private static final int LONGEST = 2;

    private final SplittableRandom random;
    private final boolean polls;
    private final long maxPollUs;
    private long nextPollAtUs = NEVER;
    private long backoffUs;

    /**
     * @param seed of the times to wait
     * @param polls false where the list is pushed: then nothing is asked for
     * @param maxPollUs within which the list must have been asked
     */
    public EndpointListPoller(long seed, boolean polls, long maxPollUs) {
        random = new SplittableRandom(seed);
        this.polls = polls;
        this.maxPollUs = maxPollUs;
        backoffUs = maxPollUs / FIRST;
    }

    /**
     * Guards against many routers that restart together and overrun the list: each waits a time of its own.
     */
    void onUpdate(QueryCoordinator.EndpointListUpdate update, long nowUs) {
        if (!polls) {
            return;
        }
        switch (update) {
            case CACHED -> nextPollAtUs = nowUs + random.nextLong(Math.max(1, maxPollUs / FIRST));
            case FAILED -> {
                nextPollAtUs = nowUs + backoffUs / 2 + random.nextLong(Math.max(1, backoffUs));
                backoffUs = Math.min(maxPollUs / LONGEST, 2 * backoffUs);
            }
            case CHANGES, FULL -> backoffUs = maxPollUs / FIRST;
        }
    }

    /** {@code Long.MAX_VALUE} where no poll is planned. */
    long nextPollAtUs() {
        return nextPollAtUs;
    }

    /** Whether a poll is due; it then counts as made. */
    boolean takeDuePoll(long nowUs) {
        boolean isDue = nowUs >= nextPollAtUs;
        nextPollAtUs = isDue ? NEVER : nextPollAtUs;
        return isDue;
    }
}
