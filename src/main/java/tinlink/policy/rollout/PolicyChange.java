package tinlink.policy.rollout;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * A proposed policy change. Its state changes only when a command of the replicated log is applied.
 * Times are in microseconds on the shared clock.
 */
public final class PolicyChange {
    /** State of a change; IN_FORCE and WITHDRAWN are final. Stored snapshots hold the names. */
    public enum State {
        /** The routers are voting. */
        OPEN,
        /** The change was committed as a new epoch. */
        IN_FORCE,
        /** The change was aborted and never takes effect. */
        WITHDRAWN
    }

    /**
     * The most recent vote of a router.
     *
     * @param incarnation identifies the process that voted
     * @param accepts whether the router accepts the change
     * @param boundUntilUs time until which the vote binds the router; 0 if it rejects the change
     * @param reason why the router rejects the change; empty if it accepts the change
     */
    record Vote(String incarnation, boolean accepts, long boundUntilUs, String reason) {}

    private final PolicyCommand.Propose proposal;
    private State state = State.OPEN;
    private String withdrawalReason = "";
    private long epoch;
    private long effectiveAtUs;
    private long confirmedAtUs;
    /** Votes by router; cleared when the change is settled. */
    private final Map<String, Vote> votes = new TreeMap<>();

    PolicyChange(PolicyCommand.Propose proposal) {
        this.proposal = proposal;
    }

    /** Rebuilds the proposal behind a version, so that its text can be checked again. */
    static PolicyChange fromVersion(PolicyVersion version) {
        return new PolicyChange(new PolicyCommand.Propose(
                version.changeId(),
                version.epoch() - 1,
                version.digest(),
                version.text(),
                version.author(),
                version.reason(),
                version.absencePolicy()));
    }

    /** Restores a change from a snapshot, without its votes. */
    static PolicyChange restore(
            PolicyCommand.Propose proposal,
            State state,
            String withdrawalReason,
            long epoch,
            long effectiveAtUs,
            long confirmedAtUs) {
        PolicyChange change = new PolicyChange(proposal);
        change.state = state;
        change.withdrawalReason = withdrawalReason;
        change.epoch = epoch;
        change.effectiveAtUs = effectiveAtUs;
        change.confirmedAtUs = confirmedAtUs;
        return change;
    }

    /** Returns the id, chosen by the operator who proposed the change. */
    public String changeId() {
        return proposal.changeId();
    }

    /** Returns whether the change is open, in force or withdrawn. */
    public State state() {
        return state;
    }

    /** Returns the epoch that has to be in force for the change to be opened. */
    long baseEpoch() {
        return proposal.baseEpoch();
    }

    /** Returns the digest of the text. */
    public String digest() {
        return proposal.digest();
    }

    /** Returns the policy document. */
    public String text() {
        return proposal.text();
    }

    /** Returns who proposed the change. */
    public String author() {
        return proposal.author();
    }

    /** Returns the author's reason for the change. */
    public String reason() {
        return proposal.reason();
    }

    /** Returns the new policy on absent routers; its timeouts already apply to the vote. */
    public AbsencePolicy absencePolicy() {
        return proposal.absencePolicy();
    }

    /** Returns why the change was withdrawn; empty if it was not. */
    public String withdrawalReason() {
        return withdrawalReason;
    }

    /** Returns the epoch that the change created; 0 if it is not in force. */
    public long epoch() {
        return epoch;
    }

    /** Returns the time at which the change takes effect; 0 if it was not committed. */
    public long effectiveAtUs() {
        return effectiveAtUs;
    }

    /**
     * Returns the latest time at which a coordinator has confirmed that the proposal is in the
     * replicated log; 0 if none has. Any lease of a router that does not know the proposal was
     * requested before this time.
     */
    long confirmedAtUs() {
        return confirmedAtUs;
    }

    Map<String, Vote> votes() {
        return Collections.unmodifiableMap(votes);
    }

    /** Returns until when the process is bound by its vote; 0 if it has not accepted the change. */
    public long boundUntilUs(String router, String incarnation) {
        Vote vote = votes.get(router);
        return vote == null || !vote.accepts() || !vote.incarnation().equals(incarnation)
                ? 0
                : vote.boundUntilUs();
    }

    boolean isRejectedBy(String router) {
        Vote vote = votes.get(router);
        return vote != null && !vote.accepts();
    }

    /** Returns whether the command proposes this same change, as a repeated proposal does. */
    boolean isProposedBy(PolicyCommand.Propose command) {
        return digest().equals(command.digest()) && baseEpoch() == command.baseEpoch();
    }

    void confirm(long coordinatorTimeUs) {
        confirmedAtUs = Math.max(confirmedAtUs, coordinatorTimeUs);
    }

    void vote(String router, Vote vote) {
        votes.put(router, vote);
    }

    /** Puts the change in force and returns the version that it creates. */
    PolicyVersion commit(long newEpoch, long atUs) {
        state = State.IN_FORCE;
        epoch = newEpoch;
        effectiveAtUs = atUs;
        votes.clear();
        return new PolicyVersion(
                epoch,
                digest(),
                text(),
                changeId(),
                author(),
                reason(),
                absencePolicy(),
                effectiveAtUs);
    }

    void withdraw(String withdrawalCause) {
        state = State.WITHDRAWN;
        withdrawalReason = withdrawalCause;
        votes.clear();
    }
}
