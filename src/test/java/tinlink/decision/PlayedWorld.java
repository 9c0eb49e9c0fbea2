package tinlink.decision;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** The time of a recorded play, its module, and its data nodes with all that is told of them. */
@SuppressWarnings("EnumOrdinal") // What was recorded numbers constants in their order.
abstract class PlayedWorld {
    private static final double MEAN_PARTS = 4.5;

    record Event(long dueAtUs, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return dueAtUs != other.dueAtUs
                    ? Long.compare(dueAtUs, other.dueAtUs)
                    : Long.compare(order, other.order);
        }
    }

    final PlayedSettings settings;
    final SplittableRandom random;
    final Transcript transcript;
    final QueryCoordinator module;
    final PriorityQueue<Event> events = new PriorityQueue<>();
    final List<LookupClass> classes;
    final List<PlayedNode> nodes = new ArrayList<>();
    final IdentityHashMap<DataNode, PlayedNode> byNode = new IdentityHashMap<>();
    final long stepUs;
    final double serviceUs;
    final long rough;
    final long nodeCount;
    /** Between two lookups, for the load that the settings say. */
    final double gapUs;

    double slowness = 1;
    double impatient = 0.03;
    long nextNode;
    long order;
    long now = 100_000_000;

    PlayedWorld(PlayedSettings settings, long seed, Transcript transcript) {
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

    /** No lookup is taken any more, and nothing changes. */
    abstract boolean ends();

    void schedule(long dueAtUs, Runnable what) {
        events.add(new Event((dueAtUs + stepUs - 1) / stepUs * stepUs, order++, what));
    }

    long exponential(double mean) {
        return (long) (-mean * StrictMath.log(1 - random.nextDouble()));
    }

    PlayedNode newNode(int slot) {
        PlayedNode one = new PlayedNode(nextNode++, (int) settings.whole("cores"));
        one.node.cell = slot;
        one.node.zone = random.nextInt(3);
        one.node.kind = random.nextInt(2);
        one.node.linkRoundTripUs = random.nextInt(8) == 0 ? 40_000 : 0;
        one.usedAt = now;
        byNode.put(one.node, one);
        return one;
    }

    void listed(PlayedNode one, boolean restarted) {
        DataNode node = one.node;
        transcript.note(
                "n",
                node.nodeId,
                node.state.ordinal(),
                node.cell,
                node.startedAtUs,
                node.linkRoundTripUs,
                restarted ? 1 : 0);
        module.onEndpoint(node, restarted);
    }

    void news(QueryCoordinator.EndpointListUpdate news) {
        transcript.note("u", news.ordinal());
        module.onEndpointListUpdate(news);
    }

    void changeFaults() {
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
        schedule(now + exponential(rough > 1 ? 400_000 : 1_200_000), this::changeFaults);
    }

    void changeList() {
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
        schedule(now + exponential(1_500_000), this::changeList);
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
        schedule(now + 1_000_000, () -> {
            old.node.state = DataNode.State.GONE;
            listed(old, false);
            news(QueryCoordinator.EndpointListUpdate.CHANGES);
        });
    }

    private void probe(PlayedNode one) {
        transcript.note("h", one.node.nodeId);
        module.onHealthCheck(one.node, Outcome.SATISFIED, 2000, 1000);
    }
}
