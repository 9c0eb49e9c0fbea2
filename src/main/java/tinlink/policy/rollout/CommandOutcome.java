package tinlink.policy.rollout;

/** The outcome of applying a command; it is the same on all routers. */
public sealed interface CommandOutcome permits CommandOutcome.Accepted, Rejection {
    /** The command was applied, or had already been applied earlier. */
    record Accepted() implements CommandOutcome {
        @Override
        public String message() {
            return "";
        }
    }

    /** Returns the outcome of a command that was applied. */
    static CommandOutcome accepted() {
        return new Accepted();
    }

    /** Returns the message for the proposer of the command; empty if the command was accepted. */
    String message();
}
