package tinlink.policy.rollout;

/**
 * Proposes commands to the replicated log. A proposal may get lost, so the caller repeats it until
 * the command has taken effect.
 */
@FunctionalInterface
public interface CommandProposer {
    /** Proposes a command without waiting for the result. */
    void propose(PolicyCommand command);
}
