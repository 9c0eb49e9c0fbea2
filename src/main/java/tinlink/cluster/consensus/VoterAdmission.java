package tinlink.cluster.consensus;

import tinlink.cluster.membership.Incarnation;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Whether a disk that was found at the start may vote, and what it keeps to if it does. Danger: a folder
 * restored from an old copy has forgotten votes that it gave and entries that it confirmed; voting by it,
 * the same term gets two leaders. So the others are asked first how far they know this disk to have been,
 * which incarnation of its router they know, and where their own disks are.
 *
 * <p>It may vote once no other voter that answers knows of anything later and more than half of the others
 * have answered; from then on it keeps to their {@link RecoveryFloor}. With half of the others away for
 * long it votes without one, as soon as a majority of the group, this one counted, has answered: then what
 * is not found out is an old copy whose missing votes and confirmations only those who are away know of.
 *
 * <p>Free of I/O; times are microseconds of one clock. One thread at a time.
 */
public final class VoterAdmission {
    /** What has been found out of this disk so far. */
    public enum Decision {
        /** Others are still asked. */
        UNDECIDED,
        /** It may vote. */
        ADMITTED,
        /** Others know of something later: it is an old copy, or stands for a disk that was lost. */
        STALE_DISK,
        /** Another process runs as the same start of the same router. */
        DUPLICATE_PROCESS
    }

    /** Where it has to vote without a floor, others are waited for so many times as long. */
    private static final int GRACE_FACTOR_WITHOUT_FLOOR = 5;

    private final Incarnation self;
    private final LogPosition diskPosition;
    private final int groupSize;
    private final Set<String> otherVoters;
    private final boolean isDiskEmpty;
    /** By router, where its disk was as it answered last. */
    private final Map<String, RecoveryFloor> answers = new HashMap<>();

    private Decision decision;
    private long quorumSinceUs = Long.MIN_VALUE;
    private long knownStartCount;

    /** Of a disk that is not empty. */
    public VoterAdmission(Incarnation self, LogPosition diskPosition, Set<String> otherVoters) {
        this(self, diskPosition, otherVoters, false);
    }

    /**
     * Begins undecided, unless there is nobody to ask.
     *
     * @param self this process
     * @param diskPosition where its disk is
     * @param otherVoters names of the routers of the other voters
     * @param isDiskEmpty it may be the first start, or the disk before it was lost
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

    /** As {@link #decide} or an answer has last left it. */
    public Decision decision() {
        return decision;
    }

    /** The disk was empty and its router has been known before: it may take the place of the one lost. */
    public boolean isLostDisk() {
        return decision == Decision.STALE_DISK && isDiskEmpty;
    }

    /** So often its router has been started as far as others know, where {@link #isLostDisk}; else 0. */
    public long knownStartCount() {
        return knownStartCount;
    }

    /**
     * Another voter has answered.
     *
     * @param knownIncarnation the newest incarnation of this router that it knows; null for none
     * @param knownPosition how far it knows this disk to have been; null where it does not
     * @param voterPosition where its own disk is
     */
    public void onAnswer(
            String router,
            Incarnation knownIncarnation,
            LogPosition knownPosition,
            RecoveryFloor voterPosition,
            long nowUs) {
        if (decision == Decision.ADMITTED && answers.containsKey(router)) {
            answers.put(
                    router,
                    voterPosition); // It has voted since; what binds it may have become less.
        }
        if (decision != Decision.UNDECIDED || !otherVoters.contains(router)) {
            return;
        }
        Incarnation.Relation relation = knownIncarnation == null
                ? Incarnation.Relation.EARLIER
                : self.relationTo(knownIncarnation);
        if (relation == Incarnation.Relation.DUPLICATE && !isDiskEmpty) {
            decision = Decision.DUPLICATE_PROCESS;
        } else if (relation == Incarnation.Relation.LATER
                || (isDiskEmpty
                        && knownIncarnation != null
                        && relation != Incarnation.Relation.SAME)
                || (knownPosition != null && !knownPosition.isWithin(diskPosition))) {
            decision = Decision.STALE_DISK;
            knownStartCount = knownIncarnation == null ? 1 : knownIncarnation.startCount();
        } else {
            answers.put(router, voterPosition);
            quorumSinceUs = answers.size() == groupSize / 2 ? nowUs : quorumSinceUs;
        }
    }

    /** More than half of the others: they can't all lack what this disk had a part in. */
    private int quorum() {
        return Math.min(otherVoters.size(), otherVoters.size() / 2 + 1);
    }

    /**
     * Decides as far as can be. Those that have not answered are waited for a while past the majority: each
     * may be the one that knows of something later.
     *
     * @param graceUs how long; five times as long where it has to vote without a floor
     */
    public Decision decide(long nowUs, long graceUs) {
        long withoutFloorUs = GRACE_FACTOR_WITHOUT_FLOOR * graceUs;
        boolean hasQuorum = answers.size() >= quorum();
        boolean hasMajority = answers.size() >= groupSize / 2;
        if (decision == Decision.UNDECIDED
                && (answers.size() == otherVoters.size()
                        || (hasQuorum && nowUs >= quorumSinceUs + graceUs)
                        || (hasMajority && nowUs >= quorumSinceUs + withoutFloorUs))) {
            decision = Decision.ADMITTED;
        }
        return decision;
    }

    /** What this voter keeps to, by the newest answers. */
    public RecoveryFloor floor() {
        return RecoveryFloor.fromAnswers(answers.values(), quorum());
    }

    /** Whom to ask, again and again until it is decided; and after that for as long as nobody leads. */
    public Set<String> votersToAsk() {
        Set<String> pending = new TreeSet<>(otherVoters);
        if (decision == Decision.UNDECIDED) {
            pending.removeAll(answers.keySet());
        }
        return pending;
    }
}
