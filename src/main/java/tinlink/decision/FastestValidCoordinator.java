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
    private final ReplicaSelector replicas;
    private final OutlierDetector health;
    private final SlowStart cold;
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
            ReplicaSelector replicas,
            OutlierDetector health,
            SlowStart cold,
            RetryBudget budget,
            AdmissionController admission,
            EndpointListPoller poller) {
        this.timing = timing;
        this.guard = guard;
        this.replicas = replicas;
        this.health = health;
        this.cold = cold;
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
        ReplicaStats s = replicas.seen(c.node);
        if (--c.sharedCall.open == 0) {
            s.calls--;
        }
        health.outcome(s, c, how, now == stalledAt ? -1 : tookUs, part.lookup.roundUs, now);
        replicas.forgetIfGone(s);
        if (part.lookup.isEnded) {
            return;
        }
        if (how == Outcome.CONNECTION_LOST) {
            part.lookup.suspect |= part.lookup.lostAt != null && part.lookup.lostAt != c.node;
            part.lookup.lostAt = c.node;
        }
        if (how == Outcome.SATISFIED && !part.isSatisfied) {
            part.isSatisfied = true;
            cancelOut(part);
        }
        touch(part.lookup);
    }

    @Override
    public void onEndpoint(DataNode node, boolean restarted) {
        replicas.listed(node, restarted);
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
            health.round(lookup.parts.size(), 0);
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
        if (now >= lookup.endsAtUs || (allThere && (lookup.suspect && in == 0 || hopeless(lookup, in)))) {
            return giveUp(lookup, h, in);
        }
        lookup.nextCheckAtUs = lookup.endsAtUs;
        if (!allThere) {
            return false;
        }
        if (!lookup.isStarted) {
            if (admission.refuses(lookup, replicas, cold, now) && guard.mayReject(lookup)) {
                end(lookup);
                h.reject(lookup, admission.comeBack(lookup));
                return true;
            }
            lookup.isStarted = true;
            lookup.roundStartedAtUs = now;
            // All k parts leave together; while nodes die around us one goes first, to see whether
            // it kills.
            lookup.awaitsCanary = lookup.parts.size() > 1 && health.nodesDie(lookup.isClientRetry, now);
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
            if (!part.isSatisfied && (part.attemptsInFlight > 0 || guard.mayAttempt(part, now) && replicas.held(part, now))) {
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
            h.reject(lookup, admission.comeBack(lookup));
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
                    .forEach(c -> health.silent(replicas.seen(c.node), c, now)));
            health.round(lookup.parts.size(), (int)
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
        if (health.sharedTrouble()) {
            silent.removeIf(part -> lastNode(part).newestAnswered <= lastCall(part).sentAtUs);
        }
        silent.sort((a, b) -> Long.compare(lastNode(a).lastGoodAt, lastNode(b).lastGoodAt));
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
                    && lastNode(part).lastGoodAt < part.attempts.get(0).sentAtUs
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
        return replicas.seen(lastCall(part).node);
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
            ReplicaStats s = replicas.pick(part, cold, replay, now);
            // Danger: a full node turns away what comes again at once; all tries would be gone in a
            // moment.
            if (s == null
                    || replicas.tried(s, part)
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
            cold.sent(s, now);
            Attempt c = new Attempt();
            c.part = part;
            c.node = s.node;
            c.number = part.attempts.size();
            c.sentAtUs = now;
            c.callsInFlightBefore = s.calls;
            int age = s.calls == 0 ? health.age(now - s.usedAt) : 0;
            // Lookups that can spare a part try one old connection, so that the suspicion is
            // renewed or ends.
            boolean tries = part.lookup.lookupClass.completeShare < 1 && part == part.lookup.parts.get(0);
            c.reconnectFirst = health.dropped(age, replay ? 0 : OutlierDetector.SURE, now) && (replay || !tries);
            c.idleStep = c.reconnectFirst ? 0 : age;
            s.usedAt = now;
            c.sharedCall = replicas.share(s, now);
            part.attempts.add(c);
            part.attemptsInFlight++;
            outbox.add(c);
        }
        return any;
    }

    /** What this router knows of a data node; dropped when the list says it is gone and no call is out. */
    static final class ReplicaStats {
        final DataNode node;
        /** Below 0 once it has been forgotten. */
        int cell;
        /** Its last connection failed. */
        boolean down;

        double smoothedUs;
        long heardAt = Long.MIN_VALUE / 2;
        long lastGoodAt = Long.MIN_VALUE / 2;
        /** When something was last sent to it or came from it. */
        long usedAt = NEVER;
        /** When the newest part call that it has answered was sent. */
        long newestAnswered = Long.MIN_VALUE;
        /** Calls out; shared ones count once. */
        int calls;

        Attempt.SharedCall current;
        long currentAt = Long.MIN_VALUE;
        /** Share of recent part calls that went bad, smoothed; fades with the time since. */
        double bad;
        /** Calls that were out when its answered ones were sent, smoothed. */
        double usualCalls;
        /** Parts satisfied of late, decaying; and sends within the fall time while cold. */
        double done;

        long doneAt;
        final ArrayDeque<Long> coldSends = new ArrayDeque<>();
        long coldTurn = -1;
        double coldChance;
        double likeRate;

        ReplicaStats(DataNode node, int cell) {
            this.node = node;
            this.cell = cell;
        }
    }

    /** The companion: which replica serves a part. */
    public static final class ReplicaSelector {
        private static final double FAR = 10;
        private static final double SITE =
                10; // At another site: goes when near ones are out, or as bad.
        private final int cells;
        private final int reach;
        private final int bundleMax;
        private final long callUs;
        private final int zone;
        /** What a node in another zone counts slower, where crossing has a price. */
        private final double far;

        private final Map<DataNode, ReplicaStats> known = new LinkedHashMap<>();
        /** The same nodes by cell: the cost of a part goes with its holders, not with the fleet. */
        private final List<List<ReplicaStats>> byCell = new ArrayList<>();

        private final OutlierDetector health;

        public ReplicaSelector(
                int cells,
                int reach,
                int bundleMax,
                long callUs,
                int zone,
                double crossPrice,
                OutlierDetector health) {
            this.zone = zone;
            far = 1 + FAR * crossPrice;
            this.cells = cells;
            this.health = health;
            for (int i = 0; i < cells; i++) {
                byCell.add(new ArrayList<>());
            }
            this.reach = reach;
            this.bundleMax = Math.max(1, bundleMax);
            this.callUs = callUs;
        }

        void listed(DataNode n, boolean restarted) {
            ReplicaStats s = known.get(n);
            if (s == null || restarted || s.cell != Math.floorMod(n.cell, cells)) {
                ReplicaStats fresh = new ReplicaStats(n, Math.floorMod(n.cell, cells));
                fresh.calls = s == null ? 0 : s.calls;
                forget(s);
                known.put(n, fresh);
                byCell.get(fresh.cell).add(fresh);
                s = fresh;
            }
            forgetIfGone(s);
        }

        void forgetIfGone(ReplicaStats s) {
            if (s.node.state == DataNode.State.GONE && s.calls == 0 && known.get(s.node) == s) {
                forget(s);
            }
        }

        private void forget(ReplicaStats s) {
            if (s != null) {
                known.remove(s.node);
                byCell.get(s.cell).remove(s);
                health.forget(s);
            }
        }

        /** Never null: a call may end after its node was forgotten. */
        ReplicaStats seen(DataNode n) {
            ReplicaStats s = known.get(n);
            return s == null ? new ReplicaStats(n, -1) : s;
        }

        boolean held(Part part, long now) {
            return !holders(part, now).isEmpty();
        }

        boolean heldWithRoom(Part part, AdmissionController admission, double luck, SlowStart cold, long now) {
            return holders(part, now).stream()
                    .anyMatch(s -> cold.admits(s, known.values(), now)
                            && admission.room(
                                    s,
                                    health.latency(s, part.lookup.roundUs, now),
                                    luck,
                                    part.lookup.roundUs));
        }

        /**
         * Drains: once told that a node drains or is gone, nothing new goes there; nor over too long a line.
         */
        private List<ReplicaStats> holders(Part part, long now) {
            List<ReplicaStats> ready = new ArrayList<>();
            for (int j = 0; j < Math.min(reach, cells); j++) {
                for (ReplicaStats s : byCell.get(Math.floorMod(part.shard + j, cells))) {
                    if (s.node.state == DataNode.State.READY
                            && (s.node.linkRoundTripUs == 0
                                    || !part.lookup.isForwarded
                                            && part.lookup.endsAtUs - now > s.node.linkRoundTripUs)) {
                        ready.add(s);
                    }
                }
            }
            return ready;
        }

        private boolean tried(ReplicaStats s, Part part) {
            return part.attempts.stream().anyMatch(c -> c.node == s.node);
        }

        Attempt.SharedCall share(ReplicaStats s, long now) {
            if (s.currentAt != now || s.current.size >= bundleMax) {
                s.current = new Attempt.SharedCall();
                s.currentAt = now;
                s.calls++;
            }
            s.current.size++;
            s.current.open++;
            return s.current;
        }

        /**
         * The holder with the least smoothed latency times its own outstanding calls plus one; one whose call
         * leaves in this turn costs no call of its own. Nodes that this part has tried go last.
         */
        ReplicaStats pick(Part part, SlowStart cold, boolean replay, long now) {
            double callShare =
                    Math.min(0.9, callUs / Math.max(1, health.average(part.lookup.roundUs)));
            ReplicaStats best = null;
            double least = Double.MAX_VALUE;
            boolean bestTried = true;
            for (ReplicaStats s : holders(part, now)) {
                boolean tried = tried(s, part);
                if (replay && tried || !cold.admits(s, known.values(), now)) {
                    continue;
                }
                boolean joins = s.currentAt == now && s.current.size < bundleMax;
                // A call that goes bad costs its lookup the rounds; without this, failing fast
                // looks quick.
                // Lookups that can spare a part are the trials by which a node finds its way back.
                double toll = (part.lookup.lookupClass.completeShare < 1 ? 3 : 9) * part.lookup.roundUs;
                double doubt = health.badness(s, now) * toll;
                double cost = (health.latency(s, part.lookup.roundUs, now) * (s.calls + 1) + doubt)
                        / cold.present(s, now)
                        * (joins ? 1 - callShare : 1)
                        // Departure: crossing zones has a price, so a near node may be a little
                        // slower.
                        * (s.node.linkRoundTripUs > 0 ? SITE : s.node.zone == zone ? 1 : far);
                if (best == null
                        || (tried != bestTried
                                ? bestTried
                                : cost < least || cost == least && older(s, best))) {
                    best = s;
                    bestTried = tried;
                    least = cost;
                }
            }
            return best;
        }

        private static boolean older(ReplicaStats a, ReplicaStats b) {
            return a.node.startedAtUs != b.node.startedAtUs
                    ? a.node.startedAtUs < b.node.startedAtUs
                    : a.node.id < b.node.id;
        }
    }

    /** How a node is judged, by this router's own part calls alone. */
    public static final class OutlierDetector {
        /** Smoothing weight of the companion: the one figure the design leaves open. */
        private static final double SMOOTHING = 0.2;

        private static final double BAD_STEP = 0.35;
        private static final double QUIET_STEP = 0.05;
        private static final double SHARED = 0.3;
        private static final double DYING = 1.5;
        private static final double DROPS = 0.08;
        private static final double OFTENER = 1.2;
        /** So many standard errors between two shares are no chance. */
        private static final double SURE = 2.5;

        private static final int AGES = 8;
        /** What connections show is forgotten so many times slower than what nodes do. */
        private static final double AGES_FADE = 0.25;

        private final long memoryUs;
        private final long roundUs;
        /** Share of parts, smoothed, that were still out after a round. */
        private double quiet;
        /** Part calls, and silent ones, by the age of what they went on; fading. */
        private final double[] calls = new double[AGES];

        private final double[] silent = new double[AGES];
        private long callsAt;
        /** The smoothed latencies of all nodes heard, kept up as samples come. */
        private double sumUs;

        private int heard;
        /** Nodes that were found down of late, fading. */
        private double dying;

        private long diedAt;

        /** @param softUs the longest soft deadline of any index; what was seen fades over a few of these */
        public OutlierDetector(long softUs) {
            memoryUs = 4 * softUs;
            roundUs = softUs / 3;
        }

        /** @param tookUs below 0 where the router can't tell */
        void outcome(ReplicaStats s, Attempt c, Outcome how, long tookUs, long roundUs, long now) {
            switch (how) {
                case SATISFIED -> {
                    sample(s, c, tookUs, now);
                    connection(c, 0, now);
                    s.lastGoodAt = now;
                    s.usedAt = now;
                    s.down = false;
                    s.newestAnswered = Math.max(s.newestAnswered, c.sentAtUs);
                    s.bad -= BAD_STEP * s.bad;
                    s.done = doneNow(s, now) + 1;
                    s.doneAt = now;
                }
                // A full node ends calls fast; without this it would look like the fastest one.
                case REJECTED -> sample(s, c, Math.max(2 * roundUs, s.smoothedUs), now);
                case ERROR -> bad(s, now);
                case CONNECTION_LOST, NO_CONNECTION -> {
                    bad(s, now);
                    if (!s.down) {
                        s.down = true;
                        dying = dying * fade(diedAt, now) + 1;
                        diedAt = now;
                    }
                }
                case NO_ANSWER -> sample(s, c, tookUs, now);
                default -> {}
            }
        }

        /** Danger: a node that takes parts and answers none costs every lookup a round. */
        void silent(ReplicaStats s, Attempt c, long now) {
            sample(s, c, Math.max(now - c.sentAtUs, s.smoothedUs), now);
            connection(c, 1, now);
            if (s.lastGoodAt < c.sentAtUs && !dropped(c.idleStep, SURE, now)) {
                bad(s, now);
            }
        }

        /** For how long a connection was not used: 0 up to half a round, then one more for each doubling. */
        int age(long unusedUs) {
            return unusedUs <= roundUs / 2
                    ? 0
                    : Math.min(
                            AGES - 1,
                            Long.SIZE - Long.numberOfLeadingZeros(2 * unusedUs / roundUs));
        }

        /**
         * Danger: connections that are dropped unseen after a while without use: what is sent on one is never
         * answered, and a well node looks hung. What drops them goes by their age: so past some age, up to
         * this one, calls go silent more often than on younger ones, and by more than chance. Slow calls do
         * so at any age; to a router of many, which uses each connection seldom, they are no sign, and new
         * connections from all routers would load the nodes more. Catches full or restarted middle boxes too.
         *
         * @param errors how many standard errors the shares differ by at least
         */
        boolean dropped(int age, double errors, long now) {
            double left = Math.pow(fade(callsAt, now), AGES_FADE);
            double all = Arrays.stream(calls).sum() * left;
            double allSilent = Arrays.stream(silent).sum() * left;
            double both = allSilent / Math.max(1, all);
            double young = 0;
            double youngSilent = 0;
            for (int from = 1; from <= age; from++) {
                young += calls[from - 1] * left;
                youngSilent += silent[from - 1] * left;
                double old = all - young;
                double error = Math.sqrt(
                        both * (1 - both) * (1 / Math.max(1, old) + 1 / Math.max(1, young)));
                double oldSilent = allSilent - youngSilent;
                // One slow call is no sign, whatever it is compared with.
                if (oldSilent > 1
                        && oldSilent / Math.max(1, old)
                                > Math.max(
                                        DROPS,
                                        OFTENER * youngSilent / Math.max(1, young)
                                                + errors * error)) {
                    return true;
                }
            }
            return false;
        }

        private void connection(Attempt c, double wasSilent, long now) {
            double left = Math.pow(fade(callsAt, now), AGES_FADE);
            callsAt = now;
            for (int i = 0; i < AGES; i++) {
                calls[i] *= left;
                silent[i] *= left;
            }
            calls[c.idleStep]++;
            silent[c.idleStep] += wasSilent;
        }

        /** A lookup's parts count together: one by one its silent ones, judged last, would pass for all. */
        void round(int parts, int silent) {
            quiet += (1 - Math.pow(1 - QUIET_STEP, parts)) * ((double) silent / parts - quiet);
        }

        private void bad(ReplicaStats s, long now) {
            s.bad = badness(s, now) + BAD_STEP * (1 - badness(s, now));
            s.heardAt = now;
        }

        private void sample(ReplicaStats s, Attempt c, double us, long now) {
            if (us < 0) {
                return;
            }
            s.usualCalls += SMOOTHING * (c.callsInFlightBefore - s.usualCalls);
            double before = s.smoothedUs;
            // Danger: a router of many hears of a node once in a second, and its node is full
            // before the
            // figure has moved. So a word that comes a round after the last one counts for many.
            double weight =
                    Math.max(SMOOTHING, 1 - Math.exp(-(double) (now - s.heardAt) / roundUs));
            s.smoothedUs = before == 0 ? us : before + weight * (us - before);
            if (s.cell >= 0) {
                heard += before == 0 ? 1 : 0;
                sumUs += s.smoothedUs - before;
            }
            s.heardAt = now;
        }

        /** What is left of evidence from that time. */
        private double fade(long at, long now) {
            return Math.exp(-(double) (now - at) / memoryUs);
        }

        double badness(ReplicaStats s, long now) {
            return s.bad * fade(s.heardAt, now);
        }

        /** Unheard nodes count as average, or a round at the start; old verdicts fade to the average. */
        double latency(ReplicaStats s, long roundUs, long now) {
            return s.smoothedUs == 0
                    ? average(roundUs)
                    : average(roundUs) + (s.smoothedUs - average(roundUs)) * fade(s.heardAt, now);
        }

        double average(long roundUs) {
            return heard == 0 ? roundUs : sumUs / heard;
        }

        void forget(ReplicaStats s) {
            heard -= s.smoothedUs > 0 ? 1 : 0;
            sumUs = heard == 0 ? 0 : sumUs - s.smoothedUs;
            s.cell = -1;
        }

        /**
         * Danger: replays for what all nodes are slow at only add to it. Catches overload, bursts and
         * whatever the nodes share; may hurt where a third of them hang at once.
         */
        boolean sharedTrouble() {
            return quiet > SHARED;
        }

        /** A client's repeat is the likelier one to have killed them. */
        boolean nodesDie(boolean repeat, long now) {
            return dying * fade(diedAt, now) >= (repeat ? DYING / 4 : DYING);
        }

        double doneNow(ReplicaStats s, long now) {
            return s.done * fade(s.doneAt, now);
        }

        /** Parts a microsecond that this router has had from the node of late. */
        double rate(ReplicaStats s, long now) {
            return doneNow(s, now) / memoryUs;
        }
    }

    /** Danger: a node that has just started is sent more than it can do, falls over and stays down. */
    public static final class SlowStart {
        /** Like nodes do what they are asked, which is less than they could. */
        private static final double ASKED = 1.2;

        private final int groupSize;
        private final double startShare;
        private final long coldUs;
        private final double fallMultiple;
        private final long fallUs;
        private final OutlierDetector health;
        private final SplittableRandom random;

        public SlowStart(
                long seed,
                int groupSize,
                double startShare,
                long coldUs,
                double fallMultiple,
                long fallUs,
                OutlierDetector health) {
            random = new SplittableRandom(seed);
            this.groupSize = Math.max(1, groupSize);
            this.startShare = startShare;
            this.coldUs = coldUs;
            this.fallMultiple = fallMultiple;
            this.fallUs = fallUs;
            this.health = health;
        }

        /** The least share of its capacity that the node can have now. */
        double present(ReplicaStats s, long now) {
            if (s.node.startedAtUs == Long.MIN_VALUE
                    || fallUs <= 0
                    || now - s.node.startedAtUs >= coldUs) {
                return 1;
            }
            double warmed = Math.max(0, (double) (now - s.node.startedAtUs) / coldUs);
            return Math.max(0.01, startShare + (1 - startShare) * warmed);
        }

        /**
         * Our share of what may be sent within the fall time, judged by what warm like nodes do for us.
         * Danger: one part call each adds up over many routers. Where the share is no whole call, chance from
         * the seed says within which fall times, counted from the node's start, this router may make one.
         */
        boolean admits(ReplicaStats s, Iterable<ReplicaStats> nodes, long now) {
            double present = present(s, now);
            if (present >= 1) {
                s.coldSends.clear();
                return true;
            }
            while (!s.coldSends.isEmpty() && s.coldSends.peek() <= now - fallUs) {
                s.coldSends.poll();
            }
            long turn = (now - s.node.startedAtUs) / fallUs;
            if (s.coldTurn != turn) {
                s.coldTurn = turn;
                s.coldChance = random.nextDouble();
                s.likeRate = likeRate(s, nodes, now);
            }
            double usual = fallUs * s.likeRate;
            double may = ASKED * fallMultiple * present * usual;
            // A chance counts for those fall times alone in which a part comes up for it.
            may = may < 1 ? Math.min(1, may / -Math.expm1(-usual)) : may;
            return s.coldSends.size() + s.coldChance < may;
        }

        /**
         * Parts a microsecond that this router may count on a warm node of its kind to do for it. Danger:
         * where each router allows itself a part of a node by their stated number, and they are more, the sum
         * is more; by what nodes do for it, the sum is what they do. Who knows nothing goes by the number.
         */
        private double likeRate(ReplicaStats s, Iterable<ReplicaStats> nodes, long now) {
            double rate = 0;
            int like = 0;
            for (ReplicaStats w : nodes) {
                if (w.node.kind == s.node.kind && present(w, now) >= 1) {
                    rate += health.rate(w, now);
                    like++;
                }
            }
            return rate == 0 ? 1 / (health.average(health.roundUs) * groupSize) : rate / like;
        }

        void sent(ReplicaStats s, long now) {
            if (present(s, now) < 1) {
                s.coldSends.add(now);
            }
        }
    }

    /**
     * Which lookups to nack at the door: those with too few parts that some holder can be expected to answer
     * within a round or two, judged by how long it took of late and how many calls were out then. Of nodes
     * with no call out that look slow, a lookup still takes some by chance, fewer the slower they look: a
     * router of many seldom has a call out there, and so the judgement is renewed. Danger: under overload
     * all parts are sent, all end too late, clients ask again, and the service stays down after its cause
     * has gone. Catches bursts, retry storms, lost capacity, slowness shared by all, and shards too popular
     * for their holders; may hurt where calls are too few to tell a slow call from a slow node.
     */
    public static final class AdmissionController {
        /** A nack costs little where clients are told when to come back, and the lookup's gain where not. */
        private static final double ROUNDS_TOLD = 1.2;

        private static final double ROUNDS_UNTOLD = 2;
        private final long maxComeBackUs;
        private final SplittableRandom random;

        /** @param maxComeBackUs 0 where clients are told no time */
        public AdmissionController(long seed, long maxComeBackUs) {
            random = new SplittableRandom(seed);
            this.maxComeBackUs = maxComeBackUs;
        }

        /** @param luck one draw for all parts of the lookup at the door */
        boolean room(ReplicaStats s, double latency, double luck, long roundUs) {
            double expected = latency * (s.calls + 1) / (s.usualCalls + 1);
            return s.smoothedUs == 0
                    || expected * (s.calls == 0 ? luck : 1)
                            <= (maxComeBackUs > 0 ? ROUNDS_TOLD : ROUNDS_UNTOLD) * roundUs;
        }

        /** Too few of its parts have a holder with room. */
        boolean refuses(Lookup lookup, ReplicaSelector replicas, SlowStart cold, long now) {
            double luck = random.nextDouble();
            return weight(lookup, part -> replicas.heldWithRoom(part, this, luck, cold, now))
                    < lookup.lookupClass.completeShare - SLACK;
        }

        long comeBack(Lookup lookup) {
            return Math.min(maxComeBackUs, lookup.roundUs);
        }
    }
}
