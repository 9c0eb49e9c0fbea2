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
 * Runs maintenance in a router: carries out the decisions of {@link DrainController}, {@link
 * MachineFailureDetector} and {@link MaintenanceCoordinator}. Clients' requests never wait for maintenance,
 * except for a bounded time at startup. Not thread-safe: all calls come from the event loop's thread.
 */
public final class MaintenanceService
        implements DrainController.DrainHandler, EventLoopParticipant {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");

    /** A data node on this router's list. */
    public record ListedNode(
            String id, int cell, String zone, String model, InetSocketAddress address) {}

    /** The operations that maintenance needs from the part of the router that serves clients. */
    public interface DataPlane extends DrainController.InFlightCounts {
        /** Cordons a data node, which then gets no new attempts, or removes the cordon. */
        void setCordoned(String machine, boolean cordoned);

        /**
         * Starts or ends the drain of this router. While it drains, new clients are sent to other routers and
         * the connected clients are served until they end.
         */
        void setDraining(boolean draining);

        /** The current list of data nodes. */
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
     * @param replicatedState the state to which the cluster node applies the replicated log
     * @param folder the folder where cordons are persisted
     * @throws IOException if the persisted cordons can't be read
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

    /**
     * Counts a cordon that is not yet persisted as a part in flight, so that the drain isn't confirmed: a
     * restart would lose the cordon.
     */
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
     * Starts maintenance.
     *
     * @param onRegistered runs once the replicated log contains the start of this router
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

    /** The replicated state, as far as this router has applied the log. */
    public MaintenanceState state() {
        return replicatedState.state();
    }

    /** The cluster node, which sends this router's proposals and reports. */
    public ClusterNode cluster() {
        return cluster;
    }

    /** The counters of maintenance, by their outer names. */
    public Counters counters() {
        return counters;
    }

    /** Whether this router drains its clients. */
    public boolean isDraining() {
        return drainController.isDraining();
    }

    /** Records whether a data node answered an attempt. */
    public void onCallResult(String machine, boolean answered) {
        failureDetector.onAttemptResult(machine, answered);
    }

    // ---- The turn of the event loop. ----

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
                // decide() starts one probe per call.
            }
            coordinate();
        }
        cluster.turnEnding();
    }

    private void controlDrains() {
        // The number of parts in flight changes with each attempt that ends, without a
        // notification, so it is polled while a task is active.
        if (!stateChanged && !hasActiveTasks) {
            return;
        }
        stateChanged = false;
        while (drainController.decide(state(), inFlight, this)) {
            // decide() carries out one decision per call.
        }
        if (!registered && drainController.isRegistered(state())) {
            registered = true;
            onRegistered.run();
        }
        hasActiveTasks = state().openTasks().stream().anyMatch(MaintenanceTask::isActive);
    }

    private void coordinate() {
        boolean leading = cluster.isLeader();
        coordinator.setLeader(leading);
        if (leading) {
            coordinator.setVoters(cluster.voters());
        }
        while (coordinator.decide(state(), this::proposeAsLeader)) {
            // decide() proposes one command per call.
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

    /** Sends this router's observations to the leader and schedules the next report. */
    private void reportObservations() {
        if (stopped) {
            return;
        }
        Collection<ListedNode> listed = dataPlane.listedNodes();
        prober.setAddresses(listed.stream()
                .collect(Collectors.toMap(ListedNode::id, ListedNode::address, (a, b) -> b)));
        reporter.updateAssignment(listed);
        reporter.report(listed, state().agreedNodes(), loop.nowUs());
        stateChanged = true; // Proposals that were lost are sent again.
        loop.schedule(loop.nowUs() + settings.reportIntervalUs(), this::reportObservations);
    }

    // ---- Decisions. ----

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
     * @param onResult receives the message of the outcome, which is empty if the command was accepted, and
     *     the reason why the outcome is unknown, which is null if it is known
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

    // ---- Shutdown. ----

    /** Leaves the cluster after the last client, so that nobody waits for this router's confirmation. */
    public void leave() {
        reporter.reportDeparture();
        cluster.leave();
        stopped = true;
    }

    /** Closes the cordon store and the cluster node. All cordons that were confirmed are on disk already. */
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
