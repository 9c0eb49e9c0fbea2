package tinlink.policy.rollout;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * One proposed change of policy. It is changed by commands of the agreed log alone. Times are
 * microseconds on the clock that all machines read.
 */
public final class PolicyChange {
    /** The last two are final. The names are those of stored snapshots. */
    public enum State {
        /** Votes are awaited. */
        OPEN,
        /** It has made an epoch. */
        IN_FORCE,
        /** It never takes effect. */
        WITHDRAWN
    }

    /**
     * The newest vote of a router.
     *
     * @param boundUntilUs until when it is bound; 0 where it rejects the change
     * @param reason why it rejects the change; empty where it accepts
     */
    record Vote(String incarnation, boolean accepts, long boundUntilUs, String reason) {}

    private final PolicyCommand.Propose proposal;
    private State state = State.OPEN;
    private String withdrawalReason = "";
    private long epoch;
    private long effectiveAtUs;
    private long confirmedAtUs;
    /** By router; emptied as the change is settled. */
    private final Map<String, Vote> votes = new TreeMap<>();

    PolicyChange(PolicyCommand.Propose proposal) {
        this.proposal = proposal;
    }

    /** The change by which a version came, for checks of its text. */
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

    /** As it stands in a snapshot, without its votes. */
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

    /** The id that its operator gave it. */
    public String changeId() {
        return proposal.changeId();
    }

    /** Open, in force or withdrawn. */
    public State state() {
        return state;
    }

    /** The epoch that has to be in force for it. */
    long baseEpoch() {
        return proposal.baseEpoch();
    }

    /** Names the text. */
    public String digest() {
        return proposal.digest();
    }

    /** The policy document. */
    public String text() {
        return proposal.text();
    }

    /** Who proposed it. */
    public String author() {
        return proposal.author();
    }

    /** Its author's reason. */
    public String reason() {
        return proposal.reason();
    }

    /** What is done about absent routers. */
    public AbsencePolicy absencePolicy() {
        return proposal.absencePolicy();
    }

    /** Why it was withdrawn; empty where it was not. */
    public String withdrawalReason() {
        return withdrawalReason;
    }

    /** The epoch that it made; 0 where it made none. */
    public long epoch() {
        return epoch;
    }

    /** Since when it is in force; 0 where it is not. */
    public long effectiveAtUs() {
        return effectiveAtUs;
    }

    /**
     * The newest time at which a coordinator saw the proposal agreed on: leases from before are
     * older. 0: none yet.
     */
    long confirmedAtUs() {
        return confirmedAtUs;
    }

    Map<String, Vote> votes() {
        return Collections.unmodifiableMap(votes);
    }

    /** Until when that incarnation of that router has bound itself; 0 where it has not. */
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

    /** Whether it is what that command proposes, so that to propose it again changes nothing. */
    boolean isProposedBy(PolicyCommand.Propose command) {
        return digest().equals(command.digest()) && baseEpoch() == command.baseEpoch();
    }

    void confirm(long coordinatorTimeUs) {
        confirmedAtUs = Math.max(confirmedAtUs, coordinatorTimeUs);
    }

    void vote(String router, Vote vote) {
        votes.put(router, vote);
    }

    /** Puts the change in force and returns the version that it makes. */
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

    void withdraw(String why) {
        state = State.WITHDRAWN;
        withdrawalReason = why;
        votes.clear();
    }
}
