package tinlink.policy.rollout;

import java.util.Map;
import java.util.TreeMap;

/** One proposed change of policy. Nothing of it changes but by what all have agreed on. */
public final class PolicyChange {
    /** How it stands; the last two are for ever. */
    public enum State {
        OPEN,
        IN_FORCE,
        WITHDRAWN
    }

    /** A router's word: it holds the text and is bound by it, or says no. */
    record Vote(String incarnation, boolean accepts, long boundUntilUs, String reason) {}

    final String id;
    final long baseEpoch;
    final String digest;
    final String text;
    final String author;
    final String reason;
    final AbsencePolicy absencePolicy;
    State state = State.OPEN;
    /** Why it was withdrawn. */
    String withdrawalReason = "";
    /** The epoch that it made, and from when on; 0 before. */
    long epoch;

    long effectiveAtUs;
    /**
     * A leader's clock once it had seen the proposal agreed; 0 before. Leases from before it are
     * older.
     */
    long confirmedAtUs;
    /** By router, the newest word of each; emptied as it is settled. */
    final Map<String, Vote> votes = new TreeMap<>();

    PolicyChange(
            String id,
            long baseEpoch,
            String digest,
            String text,
            String author,
            String reason,
            AbsencePolicy absencePolicy) {
        this.id = id;
        this.baseEpoch = baseEpoch;
        this.digest = digest;
        this.text = text;
        this.author = author;
        this.reason = reason;
        this.absencePolicy = absencePolicy;
    }

    public String id() {
        return id;
    }

    public State state() {
        return state;
    }

    public String digest() {
        return digest;
    }

    public String text() {
        return text;
    }

    public String author() {
        return author;
    }

    public String reason() {
        return reason;
    }

    public AbsencePolicy absencePolicy() {
        return absencePolicy;
    }

    /** Why it was withdrawn; empty where it was not. */
    public String withdrawalReason() {
        return withdrawalReason;
    }

    /** The epoch that it made; 0 where it made none. */
    public long epoch() {
        return epoch;
    }

    /** From when on it is in force; 0 where it is not. */
    public long effectiveAtUs() {
        return effectiveAtUs;
    }

    /** Until when that incarnation of that router has bound itself; 0 where it has not. */
    public long boundUntilUs(String router, String incarnation) {
        Vote vote = votes.get(router);
        return vote == null || !vote.accepts || !vote.incarnation.equals(incarnation)
                ? 0
                : vote.boundUntilUs;
    }

    boolean isRejectedBy(String router) {
        Vote vote = votes.get(router);
        return vote != null && !vote.accepts;
    }
}
