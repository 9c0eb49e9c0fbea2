package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.MS;
import static tinlink.experiment.simulation.Simulation.SEC;

import tinlink.maintenance.ReplicatedMaintenance;
import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MachineReport;
import tinlink.maintenance.scheduling.MachineReportCodec;
import tinlink.maintenance.scheduling.MaintenanceState;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;
import tinlink.maintenance.scheduling.WatcherAssignment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The machines of one play of work, and what is agreed among its routers. */
final class MaintenanceFleet {
    static final DisruptionLimits BOUNDS =
            new DisruptionLimits(2, 0.5, 0.5, SEC, 4 * SEC, 20 * SEC, 2000, 4000);
    private static final int WATCHERS = 3;
    private static final ConsensusGroup.Settings SETTINGS =
            new ConsensusGroup.Settings(MS, 64, 40, 2 * SEC);
    private static final SimulatedNetwork.LinkConditions PATH =
            new SimulatedNetwork.LinkConditions(300, 8_000, 0.01, 0.01);

    final MaintenanceSimulation.Size size;
    final Simulation simulation;
    final SimulatedNetwork network;
    final ConsensusGroup group;
    final Map<String, SimulatedRouter> routers = new LinkedHashMap<>();
    final Map<String, SimulatedDataNode> nodes = new LinkedHashMap<>();
    final List<String> violations;

    private final Supplier<MaintenanceReplica> replicas;
    /** By machine, who watches it: the same for all routers, so settled once. */
    private final Map<String, List<String>> watchers = new HashMap<>();
    /** By site, what its routers report as their list of data nodes. */
    private final Map<String, String> nodeLists = new HashMap<>();

    private final ReplicatedMaintenance truth = new ReplicatedMaintenance(BOUNDS);
    private long truthIndex;

    MaintenanceFleet(long seed, MaintenanceSimulation.Size size, boolean sharesState) {
        this.size = size;
        simulation = new Simulation(seed);
        network = new SimulatedNetwork(simulation, PATH);
        SharedReplicas<MaintenanceStateMachine> shared =
                new SharedReplicas<>(new SharedMaintenanceStateMachine(BOUNDS));
        replicas = sharesState
                ? () -> new MaintenanceReplica.Shared(shared.replica())
                : () -> new MaintenanceReplica.Own(BOUNDS);
        group = new ConsensusGroup(simulation, network, SETTINGS, replicas::get);
        violations = group.violations;
        for (int i = 0; i < size.routers(); i++) {
            addRouter(i);
        }
        for (int block = 0; block < size.blocks(); block++) {
            for (int holder = 0; holder < size.holders(); holder++) {
                addNode(block, holder);
            }
        }
    }

    private void addRouter(int number) {
        Machine machine = new Machine(
                "r" + number,
                Machine.Kind.ROUTER,
                -1,
                "z" + number % 3,
                "s" + number % 2,
                "r",
                number < size.voters());
        SimulatedRouter router = new SimulatedRouter(this, machine);
        routers.put(machine.id(), router);
        group.add(router);
    }

    private void addNode(int block, int holder) {
        Machine machine = new Machine(
                "n" + block + "-" + holder,
                Machine.Kind.NODE,
                block,
                "z" + holder % 3,
                "s" + holder % 2,
                "n",
                false);
        nodes.put(machine.id(), new SimulatedDataNode(machine));
    }

    /** A replica of the order of work, as before the first line. */
    MaintenanceReplica replica() {
        return replicas.get();
    }

    List<SimulatedRouter> voters() {
        return group.voters().stream().map(SimulatedRouter.class::cast).toList();
    }

    /** The order as it stands by all that any router has found agreed. */
    MaintenanceState truth() {
        group.log.after(truthIndex).forEach((index, line) -> {
            truth.apply(line);
            truthIndex = index;
        });
        return truth.state();
    }

    /** Routers that look after that machine. */
    List<String> watchers(String machine) {
        return watchers.computeIfAbsent(
                machine, m -> WatcherAssignment.watchers(routers.keySet(), m, WATCHERS));
    }

    String nodeList(String site) {
        return nodeLists.computeIfAbsent(
                site,
                s -> MachineReportCodec.encode(new MachineReport.FullNodeList(
                        s, nodes.values().stream().map(n -> n.machine).toList())));
    }

    /** A router that runs and is awake, by chance; null where none does. */
    SimulatedRouter anyRunning() {
        List<SimulatedRouter> running = new ArrayList<>();
        for (SimulatedRouter router : routers.values()) {
            if (router.up && !router.paused && !router.stoppedForWork) {
                running.add(router);
            }
        }
        return running.isEmpty() ? null : running.get(simulation.random.nextInt(running.size()));
    }
}
