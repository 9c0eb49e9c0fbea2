package tinlink.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * Makes the further attempts of a lookup: one hedged attempt for each part that is unanswered after a round,
 * and retries of parts whose attempts have ended without an answer.
 */
final class RetryPlanner {
    /** A part that no data node may take now is checked again after a round divided by this. */
    private static final int RETRY_PAUSE_DIVISOR = 4;

    private final RepeatGuard guard;
    private final RetryBudget budget;
    private final ReplicaDirectory replicas;
    private final OutlierDetector outliers;
    private final AttemptDispatcher dispatcher;

    RetryPlanner(
            RepeatGuard guard,
            RetryBudget budget,
            ReplicaDirectory replicas,
            OutlierDetector outliers,
            AttemptDispatcher dispatcher) {
        this.guard = guard;
        this.budget = budget;
        this.replicas = replicas;
        this.outliers = outliers;
        this.dispatcher = dispatcher;
    }

    /**
     * Whether the lookup can't be completed any more, since too few parts are satisfied, are in flight or may
     * still be sent. Where the class allows partial answers, the lookup still waits for parts in flight.
     */
    boolean cannotComplete(Lookup lookup, double satisfiedWeight, long nowUs) {
        double possibleWeight = satisfiedWeight;
        boolean anyInFlight = false;
        for (Part part : lookup.parts) {
            boolean inFlight = part.attemptsInFlight > 0;
            if (!part.satisfied && (inFlight || maySend(part, nowUs))) {
                possibleWeight += part.weight;
                anyInFlight |= inFlight;
            }
        }
        boolean partialAwaited = anyInFlight && lookup.lookupClass.allowsPartialAnswers();
        return !lookup.isComplete(possibleWeight) && !partialAwaited;
    }

    private boolean maySend(Part part, long nowUs) {
        return guard.mayAttempt(part, nowUs) && replicas.hasAvailableReplica(part, nowUs);
    }

    /**
     * Hedges as many unanswered parts after the first round as the present step still needs, each on another
     * replica. The paper that the fastest-valid design follows calls a hedged attempt a replay.
     */
    void hedge(Lookup lookup, double satisfiedWeight, long nowUs) {
        double missingWeight = lookup.neededWeight() - Lookup.WEIGHT_TOLERANCE - satisfiedWeight;
        for (Part part : partsToHedge(lookup)) {
            if (missingWeight <= 0) {
                break;
            }
            boolean hedged = (guard.mayAttempt(part, nowUs) && budget.allowsHedge(nowUs))
                    ? dispatcher.dispatch(part, true, nowUs)
                    : cancelUnanswered(part, nowUs);
            missingWeight -= hedged ? part.weight : 0;
        }
    }

    /** The unanswered parts to hedge, first those whose data node has not answered for the longest time. */
    private List<Part> partsToHedge(Lookup lookup) {
        // Where most nodes are slow, the cause is shared, and hedged attempts would add to the
        // load. But a part is stuck, not slow, where its node has answered a later attempt.
        boolean slownessWidespread = outliers.isSlownessWidespread();
        List<Part> unanswered = new ArrayList<>();
        for (Part part : lookup.parts) {
            if (part.isAwaited() && (!slownessWidespread || isOvertaken(part))) {
                unanswered.add(part);
            }
        }
        unanswered.sort((one, other) -> Long.compare(
                replicas.lastStats(one).lastAnswerAtUs(),
                replicas.lastStats(other).lastAnswerAtUs()));
        return unanswered;
    }

    private boolean isOvertaken(Part part) {
        return replicas.lastStats(part).newestAnsweredSentAtUs() > part.lastAttempt().sentAtUs;
    }

    /**
     * Differs from the fastest-valid configuration: where a part may not be in flight twice, the part's
     * attempt is cancelled if its data node has answered nothing since the part was first sent. The hedge is
     * charged to the budget now, and the next attempt is sent once the cancel is confirmed.
     */
    private boolean cancelUnanswered(Part part, long nowUs) {
        if (!guard.mayCancelUnanswered(part)
                || replicas.lastStats(part).lastAnswerAtUs() >= part.attempts.get(0).sentAtUs
                || !budget.allowsHedge(nowUs)) {
            return false;
        }
        budget.spendHedge(nowUs);
        part.hedgePaid = true;
        dispatcher.cancelInFlight(part);
        return true;
    }

    /** Sends parts that have no attempt yet, or whose attempts have all ended without an answer. */
    void retry(Lookup lookup, double satisfiedWeight, long nowUs) {
        double expectedWeight = satisfiedWeight + lookup.awaitedWeight();
        for (Part part : lookup.parts) {
            if (part.satisfied
                    || part.attemptsInFlight > 0
                    || waitsForOtherParts(part, satisfiedWeight, expectedWeight)
                    || !guard.mayAttempt(part, nowUs)
                    || lookup.isComplete(expectedWeight)) {
                continue;
            }
            if (nowUs >= part.notBeforeUs
                    && isWithinBudget(part, nowUs)
                    && dispatcher.dispatch(part, false, nowUs)) {
                expectedWeight += part.weight;
                part.hedgePaid = false;
            } else {
                // No data node may take the part now, or the budget is used up. The part is checked
                // again within the round, and not on every input.
                part.notBeforeUs =
                        Math.max(part.notBeforeUs, nowUs + lookup.roundUs / RETRY_PAUSE_DIVISOR);
                lookup.checkBy(part.notBeforeUs);
            }
        }
    }

    /**
     * Whether the part waits until another part shows that the lookup does not crash data nodes: an unsent
     * part for the canary, and a part that has lost its connection for the first part to be satisfied.
     */
    private static boolean waitsForOtherParts(
            Part part, double satisfiedWeight, double expectedWeight) {
        if (part.attempts.isEmpty()) {
            return part.lookup.awaitingCanary;
        }
        return satisfiedWeight == 0
                && expectedWeight > 0
                && part.lastAttempt().outcome == Outcome.CONNECTION_LOST;
    }

    private boolean isWithinBudget(Part part, long nowUs) {
        return part.attempts.isEmpty() || part.hedgePaid || budget.allowsRetry(nowUs);
    }
}
