package tinlink.policy.rollout;

/**
 * A command was rejected and nothing was changed.
 *
 * @param message for whoever proposed it
 */
public record Rejection(Reason reason, String message) implements CommandOutcome {
    /** Why a command was rejected. */
    public enum Reason {
        /** Another change has that id. */
        ID_TAKEN,
        /** It has no id, or its text is too long. */
        INVALID_PROPOSAL,
        /** One change at a time. */
        ANOTHER_CHANGE_OPEN,
        /** Another epoch is in force than the one that it is written against. */
        STALE_EPOCH,
        /** The change is not open, or not known. */
        CHANGE_SETTLED,
        /** No change has that id. */
        UNKNOWN_CHANGE,
        /** It can be undone by another change alone. */
        CHANGE_IN_FORCE,
        /** That process of the router does not take part. */
        NOT_ENROLLED,
        /** Votes or leases reach beyond that time, or are missing. */
        COMMIT_TOO_EARLY,
        /** A later process of that router takes part. */
        LATER_INCARNATION_ENROLLED,
        /** The bound on routers is reached. */
        TOO_MANY_ROUTERS,
        /** This build can't read it. */
        UNKNOWN_COMMAND
    }

    // The messages are read by operators and their scripts: they stay as they are.

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
