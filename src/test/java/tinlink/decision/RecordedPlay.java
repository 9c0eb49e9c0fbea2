package tinlink.decision;

import java.util.IdentityHashMap;

/**
 * Plays one decision module against a small simulated fleet of data nodes and their clients, from one seed. A
 * transcript records each input and each decision in a line of its own, under short codes that do not depend
 * on names in the code.
 */
@SuppressWarnings("EnumOrdinal") // The recorded transcript contains ordinals.
final class RecordedPlay extends PlayedEnvironment implements DecisionHandler {
    private static final class PlayedLookup extends Lookup {
        long number;
        boolean over;
        /** How many times the client has already tried; 0 for its first lookup. */
        int clientRetries;
    }

    private static final class PlayedPart extends Part {
        String name;
    }

    private final IdentityHashMap<Attempt.SharedCall, Integer> callNumbers =
            new IdentityHashMap<>();
    private long lookupCount;
    private long startedLookups;

    RecordedPlay(PlayedSettings settings, long seed, Transcript transcript) {
        super(settings, seed, transcript);
    }

    /** Plays until the given number of lookups have been started and have ended. */
    void play(long lookups) {
        lookupCount = lookups;
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(newNode(i));
        }
        schedule(now, () -> {
            nodes.forEach(each -> passEndpoint(each, false));
            passListUpdate(QueryCoordinator.EndpointListUpdate.FULL);
        });
        schedule(now, () -> startLookup(0));
        schedule(now + exponential(1_000_000), this::changeFaults);
        schedule(now + exponential(2_000_000), this::changeList);
        schedule(now + exponential(8_000_000), this::changeClasses);
        while (!events.isEmpty()) {
            now = Math.max(now, events.peek().dueAtUs());
            // Sometimes the router itself stalls, and the events that are due meanwhile come late.
            now += random.nextInt(500) == 0 ? random.nextInt(60) * stepUs : 0;
            module.advanceClock(now);
            transcript.record("t", now);
            while (!events.isEmpty() && events.peek().dueAtUs() <= now) {
                events.poll().action().run();
            }
            while (module.decide(this)) {
                // The handler methods below record each decision.
            }
        }
    }

    @Override
    boolean isEnding() {
        return startedLookups >= lookupCount;
    }

    // The clients.

    private void startLookup(int clientRetries) {
        if (isEnding()) {
            return;
        }
        transcript.beginLookup(startedLookups);
        PlayedLookup lookup = newLookup(clientRetries);
        long patienceUs = lookup.clientDeadlineUs - now;
        transcript.record(
                "l",
                lookup.number,
                classes.indexOf(lookup.lookupClass),
                lookup.clientRetry ? 1 : 0,
                lookup.forwarded ? 1 : 0,
                lookup.announcedParts,
                lookup.clientDeadlineUs);
        module.onLookup(lookup);
        if (random.nextInt(30) == 0) {
            schedule(now + 3 * stepUs, () -> passParts(lookup, ""));
        } else {
            passParts(lookup, "");
        }
        long leavesUs =
                random.nextDouble() < impatientShare ? random.nextLong(patienceUs) : patienceUs;
        schedule(now + leavesUs, () -> leave(lookup));
        if (clientRetries == 0) {
            double meanUs = meanGapUs * (faultLevel > 2 ? 1 / slowness : 1);
            schedule(now + exponential(meanUs), () -> startLookup(0));
        }
    }

    private PlayedLookup newLookup(int clientRetries) {
        PlayedLookup lookup = new PlayedLookup();
        lookup.number = startedLookups++;
        lookup.clientRetries = clientRetries;
        lookup.lookupClass = classes.get(random.nextInt(classes.size()));
        lookup.clientRetry = clientRetries > 0 || random.nextInt(50) == 0;
        lookup.forwarded = random.nextInt(25) == 0;
        lookup.announcedParts = lookup.forwarded ? 1 : 1 + random.nextInt(8);
        long patienceUs = lookup.lookupClass.latencyObjectiveUs * (1 + random.nextInt(4));
        lookup.clientDeadlineUs = now + patienceUs / (random.nextInt(12) == 0 ? 5 : 1);
        return lookup;
    }

    private void passParts(PlayedLookup lookup, String step) {
        if (lookup.over) {
            return;
        }
        boolean equalWeights = random.nextBoolean();
        double[] weights = new double[lookup.announcedParts];
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            weights[i] = equalWeights ? 1 : 0.05 + random.nextDouble();
            sum += weights[i];
        }
        for (int i = 0; i < weights.length; i++) {
            PlayedPart part = new PlayedPart();
            part.lookup = lookup;
            part.shard = random.nextInt(64);
            part.weight = weights[i] / sum;
            part.name = lookup.number + "." + step + i;
            transcript.record("p", part.name, part.shard, Double.doubleToLongBits(part.weight));
            module.onPart(part);
        }
    }

    private void leave(PlayedLookup lookup) {
        if (!lookup.over) {
            lookup.over = true;
            transcript.record("g", lookup.number);
            module.onClientGone(lookup);
            retryAsClient(lookup, 0);
        }
    }

    private void retryAsClient(PlayedLookup lookup, long afterUs) {
        if (lookup.clientRetries < 3 && random.nextInt(3) == 0) {
            schedule(
                    now + afterUs + random.nextInt(50_000),
                    () -> startLookup(lookup.clientRetries + 1));
        }
    }

    /** Changes the lookup classes, for lookups that arrive from now on. */
    private void changeClasses() {
        if (isEnding()) {
            return;
        }
        PlayedClasses.change(classes, random);
        transcript.record("c", classes.size());
        schedule(now + exponential(8_000_000), this::changeClasses);
    }

    // The decisions.

    @Override
    public void send(Attempt attempt, long limitUs) {
        int callNumber =
                callNumbers.computeIfAbsent(attempt.sharedCall, call -> callNumbers.size());
        transcript.record(
                "S", name(attempt), attempt.node.nodeId, limitUs, attempt.sentAtUs, callNumber);
        schedule(now + limitUs, () -> end(attempt, Outcome.NO_ANSWER));
        PlayedNode playedNode = byNode.get(attempt.node);
        long idleUs = settings.longValue("idle");
        if (idleUs > 0 && now - playedNode.connectionUsedAtUs > idleUs) {
            // The connection was dropped without notice. A new one is opened once the attempt has
            // ended without an answer.
            schedule(now + limitUs, () -> playedNode.connectionUsedAtUs = now);
            return;
        }
        playedNode.connectionUsedAtUs = now;
        long roundTripUs = stepUs + attempt.node.linkRoundTripUs;
        switch (fault(attempt, playedNode)) {
            case HUNG -> {}
            case FAILS -> schedule(now + roundTripUs, () -> end(attempt, Outcome.ERROR));
            case FULL -> schedule(now + roundTripUs, () -> end(attempt, Outcome.REJECTED));
            case REFUSES -> schedule(now + roundTripUs, () -> end(attempt, Outcome.NO_CONNECTION));
            case LOSES ->
                schedule(
                        now + roundTripUs + workUs(1), () -> end(attempt, Outcome.CONNECTION_LOST));
            case NOT_SENT -> schedule(now + roundTripUs, () -> end(attempt, Outcome.NOT_SENT));
            case SLOW ->
                schedule(
                        playedNode.addWork(now, workUs(6)) + roundTripUs,
                        () -> end(attempt, Outcome.SATISFIED));
            case NONE ->
                schedule(
                        playedNode.addWork(now, workUs(1)) + roundTripUs,
                        () -> end(attempt, Outcome.SATISFIED));
        }
    }

    /** The fault that the attempt meets. A lookup whose first shard is 13 crashes every node. */
    private PlayedNode.Fault fault(Attempt attempt, PlayedNode playedNode) {
        if (attempt.part.lookup.parts.get(0).shard == 13) {
            return PlayedNode.Fault.LOSES;
        }
        boolean full = playedNode.fault == PlayedNode.Fault.NONE
                && playedNode.isBusyFor(20 * serviceUs, now);
        return full ? PlayedNode.Fault.FULL : playedNode.fault;
    }

    /** The work of a part: half of its mean is fixed, and the rest is exponentially distributed. */
    private long workUs(int times) {
        double halfUs = times * slowness * serviceUs / 2;
        return (long) halfUs + exponential(halfUs);
    }

    private void end(Attempt attempt, Outcome outcome) {
        if (attempt.outcome == null) {
            boolean unknown = outcome == Outcome.SATISFIED && random.nextInt(40) == 0;
            long tookUs = unknown ? -1 : now - attempt.sentAtUs;
            transcript.record("o", name(attempt), outcome.ordinal(), tookUs);
            module.onOutcome(attempt, outcome, tookUs, random.nextBoolean() ? -1 : tookUs / 2);
        }
    }

    private static String name(Attempt attempt) {
        return ((PlayedPart) attempt.part).name + "#" + attempt.number;
    }

    @Override
    public void cancel(Attempt attempt) {
        transcript.record("C", name(attempt));
        schedule(now + random.nextInt(3) * stepUs, () -> end(attempt, Outcome.CANCELLED));
    }

    @Override
    public void closeIdleConnections(DataNode node) {
        transcript.record("R", node.nodeId);
        byNode.get(node).connectionUsedAtUs = now;
    }

    @Override
    public void answer(Lookup answered, boolean complete) {
        PlayedLookup lookup = (PlayedLookup) answered;
        StringBuilder satisfiedParts = new StringBuilder();
        lookup.parts.forEach(part -> satisfiedParts.append(part.satisfied ? '1' : '0'));
        transcript.record(
                "A", lookup.number, complete ? 1 : 0, lookup.ended ? 1 : 0, satisfiedParts);
        lookup.over = lookup.ended;
        if (!lookup.over && random.nextInt(10) > 0) {
            schedule(now + random.nextInt(2) * stepUs, () -> passParts(lookup, "b"));
        }
    }

    @Override
    public void reject(Lookup rejected, long retryAfterUs) {
        PlayedLookup lookup = (PlayedLookup) rejected;
        transcript.record("N", lookup.number, retryAfterUs);
        lookup.over = true;
        retryAsClient(lookup, retryAfterUs);
    }

    @Override
    public void abort(Lookup aborted) {
        PlayedLookup lookup = (PlayedLookup) aborted;
        transcript.record("X", lookup.number);
        lookup.over = true;
        retryAsClient(lookup, 0);
    }

    @Override
    public void wakeAt(long atUs) {
        transcript.record("W", atUs);
        schedule(atUs, () -> {
            transcript.record("w", now);
            module.onTimer();
        });
    }

    @Override
    public void subscribeToEndpointList() {
        transcript.record("F", now);
        schedule(now + random.nextInt(20_000), () -> {
            boolean failed = random.nextInt(3) > 0;
            if (!failed) {
                nodes.forEach(each -> passEndpoint(each, false));
            }
            passListUpdate(
                    failed
                            ? QueryCoordinator.EndpointListUpdate.FAILED
                            : QueryCoordinator.EndpointListUpdate.FULL);
        });
    }
}
