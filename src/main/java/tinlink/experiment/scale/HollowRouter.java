package tinlink.experiment.scale;

import tinlink.cluster.ClusterNode;
import tinlink.cluster.ClusterSettings;
import tinlink.cluster.PeerKeys;
import tinlink.cluster.consensus.CompositeStateMachine;
import tinlink.cluster.membership.MemberState;
import tinlink.config.ClusterConfig;
import tinlink.config.InvalidInputException;
import tinlink.config.MaintenanceConfig;
import tinlink.config.PolicyDocument;
import tinlink.config.RouterConfig;
import tinlink.maintenance.MaintenanceService;
import tinlink.maintenance.MaintenanceSettings;
import tinlink.maintenance.ReplicatedMaintenance;
import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.net.Network;
import tinlink.policy.PolicyRolloutService;
import tinlink.policy.PolicyStateMachine;
import tinlink.policy.ProposalTerms;
import tinlink.policy.rollout.PolicyVersion;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * The control side of one query router without its serving side: real peers, agreement, work and
 * policy over real sockets, started from the same files as a router, serving nobody. Many of them
 * share one process; each has a thread group of its own, so that its processor time can be told
 * from that of the others.
 */
final class HollowRouter
        implements EventLoopParticipant, MaintenanceService.DataPlane, AutoCloseable {
    private static final long ANSWER_SECONDS = 20;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int MOST_THREADS = 64;
    /** The shared clock goes in steps of so much here. */
    private static final long CLOCK_STEP_US = 1000;

    private final RouterConfig config;
    private final List<MaintenanceService.ListedNode> nodes;
    private final ThreadGroup group;
    private final CompletableFuture<InetSocketAddress> opened = new CompletableFuture<>();
    private final EventLoop loop = new EventLoop();
    private Network network;
    private ClusterNode clusterNode;
    private MaintenanceService maintenance;
    private PolicyRolloutService policyRollout;
    private boolean joined;
    private boolean letGo;
    private volatile boolean known;
    /** By epoch, since when lookups are taken by it, shared clock; one entry a change of a run. */
    private final Map<Long, Long> tookAtUs = new ConcurrentSkipListMap<>();

    private long newestEpoch;
    private long tookLast = -1;
    private long tookLastAtUs;
    /** Versions that had taken hold while lookups were still taken here by the one before. */
    private int tookOldTooLate;

    HollowRouter(RouterConfig config, List<MaintenanceService.ListedNode> nodes) {
        this.config = config;
        this.nodes = nodes;
        group = new ThreadGroup(config.cluster.router);
        Thread thread = new Thread(group, this::run, "loop");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            network = new Network(loop);
            open();
            opened.complete(clusterNode.address());
        } catch (IOException | RuntimeException e) {
            opened.completeExceptionally(e);
            return;
        }
        loop.run(this);
    }

    /** As {@code router.WorkLinks} puts the parts together. */
    private void open() throws IOException {
        ClusterConfig clusterConfig = config.cluster;
        MaintenanceConfig maintenanceConfig = config.maintenance;
        Files.createDirectories(clusterConfig.dataDirectory);
        ReplicatedMaintenance replicatedState = new ReplicatedMaintenance();
        PolicyStateMachine policyStateMachine = new PolicyStateMachine();
        clusterNode = new ClusterNode(
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
                        config.seed),
                new PeerKeys(clusterConfig.keys, clusterConfig.activeKeyId),
                clusterConfig.dataDirectory,
                new CompositeStateMachine(
                        replicatedState, Map.of(PolicyStateMachine.SUBJECT, policyStateMachine)),
                new CompositeStateMachine(
                        new ReplicatedMaintenance(),
                        Map.of(PolicyStateMachine.SUBJECT, new PolicyStateMachine())));
        DisruptionLimits limits = new DisruptionLimits(
                maintenanceConfig.minServingPerCell,
                maintenanceConfig.minZoneShare,
                maintenanceConfig.minSiteShare,
                maintenanceConfig.slowStartUs,
                maintenanceConfig.grantExpiryUs,
                maintenanceConfig.agingUs,
                maintenanceConfig.maxEndedTasks,
                maintenanceConfig.maxTasks);
        maintenance = new MaintenanceService(
                loop,
                network.withoutServer(),
                clusterNode,
                replicatedState,
                this,
                new MaintenanceSettings(
                        new MaintenanceSettings.Location(
                                clusterConfig.zone, maintenanceConfig.siteByZone),
                        limits,
                        maintenanceConfig.observerCount,
                        maintenanceConfig.healthCheckIntervalUs,
                        maintenanceConfig.missesToFail,
                        maintenanceConfig.observationExpiryUs,
                        maintenanceConfig.reportIntervalUs),
                clusterConfig.dataDirectory);
        policyRollout = new PolicyRolloutService(
                loop,
                clusterNode,
                policyStateMachine,
                change -> refusal(change.text()),
                HollowRouter::sharedClockUs,
                maintenanceConfig.reportIntervalUs);
    }

    private static long sharedClockUs() {
        return System.currentTimeMillis() * 1000;
    }

    private String refusal(String text) {
        try {
            new PolicyDocument(text, config);
            return "";
        } catch (InvalidInputException e) {
            return e.getMessage();
        }
    }

    /** Where other routers reach it. */
    InetSocketAddress address() throws IOException {
        return within(opened);
    }

    /**
     * Joins the others, once.
     *
     * @param voters where each of them is reached
     */
    void join(Map<String, String> voters) {
        loop.execute(() -> {
            if (joined) {
                return;
            }
            joined = true;
            voters.forEach((name, at) -> config.cluster.peers.replace(name, at));
            maintenance.start(() -> known = true);
            policyRollout.start();
        });
    }

    /** Proposes a change; it may get lost, which is seen by its state. */
    void propose(String id, String text) {
        loop.execute(() -> {
            ProposalTerms terms = ProposalTerms.parse(text);
            policyRollout.propose(
                    terms.proposal(
                            id, policyRollout.changes().inForce().epoch(), text, "lab", "measured"),
                    (said, why) -> {});
        });
    }

    /** From any thread: when lookups were first taken by that epoch; null where none would be yet. */
    Long tookAtUs(long epoch) {
        return tookAtUs.get(epoch);
    }

    /** How it stands, read on its own thread. */
    HollowState state() throws IOException {
        return on(() -> {
            HollowState s = new HollowState();
            s.name = group.getName();
            s.known = known;
            s.leader = clusterNode.leader();
            s.leads = clusterNode.isLeader();
            s.alive = 1
                    + (int) clusterNode.membership().members().stream()
                            .filter(m -> m.state() == MemberState.ALIVE)
                            .count();
            s.machines = maintenance.state().machines().size();
            s.enrolled = policyRollout.changes().enrolledRouters().size();
            s.epoch = policyRollout.changes().inForce().epoch();
            s.heardUpTo = clusterNode.learnedIndex();
            s.openChange = policyRollout.changes().openChange() == null
                    ? ""
                    : policyRollout.changes().openChange().changeId();
            s.tookOldTooLate = tookOldTooLate;
            s.connections = clusterNode.connectionCount();
            s.traffic = clusterNode.traffic().byKind();
            s.threadCpuNs = threadCpuNs();
            return s;
        });
    }

    private Map<String, Long> threadCpuNs() {
        Thread[] all = new Thread[MOST_THREADS];
        int count = group.enumerate(all);
        Map<String, Long> byName = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            byName.merge(
                    label(all[i].getName()),
                    Math.max(0, THREADS.getThreadCpuTime(all[i].getId())),
                    Long::sum);
        }
        return byName;
    }

    /** The channel group's thread has no name of its own. */
    private static String label(String threadName) {
        return threadName.startsWith("Thread-") ? "channels" : threadName;
    }

    /** Runs on its own thread. */
    private <T> T on(Supplier<T> what) throws IOException {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.execute(() -> answer.complete(what.get()));
        return within(answer);
    }

    private <T> T within(CompletableFuture<T> answer) throws IOException {
        try {
            return answer.get(ANSWER_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("router " + group.getName() + " did not answer", e);
        }
    }

    // ---- Its part in a turn. ----

    @Override
    public void turnStarted(long nowUs) {
        maintenance.turnStarted(nowUs);
        policyRollout.turnStarted(nowUs);
    }

    @Override
    public void turnEnding() {
        policyRollout.turnEnding();
        maintenance.turnEnding();
        noteEpoch();
    }

    /** As a lookup that comes in this turn would be taken. */
    private void noteEpoch() {
        long clockUs = sharedClockUs();
        PolicyVersion newest = policyRollout.changes().inForce();
        if (newest.epoch() != newestEpoch) {
            newestEpoch = newest.epoch();
            if (tookLast < newestEpoch
                    && tookLastAtUs
                            > newest.effectiveAtUs() + newest.absencePolicy().maxClockErrorUs()) {
                tookOldTooLate++;
            }
            // So that there is a turn as its time comes.
            loop.schedule(
                    loop.nowUs() + Math.max(0, newest.effectiveAtUs() - clockUs) + CLOCK_STEP_US,
                    () -> {});
        }
        PolicyVersion taken = policyRollout.effectiveVersion();
        if (taken != null) {
            tookLast = taken.epoch();
            tookLastAtUs = clockUs;
            tookAtUs.putIfAbsent(taken.epoch(), clockUs);
        }
    }

    // ---- What would be its serving side. ----

    @Override
    public int partsInFlight(String machine) {
        return 0;
    }

    @Override
    public int clientsInFlight() {
        return letGo ? 0 : 1;
    }

    @Override
    public void setCordoned(String machine, boolean out) {
        // Nothing is sent to data nodes.
    }

    @Override
    public void setDraining(boolean go) {
        letGo = go;
    }

    @Override
    public Collection<MaintenanceService.ListedNode> listedNodes() {
        return nodes;
    }

    /** As a process that is killed: nothing is said to others. */
    @Override
    public void close() throws IOException {
        on(() -> {
            maintenance.close();
            network.close();
            loop.stop();
            return true;
        });
    }
}
