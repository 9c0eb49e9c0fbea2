package tinlink.decision;

/**
 * The rounds of a lookup: how long an attempt may be silent before the part is hedged, and when the lookup
 * has to have its final answer. Times are microseconds.
 */
public final class AttemptTiming {
    private static final int STALL_STEPS = 20;
    private static final double LEAVING_SMOOTHING = 0.05;
    private static final double MANY_LEAVE = 0.1;
    /** Who is gone within this fraction of the objective did not wait. */
    private static final int NOT_WAITED = 16;

    private final long stepUs;
    /** Share of lookups, smoothed, whose clients left early, and how long after they had asked. */
    private double leavingShare;

    private double leavesAfterUs;

    /** @param stepUs of the host's clock: timers fire up to one step late */
    public AttemptTiming(long stepUs) {
        this.stepUs = stepUs;
    }

    /**
     * The clock coming so late means that the router itself stood still. Also how long a decision of one turn
     * may wait until it is carried out.
     */
    long stallUs() {
        return STALL_STEPS * stepUs;
    }

    /**
     * Begins a step of the lookup. A round is a third of the latency objective: the first round, the round of
     * hedged attempts and the receive-only round end the lookup.
     */
    void begin(Lookup lookup, long nowUs) {
        long patienceUs = patienceUs(lookup.lookupClass.latencyObjectiveUs);
        // Two steps of the clock early: a timer fires up to one late, and the client's end is
        // final.
        long lastUs = Math.max(nowUs, lookup.clientDeadlineUs - 2 * stepUs);
        // One tenant's clients that give short times would make good nodes look silent to all.
        lookup.isSilenceConclusive = lastUs - nowUs >= patienceUs;
        lookup.roundUs = Math.max(stepUs, Math.min(patienceUs, lastUs - nowUs) / 3);
        lookup.endsAtUs = endsAtUs(lookup, lastUs, nowUs);
        lookup.nextCheckAtUs = nowUs;
        lookup.isStarted = false;
        lookup.isFirstRoundOver = false;
    }

    /** The last moment for a final answer to this step. */
    private long endsAtUs(Lookup lookup, long lastUs, long nowUs) {
        LookupClass lookupClass = lookup.lookupClass;
        long objectiveUs = lookup.arrivedAtUs + lookupClass.latencyObjectiveUs;
        // A partial answer that leaves at the objective reaches its client after it, and earns
        // nothing.
        long inTimeUs = objectiveUs - 2 * stepUs;
        if (lookupClass.allowsPartialAnswers()
                && lookupClass.lateAnswerWeight <= lookupClass.partialAnswerWeight
                && inTimeUs > nowUs) {
            return Math.min(lastUs, inTimeUs);
        }
        // Departure: where all parts are needed and a late answer is still worth something, an
        // abort at the objective would only make the client ask for all of it again.
        if (lookupClass.completeShare >= 1 && lookupClass.lateAnswerWeight > 0) {
            return lastUs;
        }
        return Math.min(lastUs, Math.max(objectiveUs, nowUs + 3 * lookup.roundUs));
    }

    /**
     * How long clients wait. Guards against clients that leave long before the time they state, and ask
     * again, so that all that was sent for them is lost: while over one in ten leaves, a round is a third of
     * the time after which they do. May hurt where one kind of client alone is impatient.
     */
    private long patienceUs(long objectiveUs) {
        return leavingShare > MANY_LEAVE
                ? Math.min(objectiveUs, (long) leavesAfterUs)
                : objectiveUs;
    }

    /** A lookup was answered, or its client has left. */
    void recordEnd(Lookup lookup, boolean isClientGone, long nowUs) {
        boolean isEarly = isClientGone
                && !lookup.isForwarded
                && nowUs < lookup.clientDeadlineUs - lookup.roundUs;
        long waitedUs = nowUs - lookup.arrivedAtUs;
        // Who is gone at once, or before a late router has read the lookup, did not wait: that says
        // nothing of patience.
        boolean isNoWait = isEarly && waitedUs < lookup.lookupClass.latencyObjectiveUs / NOT_WAITED;
        double weight = isNoWait ? 0 : LEAVING_SMOOTHING;
        leavingShare += weight * ((isEarly ? 1 : 0) - leavingShare);
        if (isEarly && !isNoWait) {
            leavesAfterUs +=
                    (leavesAfterUs == 0 ? 1 : 4 * LEAVING_SMOOTHING) * (waitedUs - leavesAfterUs);
        }
    }
}
