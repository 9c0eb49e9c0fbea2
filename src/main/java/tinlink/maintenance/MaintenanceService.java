package tinlink.maintenance;

import tinlink.cluster.ClusterNode;
import tinlink.cluster.membership.Member;
import tinlink.maintenance.scheduling.DrainController;
import tinlink.maintenance.scheduling.MachineFailureDetector;
import tinlink.maintenance.scheduling.MachineReportCodec;
import tinlink.maintenance.scheduling.MaintenanceCommand;
import tinlink.maintenance.scheduling.MaintenanceCommandCodec;
import tinlink.maintenance.scheduling.MaintenanceCoordinator;
import tinlink.maintenance.scheduling.MaintenanceState;
import tinlink.maintenance.scheduling.MaintenanceTask;
import tinlink.net.Counters;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.net.Network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.logging.Level;
import java.util.stream.Collectors;

/**
 * Maintenance in a router that serves: carries out what {@link DrainController}, {@link
 * MachineFailureDetector} and {@link MaintenanceCoordinator} decide. Belongs to the event loop's thread.
 * Requests wait for none of it but once, at the start, for a bounded time.
 */
public final class MaintenanceService
        implements DrainController.DrainHandler, EventLoopParticipant {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");

    /** A data node as this router has it on its list. */
    public record ListedNode(
            String id, int cell, String zone, String model, InetSocketAddress address) {}

    /** What serves clients, as far as maintenance directs it. */
    public interface DataPlane extends DrainController.InFlightCounts {
        /** Whether nothing new goes to this data node from now on, or again as the list says. */
        void setCordoned(String machine, boolean cordoned);

        /**
         * Whether clients are sent elsewhere and those that are here served to their end, or accepted again.
         */
        void setDraining(boolean draining);

        /** The list of data nodes as it is now. */
        Collection<ListedNode> listedNodes();
    }

    private final EventLoop loop;
    private final ClusterNode cluster;
    private final ReplicatedMaintenance replicatedState;
    private final DataPlane dataPlane;
    private final MaintenanceSettings settings;
    private final CordonStore cordonStore;
    private final DrainController drainController;
    private final MachineFailureDetector failureDetector;
    private final NodeProber prober;
    private final MaintenanceCoordinator coordinator;
    private final ObservationReporter reporter;
    private final Counters counters = new Counters();
    private Runnable onRegistered = () -> {};
    private boolean registered;
    private boolean stateChanged = true;
    private boolean hasActiveTasks;
    private boolean stopped;

    /**
     * @param replicatedState to which the cluster node applies what is agreed on
     * @param folder where cordons are persisted
     * @throws IOException where the persisted cordons can't be read
     */
    public MaintenanceService(
            EventLoop loop,
            Network network,
            ClusterNode cluster,
            ReplicatedMaintenance replicatedState,
            DataPlane dataPlane,
            MaintenanceSettings settings,
            Path folder)
            throws IOException {
        this.loop = loop;
        this.cluster = cluster;
        this.replicatedState = replicatedState;
        this.dataPlane = dataPlane;
        this.settings = settings;
        String name = cluster.incarnation().router();
        cordonStore = new CordonStore(loop, folder);
        drainController = new DrainController(
                name,
                cluster.incarnation().toString(),
                settings.reportIntervalUs(),
                cordonStore.restored());
        failureDetector = new MachineFailureDetector(
                name,
                settings.watchersPerMachine(),
                settings.probeIntervalUs(),
                settings.probeFailureThreshold());
        prober = new NodeProber(
                loop, network, settings.probeIntervalUs(), failureDetector::onProbeResult);
        coordinator = new MaintenanceCoordinator(
                settings.initialLimits(),
                settings.reportIntervalUs() / 2,
                settings.reportExpiryUs(),
                settings.initialLimits().maxEntries());
        reporter = new ObservationReporter(cluster, failureDetector, settings);
        cluster.setAppliedListener(() -> stateChanged = true);
        cluster.setReportListener((from, line) -> MachineReportCodec.decode(line)
                .ifPresent(report -> coordinator.onReport(from, report)));
    }

    /** A cordon that is not persisted counts as a part in flight: it would be forgotten by a stop. */
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
        cluster.start();
        reportObservations();
        LOG.log(
                Level.INFO,
                "maintenance_started",
                "router",
                cluster.incarnation().router(),
                "incarnation",
                cluster.incarnation());
    }

    /** What is agreed on, as far as this router has heard. */
    public MaintenanceState state() {
        return replicatedState.state();
    }

    /** The cluster node that it proposes and reports by. */
    public ClusterNode cluster() {
        return cluster;
    }

    /** What it counts, by standard names. */
    public Counters counters() {
        return counters;
    }

    /** Whether this router drains its clients. */
    public boolean isDraining() {
        return drainController.isDraining();
    }

    /** A call has ended at a data node. */
    public void onCallResult(String machine, boolean answered) {
        failureDetector.onAttemptResult(machine, answered);
    }

    // ---- Its part in a turn of the event loop. ----

    @Override
    public void turnStarted(long nowUs) {
        cluster.turnStarted(nowUs);
        drainController.setTime(nowUs);
        failureDetector.setTime(nowUs);
        coordinator.setTime(nowUs);
    }

    @Override
    public void turnEnding() {
        if (!stopped) {
            controlDrains();
            while (failureDetector.decide(prober)) {
                // Each has been started.
            }
            coordinate();
        }
        cluster.turnEnding();
    }

    private void controlDrains() {
        // What is in flight here changes with each call that ends, which nothing signals: it is
        // looked at anew
        // while it matters.
        if (!stateChanged && !hasActiveTasks) {
            return;
        }
        stateChanged = false;
        while (drainController.decide(state(), inFlight, this)) {
            // Each has been carried out.
        }
        if (!registered && drainController.isRegistered(state())) {
            registered = true;
            onRegistered.run();
        }
        hasActiveTasks = state().openTasks().stream().anyMatch(MaintenanceTask::isActive);
    }

    private void coordinate() {
        boolean isLeader = cluster.isLeader();
        coordinator.setLeader(isLeader);
        if (isLeader) {
            coordinator.setVoters(cluster.voters());
        }
        while (coordinator.decide(state(), this::proposeAsLeader)) {
            // Each has been proposed.
        }
    }

    private void proposeAsLeader(MaintenanceCommand command) {
        propose(command, (message, failure) -> {
            coordinator.onProposalCompleted();
            if (failure != null) {
                counters.increment("work_not_agreed");
            }
        });
    }

    /** Reports to the leader what is observed from here, again and again. */
    private void reportObservations() {
        if (stopped) {
            return;
        }
        Collection<ListedNode> listed = dataPlane.listedNodes();
        prober.setAddresses(listed.stream()
                .collect(Collectors.toMap(ListedNode::id, ListedNode::address, (a, b) -> b)));
        reporter.updateAssignment(listed);
        reporter.report(listed, state().agreedNodes(), loop.nowUs());
        stateChanged = true; // What was proposed and got lost is proposed again.
        loop.schedule(loop.nowUs() + settings.reportIntervalUs(), this::reportObservations);
    }

    // ---- What is decided. ----

    @Override
    public void propose(MaintenanceCommand command) {
        propose(command, (message, failure) -> {
            if (failure != null || !message.isEmpty()) {
                LOG.log(
                        Level.FINE,
                        "proposal_rejected",
                        "command",
                        command,
                        "reason",
                        failure == null ? message : failure);
            }
        });
    }

    /**
     * Proposes a command.
     *
     * @param onResult gets the message of its outcome, empty where it was accepted, and why that is not
     *     known, null where it is
     */
    public void propose(MaintenanceCommand command, BiConsumer<String, String> onResult) {
        cluster.propose(MaintenanceCommandCodec.encode(command), onResult);
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

    // ---- The stop. ----

    /** Its last client has gone: nobody need wait for its confirmation any more. */
    public void leave() {
        reporter.reportDeparture();
        cluster.leave();
        stopped = true;
    }

    /** Ends it; what it persists is on the disk already. */
    public void close() {
        stopped = true;
        cordonStore.close();
        try {
            cluster.close();
        } catch (IOException e) {
            LOG.logFailure(Level.WARNING, "data_directory_close_failed", e);
        }
    }

    /** The status of this router, for an operator. */
    public Map<String, Object> status() {
        Map<String, String> memberStates = new TreeMap<>();
        for (Member member : cluster.membership().members()) {
            memberStates.put(member.router(), member.state().name().toLowerCase(Locale.ROOT));
        }
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("router", cluster.incarnation().router());
        status.put("life", cluster.incarnation().toString());
        status.put("leader", cluster.leader());
        status.put("known", registered);
        status.put("old_disk", cluster.hasStaleDisk());
        status.put("voters", List.copyOf(cluster.voters()));
        status.put("peers", memberStates);
        return status;
    }
}
