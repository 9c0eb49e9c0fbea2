package tinlink.experiment.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MaintenanceCommand;
import tinlink.maintenance.scheduling.MaintenanceCommandCodec;
import tinlink.maintenance.scheduling.MaintenanceRequest;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;
import tinlink.maintenance.scheduling.WatcherAssignment;
import tinlink.maintenance.scheduling.WatcherDefinition;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** States that replicas have in common are those that they would have each for itself. */
class SharedReplicasTest {
    private static final DisruptionLimits BOUNDS =
            new DisruptionLimits(1, 0.2, 0.2, 1_000_000, 4_000_000, 20_000_000, 50, 200);

    private static Machine node(int number) {
        return new Machine(
                "n" + number, Machine.Kind.NODE, number / 3, "z" + number % 3, "s0", "m", false);
    }

    /** Machines, lives, requests, words and time, some of them refused. */
    private static List<String> lines(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> lines = new ArrayList<>();
        IntStream.range(0, 12)
                .forEach(i -> lines.add(MaintenanceCommandCodec.encode(
                        new MaintenanceCommand.RegisterMachine(node(i)))));
        IntStream.range(0, 4)
                .forEach(i -> lines.add(MaintenanceCommandCodec.encode(
                        new MaintenanceCommand.RegisterRouter("r" + i, "r" + i + "/1"))));
        for (int i = 0; i < 200; i++) {
            String machine = "n" + random.nextInt(12);
            String router = "r" + random.nextInt(4);
            String request = "q" + random.nextInt(20);
            lines.add(
                    switch (random.nextInt(7)) {
                        case 0 ->
                            MaintenanceCommandCodec.encode(
                                    new MaintenanceCommand.SubmitRequest(new MaintenanceRequest(
                                            request,
                                            List.of(machine),
                                            1_000_000,
                                            Long.MAX_VALUE,
                                            1,
                                            "op",
                                            "work")));
                        case 1, 2 ->
                            MaintenanceCommandCodec.encode(new MaintenanceCommand.ConfirmDrained(
                                    machine, 1 + random.nextInt(10), router, router + "/1"));
                        case 3 ->
                            MaintenanceCommandCodec.encode(
                                    new MaintenanceCommand.CompleteWork(request, machine, false));
                        case 4 ->
                            MaintenanceCommandCodec.encode(
                                    new MaintenanceCommand.CancelRequest(request, "called off"));
                        case 5 ->
                            MaintenanceCommandCodec.encode(new MaintenanceCommand.SetHealth(
                                    machine, random.nextBoolean()));
                        default ->
                            MaintenanceCommandCodec.encode(
                                    new MaintenanceCommand.AdvanceTime(random.nextInt(1_000_000)));
                    });
        }
        return lines;
    }

    @Test
    void eachReplicaStandsWhereItWouldStandAlone() {
        List<String> lines = lines(1);
        SharedReplicas<MaintenanceStateMachine> shared =
                new SharedReplicas<>(new SharedMaintenanceStateMachine(BOUNDS));
        List<SharedReplicas<MaintenanceStateMachine>.Replica> replicas = new ArrayList<>();
        List<MaintenanceStateMachine> alone = new ArrayList<>();
        int[] heard = new int[20];
        for (int i = 0; i < heard.length; i++) {
            replicas.add(shared.replica());
            alone.add(new MaintenanceStateMachine(BOUNDS));
        }
        SplittableRandom random = new SplittableRandom(2);
        while (IntStream.of(heard).anyMatch(h -> h < lines.size())) {
            int one = random.nextInt(heard.length);
            for (int n = random.nextInt(30); n > 0 && heard[one] < lines.size(); n--) {
                String line = lines.get(heard[one]++);
                assertEquals(
                        alone.get(one)
                                .apply(MaintenanceCommandCodec.decode(line))
                                .message(),
                        replicas.get(one).apply(line),
                        line);
            }
            assertEquals(alone.get(one).snapshot(), replicas.get(one).state().snapshot());
        }
        assertTrue(
                shared.linesApplied() < 10L * lines.size(),
                "lines played " + shared.linesApplied());
    }

    @Test
    void replicasThatHeardTheSameHaveOneStateAndOthersHaveTheirOwn() {
        SharedReplicas<MaintenanceStateMachine> shared =
                new SharedReplicas<>(new SharedMaintenanceStateMachine(BOUNDS));
        SharedReplicas<MaintenanceStateMachine>.Replica one = shared.replica();
        SharedReplicas<MaintenanceStateMachine>.Replica same = shared.replica();
        SharedReplicas<MaintenanceStateMachine>.Replica other = shared.replica();
        one.apply(MaintenanceCommandCodec.encode(new MaintenanceCommand.RegisterMachine(node(0))));
        same.apply(MaintenanceCommandCodec.encode(new MaintenanceCommand.RegisterMachine(node(0))));
        other.apply(
                MaintenanceCommandCodec.encode(new MaintenanceCommand.RegisterMachine(node(1))));
        assertSame(one.state(), same.state());
        assertNotSame(one.state(), other.state());
        assertEquals(1, other.state().state().machines().size());
        MaintenanceStateMachine before = one.state();
        same.apply(MaintenanceCommandCodec.encode(new MaintenanceCommand.RegisterMachine(node(2))));
        assertSame(before, one.state());
        assertEquals(
                1,
                one.state().state().machines().size(),
                "what another replica has heard is no news here");
        assertEquals(2, same.state().state().machines().size());
    }

    @Test
    void aReplicaThatStartsFromLinesJoinsThoseThatStandThere() {
        SharedReplicas<MaintenanceStateMachine> shared =
                new SharedReplicas<>(new SharedMaintenanceStateMachine(BOUNDS));
        SharedReplicas<MaintenanceStateMachine>.Replica one = shared.replica();
        lines(3).forEach(one::apply);
        SharedReplicas<MaintenanceStateMachine>.Replica late = shared.replica();
        late.restore(new ArrayList<>(one.snapshot()));
        assertSame(one.state(), late.state());
        SharedReplicas<MaintenanceStateMachine>.Replica other = shared.replica();
        other.restore(List.of());
        assertEquals(new MaintenanceStateMachine().snapshot(), other.snapshot());
    }

    @Test
    void aCopyOfAnOrderGoesItsOwnWay() {
        MaintenanceStateMachine stateMachine = new MaintenanceStateMachine(BOUNDS);
        List<String> lines = lines(5);
        for (int i = 0; i < lines.size(); i++) {
            if (i % 20 == 0) {
                MaintenanceStateMachine copy = stateMachine.copy();
                assertEquals(stateMachine.snapshot(), copy.snapshot());
                List<String> before = stateMachine.snapshot();
                lines.subList(i, lines.size())
                        .forEach(line -> copy.apply(MaintenanceCommandCodec.decode(line)));
                assertEquals(before, stateMachine.snapshot());
                MaintenanceStateMachine read = MaintenanceStateMachine.restore(before);
                lines.subList(i, lines.size())
                        .forEach(line -> read.apply(MaintenanceCommandCodec.decode(line)));
                assertEquals(read.snapshot(), copy.snapshot());
            }
            stateMachine.apply(MaintenanceCommandCodec.decode(lines.get(i)));
        }
    }

    @Test
    void watchersAreThoseOfWhomItIsSaidOneByOne() {
        List<String> routers = IntStream.range(0, 40).mapToObj(i -> "r" + i).toList();
        for (String machine : List.of("n1", "n2", "r3", "r39")) {
            for (int count : new int[] {0, 1, 3, 39, 60}) {
                List<String> said = routers.stream()
                        .filter(r -> WatcherDefinition.watches(r, routers, machine, count))
                        .toList();
                assertEquals(said, WatcherAssignment.watchers(routers, machine, count));
            }
        }
    }
}
