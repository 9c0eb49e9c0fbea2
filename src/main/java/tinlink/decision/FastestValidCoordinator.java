package tinlink.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;

/**
 * Runs the lifecycle of the lookups in one query router, in the fastest-valid configuration that
 * {@code docs/design.md} describes and justifies. All parts of a lookup are sent at once, and the lookup is
 * answered as soon as enough of them are satisfied. Parts that are unanswered after one round are hedged
 * once. A lookup that ends with too few satisfied parts is answered in part, rejected or aborted.
 *
 * <p>Callers use one instance for each router, on one thread, as {@link QueryCoordinator} describes.
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
    /** A lookup is removed with its final answer, or when its client leaves. */
    private final ArrayList<Lookup> lookupsInFlight = new ArrayList<>();
    /** Lookups that may have a decision to make; empty once {@link #decide} has returned false. */
    private final ArrayDeque<Lookup> lookupsToCheck = new ArrayDeque<>();

    private long now;
    /** When the earliest timer that the host was asked for fires; {@code NEVER} where none is set. */
    private long wakeAtUs = NEVER;
    /** Clock of the turn in which the last stall of this router was detected. */
    private long stalledAtUs = NEVER;

    /** Creates the coordinator of one router; no other coordinator may use the same collaborators. */
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
     * Sets the clock, and detects that this router itself was stalled. A stalled router would take its own
     * delay for slow data nodes, and reject lookups. A timer that fires many clock steps late shows the
     * stall; the outcomes of the same turn were read late too, so their latencies are not used.
     */
    @Override
    public void advanceClock(long nowUs) {
        now = nowUs;
        if (now - wakeAtUs > timing.stallUs()) {
            wakeAtUs = NEVER;
            stalledAtUs = now;
        }
    }

    @Override
    public void onLookup(Lookup lookup) {
        lookup.arrivedAtUs = now;
        timing.begin(lookup, now);
        lookupsInFlight.add(lookup);
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
        if (lookup.ended) {
            return;
        }
        if (outcome == Outcome.CONNECTION_LOST) {
            lookup.recordLostNode(attempt.node);
        }
        if (outcome == Outcome.SATISFIED && !part.satisfied) {
            part.satisfied = true;
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
        lookupsInFlight.forEach(this::enqueue);
    }

    @Override
    public void onHealthCheck(DataNode node, Outcome outcome, long tookUs, long reportedLatencyUs) {
        // Ignored: a health check shows that the process runs, not that it answers parts.
    }

    @Override
    public void onTimer() {
        wakeAtUs = now >= wakeAtUs ? NEVER : wakeAtUs;
        for (Lookup lookup : lookupsInFlight) {
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
        if (!lookup.queued) {
            lookup.queued = true;
            lookupsToCheck.add(lookup);
        }
    }

    private void end(Lookup lookup) {
        // A lookup that ends within its first round counts as a round without unanswered parts.
        if (lookup.started && !lookup.firstRoundOver && lookup.fullLengthRound) {
            health.outliers().recordRound(lookup.parts.size(), 0);
        }
        lookup.ended = true;
        lookupsInFlight.remove(lookup);
        lookup.parts.forEach(dispatcher::cancelInFlight);
    }

    @Override
    public boolean decide(DecisionHandler handler) {
        if (dispatcher.sendNext(handler, now) || dispatcher.cancelNext(handler)) {
            return true;
        }
        if (poller.takeDuePoll(now)) {
            handler.subscribeToEndpointList();
            return true;
        }
        while (!lookupsToCheck.isEmpty()) {
            Lookup lookup = lookupsToCheck.peek();
            if (!lookup.ended && decideFor(lookup, handler)) {
                return true;
            }
            lookup.queued = false;
            lookupsToCheck.poll();
        }
        return requestWakeup(handler);
    }

    /** Asks the host for an earlier timer where one is needed; false where the present one is enough. */
    private boolean requestWakeup(DecisionHandler handler) {
        long nextUs = poller.nextPollAtUs();
        for (Lookup lookup : lookupsInFlight) {
            nextUs = Math.min(nextUs, lookup.nextCheckAtUs);
        }
        if (nextUs >= wakeAtUs) {
            return false;
        }
        wakeAtUs = nextUs;
        handler.wakeAt(nextUs);
        return true;
    }

    /** Makes the next decision for a lookup; false where the lookup waits until its next check or input. */
    private boolean decideFor(Lookup lookup, DecisionHandler handler) {
        double satisfiedWeight = lookup.satisfiedWeight();
        boolean allPartsKnown = lookup.hasAllParts();
        // Enough satisfied parts end a step (docs/design.md); a second step needs all of its parts.
        if (allPartsKnown && lookup.isComplete(satisfiedWeight)) {
            return answer(lookup, handler, !lookup.secondStep || lookup.firstStepComplete);
        }
        if (now >= lookup.endsAtUs || (allPartsKnown && mustEndEarly(lookup, satisfiedWeight))) {
            return endIncomplete(lookup, handler, satisfiedWeight);
        }
        lookup.nextCheckAtUs = lookup.endsAtUs;
        if (!allPartsKnown) {
            return false;
        }
        if (!lookup.started) {
            return start(lookup, handler);
        }
        hedgeAndRetry(lookup, satisfiedWeight);
        return dispatcher.hasQueuedSendsOrCancels();
    }

    /**
     * Whether the lookup ends before its time. A lookup that has lost connections to two data nodes and has
     * no satisfied part is not sent again: it may crash every node that starts one of its parts. Where
     * healthy nodes lose many connections, the rule also ends harmless lookups.
     */
    private boolean mustEndEarly(Lookup lookup, double satisfiedWeight) {
        return (lookup.isSuspect() && satisfiedWeight == 0)
                || retries.cannotComplete(lookup, satisfiedWeight, now);
    }

    /** Rejects the lookup, or sends its parts. */
    private boolean start(Lookup lookup, DecisionHandler handler) {
        if (admission.isOverloaded(lookup, selector, health.latency(), now)
                && guard.mayReject(lookup)) {
            end(lookup);
            handler.reject(lookup, admission.retryAfterUs(lookup));
            return true;
        }
        lookup.started = true;
        if (lookup.parts.size() > 1
                && health.outliers().areNodesGoingDown(lookup.clientRetry, now)) {
            lookup.awaitingCanary = sendCanary(lookup);
        } else {
            lookup.awaitingCanary = false;
            sendUnsent(lookup);
        }
        // The round starts once the longest link to another site can have delivered an answer.
        lookup.roundStartedAtUs = now + dispatcher.longestLinkUs();
        lookup.nextCheckAtUs = Math.min(lookup.endsAtUs, lookup.roundStartedAtUs + lookup.roundUs);
        return dispatcher.hasQueuedSends() || decideFor(lookup, handler);
    }

    /** Sends one part ahead, to see whether the lookup crashes nodes; false if none can be sent. */
    private boolean sendCanary(Lookup lookup) {
        for (Part part : lookup.parts) {
            if (dispatcher.dispatch(part, false, now)) {
                return true;
            }
        }
        return false;
    }

    /** Sends all parts that have no attempt yet. */
    private void sendUnsent(Lookup lookup) {
        for (Part part : lookup.parts) {
            if (part.attempts.isEmpty()) {
                dispatcher.dispatch(part, false, now);
            }
        }
    }

    /** Makes the further attempts of a started lookup that are due now. */
    private void hedgeAndRetry(Lookup lookup, double satisfiedWeight) {
        if (lookup.awaitingCanary && (satisfiedWeight > 0 || lookup.isRoundOver(now))) {
            lookup.awaitingCanary = false;
            lookup.roundStartedAtUs = now;
            sendUnsent(lookup);
        }
        if (!lookup.firstRoundOver && lookup.isRoundOver(now)) {
            lookup.firstRoundOver = true;
            recordUnansweredAttempts(lookup);
            retries.hedge(lookup, satisfiedWeight, now);
        }
        retries.retry(lookup, satisfiedWeight, now);
        if (!lookup.firstRoundOver) {
            lookup.checkBy(lookup.roundStartedAtUs + lookup.roundUs);
        }
    }

    /**
     * Counts attempts that are unanswered after the first round against their data nodes. After a shortened
     * round they prove nothing, and do not count.
     */
    private void recordUnansweredAttempts(Lookup lookup) {
        if (!lookup.fullLengthRound) {
            return;
        }
        int unansweredParts = 0;
        for (Part part : lookup.parts) {
            for (Attempt attempt : part.attempts) {
                if (attempt.isInFlight()) {
                    health.onUnanswered(replicas.stats(attempt.node), attempt, now);
                }
            }
            unansweredParts += part.isAwaited() ? 1 : 0;
        }
        health.outliers().recordRound(lookup.parts.size(), unansweredParts);
    }

    private boolean answer(Lookup lookup, DecisionHandler handler, boolean complete) {
        if (lookup.lookupClass.secondStepParts > 0 && !lookup.secondStep) {
            beginSecondStep(lookup, complete);
        } else {
            timing.recordEnd(lookup, false, now);
            end(lookup);
        }
        handler.answer(lookup, complete);
        return true;
    }

    private void beginSecondStep(Lookup lookup, boolean firstStepComplete) {
        int satisfiedParts = 0;
        for (Part part : lookup.parts) {
            satisfiedParts += part.satisfied ? 1 : 0;
            dispatcher.cancelInFlight(part);
        }
        lookup.secondStep = true;
        lookup.firstStepComplete = firstStepComplete;
        lookup.announcedParts = Math.min(lookup.lookupClass.secondStepParts, satisfiedParts);
        lookup.parts = new ArrayList<>();
        timing.begin(lookup, now);
    }

    /**
     * Ends a lookup with too few satisfied parts for a complete answer: with a partial answer where the class
     * allows one of this weight, else with a rejection where a repeat is harmless, else with an abort.
     */
    private boolean endIncomplete(Lookup lookup, DecisionHandler handler, double satisfiedWeight) {
        if (lookup.hasAllParts()
                && satisfiedWeight > 0
                && satisfiedWeight >= lookup.minimumWeight() - Lookup.WEIGHT_TOLERANCE) {
            return answer(lookup, handler, false);
        }
        boolean rejected = now < lookup.endsAtUs && guard.mayReject(lookup);
        end(lookup);
        if (rejected) {
            handler.reject(lookup, admission.retryAfterUs(lookup));
        } else {
            handler.abort(lookup);
        }
        return true;
    }
}
