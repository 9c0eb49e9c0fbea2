package tinlink.policy.rollout;

import java.util.Optional;

/**
 * Coordinates the open change. Only the leader's coordinator proposes commands: it confirms
 * that the proposal is in the replicated log, commits the change as soon as {@link CommitRule}
 * allows it, or withdraws it. Safety does not depend on the coordinator: every router validates
 * each command when applying it, and the first outcome in the log is final. Not thread-safe.
 */
public final class ChangeCoordinator {
    private static final int MAX_BACKOFF_STEPS = 6;

    private final long retryIntervalUs;
    private long localTimeUs;
    private long sharedTimeUs;
    private boolean leading;
    /** Id of the change that the fields below refer to; empty if there is none. */
    private String changeId = "";

    private long firstSeenAtUs;
    private int commitAttempts;
    private long lastProposedAtUs = Long.MIN_VALUE / 2;

    /**
     * Creates the coordinator of a router that is not the leader.
     *
     * @param retryIntervalUs time after which a command is proposed again if it has had no effect
     */
    public ChangeCoordinator(long retryIntervalUs) {
        this.retryIntervalUs = retryIntervalUs;
    }

    /**
     * Sets the current time for the calls that follow, in microseconds.
     *
     * @param localUs time of this machine's monotonic clock
     * @param sharedUs time of the synchronized wall clock; it may step
     */
    public void updateClocks(long localUs, long sharedUs) {
        localTimeUs = localUs;
        sharedTimeUs = sharedUs;
    }

    /** Sets whether this router is the leader. */
    public void setLeader(boolean nowLeading) {
        if (nowLeading && !leading) {
            changeId = ""; // The settle timeout starts anew under each leader.
        }
        leading = nowLeading;
    }

    /** Proposes the command that is due, if any. Does nothing unless this router is the leader. */
    public void decide(PolicyChanges changes, CommandProposer proposer) {
        PolicyChange change = changes.openChange();
        if (!leading || change == null) {
            return;
        }
        if (!changeId.equals(change.changeId())) {
            changeId = change.changeId();
            firstSeenAtUs = localTimeUs;
            commitAttempts = 0;
            lastProposedAtUs = Long.MIN_VALUE / 2;
        }
        if (localTimeUs - lastProposedAtUs < retryIntervalUs) {
            return;
        }
        PolicyCommand command = nextCommand(change, changes.commitRule());
        if (command != null) {
            lastProposedAtUs = localTimeUs;
            proposer.propose(command);
        }
    }

    /** Returns the command to propose now, or null if the coordinator has to wait. */
    private PolicyCommand nextCommand(PolicyChange change, CommitRule rule) {
        Optional<String> rejection = rule.firstRejection();
        if (rejection.isPresent()) {
            return new PolicyCommand.Abort(changeId, "refused by " + rejection.get());
        }
        if (change.confirmedAtUs() == 0 || !rule.isVersionInForceEffective()) {
            return new PolicyCommand.ConfirmProposal(changeId, sharedTimeUs);
        }
        AbsencePolicy absence = change.absencePolicy();
        long earliestUs = rule.earliestCommitUs();
        if (earliestUs != CommitRule.NOT_YET) {
            // The effective time must not be in the past, since lookups have been taken under the
            // old policy until now. Votes still in transit may bind beyond the effective time; the
            // commit is then rejected and proposed again with a later time.
            long backoffUs =
                    Math.min(commitAttempts++, MAX_BACKOFF_STEPS) * absence.voteBindingUs() / 2;
            return new PolicyCommand.Commit(
                    changeId, Math.max(earliestUs, sharedTimeUs) + backoffUs);
        }
        if (localTimeUs - firstSeenAtUs > absence.settleTimeoutUs()
                && absence.rule() != AbsencePolicy.Rule.WAIT) {
            return new PolicyCommand.Abort(
                    changeId, "not heard in time: " + String.join(", ", rule.pendingRouters()));
        }
        return null;
    }
}
