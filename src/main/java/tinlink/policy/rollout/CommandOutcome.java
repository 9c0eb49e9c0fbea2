package tinlink.policy.rollout;

/** What came of a command, the same in all routers. */
public sealed interface CommandOutcome {
    /** Why a command was refused. */
    enum RejectionReason {
        ID_TAKEN,
        INVALID_PROPOSAL,
        ANOTHER_CHANGE_OPEN,
        STALE_EPOCH,
        CHANGE_SETTLED,
        UNKNOWN_CHANGE,
        CHANGE_IN_FORCE,
        NOT_ENROLLED,
        COMMIT_TOO_EARLY,
        LATER_INCARNATION_ENROLLED,
        TOO_MANY_ROUTERS,
        UNKNOWN_COMMAND
    }

    /** The command was carried out, or had been before. */
    record Accepted() implements CommandOutcome {
        @Override
        public String message() {
            return "";
        }
    }

    /** Nothing was changed. @param message for whoever proposed it */
    record Rejected(RejectionReason reason, String message) implements CommandOutcome {}

    static CommandOutcome accepted() {
        return new Accepted();
    }

    static CommandOutcome rejected(RejectionReason reason, String message) {
        return new Rejected(reason, message);
    }

    default boolean isAccepted() {
        return this instanceof Accepted;
    }

    /** For whoever proposed it; empty where it was accepted. */
    String message();
}
