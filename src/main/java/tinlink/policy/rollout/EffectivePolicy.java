package tinlink.policy.rollout;

/**
 * By which policy a lookup that comes now is taken.
 *
 * @param epoch {@link #NO_EPOCH} where none may be taken
 * @param unavailableReason why none may be taken; empty where one may
 */
public record EffectivePolicy(long epoch, String unavailableReason) {
    /** The epoch of no policy. */
    public static final long NO_EPOCH = -1;

    /** No lookup may be taken. */
    public static EffectivePolicy none(String unavailableReason) {
        return new EffectivePolicy(NO_EPOCH, unavailableReason);
    }

    /** Whether a lookup may be taken. */
    public boolean isPresent() {
        return epoch != NO_EPOCH;
    }
}
