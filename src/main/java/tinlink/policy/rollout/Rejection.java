package tinlink.policy.rollout;

/**
 * The outcome of a command that was rejected and has changed nothing.
 *
 * @param message explanation for the proposer of the command
 */
public record Rejection(Reason reason, String message) implements CommandOutcome {
    /** Why a command was rejected. */
    public enum Reason {
        /** Another change has the id of the proposed change. */
        ID_TAKEN,
        /** The proposed change has no id, or its text is too long. */
        INVALID_PROPOSAL,
        /** Another change is open; only one may be open at a time. */
        ANOTHER_CHANGE_OPEN,
        /** The epoch in force is not the base epoch of the proposed change. */
        STALE_EPOCH,
        /** The change is settled or unknown. */
        CHANGE_SETTLED,
        /** No change has that id. */
        UNKNOWN_CHANGE,
        /** The change is in force and can only be reverted by another change. */
        CHANGE_IN_FORCE,
        /** The process that voted is not enrolled. */
        NOT_ENROLLED,
        /** A vote or a lease reaches beyond the effective time, or a necessary vote is missing. */
        COMMIT_TOO_EARLY,
        /** A later process of the router is enrolled. */
        LATER_INCARNATION_ENROLLED,
        /** The maximum number of routers is enrolled. */
        TOO_MANY_ROUTERS,
        /** This version of the router can't decode the command. */
        UNKNOWN_COMMAND
    }

    // Operators' scripts match these messages, so the wording must not change.

    static Rejection idTaken() {
        return new Rejection(Reason.ID_TAKEN, "another change has that id");
    }

    static Rejection invalidProposal(int maxTextLength) {
        return new Rejection(
                Reason.INVALID_PROPOSAL,
                "a change needs an id and a text of at most " + maxTextLength + " characters");
    }

    static Rejection anotherChangeOpen(String openId) {
        return new Rejection(Reason.ANOTHER_CHANGE_OPEN, "another change is open: " + openId);
    }

    static Rejection staleEpoch(long baseEpoch, long epochInForce) {
        return new Rejection(
                Reason.STALE_EPOCH,
                "it is written against epoch " + baseEpoch + ", and " + epochInForce
                        + " is in force");
    }

    static Rejection changeSettled() {
        return new Rejection(Reason.CHANGE_SETTLED, "that change is settled");
    }

    static Rejection unknownChange() {
        return new Rejection(Reason.UNKNOWN_CHANGE, "no change has that id");
    }

    static Rejection changeInForce() {
        return new Rejection(Reason.CHANGE_IN_FORCE, "it is in force: undo it by another change");
    }

    static Rejection notEnrolled() {
        return new Rejection(Reason.NOT_ENROLLED, "that router is not enrolled");
    }

    static Rejection commitTooEarly() {
        return new Rejection(Reason.COMMIT_TOO_EARLY, "it may not take hold then");
    }

    static Rejection laterIncarnationEnrolled() {
        return new Rejection(
                Reason.LATER_INCARNATION_ENROLLED, "a later life of that router is enrolled");
    }

    static Rejection tooManyRouters() {
        return new Rejection(Reason.TOO_MANY_ROUTERS, "too many routers");
    }

    static Rejection unknownCommand(String text) {
        return new Rejection(Reason.UNKNOWN_COMMAND, "not understood: " + text);
    }
}
