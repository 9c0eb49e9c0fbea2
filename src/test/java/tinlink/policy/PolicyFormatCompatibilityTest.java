package tinlink.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import tinlink.cluster.ClusterNode;
import tinlink.cluster.ClusterSettings;
import tinlink.cluster.consensus.CompositeStateMachine;
import tinlink.cluster.consensus.LineCodec;
import tinlink.maintenance.ReplicatedMaintenance;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.policy.rollout.PolicyCommand;
import tinlink.policy.rollout.PolicyCommandCodec;
import tinlink.securechannel.KeyRing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Tests that log entries, snapshots and a voter's data directory in the first format can still be
 * read with the same result. The files under {@code policy-v1} were written by a build that did
 * not have typed commands yet.
 */
@Timeout(60)
class PolicyFormatCompatibilityTest {
    private static final Path RESOURCES = Path.of("src/test/resources/policy-v1");
    /** Number of log entries that {@code snapshot-10.txt} replaces. */
    private static final int ENTRIES_BEFORE_SNAPSHOT = 10;

    @TempDir
    Path directory;

    private static List<String> lines(String name) throws IOException {
        return Files.readAllLines(RESOURCES.resolve(name));
    }

    @Test
    void version1LogIsAppliedAndEachCommandIsEncodedUnchanged() throws IOException {
        PolicyStateMachine policyStateMachine = new PolicyStateMachine();
        List<String> log = lines("log.txt");
        List<String> expectedResults = lines("said.txt");
        for (int i = 0; i < log.size(); i++) {
            String line = log.get(i);
            assertEquals(expectedResults.get(i), policyStateMachine.apply(line), line);
            PolicyCommand command = PolicyCommandCodec.decode(LineCodec.decode(line));
            if (!(command instanceof PolicyCommand.UnknownCommand)) {
                assertEquals(line, PolicyStateMachine.encode(command));
            }
        }
        assertEquals(lines("snapshot-all.txt"), policyStateMachine.snapshot());
    }

    @Test
    void version1SnapshotIsRestoredAndTheRestOfTheLogApplied() throws IOException {
        PolicyStateMachine policyStateMachine = new PolicyStateMachine();
        policyStateMachine.restore(lines("snapshot-10.txt"));
        assertEquals(lines("snapshot-10.txt"), policyStateMachine.snapshot());
        List<String> log = lines("log.txt");
        log.subList(ENTRIES_BEFORE_SNAPSHOT, log.size()).forEach(policyStateMachine::apply);
        assertEquals(lines("snapshot-all.txt"), policyStateMachine.snapshot());
    }

    @Test
    void version1VoterDirectoryIsRestoredAndTheVoterContinues() throws Exception {
        try (Stream<Path> files = Files.walk(RESOURCES.resolve("voter"))) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                Path target = directory.resolve(
                        RESOURCES.resolve("voter").relativize(file).toString());
                Files.createDirectories(target.getParent());
                Files.copy(file, target);
            }
        }
        CompositeStateMachine stateMachine = stateMachine();
        EventLoop loop = new EventLoop();
        Network network = new Network(loop);
        ClusterNode clusterNode = new ClusterNode(
                loop,
                network,
                new ClusterSettings(
                        new ClusterSettings.LocalRouter(
                                "test",
                                "r0",
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                ""),
                        new ClusterSettings.KnownRouters(Map.of(), Set.of("r0")),
                        new ClusterSettings.Timing(50_000, 2, 50_000, 500_000, 2_000_000),
                        new ClusterSettings.Limits(64, 8 << 20, 20),
                        1),
                new KeyRing(
                        Map.of("k", "0123456789abcdef".getBytes(StandardCharsets.US_ASCII)), "k"),
                directory,
                stateMachine,
                stateMachine());
        CompletableFuture<List<String>> restoredLines = new CompletableFuture<>();
        clusterNode.setAppliedListener(() -> {
            // The line proposed below comes last: all stored entries have been applied by then.
            if (stateMachine.snapshot().stream().anyMatch(line -> line.startsWith("life\tz\t"))) {
                restoredLines.complete(stateMachine.snapshot());
            }
        });
        Thread thread = new Thread(() -> loop.run(clusterNode), "policy-format-test");
        thread.setDaemon(true);
        thread.start();
        try {
            loop.execute(clusterNode::start);
            loop.execute(() -> proposeUntilAccepted(loop, clusterNode));
            List<String> linesBeforeRestart = restoredLines.get(30, TimeUnit.SECONDS).stream()
                    .filter(line -> !line.startsWith("life\tz\t"))
                    .toList();
            assertEquals(lines("voter/expected-lines.txt"), linesBeforeRestart);
        } finally {
            CompletableFuture<Void> closed = new CompletableFuture<>();
            loop.execute(() -> {
                try {
                    clusterNode.close();
                } catch (IOException e) {
                    closed.completeExceptionally(e);
                }
                network.close();
                loop.stop();
                closed.complete(null);
            });
            closed.get(30, TimeUnit.SECONDS);
        }
    }

    private static CompositeStateMachine stateMachine() {
        return new CompositeStateMachine(
                new ReplicatedMaintenance(),
                Map.of(PolicyStateMachine.SUBJECT, new PolicyStateMachine()));
    }

    private static void proposeUntilAccepted(EventLoop loop, ClusterNode clusterNode) {
        clusterNode.propose("life\tz\tz#1.0", (result, failure) -> {
            if (failure != null) {
                loop.schedule(loop.nowUs() + 50_000, () -> proposeUntilAccepted(loop, clusterNode));
            }
        });
    }
}
