package tinlink.experiment.scale;

import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;

/**
 * One router with a list of so many nodes, each the only one of its cell: start, memory, changes of
 * the list, a load. With the largest list also memory by open connections.
 */
final class ServingListRun {
    private static final double OPENING_PER_SECOND = 40;
    private static final double OPENING_SECONDS = 0.4;
    private static final int OPENING_TRIES = 12;
    private static final int CHANGED_NODES = 50;
    private static final long CHANGES_WAIT_MS = 10_000;
    private static final double WARM_SECONDS = 0.5;
    private final ServingPlan plan;
    private final int nodes;
    private final long seed;
    private final ServingResults results;
    private final ServingVerdict verdict;

    ServingListRun(
            ServingPlan plan,
            int nodes,
            long seed,
            ServingResults results,
            ServingVerdict verdict) {
        this.plan = plan;
        this.nodes = nodes;
        this.seed = seed;
        this.results = results;
        this.verdict = verdict;
    }

    void run() throws IOException, InterruptedException {
        ServingRouter.Settings settings = new ServingRouter.Settings(
                nodes, nodes, ServingPlan.SOCKETS, ServingPlan.OPEN_CAP, plan.onTimeMs(), true);
        try (ServingWorld world = new ServingWorld(settings, seed)) {
            add("start time", "ms", world.router.startMs());
            results.add(
                    ServingNames.DISCOVERY,
                    "bytes a list",
                    "B",
                    ServingNames.BY_LIST,
                    nodes,
                    (double) world.discovery.listBytes());
            ServingMemory idle = world.router.memory();
            add("heap", "MB", idle.heapMb());
            add("direct memory", "MB", idle.directMb());
            add("resident memory", "MB", idle.residentMb());
            verdict.heap(nodes, idle.heapMb());
            changes(world);
            if (nodes == plan.largestList()) {
                connections(world);
            }
            load(world);
        }
    }

    private void add(String cost, String unit, double value) {
        results.add(ServingNames.ROUTER, cost, unit, ServingNames.BY_LIST, nodes, value);
    }

    /** Nodes are told as draining and back in service, one by one. */
    private void changes(ServingWorld world) throws IOException, InterruptedException {
        int changed = Math.min(CHANGED_NODES, nodes);
        long bytesBefore = world.discovery.bytesSent();
        long toldBefore = world.router.listsTold();
        ServingUsage before = world.router.usage();
        IntStream.range(0, changed).forEach(i -> world.tell(i, "terminating"));
        IntStream.range(0, changed).forEach(i -> world.tell(i, "in_service"));
        world.router.awaitListsTold(toldBefore + 2L * changed, CHANGES_WAIT_MS);
        ServingUsage used = world.router.usage().minus(before);
        add("processor time a change of the list", "ms", used.processorMs() / (2 * changed));
        results.add(
                ServingNames.DISCOVERY,
                "bytes a change",
                "B",
                ServingNames.BY_LIST,
                nodes,
                (double) (world.discovery.bytesSent() - bytesBefore) / (2 * changed));
    }

    private void connections(ServingWorld world) throws IOException, InterruptedException {
        for (int wanted : plan.connections()) {
            for (int i = 0; i < OPENING_TRIES && world.nodes.counts().connections() < wanted; i++) {
                world.load.run(OPENING_PER_SECOND, OPENING_SECONDS, eachOf(wanted));
            }
            long open = world.nodes.counts().connections();
            verdict.connections(wanted, open);
            ServingMemory held = world.router.memory();
            byConnections("heap", held.heapMb(), open);
            byConnections("direct memory", held.directMb(), open);
            byConnections("resident memory", held.residentMb(), open);
        }
    }

    private void byConnections(String cost, double mb, long open) {
        results.add(
                ServingNames.ROUTER, cost, "MB", ServingNames.BY_CONNECTIONS, (double) open, mb);
    }

    /** Lookups that go over the first so many shards again and again. */
    private static ServingLoad.Shards eachOf(int wanted) {
        int[] next = {0};
        int most = Math.min(wanted, CapacityPlan.PARTS_A_LOOKUP);
        return random -> {
            int from = next[0];
            next[0] = (from + most) % wanted;
            List<Integer> shards = IntStream.range(from, from + most)
                    .map(i -> i % wanted)
                    .boxed()
                    .toList();
            return shards;
        };
    }

    private void load(ServingWorld world) throws IOException, InterruptedException {
        int parts = Math.min(ServingPlan.PARTS_BY_LIST, nodes / 2);
        double rate = plan.partCallsPerSecond() / parts;
        world.load.run(rate, WARM_SECONDS, world.anyShards(parts));
        ServingNodes.Counts countsBefore = world.nodes.counts();
        ServingUsage before = world.router.usage();
        ServingLoad.Result result =
                world.load.run(rate, plan.leastSeconds(), world.anyShards(parts));
        ServingUsage used = world.router.usage().minus(before);
        ServingNodes.Counts counts = world.nodes.counts().minus(countsBefore);
        verdict.load(parts, result, counts, nodes);
        add("processor time a part call", "us", 1000 * used.processorMs() / counts.partCalls());
        add("connections", "1", (double) counts.connections());
        results.add(
                ServingNames.DISCOVERY,
                "watches a router",
                "1",
                ServingNames.BY_LIST,
                nodes,
                world.discovery.watches());
        results.add(
                ServingNames.NODE,
                "connections a router",
                "1",
                ServingNames.BY_LIST,
                nodes,
                (double) counts.connections() / nodes);
    }
}
