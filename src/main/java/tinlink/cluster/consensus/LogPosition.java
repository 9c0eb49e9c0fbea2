package tinlink.cluster.consensus;

/**
 * How far a voter's disk is, or is known to have been.
 *
 * @param term the highest in which it took part
 * @param confirmedIndex the end of the log that it confirmed in that term
 */
public record LogPosition(int term, long confirmedIndex) {
    /** Whether a disk that is at that position can have been at this one. */
    boolean isWithin(LogPosition disk) {
        return term < disk.term || (term == disk.term && confirmedIndex <= disk.confirmedIndex);
    }

    /** The further of the two. */
    public LogPosition max(LogPosition other) {
        boolean isFurther =
                other.term > term || (other.term == term && other.confirmedIndex > confirmedIndex);
        return isFurther ? other : this;
    }
}
