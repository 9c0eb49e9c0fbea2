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
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * What a request's stages and work on machines have to do with each other: nodes that are left out,
 * clients that are let go, and what is open here.
 */
final class MaintenanceIntegration implements MaintenanceService.DataPlane, EventLoopParticipant {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");
    /** Held here, or its level is forgotten. */
    private static final Logger LIBRARY = Logger.getLogger("io.microraft");

    private final EventLoop loop;
    private final Network network;
    private final RequestPipeline pipeline;
    private final MaintenanceConfig config;
    private final InetSocketAddress configuredAddress;
    private final MaintenanceService maintenance;
    /** Null where changes of policy are off. */
    private final PolicyIntegration policy;

    private ControlServer control;
    private boolean isDrainRequested;
    private boolean stopping;
    /** Accepting was stopped, to be resumed. */
    private boolean isAcceptingStopped;

    /** @throws IOException where the folder or the address can't be used */
    MaintenanceIntegration(
            EventLoop loop, Network network, RouterConfig routerConfig, RequestPipeline pipeline)
            throws IOException {
        LIBRARY.setLevel(Level.SEVERE); // It tells of each message that could not be sent.
        this.loop = loop;
        this.network = network;
        this.pipeline = pipeline;
        config = routerConfig.maintenance;
        configuredAddress = routerConfig.listen;
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
     * Danger: a router that has just started knows of no work, and what it sends goes to machines
     * that are out. So clients are served once its start is agreed on, or that has been awaited for
     * long enough: serving never depends on agreement.
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

    /**
     * It ends by SIGTERM: what work on machines would have it do with its clients is done already.
     */
    void stopping() {
        stopping = true;
    }

    /** Nothing is in flight any more. */
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
        return (isAcceptingStopped ? 0 : 1)
                + pipeline.acceptor.clients()
                + pipeline.driver.inFlight();
    }

    @Override
    public void setCordoned(String machine, boolean isCordoned) {
        pipeline.endpointList.setCordoned(machine, isCordoned);
        loop.execute(() -> {}); // The module has an input: one more turn, in which it decides.
    }

    /**
     * As at a SIGTERM, without an end: who comes while others learn of it is served; then accepting
     * closes.
     */
    @Override
    public void setDraining(boolean isDraining) {
        isDrainRequested = isDraining;
        if (stopping) {
            return;
        }
        if (isDraining) {
            pipeline.acceptor.markNotReady();
            loop.schedule(loop.nowUs() + Router.DRAIN_NOTICE_US, this::stopAccepting);
        } else {
            resumeAccepting();
        }
    }

    private void stopAccepting() {
        if (isDrainRequested && !isAcceptingStopped && !stopping) {
            isAcceptingStopped = true;
            pipeline.acceptor.stopAccepting();
        }
    }

    private void resumeAccepting() {
        if (isDrainRequested || stopping) {
            return;
        }
        try {
            if (isAcceptingStopped) {
                pipeline.acceptor.resumeAccepting(address());
                isAcceptingStopped = false;
            }
            pipeline.acceptor.setReady(true);
        } catch (IOException e) {
            LOG.logFailure(Level.WARNING, "accept_resume_failed", e);
            loop.schedule(loop.nowUs() + config.reportIntervalUs, this::resumeAccepting);
        }
    }

    private InetSocketAddress servingAddress;

    /** Where clients are served, once they are: the same when accepting resumes. */
    void setServingAddress(InetSocketAddress address) {
        servingAddress = address;
    }

    private InetSocketAddress address() {
        return servingAddress == null ? configuredAddress : servingAddress;
    }

    @Override
    public Collection<MaintenanceService.ListedNode> listedNodes() {
        return pipeline.endpointList.snapshot();
    }
}
