package tinlink.policy.rollout;

/**
 * The policy that applies to a lookup arriving now.
 *
 * @param epoch epoch of the policy; {@link #NO_EPOCH} if the router takes no lookups
 * @param unavailableReason why the router takes no lookups; empty if it does
 */
public record EffectivePolicy(long epoch, String unavailableReason) {
    /** Stands for the absence of a usable policy. */
    public static final long NO_EPOCH = -1;

    /** Returns the result for a router that takes no lookups. */
    public static EffectivePolicy none(String unavailableReason) {
        return new EffectivePolicy(NO_EPOCH, unavailableReason);
    }

    /** Returns whether the router takes lookups. */
    public boolean isPresent() {
        return epoch != NO_EPOCH;
    }
}
