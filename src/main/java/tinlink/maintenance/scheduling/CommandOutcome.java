package tinlink.maintenance.scheduling;

/** The result of applying a command; all routers get the same result. */
public sealed interface CommandOutcome {
    /** The command was applied, or an equal one had been applied before. */
    record Accepted() implements CommandOutcome {
        @Override
        public String message() {
            return "";
        }
    }

    /**
     * The command was rejected, in whole or in part.
     *
     * @param detail what was rejected, for example the ids of machines; appended to the reason's message; may
     *     be empty
     */
    record Rejected(Rejection reason, String detail) implements CommandOutcome {
        @Override
        public String message() {
            return reason.message() + detail;
        }
    }

    /** Returns the outcome of an accepted command. */
    static CommandOutcome accepted() {
        return new Accepted();
    }

    /** Returns the outcome of a rejected command, without detail. */
    static CommandOutcome rejected(Rejection reason) {
        return new Rejected(reason, "");
    }

    /** Returns the outcome of a rejected command; the detail ends the message. */
    static CommandOutcome rejected(Rejection reason, String detail) {
        return new Rejected(reason, detail);
    }

    /** Returns the text that the proposer of the command receives; empty if the command was accepted. */
    String message();
}
