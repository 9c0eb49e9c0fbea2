package tinlink.policy.rollout;

import java.util.TreeMap;

/**
 * The votes by which a router has bound itself to one change. The end of each vote is a time on the
 * shared clock and is also tracked on the local clock. Times are in microseconds.
 */
final class VoteBinding {
    /**
     * Maximum number of votes that are tracked while they may be in transit: the first one and the
     * most recent ones.
     */
    private static final int MAX_SENT_VOTES = 16;

    private String changeId = "";
    /**
     * End of each vote on the local clock, by its end on the shared clock. Cleared when the router
     * votes for another change.
     */
    private final TreeMap<Long, Long> localEndBySharedEnd = new TreeMap<>();

    /** Returns the id of the change that the router has voted for last; empty if there is none. */
    String changeId() {
        return changeId;
    }

    /** Records a vote for the change that was sent and binds the router until these times. */
    void recordSentVote(String votedChangeId, long sharedUntilUs, long localUntilUs) {
        if (!changeId.equals(votedChangeId)) {
            changeId = votedChangeId;
            localEndBySharedEnd.clear();
        }
        localEndBySharedEnd.putIfAbsent(sharedUntilUs, localUntilUs);
        if (localEndBySharedEnd.size() > MAX_SENT_VOTES) {
            // The first vote is kept: it binds the router while no vote is known to be in the log.
            localEndBySharedEnd.remove(
                    localEndBySharedEnd.higherKey(localEndBySharedEnd.firstKey()));
        }
    }

    /**
     * Returns whether the router's vote for the open change has expired, so that the change may
     * have taken effect without the router's knowledge. Any vote that the router has sent may be
     * the last one that reached the log. As long as the router knows of none in the log, it has to
     * assume the vote that ends first.
     *
     * @param openChange the open change; null if there is none
     * @param loggedUntilUs end of the vote that is known to be in the log; 0 if none is
     */
    boolean hasExpired(
            PolicyChange openChange, long loggedUntilUs, long sharedTimeUs, long localTimeUs) {
        if (openChange == null || !openChange.changeId().equals(changeId)) {
            return false;
        }
        localEndBySharedEnd.headMap(loggedUntilUs, false).clear();
        long sharedUntilUs = loggedUntilUs > 0 ? loggedUntilUs : localEndBySharedEnd.firstKey();
        Long localUntilUs = localEndBySharedEnd.get(sharedUntilUs);
        return sharedTimeUs >= sharedUntilUs
                || (localUntilUs != null && localTimeUs >= localUntilUs);
    }
}
