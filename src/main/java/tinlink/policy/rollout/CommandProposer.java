package tinlink.policy.rollout;

/**
 * Proposes a command to the agreed log. It may get lost, so it is proposed again until its effect
 * is seen.
 */
@FunctionalInterface
public interface CommandProposer {
    /** Proposes one command and returns at once. */
    void propose(PolicyCommand command);
}
