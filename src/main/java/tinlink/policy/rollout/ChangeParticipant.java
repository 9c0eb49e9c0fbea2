package tinlink.policy.rollout;

import java.util.TreeMap;
import java.util.function.Function;

/**
 * One router's part in changes of policy: its votes, and by which policy it takes lookups now, if by any.
 * Inputs only update what is known; what is to be sent is pulled. The clock is the one that all machines
 * read; it may step, and then nothing unsafe follows beyond the error that is stated for it.
 */
public final class ChangeParticipant {
    /** Proposes a command to the agreed log; it may get lost. */
    public interface Proposer {
        void propose(PolicyCommand command);
    }

    /**
     * What a lookup may be taken by.
     *
     * @param epoch below 0 for none
     * @param unavailableReason none may be taken; empty where one may
     */
    public record EffectivePolicy(long epoch, String unavailableReason) {
        public boolean isPresent() {
            return epoch >= 0;
        }
    }

    /** Words that may be on their way at a time; older ones are held to be the one that counts. */
    private static final int MAX_SENT_VOTES = 16;

    private final String router;
    private final String incarnation;
    private final long startCount;
    private final long retryIntervalUs;
    private final Function<PolicyChange, String> startChecks;
    private long sharedTimeUs;
    private long localTimeUs;
    /**
     * The change that it has bound itself for, and its words for it: until when on the shared clock, and on
     * its
     * own. Emptied as it binds itself for another.
     */
    private String boundChangeId = "";

    private final TreeMap<Long, Long> sentVotes = new TreeMap<>();
    private long leaseExpiresAtUs = Long.MIN_VALUE;
    private long lastSentAtUs = Long.MIN_VALUE / 2;
    private String checkedChangeId = "";
    private String rejectionReason = "";
    /** The epoch that lookups were taken by last: it never goes back. */
    private long newestUsedEpoch = -1;
    /** Of the newest version that was seen before its time: when that comes on its own clock. */
    private long awaitedEpoch = -1;

    private long awaitedUntilLocalUs;
    private String checkedDigest = "";
    private String checkedDigestReason = "";
    private long digestCheckedAtUs;

    /**
     * @param startCount how often this router has been started, this incarnation counted
     * @param retryIntervalUs what got lost is said again after so long
     * @param startChecks of a proposed text, by this router's own start checks: why not, or empty
     */
    public ChangeParticipant(
            String router,
            String incarnation,
            long startCount,
            long retryIntervalUs,
            Function<PolicyChange, String> startChecks) {
        this.router = router;
        this.incarnation = incarnation;
        this.startCount = startCount;
        this.retryIntervalUs = retryIntervalUs;
        this.startChecks = startChecks;
    }

    /**
     * @param sharedUs on the clock that all machines read
     * @param localUs on one of this machine's that only goes on; what is counted on it survives steps of the
     * other
     */
    public void updateClocks(long sharedUs, long localUs) {
        sharedTimeUs = sharedUs;
        localTimeUs = localUs;
    }

    /**
     * A majority has confirmed that what this router has heard of is all there was, when it was asked.
     *
     * @param requestedAtUs when it was asked, on this machine's own clock
     */
    public void leaseGranted(long requestedAtUs, long leaseUs) {
        leaseExpiresAtUs = Math.max(leaseExpiresAtUs, requestedAtUs + leaseUs);
    }

    /** Says what is due. */
    public void decide(PolicyChanges changes, Proposer proposer) {
        PolicyCommand command = nextCommand(changes);
        if (command != null) {
            lastSentAtUs = localTimeUs;
            proposer.propose(command);
        }
    }

    private PolicyCommand nextCommand(PolicyChanges changes) {
        boolean isDue = localTimeUs - lastSentAtUs >= retryIntervalUs;
        if (!changes.isEnrolled(router, incarnation)) {
            return isDue ? new PolicyCommand.Enrol(router, incarnation, startCount) : null;
        }
        PolicyChange change = changes.openChange();
        if (change == null) {
            return null;
        }
        if (!checkedChangeId.equals(change.id())) {
            checkedChangeId = change.id();
            rejectionReason = startChecks.apply(change);
            isDue = true;
        }
        if (!rejectionReason.isEmpty()) {
            return isDue && !change.isRejectedBy(router)
                    ? new PolicyCommand.VoteNo(change.id(), router, incarnation, rejectionReason)
                    : null;
        }
        // Said again at half of its time, so that it is never in doubt for want of a word.
        if (!isDue
                || change.boundUntilUs(router, incarnation)
                        >= sharedTimeUs + change.absencePolicy().voteBindingUs() / 2) {
            return null;
        }
        if (!boundChangeId.equals(change.id())) {
            boundChangeId = change.id();
            sentVotes.clear();
        }
        long boundUntilUs = sharedTimeUs + change.absencePolicy().voteBindingUs();
        sentVotes.putIfAbsent(boundUntilUs, localTimeUs + change.absencePolicy().voteBindingUs());
        if (sentVotes.size() > MAX_SENT_VOTES) {
            // The first is the one that binds while none is known.
            sentVotes.remove(sentVotes.higherKey(sentVotes.firstKey()));
        }
        return new PolicyCommand.VoteYes(change.id(), router, incarnation, boundUntilUs);
    }

    /**
     * Whether its word has run out. Danger: any of the words that it has said may be the last one that was
     * agreed on; as long as it knows of none, that is the one that binds it soonest.
     */
    private boolean isInDoubt(PolicyChange openChange) {
        if (openChange == null || !openChange.id().equals(boundChangeId)) {
            return false;
        }
        long knownUntilUs = openChange.boundUntilUs(router, incarnation);
        sentVotes.headMap(knownUntilUs, false).clear();
        long boundUntilUs = knownUntilUs > 0 ? knownUntilUs : sentVotes.firstKey();
        Long boundUntilLocalUs = sentVotes.get(boundUntilUs);
        return sharedTimeUs >= boundUntilUs
                || boundUntilLocalUs != null && localTimeUs >= boundUntilLocalUs;
    }

    /** By which policy a lookup that comes now is taken. */
    public EffectivePolicy effectivePolicy(PolicyChanges changes) {
        EffectivePolicy candidate = candidatePolicy(changes);
        if (candidate.isPresent() && candidate.epoch() < newestUsedEpoch) {
            return unavailable("epoch " + newestUsedEpoch
                    + " has been in force here, and its clock has gone back since");
        }
        newestUsedEpoch = Math.max(newestUsedEpoch, candidate.epoch());
        return candidate;
    }

    private EffectivePolicy candidatePolicy(PolicyChanges changes) {
        if (!changes.isEnrolled(router, incarnation)) {
            return unavailable("it does not know the policy in force yet");
        }
        PolicyVersion version = changes.inForce();
        if (sharedTimeUs < version.effectiveAtUs() && !hasTakenEffect(version)) {
            version = changes.previous();
        }
        if (version.absencePolicy().rule() == AbsencePolicy.Rule.FENCE
                && localTimeUs >= leaseExpiresAtUs) {
            return unavailable("it has not heard of a majority for "
                    + version.absencePolicy().leaseUs() / 1000 + " ms");
        }
        if (isInDoubt(changes.openChange())) {
            return unavailable("it is not known yet how change " + boundChangeId + " ends");
        }
        String unusable = unusableReason(version);
        return unusable.isEmpty()
                ? new EffectivePolicy(version.epoch(), "")
                : unavailable("the policy in force can't be used here: " + unusable);
    }

    /** Its time has come on this machine's own clock, whatever the other one has been set to since. */
    private boolean hasTakenEffect(PolicyVersion version) {
        if (awaitedEpoch != version.epoch()) {
            awaitedEpoch = version.epoch();
            awaitedUntilLocalUs = localTimeUs + (version.effectiveAtUs() - sharedTimeUs);
        }
        return localTimeUs >= awaitedUntilLocalUs;
    }

    /**
     * Danger: it took hold without this router's word; served by it all the same, it would do as it can't.
     */
    private String unusableReason(PolicyVersion version) {
        boolean isRecheckDue = !checkedDigestReason.isEmpty()
                && localTimeUs - digestCheckedAtUs >= retryIntervalUs;
        if (version.epoch() > 0 && (isRecheckDue || !checkedDigest.equals(version.digest()))) {
            checkedDigest = version.digest();
            digestCheckedAtUs = localTimeUs;
            checkedDigestReason = startChecks.apply(new PolicyChange(
                    version.changeId(),
                    version.epoch() - 1,
                    version.digest(),
                    version.text(),
                    version.author(),
                    version.reason(),
                    version.absencePolicy()));
        }
        return version.epoch() > 0 ? checkedDigestReason : "";
    }

    private static EffectivePolicy unavailable(String reason) {
        return new EffectivePolicy(-1, reason);
    }
}
