package tinlink.policy.rollout;

import java.util.Optional;

/**
 * The coordinator of an open change, in the router that leads: it confirms that it has seen the
 * proposal agreed on, commits the change once that may be, or withdraws it. No safety rests on it:
 * each command is checked by all routers alike as it is applied, and the first outcome that is
 * agreed on is final. For one thread at a time.
 */
public final class ChangeCoordinator {
    private static final int MAX_BACKOFF_STEPS = 6;

    private final long retryIntervalUs;
    private long localTimeUs;
    private long sharedTimeUs;
    private boolean isLeader;
    /** The change that the rest is about; empty where none is. */
    private String changeId = "";

    private long firstSeenAtUs;
    private int commitAttempts;
    private long lastProposedAtUs = Long.MIN_VALUE / 2;

    /**
     * A coordinator that does not lead yet.
     *
     * @param retryIntervalUs after which a command whose effect is not seen is proposed again
     */
    public ChangeCoordinator(long retryIntervalUs) {
        this.retryIntervalUs = retryIntervalUs;
    }

    /**
     * Sets the time of what follows, microseconds.
     *
     * @param localUs on a clock of this machine that never goes back
     * @param sharedUs on the clock that all machines read
     */
    public void updateClocks(long localUs, long sharedUs) {
        localTimeUs = localUs;
        sharedTimeUs = sharedUs;
    }

    /** Whether this router leads. */
    public void setLeader(boolean leads) {
        if (leads && !isLeader) {
            changeId = ""; // Time that passed under another leader is not counted.
        }
        isLeader = leads;
    }

    /** Proposes the command that is due, if there is one. */
    public void decide(PolicyChanges changes, CommandProposer proposer) {
        PolicyChange change = changes.openChange();
        if (!isLeader || change == null) {
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

    /** Null while there is nothing to do but wait. */
    private PolicyCommand nextCommand(PolicyChange change, CommitRule rule) {
        Optional<String> rejection = rule.firstRejection();
        if (rejection.isPresent()) {
            return new PolicyCommand.Abort(changeId, "refused by " + rejection.get());
        }
        if (change.confirmedAtUs() == 0 || !rule.hasVersionInForceTakenEffect()) {
            return new PolicyCommand.ConfirmProposal(changeId, sharedTimeUs);
        }
        AbsencePolicy absence = change.absencePolicy();
        long earliestUs = rule.earliestCommitUs();
        if (earliestUs != CommitRule.NOT_YET) {
            // Not in the past, where lookups were taken by the old policy. Votes on their way may
            // reach beyond it: then it is rejected, and proposed again for a later time.
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
