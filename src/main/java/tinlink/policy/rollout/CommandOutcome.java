package tinlink.policy.rollout;

/** What came of a command, the same in all routers. */
public sealed interface CommandOutcome permits CommandOutcome.Accepted, Rejection {
    /** The command was carried out, or had been before. */
    record Accepted() implements CommandOutcome {
        @Override
        public String message() {
            return "";
        }
    }

    /** The outcome of a command that was carried out. */
    static CommandOutcome accepted() {
        return new Accepted();
    }

    /** For whoever proposed the command; empty where it was accepted. */
    String message();
}
