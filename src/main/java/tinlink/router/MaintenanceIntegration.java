package tinlink.router;

import tinlink.cluster.ClusterNode;
import tinlink.cluster.ClusterSettings;
import tinlink.cluster.PeerKeys;
import tinlink.cluster.consensus.CompositeStateMachine;
import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.config.ClusterConfig;
import tinlink.config.MaintenanceConfig;
import tinlink.config.RouterConfig;
import tinlink.decision.Outcome;
import tinlink.maintenance.ControlServer;
import tinlink.maintenance.MaintenanceService;
import tinlink.maintenance.MaintenanceSettings;
import tinlink.maintenance.ReplicatedMaintenance;
import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.net.Network;
import tinlink.policy.PolicyStateMachine;

import java.io.IOException;
import java.util.Collection;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Connects the request pipeline with the maintenance service: cordons data nodes, drains the
 * clients of this router, and reports the work in flight here.
 */
final class MaintenanceIntegration implements MaintenanceService.DataPlane, EventLoopParticipant {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");
    /** A strong reference, since the level of a collected logger is lost. */
    private static final Logger RAFT_LIBRARY_LOGGER = Logger.getLogger("io.microraft");

    private final EventLoop loop;
    private final Network network;
    private final RequestPipeline pipeline;
    private final MaintenanceConfig config;
    private final MaintenanceDrain drain;

    private final MaintenanceService maintenance;
    /** Null if policy changes are disabled. */
    private final PolicyIntegration policy;

    /** The server for control commands; null if no address is configured. */
    private ControlServer control;

    /** @throws IOException if the data directory or the cluster address can't be used */
    MaintenanceIntegration(
            EventLoop loop,
            Network network,
            RouterConfig routerConfig,
            RequestPipeline pipeline,
            MaintenanceDrain drain)
            throws IOException {
        RAFT_LIBRARY_LOGGER.setLevel(Level.SEVERE); // It logs each message that could not be sent.
        this.loop = loop;
        this.network = network;
        this.pipeline = pipeline;
        config = routerConfig.maintenance;
        this.drain = drain;
        ClusterConfig clusterConfig = routerConfig.cluster;
        DisruptionLimits limits = new DisruptionLimits(
                config.minServingPerCell,
                config.minZoneShare,
                config.minSiteShare,
                config.slowStartUs,
                config.grantExpiryUs,
                config.agingUs,
                config.maxEndedTasks,
                config.maxTasks);
        ReplicatedMaintenance replicatedState = new ReplicatedMaintenance();
        PolicyStateMachine policyStateMachine = new PolicyStateMachine();
        ClusterNode clusterNode = new ClusterNode(
                loop,
                network.withoutServer(),
                new ClusterSettings(
                        new ClusterSettings.LocalRouter(
                                clusterConfig.cluster,
                                clusterConfig.router,
                                clusterConfig.listen,
                                clusterConfig.advertisedAddress),
                        new ClusterSettings.KnownRouters(clusterConfig.peers, clusterConfig.voters),
                        new ClusterSettings.Timing(
                                clusterConfig.probeIntervalUs,
                                clusterConfig.indirectProbeCount,
                                clusterConfig.heartbeatUs,
                                clusterConfig.handshakeUs,
                                clusterConfig.idleUs),
                        new ClusterSettings.Limits(
                                clusterConfig.maxMembers,
                                clusterConfig.maxUnauthenticatedConnections,
                                clusterConfig.maxDiskBytes,
                                clusterConfig.snapshotInterval),
                        routerConfig.seed),
                new PeerKeys(clusterConfig.keys, clusterConfig.activeKeyId),
                clusterConfig.dataDirectory,
                stateMachines(replicatedState, policyStateMachine),
                stateMachines(new ReplicatedMaintenance(), new PolicyStateMachine()));
        maintenance = new MaintenanceService(
                loop,
                network.withoutServer(),
                clusterNode,
                replicatedState,
                this,
                new MaintenanceSettings(
                        new MaintenanceSettings.Location(clusterConfig.zone, config.siteByZone),
                        limits,
                        config.observerCount,
                        config.healthCheckIntervalUs,
                        config.missesToFail,
                        config.observationExpiryUs,
                        config.reportIntervalUs),
                clusterConfig.dataDirectory);
        policy = config.followsAgreedPolicy
                ? new PolicyIntegration(loop, clusterNode, policyStateMachine, routerConfig)
                : null;
    }

    private static ReplicatedStateMachine stateMachines(
            ReplicatedMaintenance maintenance, PolicyStateMachine policyStateMachine) {
        return new CompositeStateMachine(
                maintenance, Map.of(PolicyStateMachine.SUBJECT, policyStateMachine));
    }

    /**
     * Joins the cluster. A router that has just started knows of no maintenance work and would send
     * attempts to machines that are out of service. Clients are therefore served once the cluster
     * has agreed on the start of the router, or after a timeout, so that serving never depends on
     * agreement.
     *
     * @param whenReady called when clients may be served; may be called twice
     */
    void start(Runnable whenReady) throws IOException {
        pipeline.driver.addAfterDecisions(this);
        pipeline.dispatcher.setOutcomeListener((machine, outcome) -> {
            if (outcome != Outcome.NOT_SENT && outcome != Outcome.CANCELLED) {
                maintenance.onCallResult(
                        machine, outcome == Outcome.SATISFIED || outcome == Outcome.REJECTED);
            }
        });
        maintenance.start(whenReady);
        if (policy != null) {
            policy.policy().start();
            pipeline.acceptor.setPolicy(policy);
        }
        loop.schedule(loop.nowUs() + config.startupWaitUs, whenReady);
        if (config.controlAddress != null) {
            control = new ControlServer(
                    loop,
                    network.withoutServer(),
                    maintenance,
                    policy == null ? null : policy.policy(),
                    config.controlAddress,
                    config.controlToken,
                    config.controlTimeoutUs);
        }
        LOG.log(
                Level.INFO,
                "maintenance_listening",
                "cluster",
                maintenance.cluster().address(),
                "control",
                control == null ? "-" : control.address());
    }

    /** Leaves the cluster; called when nothing is in flight any more. */
    void leave() {
        if (policy != null) {
            policy.policy().stop();
        }
        maintenance.leave();
    }

    void close() {
        if (control != null) {
            control.close();
        }
        maintenance.close();
    }

    @Override
    public void turnStarted(long nowUs) {
        maintenance.turnStarted(nowUs);
        if (policy != null) {
            policy.policy().turnStarted(nowUs);
        }
    }

    @Override
    public void turnEnding() {
        if (policy != null) {
            policy.policy().turnEnding();
        }
        maintenance.turnEnding();
    }

    @Override
    public int partsInFlight(String machine) {
        return pipeline.endpointList.attemptsInFlight(machine);
    }

    @Override
    public int clientsInFlight() {
        return drain.workInFlight();
    }

    @Override
    public void setCordoned(String machine, boolean cordoned) {
        pipeline.endpointList.setCordoned(machine, cordoned);
        loop.execute(() -> {}); // Wakes the loop, so that the decision module sees the new input.
    }

    @Override
    public void setDraining(boolean draining) {
        drain.setRequested(draining);
    }

    @Override
    public Collection<MaintenanceService.ListedNode> listedNodes() {
        return pipeline.endpointList.snapshot();
    }
}
