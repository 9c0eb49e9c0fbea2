package tinlink.decision;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * The surroundings of the decision module in a recorded play: the clock, the data nodes with their faults,
 * and the endpoint list updates.
 */
@SuppressWarnings("EnumOrdinal") // The recorded transcript contains ordinals.
abstract class PlayedEnvironment {
    private static final double MEAN_PARTS = 4.5;

    record Event(long dueAtUs, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return dueAtUs != other.dueAtUs
                    ? Long.compare(dueAtUs, other.dueAtUs)
                    : Long.compare(number, other.number);
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
    final long faultLevel;
    final long nodeCount;
    /** Mean time between two lookups, for the configured load. */
    final double meanGapUs;

    /** Factor for the work of each part at all nodes. */
    double slowness = 1;
    /** Share of lookups whose clients leave before their deadline. */
    double impatientShare = 0.03;

    long nextNode;
    long nextEvent;
    long now = 100_000_000;

    PlayedEnvironment(PlayedSettings settings, long seed, Transcript transcript) {
        this.settings = settings;
        this.transcript = transcript;
        random = new SplittableRandom(seed);
        stepUs = settings.longValue("step");
        serviceUs = settings.longValue("service");
        faultLevel = settings.longValue("rough");
        nodeCount = Math.max(settings.longValue("nodes"), settings.longValue("cells"));
        double coreUs = MEAN_PARTS * serviceUs / (nodeCount * settings.longValue("cores"));
        meanGapUs = coreUs / settings.doubleValue("load");
        classes = PlayedClasses.create(random);
        module = settings.createModule(classes.stream()
                .mapToLong(type -> type.latencyObjectiveUs)
                .max()
                .orElse(1));
    }

    /** Whether all lookups have been started; from then on, nothing changes at the nodes. */
    abstract boolean isEnding();

    void schedule(long dueAtUs, Runnable action) {
        events.add(new Event((dueAtUs + stepUs - 1) / stepUs * stepUs, nextEvent++, action));
    }

    long exponential(double mean) {
        return (long) (-mean * StrictMath.log(1 - random.nextDouble()));
    }

    PlayedNode newNode(int slot) {
        PlayedNode playedNode = new PlayedNode(nextNode++, (int) settings.longValue("cores"));
        playedNode.node.cell = slot;
        playedNode.node.zone = random.nextInt(3);
        playedNode.node.kind = random.nextInt(2);
        playedNode.node.linkRoundTripUs = random.nextInt(8) == 0 ? 40_000 : 0;
        playedNode.connectionUsedAtUs = now;
        byNode.put(playedNode.node, playedNode);
        return playedNode;
    }

    void passEndpoint(PlayedNode playedNode, boolean restarted) {
        DataNode node = playedNode.node;
        transcript.record(
                "n",
                node.nodeId,
                node.state.ordinal(),
                node.cell,
                node.startedAtUs,
                node.linkRoundTripUs,
                restarted ? 1 : 0);
        module.onEndpoint(node, restarted);
    }

    void passListUpdate(QueryCoordinator.EndpointListUpdate update) {
        transcript.record("u", update.ordinal());
        module.onEndpointListUpdate(update);
    }

    void changeFaults() {
        if (isEnding()) {
            return;
        }
        PlayedNode playedNode = nodes.get(random.nextInt(nodes.size()));
        boolean healthy = faultLevel == 0 || random.nextInt(6) >= faultLevel;
        PlayedNode.Fault[] faults = PlayedNode.Fault.values();
        playedNode.fault = healthy ? PlayedNode.Fault.NONE : faults[random.nextInt(faults.length)];
        if (random.nextInt(12) == 0) {
            slowness = slowness > 1 || faultLevel == 0 ? 1 : 2 + random.nextInt(8);
        }
        if (random.nextInt(20) == 0) {
            impatientShare = impatientShare > 0.1 || faultLevel == 0 ? 0.03 : 0.5;
        }
        schedule(now + exponential(faultLevel > 1 ? 400_000 : 1_200_000), this::changeFaults);
    }

    void changeList() {
        if (isEnding()) {
            return;
        }
        int slot = random.nextInt(nodes.size());
        PlayedNode playedNode = nodes.get(slot);
        QueryCoordinator.EndpointListUpdate update = QueryCoordinator.EndpointListUpdate.CHANGES;
        switch (random.nextInt(8)) {
            case 0 -> replace(slot);
            case 1 -> {
                playedNode.node.startedAtUs = now - random.nextInt(500_000);
                passEndpoint(playedNode, true);
            }
            case 2 -> {
                playedNode.node.cell++;
                passEndpoint(playedNode, false);
            }
            case 3 -> {
                playedNode.node.state = playedNode.node.state == DataNode.State.READY
                        ? DataNode.State.DRAINING
                        : DataNode.State.READY;
                passEndpoint(playedNode, false);
            }
            case 4 -> update = QueryCoordinator.EndpointListUpdate.CACHED;
            case 5 -> update = QueryCoordinator.EndpointListUpdate.FAILED;
            case 6 -> {
                update = QueryCoordinator.EndpointListUpdate.FULL;
                nodes.forEach(each -> passEndpoint(each, false));
            }
            default -> passHealthCheck(playedNode);
        }
        passListUpdate(update);
        schedule(now + exponential(1_500_000), this::changeList);
    }

    /** Replaces a node by a new one at once; the old node drains, and is gone a second later. */
    private void replace(int slot) {
        PlayedNode old = nodes.get(slot);
        old.node.state = DataNode.State.DRAINING;
        passEndpoint(old, false);
        PlayedNode fresh = newNode(slot);
        fresh.node.startedAtUs = now - random.nextInt(300_000);
        nodes.set(slot, fresh);
        passEndpoint(fresh, false);
        schedule(now + 1_000_000, () -> {
            old.node.state = DataNode.State.GONE;
            passEndpoint(old, false);
            passListUpdate(QueryCoordinator.EndpointListUpdate.CHANGES);
        });
    }

    private void passHealthCheck(PlayedNode playedNode) {
        transcript.record("h", playedNode.node.nodeId);
        module.onHealthCheck(playedNode.node, Outcome.SATISFIED, 2000, 1000);
    }
}
