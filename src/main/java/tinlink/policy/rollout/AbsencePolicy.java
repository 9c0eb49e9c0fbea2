package tinlink.policy.rollout;

/**
 * What a change of policy does about routers that are not heard from. Whether such a router is
 * down, paused or cut off can't be told from outside. All times are microseconds.
 *
 * @param rule what is done
 * @param settleTimeoutUs a change that is not settled within it is withdrawn, whatever the rule but
 *     WAIT
 * @param voteBindingUs how long one vote binds its router; it votes again while the change is open
 * @param leaseUs FENCE: a router to which no majority has confirmed for so long that it is up to
 *     date takes no lookups; 0 for the other rules
 * @param maxClockErrorUs by how much the clocks of two machines may differ
 */
public record AbsencePolicy(
        Rule rule, long settleTimeoutUs, long voteBindingUs, long leaseUs, long maxClockErrorUs) {
    /** The names are those of policy documents and stored commands. */
    public enum Rule {
        /** The change waits for them without a limit; an operator may withdraw it. */
        WAIT,
        /** The change is withdrawn when its time is over. */
        WITHDRAW,
        /** The change takes effect without them once their leases have expired. */
        FENCE
    }

    /**
     * Checks the times.
     *
     * @throws IllegalArgumentException where a time is out of range, or there is a lease without
     *     FENCE
     */
    public AbsencePolicy {
        if (settleTimeoutUs <= 0
                || voteBindingUs <= 0
                || maxClockErrorUs < 0
                || rule == Rule.FENCE == (leaseUs <= 0)) {
            throw new IllegalArgumentException(
                    "absent: " + rule + " with times out of range: settle "
                            + settleTimeoutUs + ", vote " + voteBindingUs + ", lease " + leaseUs
                            + ", clock error " + maxClockErrorUs);
        }
    }
}
