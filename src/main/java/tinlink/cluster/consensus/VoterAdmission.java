package tinlink.cluster.consensus;

import tinlink.cluster.membership.Incarnation;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Whether a disk that was found at the start may vote, and what it holds to if it does. Danger: a
 * folder restored from an old copy has forgotten votes that it gave and lines that it confirmed;
 * voting by it, the same term gets two leaders. So the others are asked first how far they have
 * heard this disk to be, which incarnation of its router they know, and where their own disks are.
 *
 * <p>It may vote once no other voter that answers knows of anything later and more than half of the
 * others have answered; from then on it holds to their {@link RecoveryFloor}. With half of the others away
 * for long it votes without one, as soon as a majority of the group, this one counted, has
 * answered: then what is not found out is an old copy whose missing votes and confirmations only
 * those who are away know of.
 */
public final class VoterAdmission {
    /** What is known of this disk so far. */
    public enum Decision {
        UNDECIDED,
        ADMITTED,
        STALE_DISK,
        DUPLICATE_PROCESS
    }

    /**
     * How far a disk has been heard to be.
     *
     * @param term the highest in which it said something
     * @param confirmedIndex the end of the log that
     *     it confirmed in that term
     */
    public record LogPosition(int term, long confirmedIndex) {
        /** Whether a disk that is there can have said this. */
        boolean isWithin(LogPosition diskPosition) {
            return term < diskPosition.term
                    || (term == diskPosition.term && confirmedIndex <= diskPosition.confirmedIndex);
        }

        /** Both heard. */
        public LogPosition max(LogPosition other) {
            return other.term > term
                            || (other.term == term && other.confirmedIndex > confirmedIndex)
                    ? other
                    : this;
        }
    }

    private final Incarnation self;
    private final LogPosition diskPosition;
    private final int groupSize;
    private final Set<String> otherVoters;
    private final boolean isDiskEmpty;
    /** By router, where its disk was as it answered last. */
    private final Map<String, RecoveryFloor> answered = new HashMap<>();

    private Decision decision;
    private long quorumSinceUs = Long.MIN_VALUE;

    /** What is heard of this router's later incarnation, where its disk is found to be lost; 0 before. */
    private long knownStartCount;

    public VoterAdmission(Incarnation self, LogPosition diskPosition, Set<String> otherVoters) {
        this(self, diskPosition, otherVoters, false);
    }

    /**
     * @param otherVoters names of the routers of the other voters
     * @param isDiskEmpty nothing is on the disk: it may be the first start, or the disk before it was
     *     lost
     */
    public VoterAdmission(
            Incarnation self,
            LogPosition diskPosition,
            Set<String> otherVoters,
            boolean isDiskEmpty) {
        this.isDiskEmpty = isDiskEmpty;
        this.self = self;
        this.diskPosition = diskPosition;
        this.otherVoters = Set.copyOf(otherVoters);
        groupSize = otherVoters.size() + 1;
        decision = otherVoters.isEmpty() ? Decision.ADMITTED : Decision.UNDECIDED;
    }

    public Decision decision() {
        return decision;
    }

    /**
     * The disk was empty and its router has been known before: this one may stand for the one lost.
     */
    public boolean isLostDisk() {
        return decision == Decision.STALE_DISK && isDiskEmpty;
    }

    /** So often its router has been started as far as others know, where {@link #isLostDisk}. */
    public long knownStartCount() {
        return knownStartCount;
    }

    /**
     * What another voter has said.
     *
     * @param knownIncarnation the newest incarnation of this router that it has heard of; null for none
     * @param knownPosition how far it has heard this disk to be; null for nothing
     * @param voterPosition where its own disk is
     */
    public void answered(
            String router,
            Incarnation knownIncarnation,
            LogPosition knownPosition,
            RecoveryFloor voterPosition,
            long nowUs) {
        if (decision == Decision.ADMITTED && answered.containsKey(router)) {
            answered.put(
                    router,
                    voterPosition); // It has voted since; what binds it may have become less.
        }
        if (decision != Decision.UNDECIDED || !otherVoters.contains(router)) {
            return;
        }
        Incarnation.Relation relation = knownIncarnation == null
                ? Incarnation.Relation.EARLIER
                : self.relationTo(knownIncarnation);
        if (relation == Incarnation.Relation.TWIN && !isDiskEmpty) {
            decision = Decision.DUPLICATE_PROCESS;
        } else if (relation == Incarnation.Relation.LATER
                || (isDiskEmpty
                        && knownIncarnation != null
                        && relation != Incarnation.Relation.SAME)
                || (knownPosition != null && !knownPosition.isWithin(diskPosition))) {
            decision = Decision.STALE_DISK;
            knownStartCount = knownIncarnation == null ? 1 : knownIncarnation.startCount();
        } else {
            answered.put(router, voterPosition);
            quorumSinceUs = answered.size() == groupSize / 2 ? nowUs : quorumSinceUs;
        }
    }

    /** More than half of the others: they can't all lack what this disk had a part in. */
    private int quorum() {
        return Math.min(otherVoters.size(), otherVoters.size() / 2 + 1);
    }

    /**
     * Those that have not answered are waited for a while past the majority: each may be the one
     * that knows.
     *
     * @param graceUs how long; five times as long where it has to vote without a floor
     */
    public Decision decide(long nowUs, long graceUs) {
        boolean hasQuorum = answered.size() >= quorum();
        if (decision == Decision.UNDECIDED
                && (answered.size() == otherVoters.size()
                        || (hasQuorum && nowUs >= quorumSinceUs + graceUs)
                        || (answered.size() >= groupSize / 2
                                && nowUs >= quorumSinceUs + 5 * graceUs))) {
            decision = Decision.ADMITTED;
        }
        return decision;
    }

    /** What this voter holds to, by the newest answers. */
    public RecoveryFloor floor() {
        return RecoveryFloor.fromAnswers(answered.values(), quorum());
    }

    /**
     * Whom to ask, again and again until it is known; and after that for as long as nobody leads.
     */
    public Set<String> votersToAsk() {
        Set<String> pending = new java.util.TreeSet<>(otherVoters);
        if (decision == Decision.UNDECIDED) {
            pending.removeAll(answered.keySet());
        }
        return pending;
    }
}
