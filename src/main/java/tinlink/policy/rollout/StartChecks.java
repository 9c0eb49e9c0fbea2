package tinlink.policy.rollout;

/** A router's own checks of a policy text, the same as at its start. */
@FunctionalInterface
public interface StartChecks {
    /** Why the text of that change can't be used by this router; empty where it can. */
    String unusableReason(PolicyChange change);
}
