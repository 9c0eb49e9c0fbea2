package tinlink.decision;

import tinlink.decision.LookupClass.Idempotency;

/**
 * What may be attempted again, and what may be rejected: guards against an effect that happens twice.
 */
public final class RepeatGuard {
    private final AttemptTiming timing;
    private final int attemptLimit;
    private final boolean hedgingAllowed;
    private final boolean cancelAllowed;

    /**
     * @param attemptLimit attempts at one part at most
     * @param hedgingAllowed whether a part may be in flight to two nodes at once
     * @param cancelAllowed whether an attempt may be given up before its limit
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

    /** Whether one more attempt at the part can do no harm. */
    boolean mayAttempt(Part part, long nowUs) {
        int limit = part.lookup.isForwarded ? 1 : attemptLimit;
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
     * Whether a repeat that is sent now is dropped by the data node if the attempt ran. A window must not
     * pass while the repeat is on its way, so what it may wait for in a turn of ours has to fit in.
     */
    private boolean isDeduplicated(Attempt attempt, LookupClass lookupClass, long nowUs) {
        return lookupClass.idempotency == Idempotency.BY_KEY
                && nowUs + timing.stallUs() <= attempt.sentAtUs + lookupClass.deduplicationWindowUs;
    }

    /** Whether an attempt that is silent may be cancelled for another one elsewhere. */
    boolean mayGiveUpSilent(Part part) {
        return !hedgingAllowed
                && cancelAllowed
                && part.lookup.lookupClass.idempotency == Idempotency.IDEMPOTENT
                && part.attempts.size() < attemptLimit;
    }

    /** A rejection says that a retry is harmless: not so once a part may have run that must not run twice. */
    boolean mayReject(Lookup lookup) {
        if (lookup.isSecondStep) {
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
