package tinlink.policy.rollout;

/**
 * One router's part in changes of policy: its votes, and by which policy it takes lookups now, if
 * by any. Inputs only update what is known; what is to be sent is pulled by {@link #decide}. The
 * shared clock may step, and then nothing unsafe follows beyond the error that is stated for it.
 * For one thread at a time.
 */
public final class ChangeParticipant {
    private static final long MICROS_PER_MILLI = 1000;

    private final String router;
    private final String incarnation;
    private final long startCount;
    private final long retryIntervalUs;
    private final StartChecks startChecks;
    private final VoteBinding binding = new VoteBinding();
    private final VersionSelector versionSelector = new VersionSelector();
    private final VersionChecker versionChecker;
    private long sharedTimeUs;
    private long localTimeUs;
    private long leaseExpiresAtUs = Long.MIN_VALUE;
    private long lastProposedAtUs = Long.MIN_VALUE / 2;
    private String checkedChangeId = "";
    /** Why the change that was checked last can't be used; empty where it can. */
    private String rejectionReason = "";
    /** The newest epoch by which lookups were taken: it never goes back. */
    private long newestUsedEpoch = EffectivePolicy.NO_EPOCH;

    /**
     * A participant that knows of nothing yet.
     *
     * @param incarnation names this process of the router
     * @param startCount starts of the router, this one counted
     * @param retryIntervalUs after which a command whose effect is not seen is proposed again
     */
    public ChangeParticipant(
            String router,
            String incarnation,
            long startCount,
            long retryIntervalUs,
            StartChecks startChecks) {
        this.router = router;
        this.incarnation = incarnation;
        this.startCount = startCount;
        this.retryIntervalUs = retryIntervalUs;
        this.startChecks = startChecks;
        versionChecker = new VersionChecker(startChecks, retryIntervalUs);
    }

    /**
     * Sets the time of what follows, microseconds.
     *
     * @param sharedUs on the clock that all machines read
     * @param localUs on a clock of this machine that never goes back; what is counted on it
     *     survives steps of the shared one
     */
    public void updateClocks(long sharedUs, long localUs) {
        sharedTimeUs = sharedUs;
        localTimeUs = localUs;
    }

    /**
     * A majority has confirmed that what this router has heard of is all there was, when it was
     * asked.
     *
     * @param requestedAtUs when it was asked, on the local clock
     */
    public void leaseGranted(long requestedAtUs, long leaseUs) {
        leaseExpiresAtUs = Math.max(leaseExpiresAtUs, requestedAtUs + leaseUs);
    }

    /** Proposes the command that is due, if there is one. */
    public void decide(PolicyChanges changes, CommandProposer proposer) {
        PolicyCommand command = nextCommand(changes);
        if (command != null) {
            lastProposedAtUs = localTimeUs;
            proposer.propose(command);
        }
    }

    private PolicyCommand nextCommand(PolicyChanges changes) {
        boolean isDue = localTimeUs - lastProposedAtUs >= retryIntervalUs;
        if (!changes.isEnrolled(router, incarnation)) {
            return isDue ? new PolicyCommand.Enrol(router, incarnation, startCount) : null;
        }
        PolicyChange change = changes.openChange();
        if (change == null) {
            return null;
        }
        if (!checkedChangeId.equals(change.changeId())) {
            checkedChangeId = change.changeId();
            rejectionReason = startChecks.unusableReason(change);
            isDue = true;
        }
        return isDue ? nextVote(change) : null;
    }

    private PolicyCommand nextVote(PolicyChange change) {
        if (!rejectionReason.isEmpty()) {
            return change.isRejectedBy(router)
                    ? null
                    : new PolicyCommand.VoteNo(
                            change.changeId(), router, incarnation, rejectionReason);
        }
        long bindingUs = change.absencePolicy().voteBindingUs();
        // Voted again at half of its time, so that it never runs out for want of a vote.
        if (change.boundUntilUs(router, incarnation) >= sharedTimeUs + bindingUs / 2) {
            return null;
        }
        long boundUntilUs = sharedTimeUs + bindingUs;
        binding.voteSent(change.changeId(), boundUntilUs, localTimeUs + bindingUs);
        return new PolicyCommand.VoteYes(change.changeId(), router, incarnation, boundUntilUs);
    }

    /** By which policy a lookup that comes now is taken. */
    public EffectivePolicy effectivePolicy(PolicyChanges changes) {
        EffectivePolicy candidate = candidatePolicy(changes);
        if (candidate.isPresent() && candidate.epoch() < newestUsedEpoch) {
            return EffectivePolicy.none("epoch " + newestUsedEpoch
                    + " has been in force here, and its clock has gone back since");
        }
        newestUsedEpoch = Math.max(newestUsedEpoch, candidate.epoch());
        return candidate;
    }

    private EffectivePolicy candidatePolicy(PolicyChanges changes) {
        if (!changes.isEnrolled(router, incarnation)) {
            return EffectivePolicy.none("it does not know the policy in force yet");
        }
        PolicyVersion version = versionSelector.select(changes, sharedTimeUs, localTimeUs);
        AbsencePolicy absence = version.absencePolicy();
        if (absence.rule() == AbsencePolicy.Rule.FENCE && localTimeUs >= leaseExpiresAtUs) {
            return EffectivePolicy.none("it has not heard of a majority for "
                    + absence.leaseUs() / MICROS_PER_MILLI + " ms");
        }
        if (hasVoteExpired(changes.openChange())) {
            return EffectivePolicy.none(
                    "it is not known yet how change " + binding.changeId() + " ends");
        }
        String unusableReason = versionChecker.unusableReason(version, localTimeUs);
        return unusableReason.isEmpty()
                ? new EffectivePolicy(version.epoch(), "")
                : EffectivePolicy.none("the policy in force can't be used here: " + unusableReason);
    }

    private boolean hasVoteExpired(PolicyChange openChange) {
        long agreedUntilUs = openChange == null ? 0 : openChange.boundUntilUs(router, incarnation);
        return binding.hasExpired(openChange, agreedUntilUs, sharedTimeUs, localTimeUs);
    }
}
