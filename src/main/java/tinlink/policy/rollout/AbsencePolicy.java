package tinlink.policy.rollout;

/**
 * How a policy change treats enrolled routers that have not voted on it. Other routers can't tell
 * whether a silent router is down, paused or partitioned. All times are in microseconds.
 *
 * @param rule how the change proceeds without the missing votes
 * @param settleTimeoutUs time after which the coordinator withdraws a change that can't be
 *     committed; unused under {@link Rule#WAIT}
 * @param voteBindingUs how long one vote binds its router; the router renews its vote while the
 *     change is open
 * @param leaseUs duration of a router's lease under {@link Rule#FENCE}: a router takes no lookups
 *     if for this long no majority has confirmed that the router is up to date; 0 under the other
 *     rules
 * @param maxClockErrorUs upper bound on the difference between the clocks of two machines
 */
public record AbsencePolicy(
        Rule rule, long settleTimeoutUs, long voteBindingUs, long leaseUs, long maxClockErrorUs) {
    /**
     * What happens to a change while votes are missing. The names appear in policy documents and in
     * stored commands.
     */
    public enum Rule {
        /** The change stays open without a time limit; an operator may withdraw it. */
        WAIT,
        /** The change is withdrawn at its settle timeout. */
        WITHDRAW,
        /**
         * The change takes effect without the missing votes, once the leases of those routers have
         * expired.
         */
        FENCE
    }

    /**
     * Validates the times.
     *
     * @throws IllegalArgumentException if a time is out of range, or if a lease is missing under
     *     FENCE or set under another rule
     */
    public AbsencePolicy {
        if (settleTimeoutUs <= 0
                || voteBindingUs <= 0
                || maxClockErrorUs < 0
                || rule == Rule.FENCE == (leaseUs <= 0)) {
            throw new IllegalArgumentException(
                    "absence policy " + rule + " has a time out of range: settle timeout "
                            + settleTimeoutUs + " us, vote binding " + voteBindingUs
                            + " us, lease " + leaseUs + " us, clock error " + maxClockErrorUs
                            + " us");
        }
    }
}
