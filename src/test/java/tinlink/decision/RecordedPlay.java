package tinlink.decision;

import java.util.IdentityHashMap;

/**
 * One module, a small fleet of data nodes and their clients, played from one seed. Each input and
 * each decision goes into a transcript, a line each, under codes of its own, so that names in the
 * code can change.
 */
@SuppressWarnings("EnumOrdinal") // What was recorded numbers constants in their order.
final class RecordedPlay extends PlayedWorld implements DecisionHandler {
    private static final class PlayedLookup extends Lookup {
        long number;
        boolean over;
        /** How many lookups of one client came before, each sent away. */
        int again;
    }

    private static final class PlayedPart extends Part {
        String name;
    }

    private final IdentityHashMap<Attempt.SharedCall, Integer> frames = new IdentityHashMap<>();
    private long lookups;
    private long taken;

    RecordedPlay(PlayedSettings settings, long seed, Transcript transcript) {
        super(settings, seed, transcript);
    }

    /** Plays until so many lookups were taken and all of them are over. */
    void play(long lookupCount) {
        lookups = lookupCount;
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(newNode(i));
        }
        schedule(now, () -> {
            nodes.forEach(one -> listed(one, false));
            news(QueryCoordinator.EndpointListUpdate.FULL);
        });
        schedule(now, () -> lookup(0));
        schedule(now + exponential(1_000_000), this::changeFaults);
        schedule(now + exponential(2_000_000), this::changeList);
        schedule(now + exponential(8_000_000), this::changeSettings);
        while (!events.isEmpty()) {
            now = Math.max(now, events.peek().dueAtUs());
            // Now and then the router itself stands still, and what is due meanwhile comes late.
            now += random.nextInt(500) == 0 ? random.nextInt(60) * stepUs : 0;
            module.advanceClock(now);
            transcript.note("t", now);
            while (!events.isEmpty() && events.peek().dueAtUs() <= now) {
                events.poll().what().run();
            }
            while (module.decide(this)) {
                // Each decision is noted as it leaves.
            }
        }
    }

    @Override
    boolean ends() {
        return taken >= lookups;
    }

    // The clients.

    private void lookup(int again) {
        if (ends()) {
            return;
        }
        transcript.lookup(taken);
        PlayedLookup lookup = newLookup(again);
        long patienceUs = lookup.clientDeadlineUs - now;
        transcript.note(
                "l",
                lookup.number,
                classes.indexOf(lookup.lookupClass),
                lookup.isClientRetry ? 1 : 0,
                lookup.isForwarded ? 1 : 0,
                lookup.announcedParts,
                lookup.clientDeadlineUs);
        module.onLookup(lookup);
        if (random.nextInt(30) == 0) {
            schedule(now + 3 * stepUs, () -> parts(lookup, ""));
        } else {
            parts(lookup, "");
        }
        long leavesUs = random.nextDouble() < impatient ? random.nextLong(patienceUs) : patienceUs;
        schedule(now + leavesUs, () -> leaves(lookup));
        if (again == 0) {
            double meanUs = gapUs * (rough > 2 ? 1 / slowness : 1);
            schedule(now + exponential(meanUs), () -> lookup(0));
        }
    }

    private PlayedLookup newLookup(int again) {
        PlayedLookup lookup = new PlayedLookup();
        lookup.number = taken++;
        lookup.again = again;
        lookup.lookupClass = classes.get(random.nextInt(classes.size()));
        lookup.isClientRetry = again > 0 || random.nextInt(50) == 0;
        lookup.isForwarded = random.nextInt(25) == 0;
        lookup.announcedParts = lookup.isForwarded ? 1 : 1 + random.nextInt(8);
        long patienceUs = lookup.lookupClass.latencyObjectiveUs * (1 + random.nextInt(4));
        lookup.clientDeadlineUs = now + patienceUs / (random.nextInt(12) == 0 ? 5 : 1);
        return lookup;
    }

    private void parts(PlayedLookup lookup, String step) {
        if (lookup.over) {
            return;
        }
        boolean even = random.nextBoolean();
        double[] weights = new double[lookup.announcedParts];
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            weights[i] = even ? 1 : 0.05 + random.nextDouble();
            sum += weights[i];
        }
        for (int i = 0; i < weights.length; i++) {
            PlayedPart part = new PlayedPart();
            part.lookup = lookup;
            part.shard = random.nextInt(64);
            part.weight = weights[i] / sum;
            part.name = lookup.number + "." + step + i;
            transcript.note("p", part.name, part.shard, Double.doubleToLongBits(part.weight));
            module.onPart(part);
        }
    }

    private void leaves(PlayedLookup lookup) {
        if (!lookup.over) {
            lookup.over = true;
            transcript.note("g", lookup.number);
            module.onClientGone(lookup);
            asksAgain(lookup, 0);
        }
    }

    private void asksAgain(PlayedLookup lookup, long afterUs) {
        if (lookup.again < 3 && random.nextInt(3) == 0) {
            schedule(now + afterUs + random.nextInt(50_000), () -> lookup(lookup.again + 1));
        }
    }

    /** New figures of the classes, for the lookups that come from now on. */
    private void changeSettings() {
        if (ends()) {
            return;
        }
        PlayedClasses.change(classes, random);
        transcript.note("c", classes.size());
        schedule(now + exponential(8_000_000), this::changeSettings);
    }

    // The decisions.

    @Override
    public void send(Attempt attempt, long limitUs) {
        int frame = frames.computeIfAbsent(attempt.sharedCall, any -> frames.size());
        transcript.note("S", name(attempt), attempt.node.nodeId, limitUs, attempt.sentAtUs, frame);
        schedule(now + limitUs, () -> ended(attempt, Outcome.NO_ANSWER));
        PlayedNode one = byNode.get(attempt.node);
        long idleUs = settings.whole("idle");
        if (idleUs > 0 && now - one.usedAt > idleUs) {
            // Its connection was dropped unseen; the next one is opened once the silence was
            // noticed.
            schedule(now + limitUs, () -> one.usedAt = now);
            return;
        }
        one.usedAt = now;
        long wayUs = stepUs + attempt.node.linkRoundTripUs;
        switch (fault(attempt, one)) {
            case HUNG -> {}
            case FAILS -> schedule(now + wayUs, () -> ended(attempt, Outcome.ERROR));
            case FULL -> schedule(now + wayUs, () -> ended(attempt, Outcome.REJECTED));
            case REFUSES -> schedule(now + wayUs, () -> ended(attempt, Outcome.NO_CONNECTION));
            case LOSES ->
                schedule(now + wayUs + workUs(1), () -> ended(attempt, Outcome.CONNECTION_LOST));
            case NOT_SENT -> schedule(now + wayUs, () -> ended(attempt, Outcome.NOT_SENT));
            case SLOW ->
                schedule(one.take(now, workUs(6)) + wayUs, () -> ended(attempt, Outcome.SATISFIED));
            case NONE ->
                schedule(one.take(now, workUs(1)) + wayUs, () -> ended(attempt, Outcome.SATISFIED));
        }
    }

    /** What happens to the call; a lookup whose first shard is 13 brings down every node. */
    private PlayedNode.Fault fault(Attempt attempt, PlayedNode one) {
        if (attempt.part.lookup.parts.get(0).shard == 13) {
            return PlayedNode.Fault.LOSES;
        }
        boolean full = one.fault == PlayedNode.Fault.NONE && one.busyFor(20 * serviceUs, now);
        return full ? PlayedNode.Fault.FULL : one.fault;
    }

    /** As uneven as parts are: half of it fixed. */
    private long workUs(int times) {
        double halfUs = times * slowness * serviceUs / 2;
        return (long) halfUs + exponential(halfUs);
    }

    private void ended(Attempt attempt, Outcome outcome) {
        if (attempt.outcome == null) {
            boolean unknown = outcome == Outcome.SATISFIED && random.nextInt(40) == 0;
            long tookUs = unknown ? -1 : now - attempt.sentAtUs;
            transcript.note("o", name(attempt), outcome.ordinal(), tookUs);
            module.onOutcome(attempt, outcome, tookUs, random.nextBoolean() ? -1 : tookUs / 2);
        }
    }

    private static String name(Attempt attempt) {
        return ((PlayedPart) attempt.part).name + "#" + attempt.number;
    }

    @Override
    public void cancel(Attempt attempt) {
        transcript.note("C", name(attempt));
        schedule(now + random.nextInt(3) * stepUs, () -> ended(attempt, Outcome.CANCELLED));
    }

    @Override
    public void closeIdleConnections(DataNode node) {
        transcript.note("R", node.nodeId);
        byNode.get(node).usedAt = now;
    }

    @Override
    public void answer(Lookup answered, boolean whole) {
        PlayedLookup lookup = (PlayedLookup) answered;
        StringBuilder satisfiedParts = new StringBuilder();
        lookup.parts.forEach(part -> satisfiedParts.append(part.isSatisfied ? '1' : '0'));
        transcript.note("A", lookup.number, whole ? 1 : 0, lookup.isEnded ? 1 : 0, satisfiedParts);
        lookup.over = lookup.isEnded;
        if (!lookup.over && random.nextInt(10) > 0) {
            schedule(now + random.nextInt(2) * stepUs, () -> parts(lookup, "b"));
        }
    }

    @Override
    public void reject(Lookup rejected, long comeBackUs) {
        PlayedLookup lookup = (PlayedLookup) rejected;
        transcript.note("N", lookup.number, comeBackUs);
        lookup.over = true;
        asksAgain(lookup, comeBackUs);
    }

    @Override
    public void abort(Lookup aborted) {
        PlayedLookup lookup = (PlayedLookup) aborted;
        transcript.note("X", lookup.number);
        lookup.over = true;
        asksAgain(lookup, 0);
    }

    @Override
    public void wakeAt(long atUs) {
        transcript.note("W", atUs);
        schedule(atUs, () -> {
            transcript.note("w", now);
            module.onTimer();
        });
    }

    @Override
    public void subscribeToEndpointList() {
        transcript.note("F", now);
        schedule(now + random.nextInt(20_000), () -> {
            boolean fails = random.nextInt(3) > 0;
            if (!fails) {
                nodes.forEach(each -> listed(each, false));
            }
            news(
                    fails
                            ? QueryCoordinator.EndpointListUpdate.FAILED
                            : QueryCoordinator.EndpointListUpdate.FULL);
        });
    }
}
