package tinlink.maintenance.scheduling;

/** What came of a command, the same in all routers. */
public sealed interface CommandOutcome {
    /** The command was carried out, or had been before. */
    record Accepted() implements CommandOutcome {
        @Override
        public String message() {
            return "";
        }
    }

    /**
     * The command was not carried out, or not in full.
     *
     * @param detail what exactly is rejected; may be empty
     */
    record Rejected(Rejection reason, String detail) implements CommandOutcome {
        @Override
        public String message() {
            return reason.message() + detail;
        }
    }

    /** The command was carried out. */
    static CommandOutcome accepted() {
        return new Accepted();
    }

    /** The command was rejected for that reason. */
    static CommandOutcome rejected(Rejection reason) {
        return new Rejected(reason, "");
    }

    /** The command was rejected for that reason, which the detail ends. */
    static CommandOutcome rejected(Rejection reason, String detail) {
        return new Rejected(reason, detail);
    }

    /** For whoever proposed the command; empty where it was accepted. */
    String message();
}
