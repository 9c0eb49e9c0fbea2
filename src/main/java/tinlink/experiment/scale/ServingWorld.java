package tinlink.experiment.scale;

import tinlink.emulator.EmulatedDiscovery;
import tinlink.emulator.EmulatorLoop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** One router process, and what it finds around it: data nodes, discovery, clients, all in this process. */
final class ServingWorld implements AutoCloseable {
    /** Zones of the users' plan; nodes are dealt out among them in turn. */
    static final int ZONES = 7;

    private static final int NODE_THREADS = 2;
    final ServingNodes nodes;
    final EmulatedDiscovery discovery;
    final ServingRouter router;
    final ServingLoad load;
    private final EmulatorLoop emulatorLoop;
    private final Path folder;
    private final int cells;

    /** Starts all of it; the router serves when this returns. */
    ServingWorld(ServingRouter.Settings settings, long seed)
            throws IOException, InterruptedException {
        folder = Files.createTempDirectory("tinlink-serving");
        cells = settings.cells();
        ServingSlowest slowest = new ServingSlowest();
        nodes = new ServingNodes(
                settings.nodes(),
                NODE_THREADS,
                ServingPlan.SERVICE_TIMES,
                ServingPlan.VALUE_BYTES,
                slowest,
                seed);
        emulatorLoop = new EmulatorLoop();
        try {
            discovery = new EmulatedDiscovery(emulatorLoop);
            for (int i = 0; i < settings.nodes(); i++) {
                tell(i, "in_service");
            }
            router = new ServingRouter(settings, discovery.address(), folder);
        } catch (IOException | InterruptedException | RuntimeException e) {
            nodes.close();
            emulatorLoop.close();
            deleteFolder();
            throw e;
        }
        load = new ServingLoad(router.address(), settings.budgetMs(), slowest, seed + 1);
    }

    /** What discovery says of a node from now on. */
    void tell(int node, String state) {
        InetSocketAddress at = nodes.address(node);
        discovery.publish("n" + node, node % cells, at, "z" + node % ZONES, state);
    }

    /** Lookups of that many parts, each on a shard drawn from all. */
    ServingLoad.Shards anyShards(int parts) {
        int[] all = IntStream.range(0, cells).toArray();
        return random -> draw(random, all, parts);
    }

    /** The first so many places of a shuffle that goes on from the last one. */
    private static List<Integer> draw(SplittableRandom random, int[] all, int parts) {
        for (int i = 0; i < parts; i++) {
            int other = i + random.nextInt(all.length - i);
            int held = all[i];
            all[i] = all[other];
            all[other] = held;
        }
        return Arrays.stream(all, 0, parts).boxed().toList();
    }

    @Override
    public void close() throws IOException {
        load.close();
        router.close();
        nodes.close();
        emulatorLoop.close();
        deleteFolder();
    }

    private void deleteFolder() throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }
}
