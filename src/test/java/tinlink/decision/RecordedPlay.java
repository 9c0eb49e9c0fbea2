package tinlink.decision;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * One module, a small fleet of data nodes and their clients, played from one seed. Each input and
 * each decision goes into a transcript, a line each, under codes of its own, so that names in the
 * code can change.
 */
final class RecordedPlay implements DecisionHandler {
    private static final double MEAN_PARTS = 4.5;

    private record Event(long at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private static final class PlayedLookup extends Lookup {
        long number;
        boolean over;
        /** How many lookups of one client came before, each sent away. */
        int again;
    }

    private static final class PlayedPart extends Part {
        String name;
    }

    private final PlayedSettings settings;
    private final SplittableRandom random;
    private final Transcript transcript;
    private final QueryCoordinator module;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<LookupClass> classes;
    private final List<PlayedNode> nodes = new ArrayList<>();
    private final Map<DataNode, PlayedNode> byNode = new IdentityHashMap<>();
    private final Map<Attempt.SharedCall, Integer> frames = new IdentityHashMap<>();
    private final long stepUs;
    private final double serviceUs;
    private final long rough;
    private final long nodeCount;
    /** Between two lookups, for the load that the settings say. */
    private final double gapUs;

    private double slowness = 1;
    private double impatient = 0.03;
    private long lookups;
    private long taken;
    private long nextNode;
    private long order;
    private long now = 100_000_000;

    RecordedPlay(PlayedSettings settings, long seed, Transcript transcript) {
        this.settings = settings;
        this.transcript = transcript;
        random = new SplittableRandom(seed);
        stepUs = settings.whole("step");
        serviceUs = settings.whole("service");
        rough = settings.whole("rough");
        nodeCount = Math.max(settings.whole("nodes"), settings.whole("cells"));
        double coreUs = MEAN_PARTS * serviceUs / (nodeCount * settings.whole("cores"));
        gapUs = coreUs / settings.number("load");
        classes = PlayedClasses.draw(random);
        module = settings.module(
                classes.stream().mapToLong(one -> one.latencyObjectiveUs).max().orElse(1));
    }

    /** Plays until so many lookups were taken and all of them are over. */
    void play(long lookupCount) {
        lookups = lookupCount;
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(newNode(i));
        }
        at(now, () -> {
            nodes.forEach(one -> listed(one, false));
            news(QueryCoordinator.EndpointListUpdate.FULL);
        });
        at(now, () -> lookup(0));
        at(now + exponential(1_000_000), this::changeFaults);
        at(now + exponential(2_000_000), this::changeList);
        at(now + exponential(8_000_000), this::changeSettings);
        while (!events.isEmpty()) {
            now = Math.max(now, events.peek().at);
            // Now and then the router itself stands still, and what is due meanwhile comes late.
            now += random.nextInt(500) == 0 ? random.nextInt(60) * stepUs : 0;
            module.advanceClock(now);
            transcript.note("t", now);
            while (!events.isEmpty() && events.peek().at <= now) {
                events.poll().what.run();
            }
            while (module.decide(this)) {
                // Each decision is noted as it leaves.
            }
        }
    }

    private void at(long us, Runnable what) {
        events.add(new Event((us + stepUs - 1) / stepUs * stepUs, order++, what));
    }

    private long exponential(double mean) {
        return (long) (-mean * StrictMath.log(1 - random.nextDouble()));
    }

    private boolean ends() {
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
            at(now + 3 * stepUs, () -> parts(lookup, ""));
        } else {
            parts(lookup, "");
        }
        long leavesUs = random.nextDouble() < impatient ? random.nextLong(patienceUs) : patienceUs;
        at(now + leavesUs, () -> leaves(lookup));
        if (again == 0) {
            double meanUs = gapUs * (rough > 2 ? 1 / slowness : 1);
            at(now + exponential(meanUs), () -> lookup(0));
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
            at(now + afterUs + random.nextInt(50_000), () -> lookup(lookup.again + 1));
        }
    }

    // The data nodes, and what is told of them.

    private PlayedNode newNode(int slot) {
        PlayedNode one = new PlayedNode(nextNode++, (int) settings.whole("cores"));
        one.node.cell = slot;
        one.node.zone = random.nextInt(3);
        one.node.kind = random.nextInt(2);
        one.node.linkRoundTripUs = random.nextInt(8) == 0 ? 40_000 : 0;
        one.usedAt = now;
        byNode.put(one.node, one);
        return one;
    }

    private void listed(PlayedNode one, boolean restarted) {
        DataNode node = one.node;
        transcript.note(
                "n",
                node.id,
                node.state.ordinal(),
                node.cell,
                node.startedAtUs,
                node.linkRoundTripUs,
                restarted ? 1 : 0);
        module.onEndpoint(node, restarted);
    }

    private void news(QueryCoordinator.EndpointListUpdate news) {
        transcript.note("u", news.ordinal());
        module.onEndpointListUpdate(news);
    }

    private void changeFaults() {
        if (ends()) {
            return;
        }
        PlayedNode one = nodes.get(random.nextInt(nodes.size()));
        boolean well = rough == 0 || random.nextInt(6) >= rough;
        PlayedNode.Fault[] all = PlayedNode.Fault.values();
        one.fault = well ? PlayedNode.Fault.NONE : all[random.nextInt(all.length)];
        if (random.nextInt(12) == 0) {
            slowness = slowness > 1 || rough == 0 ? 1 : 2 + random.nextInt(8);
        }
        if (random.nextInt(20) == 0) {
            impatient = impatient > 0.1 || rough == 0 ? 0.03 : 0.5;
        }
        at(now + exponential(rough > 1 ? 400_000 : 1_200_000), this::changeFaults);
    }

    private void changeList() {
        if (ends()) {
            return;
        }
        int slot = random.nextInt(nodes.size());
        PlayedNode one = nodes.get(slot);
        QueryCoordinator.EndpointListUpdate news = QueryCoordinator.EndpointListUpdate.CHANGES;
        switch (random.nextInt(8)) {
            case 0 -> replace(slot);
            case 1 -> {
                one.node.startedAtUs = now - random.nextInt(500_000);
                listed(one, true);
            }
            case 2 -> {
                one.node.cell++;
                listed(one, false);
            }
            case 3 -> {
                one.node.state = one.node.state == DataNode.State.READY
                        ? DataNode.State.DRAINING
                        : DataNode.State.READY;
                listed(one, false);
            }
            case 4 -> news = QueryCoordinator.EndpointListUpdate.CACHED;
            case 5 -> news = QueryCoordinator.EndpointListUpdate.FAILED;
            case 6 -> {
                news = QueryCoordinator.EndpointListUpdate.FULL;
                nodes.forEach(each -> listed(each, false));
            }
            default -> probe(one);
        }
        news(news);
        at(now + exponential(1_500_000), this::changeList);
    }

    /** Drained, gone a second later; a new one takes its place at once. */
    private void replace(int slot) {
        PlayedNode old = nodes.get(slot);
        old.node.state = DataNode.State.DRAINING;
        listed(old, false);
        PlayedNode fresh = newNode(slot);
        fresh.node.startedAtUs = now - random.nextInt(300_000);
        nodes.set(slot, fresh);
        listed(fresh, false);
        at(now + 1_000_000, () -> {
            old.node.state = DataNode.State.GONE;
            listed(old, false);
            news(QueryCoordinator.EndpointListUpdate.CHANGES);
        });
    }

    private void probe(PlayedNode one) {
        transcript.note("h", one.node.id);
        module.onHealthCheck(one.node, Outcome.SATISFIED, 2000, 1000);
    }

    /** New figures of the classes, for the lookups that come from now on. */
    private void changeSettings() {
        if (ends()) {
            return;
        }
        PlayedClasses.change(classes, random);
        transcript.note("c", classes.size());
        at(now + exponential(8_000_000), this::changeSettings);
    }

    // The decisions.

    @Override
    public void send(Attempt attempt, long limitUs) {
        int frame = frames.computeIfAbsent(attempt.sharedCall, any -> frames.size());
        transcript.note("S", name(attempt), attempt.node.id, limitUs, attempt.sentAtUs, frame);
        at(now + limitUs, () -> ended(attempt, Outcome.NO_ANSWER));
        PlayedNode one = byNode.get(attempt.node);
        long idleUs = settings.whole("idle");
        if (idleUs > 0 && now - one.usedAt > idleUs) {
            // Its connection was dropped unseen; the next one is opened once the silence was
            // noticed.
            at(now + limitUs, () -> one.usedAt = now);
            return;
        }
        one.usedAt = now;
        long wayUs = stepUs + attempt.node.linkRoundTripUs;
        switch (fault(attempt, one)) {
            case HUNG -> {}
            case FAILS -> at(now + wayUs, () -> ended(attempt, Outcome.ERROR));
            case FULL -> at(now + wayUs, () -> ended(attempt, Outcome.REJECTED));
            case REFUSES -> at(now + wayUs, () -> ended(attempt, Outcome.NO_CONNECTION));
            case LOSES ->
                at(now + wayUs + workUs(1), () -> ended(attempt, Outcome.CONNECTION_LOST));
            case NOT_SENT -> at(now + wayUs, () -> ended(attempt, Outcome.NOT_SENT));
            case SLOW ->
                at(one.take(now, workUs(6)) + wayUs, () -> ended(attempt, Outcome.SATISFIED));
            case NONE ->
                at(one.take(now, workUs(1)) + wayUs, () -> ended(attempt, Outcome.SATISFIED));
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
        at(now + random.nextInt(3) * stepUs, () -> ended(attempt, Outcome.CANCELLED));
    }

    @Override
    public void closeIdleConnections(DataNode node) {
        transcript.note("R", node.id);
        byNode.get(node).usedAt = now;
    }

    @Override
    public void answer(Lookup answered, boolean whole) {
        PlayedLookup lookup = (PlayedLookup) answered;
        StringBuilder in = new StringBuilder();
        lookup.parts.forEach(part -> in.append(part.isSatisfied ? '1' : '0'));
        transcript.note("A", lookup.number, whole ? 1 : 0, lookup.isEnded ? 1 : 0, in);
        lookup.over = lookup.isEnded;
        if (!lookup.over && random.nextInt(10) > 0) {
            at(now + random.nextInt(2) * stepUs, () -> parts(lookup, "b"));
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
        at(atUs, () -> {
            transcript.note("w", now);
            module.onTimer();
        });
    }

    @Override
    public void subscribeToEndpointList() {
        transcript.note("F", now);
        at(now + random.nextInt(20_000), () -> {
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
