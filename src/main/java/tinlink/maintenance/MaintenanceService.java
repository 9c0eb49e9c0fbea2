package tinlink.maintenance;

import tinlink.cluster.ClusterNode;
import tinlink.cluster.membership.Member;
import tinlink.cluster.membership.MemberState;
import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.DrainController;
import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MachineFailureDetector;
import tinlink.maintenance.scheduling.MaintenanceCoordinator;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;
import tinlink.maintenance.scheduling.NodeListDifference;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.Counters;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.net.Network;
import tinlink.net.RingBuffer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.logging.Level;

/**
 * Work on machines in a router that serves: carries out what {@link DrainController}, {@link
 * MachineFailureDetector} and {@link MaintenanceCoordinator} decide. All of it belongs to the loop's thread.
 * What serves waits for none of it but once, at the start, for a bounded time.
 */
public final class MaintenanceService
        implements DrainController.DrainHandler,
                MachineFailureDetector.Prober,
                EventLoopParticipant {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");

    /** A data node as this router has it on its list. */
    public record ListedNode(
            String id, int cell, String zone, String model, InetSocketAddress address) {}

    /** What serves, as far as it is led by work on machines. */
    public interface DataPlane extends DrainController.InFlightCounts {
        /** Nothing new goes to this data node from now on, or again as the list says. */
        void setCordoned(String machine, boolean cordoned);

        /**
         * Clients are sent elsewhere and those that are here served to their end, or let in again.
         */
        void setDraining(boolean draining);

        /** The list of data nodes as it is held now. */
        Collection<ListedNode> listedNodes();
    }

    /**
     * The figures of a router's work.
     *
     * @param zone this router's
     * @param sites by zone; a zone that is not named is a site of its own
     * @param initialLimits for the first start of a fleet; later the ones agreed on hold
     */
    public record Settings(
            String zone,
            Map<String, String> sites,
            DisruptionLimits initialLimits,
            int watchersPerMachine,
            long probeIntervalUs,
            int probeFailureThreshold,
            long reportExpiryUs,
            long reportIntervalUs) {
        String site(String ofZone) {
            return sites.getOrDefault(ofZone, ofZone);
        }
    }

    private final EventLoop loop;
    private final Network network;
    private final ClusterNode clusterNode;
    private final ReplicatedMaintenance replicatedState;
    private final DataPlane dataPlane;
    private final Settings settings;
    private final CordonStore cordonStore;
    private final DrainController drainController;
    private final MachineFailureDetector failureDetector;
    private final MaintenanceCoordinator coordinator;
    private final Counters counters = new Counters();
    /** Where data nodes are reached: as many as are on the list. */
    private final Map<String, InetSocketAddress> nodeAddresses = new TreeMap<>();

    private Runnable onRegistered = () -> {};
    private boolean registered;
    private boolean stateChanged = true;
    private boolean hasActiveTasks;
    private long listReportedAtUs = Long.MIN_VALUE;
    private NodeListDifference reportedList;
    private boolean stopped;

    /** @param replicatedState as the loop has it; the peers play into it */
    public MaintenanceService(
            EventLoop loop,
            Network network,
            ClusterNode clusterNode,
            ReplicatedMaintenance replicatedState,
            DataPlane dataPlane,
            Settings settings,
            Path folder)
            throws IOException {
        this(
                loop,
                network,
                clusterNode,
                replicatedState,
                dataPlane,
                settings,
                new CordonStore(loop, folder));
    }

    private MaintenanceService(
            EventLoop loop,
            Network network,
            ClusterNode clusterNode,
            ReplicatedMaintenance replicatedState,
            DataPlane dataPlane,
            Settings settings,
            CordonStore cordonStore) {
        this.loop = loop;
        this.network = network;
        this.clusterNode = clusterNode;
        this.replicatedState = replicatedState;
        this.dataPlane = dataPlane;
        this.settings = settings;
        String name = clusterNode.incarnation().router();
        this.cordonStore = cordonStore;
        drainController = new DrainController(
                name,
                clusterNode.incarnation().toString(),
                settings.reportIntervalUs(),
                cordonStore.restored());
        failureDetector = new MachineFailureDetector(
                name,
                settings.watchersPerMachine(),
                settings.probeIntervalUs(),
                settings.probeFailureThreshold());
        coordinator = new MaintenanceCoordinator(
                settings.initialLimits(),
                settings.reportIntervalUs() / 2,
                settings.reportExpiryUs(),
                settings.initialLimits().maxEntries());
        clusterNode.setAppliedListener(() -> stateChanged = true);
        clusterNode.setReportListener(coordinator::onReport);
    }

    /** What is not written down yet counts as open: it would be forgotten by a stop. */
    private final DrainController.InFlightCounts inFlight = new DrainController.InFlightCounts() {
        @Override
        public int partsInFlight(String machine) {
            return dataPlane.partsInFlight(machine) + (cordonStore.isPersisted(machine) ? 0 : 1);
        }

        @Override
        public int clientsInFlight() {
            return dataPlane.clientsInFlight();
        }
    };

    /**
     * From now on it takes its part.
     *
     * @param onRegistered runs once this router's start is agreed on
     */
    public void start(Runnable onRegistered) {
        this.onRegistered = onRegistered;
        clusterNode.start();
        reportObservations();
        LOG.log(
                Level.INFO,
                "maintenance_started",
                "router",
                clusterNode.incarnation().router(),
                "incarnation",
                clusterNode.incarnation());
    }

    public MaintenanceStateMachine stateMachine() {
        return replicatedState.stateMachine();
    }

    public ClusterNode peers() {
        return clusterNode;
    }

    public Counters counters() {
        return counters;
    }

    public boolean isDraining() {
        return drainController.isDraining();
    }

    // ---- Its part in a turn. ----

    @Override
    public void turnStarted(long nowUs) {
        clusterNode.turnStarted(nowUs);
        drainController.setTime(nowUs);
        failureDetector.setTime(nowUs);
        coordinator.setTime(nowUs);
    }

    @Override
    public void turnEnding() {
        if (stopped) {
            clusterNode.turnEnding();
            return;
        }
        // What is open here changes with each call that ends; nothing else tells, so it is looked
        // at anew
        // while it matters.
        if (stateChanged || hasActiveTasks) {
            stateChanged = false;
            while (drainController.decide(stateMachine(), inFlight, this)) {
                // Each has been carried out.
            }
            if (!registered && drainController.isRegistered(stateMachine())) {
                registered = true;
                onRegistered.run();
            }
            hasActiveTasks = stateMachine().openTasks().stream().anyMatch(task -> task.isActive());
        }
        while (failureDetector.decide(this)) {
            // Each has been sent.
        }
        boolean leads = clusterNode.isLeader();
        coordinator.setLeader(leads);
        if (leads) {
            coordinator.setVoters(clusterNode.voters());
        }
        while (coordinator.decide(
                stateMachine(),
                line -> clusterNode.propose(line, (said, why) -> {
                    coordinator.onProposalCompleted();
                    if (why != null) {
                        counters.increment("work_not_agreed");
                    }
                }))) {
            // Each has been put to the vote.
        }
        clusterNode.turnEnding();
    }

    /** Says to whoever leads what is seen from here, again and again. */
    private void reportObservations() {
        if (stopped) {
            return;
        }
        List<String> aliveRouters =
                new ArrayList<>(List.of(clusterNode.incarnation().router()));
        for (Member member : clusterNode.membership().members()) {
            if (member.state() == MemberState.ALIVE) {
                aliveRouters.add(member.router());
            }
        }
        List<Machine> listedNodes = new ArrayList<>();
        nodeAddresses.clear();
        for (ListedNode node : dataPlane.listedNodes()) {
            listedNodes.add(new Machine(
                    node.id(),
                    Machine.Kind.NODE,
                    node.cell(),
                    node.zone(),
                    settings.site(node.zone()),
                    node.model(),
                    false));
            nodeAddresses.put(node.id(), node.address());
        }
        List<String> members =
                clusterNode.membership().members().stream().map(Member::router).toList();
        failureDetector.assign(aliveRouters, members, nodeAddresses.keySet());
        Map<String, Boolean> observations = failureDetector.observations();
        for (Member member : clusterNode.membership().members()) {
            if (failureDetector.watches(member.router())) {
                observations.put(
                        member.router(),
                        member.state() == MemberState.ALIVE && member.duplicate() == null);
            }
        }
        String site = settings.site(settings.zone());
        clusterNode.reportToLeader(MaintenanceCoordinator.selfReportLine(new Machine(
                clusterNode.incarnation().router(),
                Machine.Kind.ROUTER,
                -1,
                settings.zone(),
                site,
                "router",
                clusterNode.voters().contains(clusterNode.incarnation().router()))));
        clusterNode.reportToLeader(MaintenanceCoordinator.healthReportLine(observations));
        reportList(NodeListDifference.between(site, listedNodes, stateMachine().agreedNodes()));
        stateChanged = true; // What was said and got lost is said again.
        loop.schedule(loop.nowUs() + settings.reportIntervalUs(), this::reportObservations);
    }

    /** It goes when it has changed, and before the one that was told grows old. */
    private void reportList(NodeListDifference difference) {
        boolean changed = !difference.equals(reportedList);
        if (changed || loop.nowUs() - listReportedAtUs > settings.reportExpiryUs() / 3) {
            reportedList = difference;
            listReportedAtUs = loop.nowUs();
            clusterNode.reportToLeader(difference.encode());
        }
    }

    // ---- What is decided. ----

    @Override
    public void propose(String line) {
        clusterNode.propose(line, (said, why) -> {
            if (why != null || !said.isEmpty()) {
                LOG.log(
                        Level.FINE,
                        "proposal_rejected",
                        "command",
                        line,
                        "reason",
                        why == null ? said : why);
            }
        });
    }

    /**
     * For an operator.
     *
     * @param onResult what is said to it, or why that is not known
     */
    public void propose(String line, BiConsumer<String, String> onResult) {
        clusterNode.propose(line, onResult);
    }

    @Override
    public void setCordoned(String machine, boolean cordoned) {
        LOG.log(Level.INFO, cordoned ? "node_cordoned" : "node_uncordoned", "machine", machine);
        counters.increment(cordoned ? "work_left_out" : "work_taken_again");
        dataPlane.setCordoned(machine, cordoned);
        cordonStore.setCordoned(machine, cordoned);
    }

    @Override
    public void setDraining(boolean draining) {
        LOG.log(Level.INFO, draining ? "drain_started" : "drain_ended");
        dataPlane.setDraining(draining);
    }

    @Override
    public void wakeAt(long atUs) {
        loop.schedule(atUs, () -> stateChanged = true);
    }

    /** A part call has ended at a data node. */
    public void onCallResult(String machine, boolean answered) {
        failureDetector.onCallResult(machine, answered);
    }

    /**
     * A connection that comes up and stays up for a while. Danger: what stands between takes
     * connections for a node that is gone, and ends them a moment later.
     */
    @Override
    public void probe(String machine) {
        InetSocketAddress address = nodeAddresses.get(machine);
        if (address == null) {
            return;
        }
        Probe probe = new Probe(machine);
        try {
            probe.link = network.connect(address, probe);
            probe.timeout = loop.schedule(
                    loop.nowUs() + settings.probeIntervalUs() / 2,
                    () -> probe.link.close(CloseReason.CONNECT_TIMEOUT));
        } catch (IOException | RuntimeException e) {
            probe.finish(false);
        }
    }

    private final class Probe implements Connection.Listener {
        private final String machine;
        private Connection link;
        private EventLoop.Timer timeout;
        private boolean finished;

        Probe(String machine) {
            this.machine = machine;
        }

        @Override
        public void connected() {
            loop.cancel(timeout);
            timeout = loop.schedule(loop.nowUs() + settings.probeIntervalUs() / 4, () -> {
                finish(true);
                link.close(CloseReason.COMPLETED);
            });
        }

        @Override
        public void bytesReceived(RingBuffer in) {
            // Nothing is asked.
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            finish(false);
        }

        private void finish(boolean answered) {
            loop.cancel(timeout);
            if (!finished) {
                finished = true;
                failureDetector.onProbeResult(machine, answered);
            }
        }
    }

    // ---- The stop. ----

    /** Its last client has gone: nobody need wait for a word of it any more. */
    public void leave() {
        clusterNode.reportToLeader(
                MaintenanceCoordinator.departureLine(clusterNode.incarnation().toString()));
        clusterNode.leave();
        stopped = true;
    }

    public void close() {
        stopped = true;
        cordonStore.close();
        try {
            clusterNode.close();
        } catch (IOException e) {
            LOG.logFailure(Level.WARNING, "data_directory_close_failed", e);
        }
    }

    /** How this router stands, for an operator. */
    public Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("router", clusterNode.incarnation().router());
        status.put("life", clusterNode.incarnation().toString());
        status.put("leader", clusterNode.leader());
        status.put("known", registered);
        status.put("old_disk", clusterNode.hasStaleDisk());
        status.put("voters", List.copyOf(clusterNode.voters()));
        Map<String, String> memberStates = new TreeMap<>();
        clusterNode
                .membership()
                .members()
                .forEach(member -> memberStates.put(
                        member.router(), member.state().name().toLowerCase(java.util.Locale.ROOT)));
        status.put("peers", memberStates);
        return status;
    }
}
