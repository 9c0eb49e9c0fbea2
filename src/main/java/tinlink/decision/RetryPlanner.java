package tinlink.decision;

import java.util.ArrayList;
import java.util.List;

/** Further attempts: one hedged attempt after a silent round, and retries of what ended without an answer. */
final class RetryPlanner {
    /** A part that no node may take now is looked at again after this fraction of a round. */
    private static final int PAUSE = 4;

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
     * Whether too few parts are satisfied, in flight or may still be sent. Where a partial answer may do,
     * those in flight are awaited.
     */
    boolean isHopeless(Lookup lookup, double satisfied, long nowUs) {
        double possible = satisfied;
        boolean isAnyInFlight = false;
        for (Part part : lookup.parts) {
            boolean isInFlight = part.attemptsInFlight > 0;
            if (!part.isSatisfied && (isInFlight || maySend(part, nowUs))) {
                possible += part.weight;
                isAnyInFlight |= isInFlight;
            }
        }
        boolean isPartialAwaited = isAnyInFlight && lookup.lookupClass.allowsPartialAnswers();
        return !lookup.isComplete(possible) && !isPartialAwaited;
    }

    private boolean maySend(Part part, long nowUs) {
        return guard.mayAttempt(part, nowUs) && replicas.hasHolder(part, nowUs);
    }

    /**
     * After the silent first round: missing parts that the step still needs go once more, to another replica.
     * The paper that the design comes from calls this the replay.
     */
    void hedge(Lookup lookup, double satisfied, long nowUs) {
        double missing = lookup.neededWeight() - Lookup.WEIGHT_TOLERANCE - satisfied;
        for (Part part : silentParts(lookup)) {
            if (missing <= 0) {
                break;
            }
            boolean isHedged = (guard.mayAttempt(part, nowUs) && budget.allowsHedge(nowUs))
                    ? dispatcher.dispatch(part, true, nowUs)
                    : giveUpSilent(part, nowUs);
            missing -= isHedged ? part.weight : 0;
        }
    }

    /** Parts to be hedged, first those whose node has not answered anything for longest. */
    private List<Part> silentParts(Lookup lookup) {
        // When most nodes look bad the cause is shared, and a hedged attempt only adds to it; but a
        // part that later ones have overtaken at its node is stuck, not slow.
        boolean isTroubleShared = outliers.isTroubleShared();
        List<Part> silent = new ArrayList<>();
        for (Part part : lookup.parts) {
            if (part.isAwaited() && (!isTroubleShared || isOvertaken(part))) {
                silent.add(part);
            }
        }
        silent.sort((one, other) -> Long.compare(
                replicas.lastStats(one).lastAnswerAtUs(),
                replicas.lastStats(other).lastAnswerAtUs()));
        return silent;
    }

    private boolean isOvertaken(Part part) {
        return replicas.lastStats(part).newestAnsweredSentAtUs() > part.lastAttempt().sentAtUs;
    }

    /**
     * Departure: where a part may not be in flight twice, a node that has answered nothing since loses the
     * part. The hedge is paid now, and is sent once the cancel is confirmed.
     */
    private boolean giveUpSilent(Part part, long nowUs) {
        if (!guard.mayGiveUpSilent(part)
                || replicas.lastStats(part).lastAnswerAtUs() >= part.attempts.get(0).sentAtUs
                || !budget.allowsHedge(nowUs)) {
            return false;
        }
        budget.spendHedge(nowUs);
        part.isHedgePaid = true;
        dispatcher.cancelInFlight(part);
        return true;
    }

    /** Sends parts that were never sent, or whose attempts all ended without an answer. */
    void retry(Lookup lookup, double satisfied, long nowUs) {
        double expected = satisfied + lookup.awaitedWeight();
        for (Part part : lookup.parts) {
            if (part.isSatisfied
                    || part.attemptsInFlight > 0
                    || waitsForSign(part, satisfied, expected)
                    || !guard.mayAttempt(part, nowUs)
                    || lookup.isComplete(expected)) {
                continue;
            }
            if (nowUs >= part.notBeforeUs
                    && isPaid(part, nowUs)
                    && dispatcher.dispatch(part, false, nowUs)) {
                expected += part.weight;
                part.isHedgePaid = false;
            } else {
                // No node may take it now: look again within the round, not on every input.
                part.notBeforeUs = Math.max(part.notBeforeUs, nowUs + lookup.roundUs / PAUSE);
                lookup.checkBy(part.notBeforeUs);
            }
        }
    }

    /** What has lost its node waits for a sign that the lookup is not what brought it down. */
    private static boolean waitsForSign(Part part, double satisfied, double expected) {
        if (part.attempts.isEmpty()) {
            return part.lookup.awaitsCanary;
        }
        return satisfied == 0
                && expected > 0
                && part.lastAttempt().outcome == Outcome.CONNECTION_LOST;
    }

    private boolean isPaid(Part part, long nowUs) {
        return part.attempts.isEmpty() || part.isHedgePaid || budget.allowsRetry(nowUs);
    }
}
