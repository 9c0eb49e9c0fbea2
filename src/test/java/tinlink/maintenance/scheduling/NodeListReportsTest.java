package tinlink.maintenance.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import tinlink.cluster.consensus.LineCodec;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * Tests endpoint lists that are reported as differences to the agreed nodes, and the incremental assignment
 * of watchers to machines.
 */
class NodeListReportsTest {
    private static final DisruptionLimits LIMITS =
            new DisruptionLimits(2, 0.5, 0.5, 1_000_000, 4_000_000, 20_000_000, 100, 10_000);
    private static final long REPORT_EXPIRY_US = 10_000;
    private static final String DIFFERENCE_KIND = "list-difference";

    private static Machine node(String nodeId, String site, int cell) {
        return new Machine(nodeId, Machine.Kind.NODE, cell, "z", site, "m", false);
    }

    private static String apply(MaintenanceStateMachine stateMachine, String line) {
        return stateMachine.apply(MaintenanceCommandCodec.decode(line)).message();
    }

    private static void report(MaintenanceCoordinator coordinator, String from, String line) {
        MachineReportCodec.decode(line).ifPresent(report -> coordinator.onReport(from, report));
    }

    private static Optional<MachineReport> decode(List<String> fields) {
        return MachineReportCodec.decode(LineCodec.encode(fields.toArray()));
    }

    private static List<Machine> nodes(int count, String site) {
        return IntStream.range(0, count).mapToObj(i -> node("n" + i, site, 0)).toList();
    }

    /** The coordinator of a leader, and a state machine that applies its proposals at once. */
    private static final class Fixture {
        final MaintenanceCoordinator coordinator =
                new MaintenanceCoordinator(LIMITS, 100, REPORT_EXPIRY_US, 10_000);
        final MaintenanceStateMachine stateMachine = new MaintenanceStateMachine(LIMITS);
        final List<String> proposed = new ArrayList<>();
        long nowUs = 1000;

        Fixture() {
            coordinator.setLeader(true);
            runRound();
        }

        /** Runs one round of the leader and applies its proposals. */
        void runRound() {
            nowUs += 100;
            coordinator.setTime(nowUs);
            proposed.clear();
            while (coordinator.decide(
                    stateMachine.state(),
                    command -> proposed.add(MaintenanceCommandCodec.encode(command)))) {
                // The list records each proposal.
            }
            proposed.forEach(line -> {
                assertEquals("", apply(stateMachine, line));
                coordinator.onProposalCompleted();
            });
        }

        NodeListDifference difference(String site, List<Machine> listed) {
            return NodeListDifference.between(site, listed, stateMachine.state().agreedNodes());
        }

        void deliver(String router, NodeListDifference difference) {
            report(coordinator, router, MachineReportCodec.encode(difference));
        }

        void deliverFromAll(NodeListDifference difference) {
            IntStream.range(0, 3).forEach(r -> deliver("r" + r, difference));
        }

        Set<String> agreedIds() {
            Set<String> ids = new TreeSet<>();
            stateMachine.state().machines().forEach(machine -> ids.add(machine.id()));
            return ids;
        }
    }

    @Test
    void aReportIsDecodedAsItWasEncoded() {
        List<Machine> listed = List.of(node("a", "s0", 1), node("b", "s0", 2), node("x", "s1", 0));
        AgreedNodes agreed = AgreedNodes.from(List.of(node("b", "s0", 1), node("c", "s0", 1)));
        NodeListDifference difference = NodeListDifference.between("s0", listed, agreed);
        assertEquals(List.of(node("a", "s0", 1), node("b", "s0", 2)), difference.added());
        assertEquals(Set.of("c"), difference.missing());
        assertEquals(
                Optional.of(difference),
                MachineReportCodec.decode(MachineReportCodec.encode(difference)));
    }

    @Test
    void anOversizedOrTruncatedReportIsIgnored() {
        List<String> tooMany = new ArrayList<>(List.of(DIFFERENCE_KIND, "s0", "1f", "0"));
        IntStream.range(0, NodeListDifference.MAX_NODES + 1).forEach(i -> tooMany.add("n" + i));
        assertEquals(Optional.empty(), decode(tooMany));
        List<String> negative = List.of(DIFFERENCE_KIND, "s0", "1f", "-1");
        assertEquals(Optional.empty(), decode(negative));
        Fixture fixture = new Fixture();
        report(fixture.coordinator, "r1", DIFFERENCE_KIND + "\ts0");
        report(fixture.coordinator, "r1", DIFFERENCE_KIND + "\ts0\tnothex\t0");
        report(fixture.coordinator, "r1", DIFFERENCE_KIND + "\ts0\t0\t5\tmachine");
        fixture.runRound();
        assertEquals(Set.of(), fixture.agreedIds());
    }

    /** Reports must not grow with the number of data nodes, as full lists do. */
    @Test
    void aReportWithoutChangesHasTheSameSizeAtAnyNumberOfNodes() {
        int few = steadyReport(100).length();
        int many = steadyReport(3100).length();
        assertTrue(many <= few + 16 && many < 64, few + " and " + many + " characters");
    }

    private static String steadyReport(int count) {
        List<Machine> all = nodes(count, "s0");
        return MachineReportCodec.encode(
                NodeListDifference.between("s0", all, AgreedNodes.from(all)));
    }

    @Test
    void manyNewNodesAreAddedInBatchesAndNoReportExceedsItsLimit() {
        Fixture fixture = new Fixture();
        List<Machine> all = nodes(1000, "s0");
        for (int round = 0; round < 40 && fixture.agreedIds().size() < all.size(); round++) {
            for (int r = 0; r < 3; r++) {
                NodeListDifference report = fixture.difference("s0", all);
                assertTrue(report.added().size() <= NodeListDifference.MAX_NODES);
                fixture.deliver("r" + r, report);
            }
            fixture.runRound();
            assertTrue(
                    fixture.proposed.stream().noneMatch(line -> line.contains("gone")),
                    "" + fixture.proposed);
        }
        assertEquals(all.size(), fixture.agreedIds().size());
    }

    @Test
    void oneRouterOfThreeNeitherAddsNorRemovesANode() {
        Fixture fixture = new Fixture();
        List<Machine> all = nodes(3, "s0");
        fixture.deliverFromAll(fixture.difference("s0", all));
        fixture.runRound();
        assertEquals(3, fixture.agreedIds().size());
        fixture.deliverFromAll(fixture.difference("s0", all));
        List<Machine> other = List.of(all.get(0), all.get(1), node("new", "s0", 0));
        fixture.runRound();
        fixture.deliver("r0", fixture.difference("s0", other));
        fixture.runRound();
        assertEquals(List.of(), fixture.proposed);
        fixture.deliver("r1", fixture.difference("s0", other));
        fixture.runRound();
        assertEquals(Set.of("n0", "n1", "new"), fixture.agreedIds());
    }

    /**
     * A late report, whose basis is older than the return of a node, must not remove the node again: {@code
     * agreedSince} prevents this.
     */
    @Test
    void staleReportsDoNotRemoveANodeThatHasComeBack() {
        Fixture fixture = new Fixture();
        List<Machine> one = nodes(1, "s0");
        List<Machine> two = nodes(2, "s0");
        List<Machine> three = nodes(3, "s0");
        fixture.deliverFromAll(fixture.difference("s0", two));
        fixture.runRound();
        fixture.runRound();
        NodeListDifference late = fixture.difference("s0", one);
        assertEquals(Set.of("n1"), late.missing());
        fixture.deliverFromAll(late);
        fixture.runRound();
        assertEquals(Set.of("n0"), fixture.agreedIds());
        fixture.runRound();
        fixture.deliverFromAll(fixture.difference("s0", three));
        fixture.runRound();
        assertEquals(Set.of("n0", "n1", "n2"), fixture.agreedIds());
        fixture.runRound();
        fixture.deliverFromAll(late);
        fixture.runRound();
        assertEquals(Set.of("n0", "n1", "n2"), fixture.agreedIds());
        fixture.deliverFromAll(fixture.difference("s0", one));
        fixture.runRound();
        assertEquals(Set.of("n0"), fixture.agreedIds());
    }

    @Test
    void aReportAgainstAnUnknownBasisIsIgnoredAndSilenceRemovesNothing() {
        Fixture fixture = new Fixture();
        List<Machine> all = nodes(2, "s0");
        fixture.deliverFromAll(fixture.difference("s0", all));
        fixture.runRound();
        fixture.nowUs += 2 * REPORT_EXPIRY_US;
        fixture.runRound();
        NodeListDifference unknownBasis =
                new NodeListDifference("s0", 77, List.of(), Set.of("n0", "n1"));
        fixture.deliverFromAll(unknownBasis);
        fixture.runRound();
        assertEquals(Set.of("n0", "n1"), fixture.agreedIds());
    }

    @Test
    void fullListsAndDifferencesCountAlike() {
        Fixture fixture = new Fixture();
        List<Machine> all = nodes(2, "s0");
        report(
                fixture.coordinator,
                "old",
                MachineReportCodec.encode(new MachineReport.FullNodeList("s0", all)));
        fixture.deliver("new", fixture.difference("s0", all));
        fixture.runRound();
        assertEquals(2, fixture.agreedIds().size());
        fixture.runRound();
        report(
                fixture.coordinator,
                "old",
                MachineReportCodec.encode(new MachineReport.FullNodeList("s0", all.subList(0, 1))));
        fixture.deliver("new", fixture.difference("s0", all));
        fixture.runRound();
        assertEquals(2, fixture.agreedIds().size(), "only one of two routers has removed n1");
        fixture.deliver("new", fixture.difference("s0", all.subList(0, 1)));
        fixture.runRound();
        assertEquals(Set.of("n0"), fixture.agreedIds());
    }

    /** After a phase in which reports are lost, late and repeated, the agreed nodes equal the list. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void agreedNodesConvergeToTheList(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Fixture fixture = new Fixture();
        List<NodeListDifference> inTransit = new ArrayList<>();
        Set<String> listed = new TreeSet<>();
        for (int round = 0; round < 400; round++) {
            if (round < 300 && random.nextInt(4) == 0) {
                String nodeId = "n" + random.nextInt(300);
                if (!listed.add(nodeId)) {
                    listed.remove(nodeId);
                }
            }
            List<Machine> list =
                    listed.stream().map(nodeId -> node(nodeId, "s0", 0)).toList();
            for (int r = 0; r < 5; r++) {
                inTransit.add(fixture.difference("s0", list));
                boolean lost = round < 300 && random.nextInt(3) == 0;
                if (!lost) {
                    boolean late = round < 300 && random.nextInt(3) == 0;
                    int index = late ? random.nextInt(inTransit.size()) : inTransit.size() - 1;
                    fixture.deliver("r" + r, inTransit.get(index));
                }
            }
            while (inTransit.size() > 20) {
                inTransit.remove(0);
            }
            fixture.runRound();
        }
        assertEquals(listed, fixture.agreedIds());
    }

    /** After any sequence of changes, the incremental assignment equals the definition. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void incrementalWatcherAssignmentEqualsTheDefinition(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WatcherAssignment assignment = new WatcherAssignment("r0", 3);
        Set<String> routers = new HashSet<>();
        Set<String> machines = new HashSet<>();
        for (int step = 0; step < 200; step++) {
            flip(random.nextInt(2) == 0 ? routers : machines, "r" + random.nextInt(30));
            flip(machines, "n" + random.nextInt(60));
            if (random.nextInt(3) > 0) {
                assignment.setRouters(routers);
                assignment.setMachines(machines);
                for (String machine : machines) {
                    assertEquals(
                            WatcherDefinition.watches("r0", routers, machine, 3),
                            assignment.watches(machine),
                            machine + " at step " + step);
                }
                assertFalse(assignment.watches("not a machine"));
            }
        }
    }

    private static void flip(Set<String> set, String element) {
        if (!set.add(element)) {
            set.remove(element);
        }
    }
}
