package tinlink.decision;

import tinlink.decision.LookupClass.Idempotency;

/** Decides which attempts and rejections are safe, so that no part has its effect twice. */
public final class RepeatGuard {
    private final AttemptTiming timing;
    private final int attemptLimit;
    private final boolean hedgingAllowed;
    private final boolean cancelAllowed;

    /**
     * @param attemptLimit greatest number of attempts at one part
     * @param hedgingAllowed whether a part may be in flight to two data nodes at once
     * @param cancelAllowed whether an attempt may be cancelled before its time limit
     */
    public RepeatGuard(
            AttemptTiming timing, int attemptLimit, boolean hedgingAllowed, boolean cancelAllowed) {
        this.timing = timing;
        this.attemptLimit = attemptLimit;
        this.hedgingAllowed = hedgingAllowed;
        this.cancelAllowed = cancelAllowed;
    }

    boolean mayCancel() {
        return cancelAllowed;
    }

    /** Whether one more attempt at the part is within the limits and harmless. */
    boolean mayAttempt(Part part, long nowUs) {
        int limit = part.lookup.forwarded ? 1 : attemptLimit;
        if (part.attempts.size() >= limit || (part.attemptsInFlight > 0 && !hedgingAllowed)) {
            return false;
        }
        LookupClass lookupClass = part.lookup.lookupClass;
        if (lookupClass.idempotency == Idempotency.IDEMPOTENT) {
            return true;
        }
        for (Attempt attempt : part.attempts) {
            if (!attempt.neverRan() && !isDeduplicated(attempt, lookupClass, nowUs)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether the data node would drop a repeat sent now if the attempt had run. The time that a repeat may
     * wait in the router's turn counts as well, so that the window can't end before the repeat is sent.
     */
    private boolean isDeduplicated(Attempt attempt, LookupClass lookupClass, long nowUs) {
        return lookupClass.idempotency == Idempotency.BY_KEY
                && nowUs + timing.stallUs() <= attempt.sentAtUs + lookupClass.deduplicationWindowUs;
    }

    /** Whether an unanswered attempt may be cancelled in favour of an attempt at another data node. */
    boolean mayCancelUnanswered(Part part) {
        return !hedgingAllowed
                && cancelAllowed
                && part.lookup.lookupClass.idempotency == Idempotency.IDEMPOTENT
                && part.attempts.size() < attemptLimit;
    }

    /**
     * Whether the lookup may be rejected. A rejection promises that a retry is harmless, which does not hold
     * once a part that must not run twice may have run.
     */
    boolean mayReject(Lookup lookup) {
        if (lookup.secondStep) {
            return false;
        }
        if (lookup.lookupClass.idempotency == Idempotency.IDEMPOTENT) {
            return true;
        }
        for (Part part : lookup.parts) {
            if (!part.neverRan()) {
                return false;
            }
        }
        return true;
    }
}
