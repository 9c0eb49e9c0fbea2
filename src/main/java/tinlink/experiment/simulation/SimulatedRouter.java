package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.MS;
import static tinlink.experiment.simulation.Simulation.SEC;

import tinlink.maintenance.scheduling.DrainController;
import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MachineReport;
import tinlink.maintenance.scheduling.MachineReportCodec;
import tinlink.maintenance.scheduling.MaintenanceCommand;
import tinlink.maintenance.scheduling.MaintenanceCommandCodec;
import tinlink.maintenance.scheduling.MaintenanceCoordinator;
import tinlink.maintenance.scheduling.MaintenanceState;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * A router that takes part in work on machines: it carries out what {@link DrainController} and {@link
 * MaintenanceCoordinator} decide, watches machines, reports them to whoever leads, and serves clients by data
 * nodes that are not left out.
 */
final class SimulatedRouter extends SimulatedMember
        implements DrainController.DrainHandler, DrainController.InFlightCounts {
    private static final long BEAT_US = 200 * MS;
    private static final long SERVE_US = 150 * MS;
    private static final long WATCH_US = 500 * MS;
    private static final long PONG_COUNTS_US = 2500 * MS;
    private static final long SAY_AGAIN_US = 700 * MS;
    private static final long REPORT_COUNTS_US = 3 * SEC;
    private static final long MOST_CALL_US = 900 * MS;
    private static final int MOST_MACHINES = 1000;

    final Machine machine;
    /** An old copy of its disk, which an event may put in the place of the disk. */
    SimulatedDisk oldCopy;
    /** An operator has taken it for work. */
    boolean stoppedForWork;
    /** Since when it has been up or down. */
    long since;

    boolean draining;
    DrainController drainController;

    private final MaintenanceFleet fleet;
    private final Map<String, Integer> openCalls = new TreeMap<>();
    private final Set<String> cordonedNodes = new TreeSet<>();
    private final Map<String, Long> pongs = new HashMap<>();
    private MaintenanceReplica replica;
    private MaintenanceCoordinator coordinator;
    private int clients;
    /** What it watches; settled at its first look, the fleet does not change. */
    private List<SimulatedDataNode> watchedNodes;

    private List<SimulatedRouter> watchedRouters;
    private Set<String> seated;

    SimulatedRouter(MaintenanceFleet fleet, Machine machine) {
        super(fleet.group, machine.id(), machine.voter());
        this.fleet = fleet;
        this.machine = machine;
    }

    void start() {
        if (replica != null) {
            replica.release();
        }
        replica = fleet.replica();
        startMember(replica);
        since = simulation.now();
        openCalls.clear();
        cordonedNodes.clear();
        pongs.clear();
        clients = 0;
        draining = false;
        drainController = new DrainController(name, incarnation.toString(), SAY_AGAIN_US);
        coordinator = new MaintenanceCoordinator(
                MaintenanceFleet.BOUNDS, BEAT_US, REPORT_COUNTS_US, MOST_MACHINES);
        joinGroup();
        long run = generation;
        scheduleEvery(run, BEAT_US, this::sendHeartbeat);
        scheduleEvery(run, SERVE_US, this::serve);
        scheduleEvery(run, WATCH_US, this::probeRouters);
    }

    @Override
    void kill() {
        super.kill();
        since = simulation.now();
        openCalls.clear();
    }

    MaintenanceState order() {
        return replica.order();
    }

    @Override
    void logAdvanced() {
        decide();
    }

    private void decide() {
        drainController.setTime(simulation.now());
        while (drainController.decide(order(), this, this)) {
            // Each has been carried out.
        }
    }

    private void sendHeartbeat() {
        restartReplicaIfStuck();
        decide();
        coordinator.setTime(simulation.now());
        report();
        lead();
    }

    private void lead() {
        if (seated == null) {
            seated = group.voters().stream().map(v -> v.name).collect(Collectors.toSet());
        }
        coordinator.setLeader(isLeader());
        coordinator.setVoters(seated);
        while (coordinator.decide(
                order(),
                command -> raft.propose(
                        MaintenanceCommandCodec.encode(command),
                        (said, failure) -> coordinator.onProposalCompleted()))) {
            // Each has been put to the vote.
        }
    }

    // ---- What it sees of machines. ----

    private void settleWatch() {
        if (watchedNodes != null) {
            return;
        }
        watchedNodes = fleet.nodes.values().stream()
                .filter(n -> fleet.watchers(n.machine.id()).contains(name))
                .toList();
        watchedRouters = fleet.routers.values().stream()
                .filter(r -> fleet.watchers(r.name).contains(name))
                .toList();
    }

    private void probeRouters() {
        settleWatch();
        for (SimulatedRouter router : watchedRouters) {
            fleet.network.send(
                    name, router.name, () -> router.deliver(() -> router.answerProbe(this)));
        }
    }

    private void answerProbe(SimulatedRouter from) {
        if (!stoppedForWork) {
            fleet.network.send(
                    name,
                    from.name,
                    () -> from.deliver(() -> from.pongs.put(name, simulation.now())));
        }
    }

    private Map<String, Boolean> soundness() {
        settleWatch();
        Map<String, Boolean> sound = new TreeMap<>();
        for (SimulatedDataNode node : watchedNodes) {
            sound.put(node.machine.id(), node.up);
        }
        for (SimulatedRouter router : watchedRouters) {
            sound.put(
                    router.name,
                    simulation.now() - pongs.getOrDefault(router.name, 0L) < PONG_COUNTS_US);
        }
        return sound;
    }

    /** To whoever leads, as far as is known; it may get lost, and is said again. */
    private void report() {
        List<String> lines = List.of(
                MachineReportCodec.encode(new MachineReport.Self(machine)),
                MachineReportCodec.encode(new MachineReport.Health(soundness())),
                fleet.nodeList(machine.site()));
        SimulatedRouter leader = isLeader() ? this : fleet.routers.get(leaderHint);
        if (leader == this) {
            lines.forEach(line -> receive(name, line));
        } else if (leader != null) {
            fleet.network.send(
                    name,
                    leaderHint,
                    () -> leader.deliver(() -> {
                        leader.livesKnown.put(name, incarnation);
                        lines.forEach(line -> leader.receive(name, line));
                    }));
        }
    }

    private void receive(String from, String report) {
        MachineReportCodec.decode(report).ifPresent(decoded -> coordinator.onReport(from, decoded));
    }

    // ---- What it serves. ----

    private void serve() {
        if (!drainController.isRegistered(order())) {
            return; // In service it waits for a bounded time.
        }
        if (draining) {
            clients = Math.max(0, clients - 1 - random().nextInt(3));
        } else {
            clients = 1 + random().nextInt(4);
            callSomeNode();
        }
        decide();
    }

    private void callSomeNode() {
        List<SimulatedDataNode> usable = new ArrayList<>();
        for (SimulatedDataNode node : fleet.nodes.values()) {
            if (node.up && node.takenBy == null && !cordonedNodes.contains(node.machine.id())) {
                usable.add(node);
            }
        }
        if (usable.isEmpty()) {
            return;
        }
        String id = usable.get(random().nextInt(usable.size())).machine.id();
        openCalls.merge(id, 1, Integer::sum);
        scheduleIn(
                random().nextLong(MOST_CALL_US),
                () -> openCalls.computeIfPresent(id, (k, n) -> n == 1 ? null : n - 1));
    }

    /** Calls that it has open at that data node, whatever it says of them. */
    int callsOpen(String node) {
        return openCalls.getOrDefault(node, 0);
    }

    @Override
    public int partsInFlight(String node) {
        return fleet.size.planted() ? 0 : callsOpen(node);
    }

    @Override
    public int clientsInFlight() {
        return clients + openCalls.size();
    }

    // ---- What is decided. ----

    @Override
    public void propose(MaintenanceCommand command) {
        propose(MaintenanceCommandCodec.encode(command));
    }

    @Override
    public void setCordoned(String node, boolean out) {
        if (out) {
            cordonedNodes.add(node);
        } else {
            cordonedNodes.remove(node);
        }
    }

    @Override
    public void setDraining(boolean go) {
        draining = go;
        // What it has played may be behind what was agreed; what it does by it must be counted for.
        if (go && fleet.truth().activeTask(name) == null) {
            group.violations.add(name + " lets its clients go by a grant that is over");
        }
    }

    @Override
    public void wakeAt(long atUs) {
        scheduleIn(Math.max(0, atUs - simulation.now()), this::decide);
    }

    @Override
    String summary() {
        return super.summary() + (stoppedForWork ? " taken" : "");
    }
}
