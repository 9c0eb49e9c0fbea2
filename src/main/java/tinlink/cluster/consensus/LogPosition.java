package tinlink.cluster.consensus;

/**
 * The position that the log on a voter's disk has, or is known by other voters to have reached.
 *
 * @param term the highest term in which the voter took part
 * @param confirmedIndex the end of the log that the voter acknowledged in that term; 0 for none
 */
public record LogPosition(int term, long confirmedIndex) {
    /** Whether a disk that is at {@code diskPosition} now may have been at this position before. */
    boolean isWithin(LogPosition diskPosition) {
        return term < diskPosition.term
                || (term == diskPosition.term && confirmedIndex <= diskPosition.confirmedIndex);
    }

    /** Returns the later of two positions. */
    public LogPosition max(LogPosition other) {
        boolean otherLater =
                other.term > term || (other.term == term && other.confirmedIndex > confirmedIndex);
        return otherLater ? other : this;
    }
}
