package tinlink.decision;

import java.util.ArrayDeque;

/** Creates attempts, and queues sends and cancels until the host pulls the decisions of the turn. */
final class AttemptDispatcher {
    /** A part that a data node has rejected waits for a round divided by this before it goes there again. */
    private static final int REJECTION_PAUSE_DIVISOR = 4;

    private final RepeatGuard guard;
    private final ReplicaSelector selector;
    private final ReplicaHealth health;
    private final RetryBudget budget;
    private final ArrayDeque<Attempt> sendQueue = new ArrayDeque<>();
    /** Attempts whose answers are no longer needed. */
    private final ArrayDeque<Attempt> cancelQueue = new ArrayDeque<>();

    AttemptDispatcher(
            RepeatGuard guard, ReplicaSelector selector, ReplicaHealth health, RetryBudget budget) {
        this.guard = guard;
        this.selector = selector;
        this.health = health;
        this.budget = budget;
    }

    /** Selects a replica and queues an attempt to it; false where no data node may take the part now. */
    boolean dispatch(Part part, boolean hedged, long nowUs) {
        ReplicaStats stats = selector.select(part, hedged, nowUs);
        if (stats == null || pausesAfterRejection(part, stats.node(), nowUs)) {
            return false;
        }
        if (hedged) {
            budget.spendHedge(nowUs);
        } else if (!part.attempts.isEmpty() && !part.hedgePaid) {
            budget.spendRetry(nowUs);
        }
        selector.recordSend(stats, nowUs);
        Attempt attempt = createAttempt(part, stats, hedged, nowUs);
        part.attempts.add(attempt);
        part.attemptsInFlight++;
        sendQueue.add(attempt);
        return true;
    }

    /**
     * Whether the part must wait before it goes back to the node that has just rejected it. A full node would
     * reject an immediate repeat as well, and the part would use up all its attempts at once.
     */
    private static boolean pausesAfterRejection(Part part, DataNode node, long nowUs) {
        if (!part.hasTried(node)) {
            return false;
        }
        Attempt last = part.lastAttempt();
        return last.outcome == Outcome.REJECTED
                && nowUs < last.sentAtUs + part.lookup.roundUs / REJECTION_PAUSE_DIVISOR;
    }

    private Attempt createAttempt(Part part, ReplicaStats stats, boolean hedged, long nowUs) {
        Attempt attempt = new Attempt();
        attempt.part = part;
        attempt.node = stats.node();
        attempt.number = part.attempts.size();
        attempt.sentAtUs = nowUs;
        attempt.callsInFlightBefore = stats.callsInFlight();
        IdleConnectionDetector idle = health.idleConnections();
        int idleStep = stats.callsInFlight() == 0 ? idle.idleStep(nowUs - stats.lastUsedAtUs()) : 0;
        // A hedged attempt avoids the connection on less evidence than a first attempt or a retry.
        double standardErrors = hedged ? 0 : IdleConnectionDetector.SIGNIFICANT_STANDARD_ERRORS;
        attempt.reconnectFirst = idle.isDropped(idleStep, standardErrors, nowUs)
                && (hedged || !testsIdleConnection(part));
        attempt.idleStep = attempt.reconnectFirst ? 0 : idleStep;
        stats.recordUse(nowUs);
        attempt.sharedCall = selector.callSharing().join(stats, nowUs);
        return attempt;
    }

    /**
     * Whether the part goes on an idle connection that is probably dropped. A lookup that can complete
     * without all of its parts tests one such connection, so that the evidence is renewed or fades.
     */
    private static boolean testsIdleConnection(Part part) {
        return part.lookup.lookupClass.completeShare < 1 && part == part.lookup.parts.get(0);
    }

    /** Queues cancels for the part's attempts in flight, whose answers are no longer needed. */
    void cancelInFlight(Part part) {
        for (Attempt attempt : part.attempts) {
            if (attempt.isInFlight() && !attempt.cancelled) {
                cancelQueue.add(attempt);
            }
        }
    }

    boolean hasQueuedSends() {
        return !sendQueue.isEmpty();
    }

    boolean hasQueuedSendsOrCancels() {
        return !sendQueue.isEmpty() || !cancelQueue.isEmpty();
    }

    /** The longest round trip to the site of a queued attempt; 0 where all stay within this site. */
    long longestLinkUs() {
        long longestUs = 0;
        for (Attempt attempt : sendQueue) {
            longestUs = Math.max(longestUs, attempt.node.linkRoundTripUs);
        }
        return longestUs;
    }

    /**
     * Carries out the next queued send, or closes the idle connections that must go first; false where no
     * send is queued.
     */
    boolean sendNext(DecisionHandler handler, long nowUs) {
        Attempt attempt = sendQueue.peek();
        if (attempt == null) {
            return false;
        }
        if (attempt.reconnectFirst) {
            attempt.reconnectFirst = false;
            handler.closeIdleConnections(attempt.node);
        } else {
            sendQueue.poll();
            handler.send(attempt, Math.max(1, attempt.part.lookup.endsAtUs - nowUs));
        }
        return true;
    }

    /** Carries out the next queued cancel that is allowed and still needed; false where none is left. */
    boolean cancelNext(DecisionHandler handler) {
        while (!cancelQueue.isEmpty()) {
            Attempt attempt = cancelQueue.poll();
            if (guard.mayCancel() && attempt.isInFlight() && !attempt.cancelled) {
                attempt.cancelled = true;
                handler.cancel(attempt);
                return true;
            }
        }
        return false;
    }
}
