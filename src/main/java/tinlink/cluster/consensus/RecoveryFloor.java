package tinlink.cluster.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * A lower bound that a restarted voter observes, since its disk may have lost votes that the voter granted
 * and entries that it acknowledged. The voter asks the other voters for their terms and log ends. Whatever
 * was decided with its help is stored by at least f of the 2f others, and more than f of them have to answer,
 * so at least one answer reflects it. Hence the voter
 * <ul>
 * <li>grants its vote only in terms later than theirs, to a candidate whose log has reached theirs;
 * <li>follows no leader of a term earlier than theirs;
 * <li>campaigns only once its own log has reached theirs.
 * </ul>
 *
 * <p>The same three numbers also describe the term and log end of a single voter.
 *
 * <p>Source: the argument of intersecting quorums in D. Ongaro and J. Ousterhout, "In Search of an
 * Understandable Consensus Algorithm" (2014), section 5.4, with the asking voter left out of the count.
 *
 * @param term the latest term of the voters that answered
 * @param lastTerm the term of the last log entry
 * @param lastIndex the index of the last log entry
 */
public record RecoveryFloor(int term, int lastTerm, long lastIndex) {
    /** A floor that forbids nothing. */
    public static final RecoveryFloor NONE = new RecoveryFloor(0, 0, 0);

    /**
     * Computes a floor from the answers of other voters; {@link #NONE} if there are fewer than a quorum.
     *
     * @param answers terms and log ends of the other voters, in any order
     * @param quorum number of log ends that determine the floor. The shortest logs are taken, so that a voter
     *     that was far ahead and has gone down again doesn't bind this one
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

    /** Whether a log that ends with that entry is at least as up to date as the floor. */
    private boolean isReachedBy(int logTerm, long logIndex) {
        return logTerm > lastTerm || (logTerm == lastTerm && logIndex >= lastIndex);
    }

    /** Whether the vote may be granted to a candidate of that term whose log ends with that entry. */
    public boolean mayGrant(int candidateTerm, int logTerm, long logIndex) {
        return equals(NONE) || (candidateTerm > term && isReachedBy(logTerm, logIndex));
    }

    /**
     * Whether a pre-vote request of a candidate whose log ends with that entry may be answered. The
     * candidate's term doesn't matter: a candidate that is behind in its term alone learns the later term
     * from the answer, and without an answer it would send requests of its own term forever.
     */
    public boolean mayAnswerPreVote(int logTerm, long logIndex) {
        return isReachedBy(logTerm, logIndex);
    }

    /** Whether the leader of that term may be followed. */
    public boolean mayFollow(int leaderTerm) {
        return leaderTerm >= term;
    }

    /** Whether a voter whose own log ends with that entry may request votes. */
    public boolean mayCampaign(int logTerm, long logIndex) {
        return isReachedBy(logTerm, logIndex);
    }
}
