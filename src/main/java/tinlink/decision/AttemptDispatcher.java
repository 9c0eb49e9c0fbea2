package tinlink.decision;

import java.util.ArrayDeque;

/**
 * Makes attempts, and holds those to be sent and those to be cancelled until the turn's decisions are pulled.
 */
final class AttemptDispatcher {
    /** A part that its node has rejected goes there again only after this fraction of a round. */
    private static final int PAUSE = 4;

    private final RepeatGuard guard;
    private final ReplicaSelector selector;
    private final ReplicaHealth health;
    private final RetryBudget budget;
    private final ArrayDeque<Attempt> outbox = new ArrayDeque<>();
    /** Attempts that serve nobody any more. */
    private final ArrayDeque<Attempt> surplus = new ArrayDeque<>();

    AttemptDispatcher(
            RepeatGuard guard, ReplicaSelector selector, ReplicaHealth health, RetryBudget budget) {
        this.guard = guard;
        this.selector = selector;
        this.health = health;
        this.budget = budget;
    }

    /**
     * Picks a replica by the companion and queues an attempt to it; false where none may take the part now.
     */
    boolean dispatch(Part part, boolean isHedge, long nowUs) {
        ReplicaStats stats = selector.select(part, isHedge, nowUs);
        if (stats == null || pausesAfterRejection(part, stats.node(), nowUs)) {
            return false;
        }
        if (isHedge) {
            budget.spendHedge(nowUs);
        } else if (!part.attempts.isEmpty() && !part.isHedgePaid) {
            budget.spendRetry(nowUs);
        }
        selector.recordSend(stats, nowUs);
        Attempt attempt = attempt(part, stats, isHedge, nowUs);
        part.attempts.add(attempt);
        part.attemptsInFlight++;
        outbox.add(attempt);
        return true;
    }

    /** A full node rejects what comes again at once; all attempts would be gone in a moment. */
    private static boolean pausesAfterRejection(Part part, DataNode node, long nowUs) {
        if (!part.hasTried(node)) {
            return false;
        }
        Attempt last = part.lastAttempt();
        return last.outcome == Outcome.REJECTED
                && nowUs < last.sentAtUs + part.lookup.roundUs / PAUSE;
    }

    private Attempt attempt(Part part, ReplicaStats stats, boolean isHedge, long nowUs) {
        Attempt attempt = new Attempt();
        attempt.part = part;
        attempt.node = stats.node();
        attempt.number = part.attempts.size();
        attempt.sentAtUs = nowUs;
        attempt.callsInFlightBefore = stats.callsInFlight();
        IdleConnectionDetector idle = health.idleConnections();
        int idleStep = stats.callsInFlight() == 0 ? idle.idleStep(nowUs - stats.lastUsedAtUs()) : 0;
        double errors = isHedge ? 0 : IdleConnectionDetector.SURE;
        attempt.reconnectFirst =
                idle.isDropped(idleStep, errors, nowUs) && (isHedge || !isTrial(part));
        attempt.idleStep = attempt.reconnectFirst ? 0 : idleStep;
        stats.recordUse(nowUs);
        attempt.sharedCall = selector.callSharing().join(stats, nowUs);
        return attempt;
    }

    /** Lookups that can spare a part try one old connection, so that the suspicion is renewed or ends. */
    private static boolean isTrial(Part part) {
        return part.lookup.lookupClass.completeShare < 1 && part == part.lookup.parts.get(0);
    }

    /** The attempts at the part that are in flight serve nobody any more. */
    void cancelInFlight(Part part) {
        for (Attempt attempt : part.attempts) {
            if (attempt.isInFlight() && !attempt.isCancelled) {
                surplus.add(attempt);
            }
        }
    }

    boolean hasSends() {
        return !outbox.isEmpty();
    }

    boolean hasSendsOrCancels() {
        return !outbox.isEmpty() || !surplus.isEmpty();
    }

    /** Round trip of the longest link that a queued attempt goes over; 0 within this site. */
    long longestLinkUs() {
        long longestUs = 0;
        for (Attempt attempt : outbox) {
            longestUs = Math.max(longestUs, attempt.node.linkRoundTripUs);
        }
        return longestUs;
    }

    /** The next send, or closing of connections before it; false where none is queued. */
    boolean send(DecisionHandler handler, long nowUs) {
        Attempt attempt = outbox.peek();
        if (attempt == null) {
            return false;
        }
        if (attempt.reconnectFirst) {
            attempt.reconnectFirst = false;
            handler.closeIdleConnections(attempt.node);
        } else {
            outbox.poll();
            handler.send(attempt, Math.max(1, attempt.part.lookup.endsAtUs - nowUs));
        }
        return true;
    }

    /** The next cancel, where attempts may be cancelled; false where none is left. */
    boolean cancel(DecisionHandler handler) {
        while (!surplus.isEmpty()) {
            Attempt attempt = surplus.poll();
            if (guard.mayCancel() && attempt.isInFlight() && !attempt.isCancelled) {
                attempt.isCancelled = true;
                handler.cancel(attempt);
                return true;
            }
        }
        return false;
    }
}
