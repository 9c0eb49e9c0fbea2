package tinlink.policy.rollout;

/**
 * What a change of policy does about routers that are not heard: down, standing still and cut off
 * look alike.
 *
 * @param rule what is done
 * @param settleTimeoutUs a change that is not settled by then is withdrawn, whatever the rule but WAIT
 * @param voteBindingUs how long one word of a router's binds it; it is said again while the change is not
 *     settled
 * @param leaseUs FENCE: a router that has not heard of a majority for so long takes no lookups; 0
 *     for the others
 * @param maxClockErrorUs by how much two machines' clocks may differ
 */
public record AbsencePolicy(
        Rule rule, long settleTimeoutUs, long voteBindingUs, long leaseUs, long maxClockErrorUs) {
    /** By name as in a policy document. */
    public enum Rule {
        /** It waits for them for ever; an operator may withdraw it. */
        WAIT,
        /** It is withdrawn when its time is over. */
        WITHDRAW,
        /** It takes hold without them once their leases have run out. */
        FENCE
    }

    public AbsencePolicy {
        if (settleTimeoutUs <= 0
                || voteBindingUs <= 0
                || maxClockErrorUs < 0
                || rule == Rule.FENCE == (leaseUs <= 0)) {
            throw new IllegalArgumentException("absent: " + rule + " with times out of range");
        }
    }
}
