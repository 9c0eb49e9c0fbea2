package tinlink.policy.rollout;

/**
 * One router's role in policy changes: it votes, and it determines which policy applies to a new
 * lookup, if any. Inputs only update the state; {@link #decide} proposes the commands that follow
 * from it. The shared clock is the synchronized wall clock of all machines. It may step, with no
 * unsafe effect beyond the error stated in {@link AbsencePolicy#maxClockErrorUs}. Not thread-safe.
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
    /** Id of the change that was checked last; empty if none was. */
    private String checkedChangeId = "";
    /** Why that change can't be used by this router; empty if it can. */
    private String rejectionReason = "";
    /** The highest epoch under which this router has taken lookups; it never decreases. */
    private long newestUsedEpoch = EffectivePolicy.NO_EPOCH;

    /**
     * Creates a participant that is not enrolled yet.
     *
     * @param router name of this router
     * @param incarnation identifies this process of the router
     * @param startCount number of starts of the router, including the current one
     * @param retryIntervalUs time after which a command is proposed again if it has had no effect
     * @param startChecks validates the policy of a change for this router
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
     * Sets the current time for the calls that follow, in microseconds.
     *
     * @param sharedUs time of the synchronized wall clock
     * @param localUs time of this machine's monotonic clock; durations measured on it are not
     *     affected by steps of the shared clock
     */
    public void updateClocks(long sharedUs, long localUs) {
        sharedTimeUs = sharedUs;
        localTimeUs = localUs;
    }

    /**
     * Extends the lease: a majority has confirmed that this router has applied every entry that was
     * committed to the log at the time of the request.
     *
     * @param requestedAtUs time of the request on the local clock; the lease starts then
     * @param leaseUs duration of the lease
     */
    public void leaseGranted(long requestedAtUs, long leaseUs) {
        leaseExpiresAtUs = Math.max(leaseExpiresAtUs, requestedAtUs + leaseUs);
    }

    /** Proposes the command that is due, if any: the enrolment or a vote. */
    public void decide(PolicyChanges changes, CommandProposer proposer) {
        PolicyCommand command = nextCommand(changes);
        if (command != null) {
            lastProposedAtUs = localTimeUs;
            proposer.propose(command);
        }
    }

    private PolicyCommand nextCommand(PolicyChanges changes) {
        boolean due = localTimeUs - lastProposedAtUs >= retryIntervalUs;
        if (!changes.isEnrolled(router, incarnation)) {
            return due ? new PolicyCommand.Enrol(router, incarnation, startCount) : null;
        }
        PolicyChange change = changes.openChange();
        if (change == null) {
            return null;
        }
        if (!checkedChangeId.equals(change.changeId())) {
            checkedChangeId = change.changeId();
            rejectionReason = startChecks.unusableReason(change);
            due = true;
        }
        return due ? nextVote(change) : null;
    }

    private PolicyCommand nextVote(PolicyChange change) {
        if (!rejectionReason.isEmpty()) {
            return change.isRejectedBy(router)
                    ? null
                    : new PolicyCommand.VoteNo(
                            change.changeId(), router, incarnation, rejectionReason);
        }
        long bindingUs = change.absencePolicy().voteBindingUs();
        // The vote is renewed after half of its binding time, so that it never expires merely for
        // lack of a newer vote.
        if (change.boundUntilUs(router, incarnation) >= sharedTimeUs + bindingUs / 2) {
            return null;
        }
        long boundUntilUs = sharedTimeUs + bindingUs;
        binding.recordSentVote(change.changeId(), boundUntilUs, localTimeUs + bindingUs);
        return new PolicyCommand.VoteYes(change.changeId(), router, incarnation, boundUntilUs);
    }

    /** Returns the policy that applies to a lookup arriving now. */
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
        long loggedUntilUs = openChange == null ? 0 : openChange.boundUntilUs(router, incarnation);
        return binding.hasExpired(openChange, loggedUntilUs, sharedTimeUs, localTimeUs);
    }
}
