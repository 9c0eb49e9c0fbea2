package tinlink.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * The decision module: every decision, table and tuned value of a query router.
 *
 * <p>Callers use it through the interface in {@code QueryCoordinator.java}: build one instance for each router from
 * the parts below, each from its few settings; tell it each input; then pull decisions through {@code decide}
 * until it says false. Decisions leave by the calls in {@code DecisionHandler.java}. docs/design.md says why.
 */
public final class FastestValidCoordinator implements QueryCoordinator {
    private static final long NEVER = Long.MAX_VALUE;
    /** Sums of part weights may be this much short. */
    private static final double SLACK = 1e-4;

    private final AttemptTiming timing;
    private final RepeatGuard guard;
    private final ReplicaSelector selector;
    private final ReplicaDirectory replicas;
    private final ReplicaHealth health;
    private final RetryBudget budget;
    private final AdmissionController admission;
    private final EndpointListPoller poller;
    /** Lookups in hand; each leaves with its final answer or its client. */
    private final ArrayList<Lookup> open = new ArrayList<>();
    /** Lookups with news, part calls to send, calls that serve nobody: all emptied within the turn. */
    private final ArrayDeque<Lookup> touched = new ArrayDeque<>();

    private final ArrayDeque<Attempt> outbox = new ArrayDeque<>();
    private final ArrayDeque<Attempt> surplus = new ArrayDeque<>();
    private long now;
    private long armed = NEVER;
    private long stalledAt = NEVER;

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
        replicas = selector.replicas();
        this.health = health;
        this.budget = budget;
        this.admission = admission;
        this.poller = poller;
    }

    // ---- Inputs: they only update what is known. ----

    /**
     * Danger: a router that itself stood still takes its own delay for slow nodes, and nacks. Its timers
     * tell: one that comes late by many steps of the clock means that what came with it was seen late too.
     */
    @Override
    public void advanceClock(long nowUs) {
        now = nowUs;
        if (now - armed > timing.stallUs()) {
            armed = NEVER;
            stalledAt = now;
        }
    }

    @Override
    public void onLookup(Lookup lookup) {
        lookup.arrivedAtUs = now;
        timing.begin(lookup, now);
        open.add(lookup);
        budget.onLookup(lookup, now);
        touch(lookup);
    }

    @Override
    public void onPart(Part part) {
        part.lookup.parts.add(part);
        budget.onPart(part.lookup, now);
        touch(part.lookup);
    }

    @Override
    public void onOutcome(Attempt c, Outcome how, long tookUs, long reportedLatencyUs) {
        c.outcome = how;
        Part part = c.part;
        part.attemptsInFlight--;
        ReplicaStats s = replicas.stats(c.node);
        s.onAttemptEnded(c.sharedCall);
        health.onOutcome(s, c, how, now == stalledAt ? -1 : tookUs, now);
        replicas.forgetIfGone(s);
        if (part.lookup.isEnded) {
            return;
        }
        if (how == Outcome.CONNECTION_LOST) {
            part.lookup.recordLostNode(c.node);
        }
        if (how == Outcome.SATISFIED && !part.isSatisfied) {
            part.isSatisfied = true;
            cancelOut(part);
        }
        touch(part.lookup);
    }

    @Override
    public void onEndpoint(DataNode node, boolean restarted) {
        replicas.onEndpoint(node, restarted);
    }

    @Override
    public void onEndpointListUpdate(EndpointListUpdate update) {
        poller.onUpdate(update, now);
        open.forEach(this::touch);
    }

    @Override
    public void onHealthCheck(DataNode node, Outcome how, long tookUs, long reportedLatencyUs) {
        // A probe proves that a process runs, not that it answers: nothing here rests on one.
    }

    @Override
    public void onTimer() {
        armed = now >= armed ? NEVER : armed;
        open.stream().filter(lookup -> lookup.nextCheckAtUs <= now).forEach(this::touch);
    }

    @Override
    public void onClientGone(Lookup lookup) {
        timing.recordEnd(lookup, true, now);
        end(lookup);
    }

    private void touch(Lookup lookup) {
        if (!lookup.isQueued) {
            lookup.isQueued = true;
            touched.add(lookup);
        }
    }

    private void cancelOut(Part part) {
        part.attempts.stream().filter(c -> c.outcome == null && !c.isCancelled).forEach(surplus::add);
    }

    private void end(Lookup lookup) {
        if (lookup.isStarted && !lookup.isFirstRoundOver && lookup.isSilenceConclusive) {
            health.outliers().recordRound(lookup.parts.size(), 0);
        }
        lookup.isEnded = true;
        open.remove(lookup);
        lookup.parts.forEach(this::cancelOut);
    }

    // ---- Decisions: one a call. ----

    @Override
    public boolean decide(DecisionHandler h) {
        if (!outbox.isEmpty()) {
            Attempt c = outbox.peek();
            if (c.reconnectFirst) {
                c.reconnectFirst = false;
                h.closeIdleConnections(c.node);
            } else {
                h.send(outbox.poll(), Math.max(1, c.part.lookup.endsAtUs - now));
            }
            return true;
        }
        while (!surplus.isEmpty()) {
            Attempt c = surplus.poll();
            if (guard.mayCancel() && c.outcome == null && !c.isCancelled) {
                c.isCancelled = true;
                h.cancel(c);
                return true;
            }
        }
        if (poller.takeDuePoll(now)) {
            h.subscribeToEndpointList();
            return true;
        }
        while (!touched.isEmpty()) {
            Lookup lookup = touched.peek();
            if (!lookup.isEnded && step(lookup, h)) {
                return true;
            }
            lookup.isQueued = false;
            touched.poll();
        }
        long next = open.stream().mapToLong(lookup -> lookup.nextCheckAtUs).reduce(poller.nextPollAtUs(), Math::min);
        if (next < armed) {
            armed = next;
            h.wakeAt(next);
            return true;
        }
        return false;
    }

    /** The next decision for one lookup; false when it only has to wait, until lookAt at the latest. */
    private boolean step(Lookup lookup, DecisionHandler h) {
        double in = weight(lookup, part -> part.isSatisfied);
        boolean allThere = lookup.parts.size() >= lookup.announcedParts;
        // The n-th valid part ends the query (design page); a second step needs all of its parts.
        if (allThere && in >= needed(lookup) - SLACK) {
            return answer(lookup, h, !lookup.isSecondStep || lookup.isFirstStepComplete);
        }
        // Danger: lookups that bring down every node that begins a part of theirs. One that has
        // lost two
        // nodes and satisfied no part is not sent again; may hurt where well nodes lose many
        // connections.
        if (now >= lookup.endsAtUs || (allThere && (lookup.isSuspect() && in == 0 || hopeless(lookup, in)))) {
            return giveUp(lookup, h, in);
        }
        lookup.nextCheckAtUs = lookup.endsAtUs;
        if (!allThere) {
            return false;
        }
        if (!lookup.isStarted) {
            if (admission.isOverloaded(lookup, selector, health.latency(), now) && guard.mayReject(lookup)) {
                end(lookup);
                h.reject(lookup, admission.retryAfterUs(lookup));
                return true;
            }
            lookup.isStarted = true;
            lookup.roundStartedAtUs = now;
            // All k parts leave together; while nodes die around us one goes first, to see whether
            // it kills.
            lookup.awaitsCanary = lookup.parts.size() > 1 && health.outliers().areNodesGoingDown(lookup.isClientRetry, now);
            if (lookup.awaitsCanary) {
                lookup.awaitsCanary = lookup.parts.stream().anyMatch(part -> place(List.of(part), false));
            } else {
                place(lookup.parts, false);
            }
            // Silence means nothing before the line to another site could have brought an answer.
            lookup.roundStartedAtUs += outbox.stream().mapToLong(c -> c.node.linkRoundTripUs).max().orElse(0);
            lookup.nextCheckAtUs = Math.min(lookup.endsAtUs, lookup.roundStartedAtUs + lookup.roundUs);
            return !outbox.isEmpty() || step(lookup, h);
        }
        if (lookup.awaitsCanary && (in > 0 || now >= lookup.roundStartedAtUs + lookup.roundUs)) {
            lookup.awaitsCanary = false;
            lookup.roundStartedAtUs = now;
            place(lookup.parts.stream().filter(part -> part.attempts.isEmpty()).toList(), false);
        }
        if (!lookup.isFirstRoundOver && now >= lookup.roundStartedAtUs + lookup.roundUs) {
            lookup.isFirstRoundOver = true;
            judge(lookup);
            replay(lookup, in);
        }
        sendAgain(lookup, in);
        if (!lookup.isFirstRoundOver) {
            lookup.nextCheckAtUs = Math.min(lookup.nextCheckAtUs, lookup.roundStartedAtUs + lookup.roundUs);
        }
        return !outbox.isEmpty() || !surplus.isEmpty();
    }

    private static double weight(Lookup lookup, Predicate<Part> which) {
        return lookup.parts.stream().filter(which).mapToDouble(part -> part.weight).sum();
    }

    private static boolean awaited(Part part) {
        return !part.isSatisfied && part.attemptsInFlight > 0;
    }

    private double needed(Lookup lookup) {
        return lookup.isSecondStep ? 1 : lookup.lookupClass.completeShare;
    }

    /** Too few parts are in, out or still to be sent; where a partial answer may do, out ones are awaited. */
    private boolean hopeless(Lookup lookup, double in) {
        double may = in;
        boolean out = false;
        for (Part part : lookup.parts) {
            if (!part.isSatisfied && (part.attemptsInFlight > 0 || guard.mayAttempt(part, now) && replicas.hasHolder(part, now))) {
                may += part.weight;
                out |= part.attemptsInFlight > 0;
            }
        }
        return may < needed(lookup) - SLACK && !(out && lookup.lookupClass.minimumShare < lookup.lookupClass.completeShare);
    }

    private boolean answer(Lookup lookup, DecisionHandler h, boolean whole) {
        if (lookup.lookupClass.secondStepParts > 0 && !lookup.isSecondStep) {
            int satisfied = (int) lookup.parts.stream().filter(part -> part.isSatisfied).count();
            lookup.parts.forEach(this::cancelOut);
            lookup.isSecondStep = true;
            lookup.isFirstStepComplete = whole;
            lookup.announcedParts = Math.min(lookup.lookupClass.secondStepParts, satisfied);
            lookup.parts = new ArrayList<>();
            timing.begin(lookup, now);
        } else {
            timing.recordEnd(lookup, false, now);
            end(lookup);
        }
        h.answer(lookup, whole);
        return true;
    }

    /** Short of n: a partial answer above the floor, a nack where nothing forbids it, else an abort. */
    private boolean giveUp(Lookup lookup, DecisionHandler h, double in) {
        double floor = lookup.isSecondStep && lookup.lookupClass.minimumShare >= lookup.lookupClass.completeShare ? 1 : lookup.lookupClass.minimumShare;
        if (lookup.parts.size() >= lookup.announcedParts && in > 0 && in >= floor - SLACK) {
            return answer(lookup, h, false);
        }
        boolean nack = now < lookup.endsAtUs && guard.mayReject(lookup);
        end(lookup);
        if (nack) {
            h.reject(lookup, admission.retryAfterUs(lookup));
        } else {
            h.abort(lookup);
        }
        return true;
    }

    /** What the silence of its round says of the nodes; with less than a full round it says nothing. */
    private void judge(Lookup lookup) {
        if (lookup.isSilenceConclusive) {
            lookup.parts.forEach(part -> part.attempts.stream()
                    .filter(c -> c.outcome == null)
                    .forEach(c -> health.onSilence(replicas.stats(c.node), c, now)));
            health.outliers().recordRound(lookup.parts.size(), (int)
                    lookup.parts.stream().filter(FastestValidCoordinator::awaited).count());
        }
    }

    /** After the silent first round: missing parts still short of n go once more, to another replica. */
    private void replay(Lookup lookup, double in) {
        List<Part> silent =
                new ArrayList<>(lookup.parts.stream().filter(FastestValidCoordinator::awaited).toList());
        // When most nodes look bad the cause is shared, and a second copy only adds to it; but a
        // part that
        // later ones have overtaken at its node is stuck, not slow.
        if (health.outliers().isTroubleShared()) {
            silent.removeIf(part -> lastNode(part).newestAnsweredSentAtUs() <= lastCall(part).sentAtUs);
        }
        silent.sort((a, b) -> Long.compare(lastNode(a).lastAnswerAtUs(), lastNode(b).lastAnswerAtUs()));
        double missing = needed(lookup) - SLACK - in;
        for (Part part : silent) {
            if (missing <= 0) {
                break;
            }
            if (guard.mayAttempt(part, now) && budget.allowsHedge(now)) {
                if (place(List.of(part), true)) {
                    missing -= part.weight;
                }
            } else if (guard.mayGiveUpSilent(part)
                    && lastNode(part).lastAnswerAtUs() < part.attempts.get(0).sentAtUs
                    && budget.allowsHedge(now)) {
                // No second copies here: a node that has answered nothing since loses the part
                // (departure).
                budget.spendHedge(now);
                part.isHedgePaid = true;
                cancelOut(part);
                missing -= part.weight;
            }
        }
    }

    private static Attempt lastCall(Part part) {
        return part.attempts.get(part.attempts.size() - 1);
    }

    private ReplicaStats lastNode(Part part) {
        return replicas.stats(lastCall(part).node);
    }

    /** Parts that were never sent, or whose part calls all ended without an answer. */
    private void sendAgain(Lookup lookup, double in) {
        double may = in + weight(lookup, FastestValidCoordinator::awaited);
        for (Part part : lookup.parts) {
            // What has lost its node waits for a sign that the lookup is not what killed it.
            boolean wait = part.attempts.isEmpty()
                    ? lookup.awaitsCanary
                    : in == 0 && may > 0 && lastCall(part).outcome == Outcome.CONNECTION_LOST;
            if (part.isSatisfied
                    || part.attemptsInFlight > 0
                    || wait
                    || !guard.mayAttempt(part, now)
                    || may >= needed(lookup) - SLACK) {
                continue;
            }
            if (now >= part.notBeforeUs
                    && (part.attempts.isEmpty() || part.isHedgePaid || budget.allowsRetry(now))
                    && place(List.of(part), false)) {
                may += part.weight;
                part.isHedgePaid = false;
            } else {
                // No node may take it now: look again within the round, not on every input.
                part.notBeforeUs = Math.max(part.notBeforeUs, now + lookup.roundUs / 4);
                lookup.nextCheckAtUs = Math.min(lookup.nextCheckAtUs, part.notBeforeUs);
            }
        }
    }

    /** Picks a replica for each part by the companion and puts the part calls into the outbox. */
    private boolean place(List<Part> parts, boolean replay) {
        boolean any = false;
        for (Part part : parts) {
            ReplicaStats s = selector.select(part, replay, now);
            // Danger: a full node turns away what comes again at once; all tries would be gone in a
            // moment.
            if (s == null
                    || part.hasTried(s.node())
                            && lastCall(part).outcome == Outcome.REJECTED
                            && now < lastCall(part).sentAtUs + part.lookup.roundUs / 4) {
                continue;
            }
            any = true;
            if (replay) {
                budget.spendHedge(now);
            } else if (!part.attempts.isEmpty() && !part.isHedgePaid) {
                budget.spendRetry(now);
            }
            selector.recordSend(s, now);
            Attempt c = new Attempt();
            c.part = part;
            c.node = s.node();
            c.number = part.attempts.size();
            c.sentAtUs = now;
            c.callsInFlightBefore = s.callsInFlight();
            IdleConnectionDetector idle = health.idleConnections();
            int age = s.callsInFlight() == 0 ? idle.idleStep(now - s.lastUsedAtUs()) : 0;
            // Lookups that can spare a part try one old connection, so that the suspicion is
            // renewed or ends.
            boolean tries = part.lookup.lookupClass.completeShare < 1 && part == part.lookup.parts.get(0);
            double errors = replay ? 0 : IdleConnectionDetector.SURE;
            c.reconnectFirst = idle.isDropped(age, errors, now) && (replay || !tries);
            c.idleStep = c.reconnectFirst ? 0 : age;
            s.recordUse(now);
            c.sharedCall = selector.callSharing().join(s, now);
            part.attempts.add(c);
            part.attemptsInFlight++;
            outbox.add(c);
        }
        return any;
    }
}
