package tinlink.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.cluster.membership.Member;
import tinlink.cluster.membership.MemberState;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.securechannel.KeyRing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Routers on loopback sockets with real data folders: consensus through restarts, with an old copy of a disk,
 * with a lost disk, and connections with a wrong key.
 */
@Timeout(60)
class ClusterNodeTest {
    private static final KeyRing KEYS =
            new KeyRing(Map.of("k", "0123456789abcdef".getBytes(StandardCharsets.US_ASCII)), "k");

    @TempDir
    Path folder;

    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Map<String, TestNode> nodes = new LinkedHashMap<>();

    /** A state machine whose state is the list of all committed lines. */
    private static final class RecordingStateMachine implements ReplicatedStateMachine {
        private final List<String> lines = new ArrayList<>();

        @Override
        public synchronized String apply(String line) {
            lines.add(line);
            return "no. " + lines.size();
        }

        @Override
        public synchronized List<String> snapshot() {
            return List.copyOf(lines);
        }

        @Override
        public synchronized void restore(List<String> snapshot) {
            lines.clear();
            lines.addAll(snapshot);
        }
    }

    private final class TestNode {
        final EventLoop loop = new EventLoop();
        final Network network;
        final RecordingStateMachine stateMachine = new RecordingStateMachine();
        final ClusterNode clusterNode;
        final Thread thread;

        TestNode(String name, KeyRing keys, int voters, Path dataFolder) throws IOException {
            network = new Network(loop);
            int port = Integer.parseInt(
                    addresses.get(name).substring(addresses.get(name).indexOf(':') + 1));
            clusterNode = new ClusterNode(
                    loop,
                    network,
                    new ClusterSettings(
                            new ClusterSettings.LocalRouter(
                                    "test",
                                    name,
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                                    addresses.get(name)),
                            new ClusterSettings.KnownRouters(
                                    addresses,
                                    new TreeSet<>(addresses.keySet().stream()
                                            .limit(voters)
                                            .toList())),
                            new ClusterSettings.Timing(50_000, 2, 50_000, 500_000, 2_000_000),
                            new ClusterSettings.Limits(64, 8 << 20, 20),
                            name.hashCode()),
                    keys,
                    dataFolder,
                    stateMachine,
                    new RecordingStateMachine());
            thread = new Thread(() -> loop.run(clusterNode), name);
            thread.setDaemon(true);
            loop.execute(clusterNode::start);
            thread.start();
        }

        <T> T callOnLoop(Supplier<T> task) {
            return loop.submitAndWait(task);
        }

        void close() {
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.execute(() -> {
                try {
                    clusterNode.close();
                } catch (IOException e) {
                    done.completeExceptionally(e);
                }
                network.close();
                loop.stop();
                done.complete(null);
            });
            done.join();
        }
    }

    private void reserveAddresses(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            sockets.add(socket);
            addresses.put("r" + i, "127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
    }

    private TestNode start(String name, int voters) throws IOException {
        TestNode node = new TestNode(name, KEYS, voters, folder.resolve(name));
        nodes.put(name, node);
        return node;
    }

    @AfterEach
    void closeNodes() {
        nodes.values().forEach(TestNode::close);
    }

    private static void waitUntil(String description, Supplier<Boolean> condition)
            throws InterruptedException {
        for (int i = 0; i < 1000; i++) {
            if (Boolean.TRUE.equals(condition.get())) {
                return;
            }
            Thread.sleep(20);
        }
        throw new AssertionError("waited for 20 s: " + description);
    }

    /** Proposes the line again until it is committed, as callers do since messages may get lost. */
    private void proposeUntilCommitted(TestNode node, String line) throws Exception {
        for (int i = 0; i < 100; i++) {
            CompletableFuture<String> reply = new CompletableFuture<>();
            node.loop.execute(
                    () -> node.clusterNode.propose(line, (text, failure) -> reply.complete(text)));
            String text = reply.completeOnTimeout(null, 2, TimeUnit.SECONDS).get();
            if (text != null) {
                assertTrue(text.startsWith("no. "), text);
                return;
            }
            Thread.sleep(50);
        }
        throw new AssertionError("not committed: " + line);
    }

    private void waitUntilAllEqual(String description) throws InterruptedException {
        List<TestNode> running = new ArrayList<>(nodes.values());
        waitUntil(
                description,
                () -> distinctSnapshots(running) == 1
                        && !running.get(0).stateMachine.snapshot().isEmpty());
    }

    private static long distinctSnapshots(List<TestNode> running) {
        return running.stream()
                .map(node -> node.callOnLoop(node.stateMachine::snapshot))
                .distinct()
                .count();
    }

    private static long wrongProofCount(TestNode node) {
        return node.callOnLoop(() -> node.clusterNode.counters().get("peers_wrong_proof"));
    }

    private MemberState stateOf(TestNode node, String router) {
        return node.callOnLoop(() -> {
            Member member = node.clusterNode.membership().member(router);
            return member == null ? null : member.state();
        });
    }

    private static void copyFolder(Path source, Path target) throws IOException {
        try (Stream<Path> files = Files.walk(source)) {
            for (Path path : files.toList()) {
                Path copy = target.resolve(source.relativize(path).toString());
                if (Files.isDirectory(path)) {
                    Files.createDirectories(copy);
                } else {
                    Files.copy(path, copy);
                }
            }
        }
    }

    @Test
    void routersCommitThroughRestartsAndCatchUp() throws Exception {
        reserveAddresses(5);
        for (String router : addresses.keySet()) {
            start(router, 3);
        }
        for (int i = 0; i < 30; i++) {
            proposeUntilCommitted(nodes.get("r" + i % 5), "line " + i);
        }
        waitUntilAllEqual("all routers, voters and learners, have the same lines");
        String leader =
                nodes.get("r4").callOnLoop(() -> nodes.get("r4").clusterNode.leader());
        nodes.remove(leader).close();
        proposeUntilCommitted(nodes.get("r4"), "without " + leader);
        TestNode restarted = start(leader, 3);
        waitUntil(
                leader + " is alive again",
                () -> stateOf(nodes.get("r4"), leader) == MemberState.ALIVE);
        proposeUntilCommitted(restarted, "with " + leader);
        waitUntilAllEqual("the restarted router has all lines");
        assertTrue(nodes.get("r3").stateMachine.snapshot().size() >= 32);
    }

    @Test
    void noRouterVotesWithAStaleOrLostDisk() throws Exception {
        reserveAddresses(3);
        for (String router : addresses.keySet()) {
            start(router, 3);
        }
        proposeUntilCommitted(nodes.get("r0"), "first");
        nodes.remove("r1").close();
        copyFolder(folder.resolve("r1"), folder.resolve("copy"));
        TestNode restarted = start("r1", 3);
        for (int i = 0; i < 10; i++) {
            proposeUntilCommitted(restarted, "more " + i);
        }
        nodes.remove("r1").close();
        TestNode stale = new TestNode("r1", KEYS, 3, folder.resolve("copy"));
        nodes.put("r1", stale);
        waitUntil(
                "the old copy of the disk is detected",
                () -> stale.callOnLoop(stale.clusterNode::hasStaleDisk));
        nodes.remove("r1").close();
        TestNode lost = new TestNode("r1", KEYS, 3, folder.resolve("empty"));
        nodes.put("r1", lost);
        waitUntil(
                "the lost disk is detected", () -> lost.callOnLoop(lost.clusterNode::hasStaleDisk));
        proposeUntilCommitted(nodes.get("r0"), "with two of three voters");
    }

    @Test
    void aRouterWithAWrongKeyIsRejected() throws Exception {
        reserveAddresses(3);
        start("r0", 1);
        start("r1", 1);
        proposeUntilCommitted(nodes.get("r1"), "a line");
        nodes.put(
                "r2",
                new TestNode(
                        "r2",
                        new KeyRing(
                                Map.of(
                                        "k",
                                        "another key......".getBytes(StandardCharsets.US_ASCII)),
                                "k"),
                        1,
                        folder.resolve("r2")));
        waitUntil(
                "a proof with the wrong key is rejected",
                () -> wrongProofCount(nodes.get("r0")) + wrongProofCount(nodes.get("r2")) > 0);
        assertNull(stateOf(nodes.get("r0"), "r2"));
        assertEquals(List.of(), nodes.get("r2").stateMachine.snapshot());
        nodes.remove("r2").close();
    }

    @Test
    void aFolderBelongsToOneRouter() throws Exception {
        reserveAddresses(2);
        start("r0", 1).close();
        nodes.clear();
        try {
            new TestNode("r1", KEYS, 1, folder.resolve("r0"));
            throw new AssertionError("r1 opened the data folder of r0");
        } catch (IOException e) {
            assertTrue(e.getMessage().contains("belongs to router r0"), e.getMessage());
        }
    }
}
