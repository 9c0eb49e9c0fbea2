package tinlink.decision;

/**
 * Sets the times of a lookup: the length of its rounds, after which unanswered parts are hedged, and the
 * latest time for its final answer. Times are microseconds.
 */
public final class AttemptTiming {
    private static final int STALL_STEPS = 20;
    private static final double LEAVING_SMOOTHING = 0.05;
    private static final double LEAVING_THRESHOLD = 0.1;
    /** A client that leaves within the latency objective divided by this did not wait at all. */
    private static final int NO_WAIT_DIVISOR = 16;

    private final long stepUs;
    /** Share of recent lookups whose clients left early, smoothed. */
    private double leavingShare;
    /** How long the clients that left early had waited, smoothed; 0 before the first one. */
    private double leavesAfterUs;

    /** @param stepUs resolution of the host's clock; timers fire up to one step late */
    public AttemptTiming(long stepUs) {
        this.stepUs = stepUs;
    }

    /**
     * A timer that is later than this means that the router itself was stalled. It also bounds how long a
     * decision of one turn waits until it is carried out.
     */
    long stallUs() {
        return STALL_STEPS * stepUs;
    }

    /**
     * Begins a step of the lookup. A round is a third of the latency objective, which leaves time for a first
     * round, a round for hedged attempts, and a round in which the router only receives.
     */
    void begin(Lookup lookup, long nowUs) {
        long patienceUs = patienceUs(lookup.lookupClass.latencyObjectiveUs);
        // Two clock steps early: a timer fires up to one step late, and the client does not wait.
        long lastUs = Math.max(nowUs, lookup.clientDeadlineUs - 2 * stepUs);
        // Otherwise one tenant with short deadlines would make healthy nodes look slow to all.
        lookup.fullLengthRound = lastUs - nowUs >= patienceUs;
        lookup.roundUs = Math.max(stepUs, Math.min(patienceUs, lastUs - nowUs) / 3);
        lookup.endsAtUs = endsAtUs(lookup, lastUs, nowUs);
        lookup.nextCheckAtUs = nowUs;
        lookup.started = false;
        lookup.firstRoundOver = false;
    }

    /** The latest time for the final answer of the present step. */
    private long endsAtUs(Lookup lookup, long lastUs, long nowUs) {
        LookupClass lookupClass = lookup.lookupClass;
        long objectiveUs = lookup.arrivedAtUs + lookupClass.latencyObjectiveUs;
        // A partial answer sent exactly at the objective arrives after it, and is worth nothing.
        long inTimeUs = objectiveUs - 2 * stepUs;
        if (lookupClass.allowsPartialAnswers()
                && lookupClass.lateAnswerWeight <= lookupClass.partialAnswerWeight
                && inTimeUs > nowUs) {
            return Math.min(lastUs, inTimeUs);
        }
        // Differs from the fastest-valid configuration. Where all parts are needed and a late
        // answer has a value, an abort at the objective would only make the client ask again.
        if (lookupClass.completeShare >= 1 && lookupClass.lateAnswerWeight > 0) {
            return lastUs;
        }
        return Math.min(lastUs, Math.max(objectiveUs, nowUs + 3 * lookup.roundUs));
    }

    /**
     * How long clients are expected to wait, at most the latency objective. Clients that leave long before
     * their stated deadline and ask again waste all attempts that were made for them. So while more than one
     * client in ten leaves early, the time after which they leave replaces the objective. Where only one kind
     * of client is impatient, this shortens the rounds of all others too.
     */
    private long patienceUs(long objectiveUs) {
        return leavingShare > LEAVING_THRESHOLD
                ? Math.min(objectiveUs, (long) leavesAfterUs)
                : objectiveUs;
    }

    /** Records that a lookup was answered, or that its client left. */
    void recordEnd(Lookup lookup, boolean clientGone, long nowUs) {
        boolean early =
                clientGone && !lookup.forwarded && nowUs < lookup.clientDeadlineUs - lookup.roundUs;
        long waitedUs = nowUs - lookup.arrivedAtUs;
        // A client that leaves at once, or before a delayed router has read the lookup, did not
        // wait. Such a client does not show how long clients wait.
        boolean atOnce =
                early && waitedUs < lookup.lookupClass.latencyObjectiveUs / NO_WAIT_DIVISOR;
        double weight = atOnce ? 0 : LEAVING_SMOOTHING;
        leavingShare += weight * ((early ? 1 : 0) - leavingShare);
        if (early && !atOnce) {
            leavesAfterUs +=
                    (leavesAfterUs == 0 ? 1 : 4 * LEAVING_SMOOTHING) * (waitedUs - leavesAfterUs);
        }
    }
}
