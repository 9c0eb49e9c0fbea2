package tinlink.policy.rollout;

import java.util.TreeMap;

/**
 * By what a router has bound itself: the votes that it has sent for one change, each until a time
 * on the shared clock, and what that is on its own. Times are microseconds.
 */
final class VoteBinding {
    /**
     * Votes that may be on their way at a time; older ones are assumed to be the one that counts.
     */
    private static final int MAX_SENT_VOTES = 16;

    private String changeId = "";
    /**
     * Ends on the local clock by ends on the shared one. Emptied as the router binds itself for
     * another change.
     */
    private final TreeMap<Long, Long> localEndBySharedEnd = new TreeMap<>();

    /** The change that the router has bound itself for last; empty where there is none. */
    String changeId() {
        return changeId;
    }

    /** A vote for that change is sent that binds until these times. */
    void voteSent(String votedChangeId, long sharedUntilUs, long localUntilUs) {
        if (!changeId.equals(votedChangeId)) {
            changeId = votedChangeId;
            localEndBySharedEnd.clear();
        }
        localEndBySharedEnd.putIfAbsent(sharedUntilUs, localUntilUs);
        if (localEndBySharedEnd.size() > MAX_SENT_VOTES) {
            // The first is the one that binds while none is known to be agreed on.
            localEndBySharedEnd.remove(
                    localEndBySharedEnd.higherKey(localEndBySharedEnd.firstKey()));
        }
    }

    /**
     * Whether the router's vote for the open change has run out, so that the change may have taken
     * effect without its knowing. Danger: any of the votes that it has sent may be the last one
     * that was agreed on; as long as it knows of none, that is the one that ends soonest.
     *
     * @param agreedUntilUs the end of the vote that is known to be agreed on; 0 where none is
     */
    boolean hasExpired(
            PolicyChange openChange, long agreedUntilUs, long sharedTimeUs, long localTimeUs) {
        if (openChange == null || !openChange.changeId().equals(changeId)) {
            return false;
        }
        localEndBySharedEnd.headMap(agreedUntilUs, false).clear();
        long sharedUntilUs = agreedUntilUs > 0 ? agreedUntilUs : localEndBySharedEnd.firstKey();
        Long localUntilUs = localEndBySharedEnd.get(sharedUntilUs);
        return sharedTimeUs >= sharedUntilUs
                || (localUntilUs != null && localTimeUs >= localUntilUs);
    }
}
