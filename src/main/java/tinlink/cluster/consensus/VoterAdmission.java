package tinlink.cluster.consensus;

import tinlink.cluster.membership.Incarnation;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides whether the disk that a router finds at its start may vote, and computes the {@link RecoveryFloor}
 * that its voter then has to observe. A folder that was restored from an old copy lacks votes that the voter
 * granted and entries that it acknowledged since; a voter that used the copy could give one term two leaders.
 * So the router first asks the other voters which position of this disk and which incarnation of this router
 * they know, and where their own logs end.
 *
 * <p>The disk is admitted once more than half of the other voters have answered and none of them knows of
 * anything later; the voter then observes the floor of their answers. While half of the other voters stay
 * away, the disk is admitted without a floor after a longer wait, as soon as a majority of the group,
 * counting this voter, has answered. Then an old copy goes undetected if only the voters that are away know
 * of the votes and acknowledgements that it lacks.
 *
 * <p>Free of I/O. Times are microseconds of one clock. Not safe for use by several threads.
 */
public final class VoterAdmission {
    /** The result of the admission so far. */
    public enum Decision {
        /** Other voters still have to answer. */
        UNDECIDED,
        /** The disk may vote. */
        ADMITTED,
        /** Another voter knows of something later: the disk is an old copy, or replaces a lost disk. */
        STALE_DISK,
        /** Another process of the same router runs with the same start count. */
        DUPLICATE_PROCESS
    }

    /** Factor on the grace period after which a disk is admitted without a floor. */
    private static final int GRACE_FACTOR_WITHOUT_FLOOR = 5;

    private final Incarnation self;
    private final LogPosition diskPosition;
    private final int groupSize;
    private final Set<String> otherVoters;
    private final boolean diskEmpty;
    /** The term and log end in the last answer of each voter, by router; bounded by the other voters. */
    private final Map<String, RecoveryFloor> answers = new HashMap<>();

    private Decision decision;
    /** When a majority of the group, counting this voter, had answered. */
    private long majoritySinceUs = Long.MIN_VALUE;

    private long knownStartCount;

    /** The admission of a disk that is not empty. */
    public VoterAdmission(Incarnation self, LogPosition diskPosition, Set<String> otherVoters) {
        this(self, diskPosition, otherVoters, false);
    }

    /**
     * The admission of any disk; undecided at first, unless there are no other voters.
     *
     * @param self this process
     * @param diskPosition the position of this router's disk
     * @param otherVoters names of the routers of the other voters
     * @param diskEmpty whether the disk is empty: it is the router's first start, or the previous disk was
     *     lost
     */
    public VoterAdmission(
            Incarnation self,
            LogPosition diskPosition,
            Set<String> otherVoters,
            boolean diskEmpty) {
        this.diskEmpty = diskEmpty;
        this.self = self;
        this.diskPosition = diskPosition;
        this.otherVoters = Set.copyOf(otherVoters);
        groupSize = otherVoters.size() + 1;
        decision = otherVoters.isEmpty() ? Decision.ADMITTED : Decision.UNDECIDED;
    }

    /** The decision as of the last answer or the last call of {@link #decide}. */
    public Decision decision() {
        return decision;
    }

    /** Whether the disk is empty although its router was known before: it may replace a lost disk. */
    public boolean isLostDisk() {
        return decision == Decision.STALE_DISK && diskEmpty;
    }

    /** How many starts of this router another voter knows of; 0 unless {@link Decision#STALE_DISK}. */
    public long knownStartCount() {
        return knownStartCount;
    }

    /**
     * Handles the answer of another voter.
     *
     * @param router the name of the other voter's router
     * @param knownIncarnation the newest incarnation of this router that the other voter knows; null for none
     * @param knownPosition the latest position of this disk that the other voter knows; null for none
     * @param logEnd the other voter's own term and log end
     */
    public void onAnswer(
            String router,
            Incarnation knownIncarnation,
            LogPosition knownPosition,
            RecoveryFloor logEnd,
            long nowUs) {
        if (decision == Decision.ADMITTED && answers.containsKey(router)) {
            // Voting has gone on since the last answer, so the floor may have become lower.
            answers.put(router, logEnd);
        }
        if (decision != Decision.UNDECIDED || !otherVoters.contains(router)) {
            return;
        }
        Incarnation.Relation relation = knownIncarnation == null
                ? Incarnation.Relation.EARLIER
                : self.relationTo(knownIncarnation);
        if (relation == Incarnation.Relation.DUPLICATE && !diskEmpty) {
            decision = Decision.DUPLICATE_PROCESS;
        } else if (relation == Incarnation.Relation.LATER
                || (diskEmpty && knownIncarnation != null && relation != Incarnation.Relation.SAME)
                || (knownPosition != null && !knownPosition.isWithin(diskPosition))) {
            decision = Decision.STALE_DISK;
            knownStartCount = knownIncarnation == null ? 1 : knownIncarnation.startCount();
        } else {
            answers.put(router, logEnd);
            majoritySinceUs = answers.size() == groupSize / 2 ? nowUs : majoritySinceUs;
        }
    }

    /** More than half of the other voters: at least one of them knows what this disk helped to decide. */
    private int quorum() {
        return Math.min(otherVoters.size(), otherVoters.size() / 2 + 1);
    }

    /**
     * Decides if enough voters have answered. Once a majority has answered, the others are given some more
     * time, since each of them may be the one that knows of something later.
     *
     * @param graceUs time given to the others after a majority has answered; {@link
     *     #GRACE_FACTOR_WITHOUT_FLOOR} times as long before the disk is admitted without a floor
     */
    public Decision decide(long nowUs, long graceUs) {
        long graceWithoutFloorUs = GRACE_FACTOR_WITHOUT_FLOOR * graceUs;
        boolean quorumAnswered = answers.size() >= quorum();
        boolean majorityAnswered = answers.size() >= groupSize / 2;
        if (decision == Decision.UNDECIDED
                && (answers.size() == otherVoters.size()
                        || (quorumAnswered && nowUs >= majoritySinceUs + graceUs)
                        || (majorityAnswered && nowUs >= majoritySinceUs + graceWithoutFloorUs))) {
            decision = Decision.ADMITTED;
        }
        return decision;
    }

    /** The floor for this voter by the last answers; {@link RecoveryFloor#NONE} if too few have answered. */
    public RecoveryFloor floor() {
        return RecoveryFloor.fromAnswers(answers.values(), quorum());
    }

    /**
     * Routers of the voters to be asked: until the decision, those that have not answered; after it, all. To
     * be asked periodically until the decision, and then as long as there is no leader.
     */
    public Set<String> votersToAsk() {
        Set<String> votersToAsk = new TreeSet<>(otherVoters);
        if (decision == Decision.UNDECIDED) {
            votersToAsk.removeAll(answers.keySet());
        }
        return votersToAsk;
    }
}
