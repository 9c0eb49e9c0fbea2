package tinlink.policy.rollout;

/**
 * The coordinator of an open change, in the router that leads: says when it has seen the proposal agreed,
 * commits the change once that may be, or aborts it. Nothing rests on it: each command is checked by all
 * alike as it is applied, and the first outcome that is agreed on holds.
 */
public final class ChangeCoordinator {
    /** Proposes a command to the agreed log; it may get lost. */
    public interface Proposer {
        void propose(PolicyCommand command);
    }

    private static final int MAX_BACKOFF_STEPS = 6;
    private final long retryIntervalUs;
    private long localTimeUs;
    private long sharedTimeUs;
    private boolean isLeader;
    private String changeId = "";
    private long firstSeenAtUs;
    private int commitAttempts;
    private long lastProposedAtUs = Long.MIN_VALUE / 2;

    /** @param retryIntervalUs what got lost is said again after so long */
    public ChangeCoordinator(long retryIntervalUs) {
        this.retryIntervalUs = retryIntervalUs;
    }

    /** @param localUs of this machine's own clock that only goes on; @param sharedUs of the one all read */
    public void updateClocks(long localUs, long sharedUs) {
        localTimeUs = localUs;
        sharedTimeUs = sharedUs;
    }

    public void setLeader(boolean is) {
        if (is && !isLeader) {
            changeId = ""; // Time that passed under another leader is not counted.
        }
        isLeader = is;
    }

    /** Says what is due. */
    public void decide(PolicyChanges changes, Proposer proposer) {
        PolicyChange change = changes.openChange();
        if (!isLeader || change == null) {
            return;
        }
        if (!changeId.equals(change.id())) {
            changeId = change.id();
            firstSeenAtUs = localTimeUs;
            commitAttempts = 0;
            lastProposedAtUs = Long.MIN_VALUE / 2;
        }
        PolicyCommand command = localTimeUs - lastProposedAtUs < retryIntervalUs
                ? null
                : nextCommand(changes, change);
        if (command != null) {
            lastProposedAtUs = localTimeUs;
            proposer.propose(command);
        }
    }

    private PolicyCommand nextCommand(PolicyChanges changes, PolicyChange change) {
        String rejection = changes.firstRejection();
        if (rejection != null) {
            return new PolicyCommand.Abort(change.id(), "refused by " + rejection);
        }
        if (change.confirmedAtUs == 0 || !changes.hasVersionInForceTakenEffect()) {
            return new PolicyCommand.ConfirmProposal(change.id(), sharedTimeUs);
        }
        long earliestUs = changes.earliestCommitUs();
        if (earliestUs != Long.MAX_VALUE) {
            // Not in the past, where lookups were taken by the old one. Words on their way may
            // reach beyond
            // it:
            // then it is refused, and said again for a later time.
            long backoffUs = Math.min(commitAttempts++, MAX_BACKOFF_STEPS)
                    * change.absencePolicy().voteBindingUs()
                    / 2;
            return new PolicyCommand.Commit(
                    change.id(), Math.max(earliestUs, sharedTimeUs) + backoffUs);
        }
        if (localTimeUs - firstSeenAtUs > change.absencePolicy().settleTimeoutUs()
                && change.absencePolicy().rule() != AbsencePolicy.Rule.WAIT) {
            return new PolicyCommand.Abort(
                    change.id(),
                    "not heard in time: " + String.join(", ", changes.pendingRouters()));
        }
        return null;
    }
}
