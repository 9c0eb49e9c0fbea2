package tinlink.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;

/**
 * The life cycle of lookups in one query router, after the fastest-valid setting of the design page: all
 * parts leave together, the n-th valid part answers, what is silent after a round is hedged once, and what
 * comes short of n at the end is aborted, rejected or answered in part.
 *
 * <p>Callers use it through {@link QueryCoordinator}: build one instance for each router, from parts that
 * each take their few settings; tell it each input; then pull decisions through {@link #decide} until it says
 * false. It is used by one thread. {@code docs/design.md} says why it decides as it does.
 */
public final class FastestValidCoordinator implements QueryCoordinator {
    private static final long NEVER = Long.MAX_VALUE;

    private final AttemptTiming timing;
    private final RepeatGuard guard;
    private final ReplicaSelector selector;
    private final ReplicaDirectory replicas;
    private final ReplicaHealth health;
    private final RetryBudget budget;
    private final AdmissionController admission;
    private final EndpointListPoller poller;
    private final AttemptDispatcher dispatcher;
    private final RetryPlanner retries;
    /** Lookups in flight; each leaves with its final answer or its client. */
    private final ArrayList<Lookup> open = new ArrayList<>();
    /** Lookups that may have a decision to make; emptied within the turn. */
    private final ArrayDeque<Lookup> queue = new ArrayDeque<>();

    private long now;
    private long wakesAtUs = NEVER;
    private long stalledAtUs = NEVER;

    /** A coordinator for one router; its parts are used by no other. */
    public FastestValidCoordinator(
            AttemptTiming timing,
            RepeatGuard guard,
            ReplicaSelector selector,
            ReplicaHealth health,
            RetryBudget budget,
            AdmissionController admission,
            EndpointListPoller poller) {
        this.timing = timing;
        this.guard = guard;
        this.selector = selector;
        this.health = health;
        this.budget = budget;
        this.admission = admission;
        this.poller = poller;
        replicas = selector.replicas();
        dispatcher = new AttemptDispatcher(guard, selector, health, budget);
        retries = new RetryPlanner(guard, budget, replicas, health.outliers(), dispatcher);
    }

    /**
     * A router that itself stood still takes its own delay for slow nodes, and rejects. Its timers tell: one
     * that comes late by many steps of the clock means that what came with it was seen late too.
     */
    @Override
    public void advanceClock(long nowUs) {
        now = nowUs;
        if (now - wakesAtUs > timing.stallUs()) {
            wakesAtUs = NEVER;
            stalledAtUs = now;
        }
    }

    @Override
    public void onLookup(Lookup lookup) {
        lookup.arrivedAtUs = now;
        timing.begin(lookup, now);
        open.add(lookup);
        budget.onLookup(lookup, now);
        enqueue(lookup);
    }

    @Override
    public void onPart(Part part) {
        part.lookup.parts.add(part);
        budget.onPart(part.lookup, now);
        enqueue(part.lookup);
    }

    @Override
    public void onOutcome(Attempt attempt, Outcome outcome, long tookUs, long reportedLatencyUs) {
        attempt.outcome = outcome;
        Part part = attempt.part;
        part.attemptsInFlight--;
        ReplicaStats stats = replicas.stats(attempt.node);
        stats.onAttemptEnded(attempt.sharedCall);
        health.onOutcome(stats, attempt, outcome, now == stalledAtUs ? -1 : tookUs, now);
        replicas.forgetIfGone(stats);
        Lookup lookup = part.lookup;
        if (lookup.isEnded) {
            return;
        }
        if (outcome == Outcome.CONNECTION_LOST) {
            lookup.recordLostNode(attempt.node);
        }
        if (outcome == Outcome.SATISFIED && !part.isSatisfied) {
            part.isSatisfied = true;
            dispatcher.cancelInFlight(part);
        }
        enqueue(lookup);
    }

    @Override
    public void onEndpoint(DataNode node, boolean restarted) {
        replicas.onEndpoint(node, restarted);
    }

    @Override
    public void onEndpointListUpdate(EndpointListUpdate update) {
        poller.onUpdate(update, now);
        open.forEach(this::enqueue);
    }

    @Override
    public void onHealthCheck(DataNode node, Outcome outcome, long tookUs, long reportedLatencyUs) {
        // A health check proves that a process runs, not that it answers: nothing here rests on
        // one.
    }

    @Override
    public void onTimer() {
        wakesAtUs = now >= wakesAtUs ? NEVER : wakesAtUs;
        for (Lookup lookup : open) {
            if (lookup.nextCheckAtUs <= now) {
                enqueue(lookup);
            }
        }
    }

    @Override
    public void onClientGone(Lookup lookup) {
        timing.recordEnd(lookup, true, now);
        end(lookup);
    }

    private void enqueue(Lookup lookup) {
        if (!lookup.isQueued) {
            lookup.isQueued = true;
            queue.add(lookup);
        }
    }

    private void end(Lookup lookup) {
        if (lookup.isStarted && !lookup.isFirstRoundOver && lookup.isSilenceConclusive) {
            health.outliers().recordRound(lookup.parts.size(), 0);
        }
        lookup.isEnded = true;
        open.remove(lookup);
        lookup.parts.forEach(dispatcher::cancelInFlight);
    }

    @Override
    public boolean decide(DecisionHandler handler) {
        if (dispatcher.send(handler, now) || dispatcher.cancel(handler)) {
            return true;
        }
        if (poller.takeDuePoll(now)) {
            handler.subscribeToEndpointList();
            return true;
        }
        while (!queue.isEmpty()) {
            Lookup lookup = queue.peek();
            if (!lookup.isEnded && step(lookup, handler)) {
                return true;
            }
            lookup.isQueued = false;
            queue.poll();
        }
        return wake(handler);
    }

    private boolean wake(DecisionHandler handler) {
        long nextUs = poller.nextPollAtUs();
        for (Lookup lookup : open) {
            nextUs = Math.min(nextUs, lookup.nextCheckAtUs);
        }
        if (nextUs >= wakesAtUs) {
            return false;
        }
        wakesAtUs = nextUs;
        handler.wakeAt(nextUs);
        return true;
    }

    /**
     * The next decision for one lookup; false when it only has to wait, until its next check at the latest.
     */
    private boolean step(Lookup lookup, DecisionHandler handler) {
        double satisfied = lookup.satisfiedWeight();
        boolean hasAllParts = lookup.hasAllParts();
        // The n-th valid part ends the lookup (design page); a second step needs all of its parts.
        if (hasAllParts && lookup.isComplete(satisfied)) {
            return answer(lookup, handler, !lookup.isSecondStep || lookup.isFirstStepComplete);
        }
        if (now >= lookup.endsAtUs || (hasAllParts && isLost(lookup, satisfied))) {
            return giveUp(lookup, handler, satisfied);
        }
        lookup.nextCheckAtUs = lookup.endsAtUs;
        if (!hasAllParts) {
            return false;
        }
        if (!lookup.isStarted) {
            return start(lookup, handler);
        }
        goOn(lookup, satisfied);
        return dispatcher.hasSendsOrCancels();
    }

    /**
     * Guards against lookups that bring down every node that begins a part of theirs: one that has lost two
     * nodes and satisfied no part is not sent again. May hurt where good nodes lose many connections.
     */
    private boolean isLost(Lookup lookup, double satisfied) {
        return (lookup.isSuspect() && satisfied == 0) || retries.isHopeless(lookup, satisfied, now);
    }

    /** Rejects the lookup, or sends its parts. */
    private boolean start(Lookup lookup, DecisionHandler handler) {
        if (admission.isOverloaded(lookup, selector, health.latency(), now)
                && guard.mayReject(lookup)) {
            end(lookup);
            handler.reject(lookup, admission.retryAfterUs(lookup));
            return true;
        }
        lookup.isStarted = true;
        if (lookup.parts.size() > 1
                && health.outliers().areNodesGoingDown(lookup.isClientRetry, now)) {
            lookup.awaitsCanary = sendCanary(lookup);
        } else {
            lookup.awaitsCanary = false;
            sendUnsent(lookup);
        }
        // Silence means nothing before the link to another site could have brought an answer.
        lookup.roundStartedAtUs = now + dispatcher.longestLinkUs();
        lookup.nextCheckAtUs = Math.min(lookup.endsAtUs, lookup.roundStartedAtUs + lookup.roundUs);
        return dispatcher.hasSends() || step(lookup, handler);
    }

    /** While nodes die around us one part goes first, to see whether the lookup kills. */
    private boolean sendCanary(Lookup lookup) {
        for (Part part : lookup.parts) {
            if (dispatcher.dispatch(part, false, now)) {
                return true;
            }
        }
        return false;
    }

    /** All parts that have not been sent leave together. */
    private void sendUnsent(Lookup lookup) {
        for (Part part : lookup.parts) {
            if (part.attempts.isEmpty()) {
                dispatcher.dispatch(part, false, now);
            }
        }
    }

    /** What a started lookup does as time passes and attempts end. */
    private void goOn(Lookup lookup, double satisfied) {
        if (lookup.awaitsCanary && (satisfied > 0 || lookup.isRoundOver(now))) {
            lookup.awaitsCanary = false;
            lookup.roundStartedAtUs = now;
            sendUnsent(lookup);
        }
        if (!lookup.isFirstRoundOver && lookup.isRoundOver(now)) {
            lookup.isFirstRoundOver = true;
            judgeSilence(lookup);
            retries.hedge(lookup, satisfied, now);
        }
        retries.retry(lookup, satisfied, now);
        if (!lookup.isFirstRoundOver) {
            lookup.checkBy(lookup.roundStartedAtUs + lookup.roundUs);
        }
    }

    /** What the silence of its round says of the nodes; with less than a full round it says nothing. */
    private void judgeSilence(Lookup lookup) {
        if (!lookup.isSilenceConclusive) {
            return;
        }
        int silentParts = 0;
        for (Part part : lookup.parts) {
            for (Attempt attempt : part.attempts) {
                if (attempt.isInFlight()) {
                    health.onSilence(replicas.stats(attempt.node), attempt, now);
                }
            }
            silentParts += part.isAwaited() ? 1 : 0;
        }
        health.outliers().recordRound(lookup.parts.size(), silentParts);
    }

    private boolean answer(Lookup lookup, DecisionHandler handler, boolean isComplete) {
        if (lookup.lookupClass.secondStepParts > 0 && !lookup.isSecondStep) {
            beginSecondStep(lookup, isComplete);
        } else {
            timing.recordEnd(lookup, false, now);
            end(lookup);
        }
        handler.answer(lookup, isComplete);
        return true;
    }

    private void beginSecondStep(Lookup lookup, boolean isFirstStepComplete) {
        int satisfiedParts = 0;
        for (Part part : lookup.parts) {
            satisfiedParts += part.isSatisfied ? 1 : 0;
            dispatcher.cancelInFlight(part);
        }
        lookup.isSecondStep = true;
        lookup.isFirstStepComplete = isFirstStepComplete;
        lookup.announcedParts = Math.min(lookup.lookupClass.secondStepParts, satisfiedParts);
        lookup.parts = new ArrayList<>();
        timing.begin(lookup, now);
    }

    /** Short of n: a partial answer above the floor, a rejection where nothing forbids it, else an abort. */
    private boolean giveUp(Lookup lookup, DecisionHandler handler, double satisfied) {
        if (lookup.hasAllParts()
                && satisfied > 0
                && satisfied >= lookup.minimumWeight() - Lookup.WEIGHT_TOLERANCE) {
            return answer(lookup, handler, false);
        }
        boolean isRejected = now < lookup.endsAtUs && guard.mayReject(lookup);
        end(lookup);
        if (isRejected) {
            handler.reject(lookup, admission.retryAfterUs(lookup));
        } else {
            handler.abort(lookup);
        }
        return true;
    }
}
