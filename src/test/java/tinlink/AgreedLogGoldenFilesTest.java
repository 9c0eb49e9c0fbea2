package tinlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import tinlink.cluster.ClusterNode;
import tinlink.cluster.ClusterSettings;
import tinlink.cluster.consensus.CompositeStateMachine;
import tinlink.maintenance.ReplicatedMaintenance;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.policy.PolicyStateMachine;
import tinlink.securechannel.KeyRing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The agreed log as a whole, of maintenance and of policy in one order: its snapshot, and the folder of a
 * router that has kept all of it, as earlier builds wrote them. The files under {@code golden/router} are
 * such a folder.
 */
@Timeout(60)
class AgreedLogGoldenFilesTest {
    private static final String SNAPSHOT = "agreed-snapshot.txt";
    private static final String FOLDER = "router";
    /** The line that the router adds as it goes on; no replica understands it, so nothing changes by it. */
    private static final String ADDED = "nothing";

    private static final long STARTS_BEFORE = 1;

    @TempDir
    Path folder;

    private static CompositeStateMachine stateMachine() {
        return new CompositeStateMachine(
                new ReplicatedMaintenance(),
                Map.of(PolicyStateMachine.SUBJECT, new PolicyStateMachine()));
    }

    /** Of both logs by turns. */
    private static List<String> log() throws IOException {
        List<String> one = List.copyOf(GoldenFile.read("maintenance-log.txt").values());
        List<String> other = List.copyOf(GoldenFile.read("policy-log.txt").values());
        List<String> all = new ArrayList<>();
        for (int i = 0; i < Math.max(one.size(), other.size()); i++) {
            if (i < one.size()) {
                all.add(one.get(i));
            }
            if (i < other.size()) {
                all.add(other.get(i));
            }
        }
        return all;
    }

    private static Map<String, String> numbered(List<String> lines) {
        Map<String, String> all = new LinkedHashMap<>();
        for (String line : lines) {
            all.put(String.format("line-%02d", all.size() + 1), line);
        }
        return all;
    }

    @Test
    void theSnapshotOfTheWholeLogIsWrittenAndReadAsItWas() throws IOException {
        CompositeStateMachine stateMachine = stateMachine();
        log().forEach(stateMachine::apply);
        GoldenFile.holds(
                SNAPSHOT,
                "All that stands after the whole agreed log.",
                numbered(stateMachine.snapshot()));
        List<String> golden = List.copyOf(GoldenFile.read(SNAPSHOT).values());
        CompositeStateMachine read = stateMachine();
        read.restore(golden);
        assertEquals(golden, read.snapshot());
    }

    /** A router with such a folder, which votes alone. */
    private static final class Router implements AutoCloseable {
        final CompositeStateMachine stateMachine = stateMachine();
        final EventLoop loop = new EventLoop();
        final Network network = new Network(loop);
        final ClusterNode node;

        Router(Path folder) throws IOException {
            node = new ClusterNode(
                    loop,
                    network,
                    new ClusterSettings(
                            new ClusterSettings.LocalRouter(
                                    "golden",
                                    "r1",
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                    ""),
                            new ClusterSettings.KnownRouters(Map.of(), Set.of("r1")),
                            new ClusterSettings.Timing(50_000, 2, 50_000, 500_000, 2_000_000),
                            new ClusterSettings.Limits(64, 8 << 20, 20),
                            1),
                    new KeyRing(
                            Map.of("k", "0123456789abcdef".getBytes(StandardCharsets.US_ASCII)),
                            "k"),
                    folder,
                    stateMachine,
                    stateMachine());
            Thread thread = new Thread(() -> loop.run(node), "golden-router");
            thread.setDaemon(true);
            thread.start();
            loop.execute(node::start);
        }

        /** Returns once it is agreed, and with it all before it. */
        void agrees(String line) throws Exception {
            CompletableFuture<Void> taken = new CompletableFuture<>();
            loop.execute(() -> propose(line, taken));
            taken.get(30, TimeUnit.SECONDS);
        }

        private void propose(String line, CompletableFuture<Void> taken) {
            node.propose(line, (said, why) -> {
                if (why == null) {
                    taken.complete(null);
                } else {
                    loop.schedule(loop.nowUs() + 50_000, () -> propose(line, taken));
                }
            });
        }

        List<String> stands() {
            return loop.submitAndWait(stateMachine::snapshot);
        }

        long starts() {
            return node.incarnation().startCount();
        }

        @Override
        public void close() throws IOException {
            CompletableFuture<Void> closed = new CompletableFuture<>();
            loop.execute(() -> {
                try {
                    node.close();
                } catch (IOException e) {
                    closed.completeExceptionally(e);
                }
                network.close();
                loop.stop();
                closed.complete(null);
            });
            closed.orTimeout(30, TimeUnit.SECONDS).join();
        }
    }

    /** Only where golden files are written anew. */
    private void writeFolder() throws Exception {
        Path fresh = folder.resolve("fresh");
        try (Router router = new Router(fresh)) {
            for (String line : log()) {
                router.agrees(line);
            }
        }
        byte[] excluded = GoldenFile.bytes(GoldenFile.read("excluded-nodes.txt").get("some"));
        Files.write(fresh.resolve("left-out"), excluded);
        GoldenFile.copy(fresh, GoldenFile.folder(FOLDER));
    }

    @Test
    void theFolderOfARouterIsReadAsItWas() throws Exception {
        if (GoldenFile.writes()) {
            writeFolder();
        }
        GoldenFile.copy(GoldenFile.folder(FOLDER), folder.resolve("copy"));
        try (Router router = new Router(folder.resolve("copy"))) {
            assertEquals(STARTS_BEFORE + 1, router.starts());
            router.agrees(ADDED);
            assertEquals(List.copyOf(GoldenFile.read(SNAPSHOT).values()), router.stands());
        }
    }
}
