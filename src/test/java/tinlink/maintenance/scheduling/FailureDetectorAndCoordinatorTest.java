package tinlink.maintenance.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Tests the assignment of watchers to machines, the failure detector, and the commands that the leader's
 * coordinator proposes.
 */
class FailureDetectorAndCoordinatorTest {
    private static final DisruptionLimits LIMITS =
            new DisruptionLimits(2, 0.5, 0.5, 1_000_000, 4_000_000, 20_000_000, 100, 100);
    private static final List<String> ROUTERS =
            IntStream.range(0, 20).mapToObj(i -> "r" + i).toList();

    @Test
    void eachMachineHasAFewWatchersAndARouterThatLeavesMovesOnlyItsOwn() {
        List<String> fewer = ROUTERS.subList(0, 19);
        Map<String, Integer> load = new TreeMap<>();
        for (int i = 0; i < 200; i++) {
            String machine = "n" + i;
            List<String> watchers = ROUTERS.stream()
                    .filter(router -> WatcherDefinition.watches(router, ROUTERS, machine, 3))
                    .toList();
            assertEquals(3, watchers.size());
            watchers.forEach(router -> load.merge(router, 1, Integer::sum));
            List<String> watchersAfterwards = fewer.stream()
                    .filter(router -> WatcherDefinition.watches(router, fewer, machine, 3))
                    .toList();
            assertEquals(3, watchersAfterwards.size());
            assertTrue(
                    watchersAfterwards.containsAll(
                            watchers.stream().filter(fewer::contains).toList()),
                    "the machine lost a watcher that has not left");
        }
        assertTrue(load.values().stream().allMatch(n -> n > 10 && n < 60), load.toString());
        assertFalse(WatcherDefinition.watches("r1", ROUTERS, "r1", 3), "no router watches itself");
    }

    private final List<String> probes = new ArrayList<>();

    private MachineFailureDetector onlyWatcher() {
        MachineFailureDetector failureDetector = new MachineFailureDetector("r0", 1, 1000, 2);
        failureDetector.setTime(5000);
        failureDetector.assign(List.of(), List.of(), List.of("a"));
        return failureDetector;
    }

    @Test
    void twoFailedProbesMakeAMachineUnhealthyAndOneThatSucceedsHealthyAgain() {
        MachineFailureDetector failureDetector = onlyWatcher();
        assertEquals(
                Map.of(),
                failureDetector.observations(),
                "no observation before a probe has ended");
        failureDetector.onProbeResult("a", true);
        failureDetector.onProbeResult("a", false);
        assertEquals(Map.of("a", true), failureDetector.observations());
        failureDetector.onProbeResult("a", false);
        assertEquals(Map.of("a", false), failureDetector.observations());
        failureDetector.onProbeResult("a", true);
        assertEquals(Map.of("a", true), failureDetector.observations());
        failureDetector.setTime(7000);
        while (failureDetector.decide(probes::add)) {
            // The list records each probe.
        }
        assertEquals(List.of("a"), probes);
        failureDetector.assign(List.of(), List.of(), List.of());
        assertEquals(
                Map.of(),
                failureDetector.observations(),
                "a data node that is not on the list is not observed");
    }

    /** The kernel accepts connections for a hung process, so probes alone would find it healthy. */
    @Test
    void consecutiveFailedAttemptsCountThoughProbesSucceed() {
        MachineFailureDetector failureDetector = onlyWatcher();
        failureDetector.onProbeResult("a", true);
        for (int i = 0; i < 6; i++) {
            failureDetector.setTime(6000 + 400 * i);
            failureDetector.onAttemptResult("a", false);
            failureDetector.onProbeResult("a", true);
        }
        assertEquals(Map.of("a", false), failureDetector.observations());
        failureDetector.onAttemptResult("a", true);
        assertEquals(Map.of("a", true), failureDetector.observations());
        // Failures within one probe interval count as a single failure.
        for (int i = 0; i < 6; i++) {
            failureDetector.onAttemptResult("a", false);
        }
        assertEquals(Map.of("a", true), failureDetector.observations());
    }

    private final List<String> proposed = new ArrayList<>();

    private static String apply(MaintenanceStateMachine stateMachine, String line) {
        return stateMachine.apply(MaintenanceCommandCodec.decode(line)).message();
    }

    private static void report(MaintenanceCoordinator coordinator, String from, String line) {
        MachineReportCodec.decode(line).ifPresent(report -> coordinator.onReport(from, report));
    }

    private void decide(MaintenanceCoordinator coordinator, MaintenanceStateMachine stateMachine) {
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

    private static Machine node(String nodeId, String site) {
        return new Machine(nodeId, Machine.Kind.NODE, 0, "z", site, "m", false);
    }

    @Test
    void limitsAreProposedFirstAndNoRequestIsAcceptedBefore() {
        MaintenanceCoordinator coordinator = new MaintenanceCoordinator(LIMITS, 100, 10_000, 100);
        MaintenanceStateMachine stateMachine = new MaintenanceStateMachine();
        String request = MaintenanceCommandCodec.encode(new MaintenanceCommand.SubmitRequest(
                new MaintenanceRequest("q", List.of("a"), 1, Long.MAX_VALUE, 5, "op", "why")));
        assertEquals("no bounds are agreed on yet: ask again", apply(stateMachine, request));
        coordinator.setTime(1000);
        decide(coordinator, stateMachine);
        assertEquals(List.of(), proposed, "this router is not the leader");
        coordinator.setLeader(true);
        decide(coordinator, stateMachine);
        assertEquals(
                List.of(MaintenanceCommandCodec.encode(new MaintenanceCommand.SetLimits(LIMITS))),
                proposed);
        assertEquals("", apply(stateMachine, request));
        DisruptionLimits other = new DisruptionLimits(1, 0.5, 0.5, 1, 1, 1, 100, 100);
        assertEquals(
                "other bounds are agreed on",
                apply(
                        stateMachine,
                        MaintenanceCommandCodec.encode(new MaintenanceCommand.SetLimits(other))));
        assertEquals(
                LIMITS,
                MaintenanceStateMachine.restore(stateMachine.snapshot()).state().limits());
    }

    @Test
    void onlyRoutersOfTheSameSiteCountForANodeAndSilenceRemovesNothing() {
        MaintenanceCoordinator coordinator = new MaintenanceCoordinator(LIMITS, 100, 10_000, 100);
        MaintenanceStateMachine stateMachine = new MaintenanceStateMachine(LIMITS);
        coordinator.setTime(1000);
        coordinator.setLeader(true);
        report(
                coordinator,
                "r1",
                MachineReportCodec.encode(
                        new MachineReport.FullNodeList("s0", List.of(node("a", "s0")))));
        report(
                coordinator,
                "r2",
                MachineReportCodec.encode(
                        new MachineReport.FullNodeList("s1", List.of(node("b", "s1")))));
        report(
                coordinator,
                "r3",
                MachineReportCodec.encode(new MachineReport.FullNodeList(
                        "s1", List.of(node("b", "s1"), node("c", "s1")))));
        decide(coordinator, stateMachine);
        assertEquals(
                2,
                stateMachine.state().machines().size(),
                "c is on only one of two lists: " + proposed);
        // No router of site s1 reports any more, so its machines stay.
        coordinator.setTime(20_000);
        report(
                coordinator,
                "r1",
                MachineReportCodec.encode(new MachineReport.FullNodeList("s0", List.of())));
        decide(coordinator, stateMachine);
        assertEquals(
                List.of("b"),
                stateMachine.state().machines().stream().map(Machine::id).toList());
    }

    @Test
    void aRouterReportsOnlyItselfAndTimeUnderAnotherLeaderIsNotCounted() {
        MaintenanceCoordinator coordinator = new MaintenanceCoordinator(LIMITS, 100, 10_000, 100);
        MaintenanceStateMachine stateMachine = new MaintenanceStateMachine(LIMITS);
        Machine machine = new Machine("r1", Machine.Kind.ROUTER, -1, "z", "s0", "router", true);
        coordinator.setTime(1000);
        coordinator.setLeader(true);
        report(coordinator, "r2", MachineReportCodec.encode(new MachineReport.Self(machine)));
        report(coordinator, "r2", "saw\tr1");
        report(coordinator, "r2", "nonsense");
        decide(coordinator, stateMachine);
        assertEquals(0, stateMachine.state().machines().size());
        coordinator.setVoters(Set.of("r1"));
        report(coordinator, "r1", MachineReportCodec.encode(new MachineReport.Self(machine)));
        coordinator.setTime(2000);
        decide(coordinator, stateMachine);
        assertEquals(1, stateMachine.state().machines().size());
        requestOneOfThreeNodes(stateMachine);
        coordinator.setLeader(false);
        coordinator.setTime(900_000);
        coordinator.setLeader(true);
        decide(coordinator, stateMachine);
        coordinator.setTime(900_500);
        decide(coordinator, stateMachine);
        assertEquals(500, stateMachine.state().agreedTimeUs());
        report(coordinator, "r1", MachineReportCodec.encode(new MachineReport.Departure("1")));
        coordinator.setTime(901_000);
        decide(coordinator, stateMachine);
        assertEquals(
                0, stateMachine.state().incarnations().count(), "r1 has reported its termination");
    }

    private static void requestOneOfThreeNodes(MaintenanceStateMachine stateMachine) {
        apply(
                stateMachine,
                MaintenanceCommandCodec.encode(new MaintenanceCommand.RegisterRouter("r1", "1")));
        apply(
                stateMachine,
                MaintenanceCommandCodec.encode(
                        new MaintenanceCommand.RegisterMachine(node("a", "s0"))));
        apply(
                stateMachine,
                MaintenanceCommandCodec.encode(
                        new MaintenanceCommand.RegisterMachine(node("b", "s0"))));
        apply(
                stateMachine,
                MaintenanceCommandCodec.encode(
                        new MaintenanceCommand.RegisterMachine(node("c", "s0"))));
        apply(
                stateMachine,
                MaintenanceCommandCodec.encode(
                        new MaintenanceCommand.SubmitRequest(new MaintenanceRequest(
                                "q", List.of("a"), 1000, Long.MAX_VALUE, 5, "op", "why"))));
    }
}
