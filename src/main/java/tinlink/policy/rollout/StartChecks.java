package tinlink.policy.rollout;

/** Validates a policy for this router with the same checks as at startup. */
@FunctionalInterface
public interface StartChecks {
    /** Returns why this router can't use the text of the change; empty if it can. */
    String unusableReason(PolicyChange change);
}
