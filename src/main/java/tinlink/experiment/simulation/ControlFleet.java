package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.MS;
import static tinlink.experiment.simulation.Simulation.SEC;

import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.cluster.membership.Incarnation;
import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MachineReport;
import tinlink.maintenance.scheduling.MachineReportCodec;
import tinlink.maintenance.scheduling.MaintenanceCommand;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;
import tinlink.maintenance.scheduling.NodeListDifference;
import tinlink.maintenance.scheduling.WatcherAssignment;
import tinlink.policy.rollout.AbsencePolicy;
import tinlink.policy.rollout.PolicyChanges;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Routers in several regions and zones, paced as in service, that agree on changes of policy. */
final class ControlFleet {
    /** Zones by region: three regions, seven zones. */
    private static final int[] REGION_OF_ZONE = {0, 0, 0, 1, 1, 2, 2};

    static final int REGIONS = 3;
    /** One beat of the agreement in service, and a quarter of the library's own second. */
    private static final long LIBRARY_MILLISECOND_US = 250;

    private static final int LINES_KEPT = 2000;
    private static final int WATCHERS = 3;
    private static final int HOLDERS = 3;
    private static final ConsensusGroup.Settings SETTINGS =
            new ConsensusGroup.Settings(LIBRARY_MILLISECOND_US, LINES_KEPT, LINES_KEPT, 2 * SEC);
    private static final SimulatedNetwork.LinkConditions IN_ZONE =
            new SimulatedNetwork.LinkConditions(100, 400, 0, 0);
    private static final SimulatedNetwork.LinkConditions IN_REGION =
            new SimulatedNetwork.LinkConditions(300, 1500, 0.0001, 0);
    private static final SimulatedNetwork.LinkConditions BETWEEN_REGIONS =
            new SimulatedNetwork.LinkConditions(15 * MS, 40 * MS, 0.005, 0);
    /** Until a first change says otherwise; as in service. */
    private static final AbsencePolicy FIRST =
            new AbsencePolicy(AbsencePolicy.Rule.WITHDRAW, 10 * SEC, SEC, 0, 50 * MS);

    final Simulation simulation;
    final SimulatedNetwork network;
    final TrafficMeter meter = new TrafficMeter();
    final ConsensusGroup group;
    final Map<String, ControlRouter> routers = new LinkedHashMap<>();
    final SharedReplicas<PolicyChanges> states =
            new SharedReplicas<>(new SharedPolicyStateMachine(FIRST));
    /** What each router reports as its list of data nodes: it is the same for all of a region. */
    private final List<String> nodeLists = new ArrayList<>();

    private final Map<String, Map<String, Boolean>> watched = new HashMap<>();
    /** The order of work with all machines and routers and no work in hand: held by every router too. */
    private final MaintenanceStateMachine stateMachine = new MaintenanceStateMachine(
            new DisruptionLimits(1, 0.5, 0.5, SEC, SEC, SEC, 1000, 4096));

    ControlFleet(long seed, int routerCount, int voterCount, int nodeCount) {
        simulation = new Simulation(seed);
        network = new SimulatedNetwork(simulation, this::path);
        network.meter(meter);
        group = new ConsensusGroup(
                simulation, network, SETTINGS, () -> new SharedPolicyReplica(states.replica()));
        for (int i = 0; i < routerCount; i++) {
            int zone = i % REGION_OF_ZONE.length;
            Machine machine = machine("router-" + i, Machine.Kind.ROUTER, -1, zone, i < voterCount);
            ControlRouter router = new ControlRouter(this, machine, REGION_OF_ZONE[zone]);
            routers.put(machine.id(), router);
            group.add(router);
        }
        List<Machine> nodes = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(machine(
                    "node-" + i, Machine.Kind.NODE, i / HOLDERS, i % REGION_OF_ZONE.length, false));
        }
        nodes.forEach(node -> stateMachine.apply(new MaintenanceCommand.RegisterMachine(node)));
        for (int region = 0; region < REGIONS; region++) {
            nodeLists.add(MachineReportCodec.encode(NodeListDifference.between(
                    "region-" + region, nodes, stateMachine.state().agreedNodes())));
        }
        routers.values()
                .forEach(router ->
                        stateMachine.apply(new MaintenanceCommand.RegisterMachine(router.machine)));
        routers.keySet()
                .forEach(name -> stateMachine.apply(new MaintenanceCommand.RegisterRouter(
                        name, new Incarnation(name, 1, simulation.random.nextLong()).toString())));
        nodes.forEach(node -> watch(node.id()));
        routers.keySet().forEach(this::watch);
    }

    private static Machine machine(
            String id, Machine.Kind kind, int block, int zone, boolean voter) {
        return new Machine(
                id,
                kind,
                block,
                "zone-" + zone,
                "region-" + REGION_OF_ZONE[zone],
                kind == Machine.Kind.ROUTER ? "router" : "model",
                voter);
    }

    private void watch(String machine) {
        for (String watcher : WatcherAssignment.watchers(routers.keySet(), machine, WATCHERS)) {
            watched.computeIfAbsent(watcher, w -> new HashMap<>()).put(machine, true);
        }
    }

    private SimulatedNetwork.LinkConditions path(String from, String to) {
        ControlRouter a = routers.get(from);
        ControlRouter b = routers.get(to);
        if (a.region != b.region) {
            return BETWEEN_REGIONS;
        }
        return a.machine.zone().equals(b.machine.zone()) ? IN_ZONE : IN_REGION;
    }

    /** All that is agreed, as a router that starts anew fetches it. */
    List<String> stateLines() {
        List<String> all = new ArrayList<>(stateMachine.snapshot());
        SharedReplicas<PolicyChanges>.Replica replica = leader().replica();
        all.addAll(replica.snapshot());
        return all;
    }

    String nodeList(int region) {
        return nodeLists.get(region);
    }

    /** What that router reports of machines that it watches. */
    String soundness(String router) {
        return MachineReportCodec.encode(
                new MachineReport.Health(watched.getOrDefault(router, Map.of())));
    }

    int watchedBy(String router) {
        return watched.getOrDefault(router, Map.of()).size();
    }

    /** The router that leads; null where none does. */
    ControlRouter leader() {
        return routers.values().stream()
                .filter(r -> r.up && r.isLeader())
                .max(Comparator.comparingInt(r -> r.raft.term()))
                .orElse(null);
    }

    List<ControlRouter> those(Predicate<ControlRouter> which) {
        return routers.values().stream().filter(which).toList();
    }

    void cutRegion(int region) {
        for (ControlRouter in : those(r -> r.region == region)) {
            for (ControlRouter out : those(r -> r.region != region)) {
                network.cut(in.name, out.name);
                network.cut(out.name, in.name);
            }
        }
    }

    /** A shared replica as that which is agreed on. */
    record SharedPolicyReplica(SharedReplicas<PolicyChanges>.Replica replica)
            implements ReplicatedStateMachine {
        @Override
        public String apply(String line) {
            return replica.apply(line);
        }

        @Override
        public List<String> snapshot() {
            return replica.snapshot();
        }

        @Override
        public void restore(List<String> lines) {
            replica.restore(lines);
        }
    }
}
