package tinlink.cluster.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * What a voter that has been started again keeps to, since its disk may have forgotten votes that it gave
 * and entries that it confirmed. Whatever it had a part in settling, a majority of the others that it asks
 * has on theirs: of 2f others more than f were asked, and f had to have it. So it grants its vote only to a
 * candidate that is as far as they were, in terms later than theirs, follows nobody of an earlier term, and
 * campaigns itself only once it is as far. The same three numbers tell where a voter's disk is.
 *
 * <p>Source: the argument is that of quorums which meet (D. Ongaro and J. Ousterhout, 2014, section 5.4),
 * with the one who asks left out of the count.
 *
 * @param term the latest that one of them was in
 * @param lastTerm the term of the last entry of a log
 * @param lastIndex the index of that entry
 */
public record RecoveryFloor(int term, int lastTerm, long lastIndex) {
    /** Forbids nothing. */
    public static final RecoveryFloor NONE = new RecoveryFloor(0, 0, 0);

    /**
     * What a voter keeps to by the answers of others.
     *
     * @param answers where the disks of other voters are, in any order
     * @param quorum how many of them suffice: those least far, so that one that is far ahead and gone
     *     again binds nobody
     */
    static RecoveryFloor fromAnswers(Collection<RecoveryFloor> answers, int quorum) {
        if (quorum == 0 || answers.size() < quorum) {
            return NONE;
        }
        List<RecoveryFloor> sorted = new ArrayList<>(answers);
        sorted.sort(Comparator.comparingInt(RecoveryFloor::lastTerm)
                .thenComparingLong(RecoveryFloor::lastIndex));
        RecoveryFloor quorumPosition = sorted.get(quorum - 1);
        int latestTerm = sorted.stream().mapToInt(RecoveryFloor::term).max().orElse(0);
        return new RecoveryFloor(latestTerm, quorumPosition.lastTerm, quorumPosition.lastIndex);
    }

    private boolean isReachedBy(int logTerm, long logIndex) {
        return logTerm > lastTerm || (logTerm == lastTerm && logIndex >= lastIndex);
    }

    /** Whether a candidate in that term, with a log that ends there, may be granted the vote. */
    public boolean mayGrant(int requestTerm, int logTerm, long logIndex) {
        return equals(NONE) || (requestTerm > term && isReachedBy(logTerm, logIndex));
    }

    /**
     * Whether a request for a pre-vote, with a log that ends there, may be answered. Danger: a candidate
     * that is behind in terms alone learns of the later term by that answer; unanswered, it would ask in
     * its own for ever.
     */
    public boolean mayAnswerPreVote(int logTerm, long logIndex) {
        return isReachedBy(logTerm, logIndex);
    }

    /** Whether the leader of that term may be followed. */
    public boolean mayFollow(int requestTerm) {
        return requestTerm >= term;
    }

    /** Whether a voter whose own log ends there may ask for votes. */
    public boolean mayCampaign(int logTerm, long logIndex) {
        return isReachedBy(logTerm, logIndex);
    }
}
