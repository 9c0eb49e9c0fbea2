package tinlink.router;

import tinlink.decision.Outcome;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.cluster.ReplicatedStateMachine;
import tinlink.cluster.CompositeStateMachine;
import tinlink.cluster.PeerKeys;
import tinlink.cluster.ClusterNode;
import tinlink.policy.PolicyStateMachine;
import tinlink.start.PeersStart;
import tinlink.start.RouterStart;
import tinlink.start.WorkStart;
import tinlink.maintenance.ControlServer;
import tinlink.maintenance.MaintenanceService;
import tinlink.maintenance.ReplicatedMaintenance;
import tinlink.maintenance.scheduling.DisruptionLimits;

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
final class WorkLinks implements MaintenanceService.DataPlane {
    private static final Logger LOG = Logger.getLogger("tinlink.maintenance");
    /** Held here, or its level is forgotten. */
    private static final Logger LIBRARY = Logger.getLogger("io.microraft");

    private final EventLoop loop;
    private final Network network;
    private final Stages stages;
    private final WorkStart start;
    private final InetSocketAddress door;
    private final MaintenanceService maintenance;
    /** Null where changes of policy are off. */
    private final PolicyLinks policy;

    private ControlServer control;
    private boolean gone;
    private boolean stops;
    /** The door was closed, to be opened again. */
    private boolean shut;

    /** @throws IOException where the folder or the address can't be used */
    WorkLinks(EventLoop loop, Network network, RouterStart from, Stages stages) throws IOException {
        LIBRARY.setLevel(Level.SEVERE); // It tells of each message that could not be sent.
        this.loop = loop;
        this.network = network;
        this.stages = stages;
        start = from.work;
        door = from.listen;
        PeersStart p = from.peers;
        DisruptionLimits limits = new DisruptionLimits(
                start.holders,
                start.zoneShare,
                start.siteShare,
                start.warmUs,
                start.beginUs,
                start.agingUs,
                start.kept,
                start.most);
        ReplicatedMaintenance replicatedState = new ReplicatedMaintenance();
        PolicyStateMachine policyStateMachine = new PolicyStateMachine();
        ClusterNode clusterNode = new ClusterNode(
                loop,
                network.withoutServer(),
                new ClusterNode.LocalRouter(p.cluster, p.router, p.listen, p.at),
                new ClusterNode.KnownRouters(p.peers, p.voters),
                new PeerKeys(p.keys, p.useKey),
                new ClusterNode.Timing(p.roundUs, p.helpers, p.secondUs, p.handshakeUs, p.idleUs),
                new ClusterNode.Limits(p.most, p.strangers, p.diskBytes, p.lines),
                p.folder,
                from.seed,
                books(replicatedState, policyStateMachine),
                books(new ReplicatedMaintenance(), new PolicyStateMachine()));
        maintenance = new MaintenanceService(
                loop,
                network.withoutServer(),
                clusterNode,
                replicatedState,
                this,
                new MaintenanceService.Settings(
                        p.zone,
                        start.sites,
                        limits,
                        start.watchers,
                        start.probeUs,
                        start.misses,
                        start.oldUs,
                        start.reportUs),
                p.folder);
        policy = start.policy ? new PolicyLinks(loop, clusterNode, policyStateMachine, from) : null;
    }

    private static ReplicatedStateMachine books(ReplicatedMaintenance maintenance, PolicyStateMachine policyStateMachine) {
        return new CompositeStateMachine(maintenance, Map.of(PolicyStateMachine.SUBJECT, policyStateMachine));
    }

    /**
     * Danger: a router that has just started knows of no work, and what it sends goes to machines
     * that are out. So clients are served once its start is agreed on, or that has been awaited for
     * long enough: serving never depends on agreement.
     */
    void start(Runnable mayServe) throws IOException {
        stages.turn.also(policy == null ? maintenance : new Both(maintenance, policy.policy()));
        stages.sends.tells((machine, how) -> {
            if (how != Outcome.NOT_SENT && how != Outcome.CANCELLED) {
                maintenance.onCallResult(machine, how == Outcome.SATISFIED || how == Outcome.TURNED_AWAY);
            }
        });
        maintenance.start(mayServe);
        if (policy != null) {
            policy.policy().start();
            stages.intake.goesBy(policy);
        }
        loop.schedule(loop.nowUs() + start.awaitUs, mayServe);
        if (start.control != null) {
            control = new ControlServer(
                    loop,
                    network.withoutServer(),
                    maintenance,
                    policy == null ? null : policy.policy(),
                    start.control,
                    start.token,
                    start.answerUs);
        }
        LOG.log(Level.INFO, "event=work_listens peers={0} control={1}", new Object[] {
            maintenance.peers().address(), control == null ? "-" : control.address()
        });
    }

    /**
     * It ends by SIGTERM: what work on machines would have it do with its clients is done already.
     */
    void stops() {
        stops = true;
    }

    /** Nothing is in hand any more. */
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

    /** Two that decide in each turn. */
    private record Both(EventLoop.EventLoopParticipant one, EventLoop.EventLoopParticipant two) implements EventLoop.EventLoopParticipant {
        @Override
        public void turnStarted(long nowUs) {
            one.turnStarted(nowUs);
            two.turnStarted(nowUs);
        }

        @Override
        public void turnEnding() {
            two.turnEnding();
            one.turnEnding();
        }
    }

    @Override
    public int partsInFlight(String machine) {
        return stages.roster.open(machine);
    }

    @Override
    public int clientsInFlight() {
        return (shut ? 0 : 1) + stages.intake.clients() + stages.turn.open();
    }

    @Override
    public void setCordoned(String machine, boolean out) {
        stages.roster.leaveOut(machine, out);
        loop.execute(() -> {}); // The module has an input: one more turn, in which it decides.
    }

    /**
     * As at a SIGTERM, without an end: who comes while others hear of it is served; then the door
     * closes.
     */
    @Override
    public void setDraining(boolean go) {
        gone = go;
        if (stops) {
            return;
        }
        if (go) {
            stages.intake.notReady();
            loop.schedule(loop.nowUs() + Router.CLIENTS_COME_US, this::shut);
        } else {
            open();
        }
    }

    private void shut() {
        if (gone && !shut && !stops) {
            shut = true;
            stages.intake.closeDoor();
        }
    }

    private void open() {
        if (gone || stops) {
            return;
        }
        try {
            if (shut) {
                stages.intake.openDoor(address());
                shut = false;
            }
            stages.intake.ready(true);
        } catch (IOException e) {
            LOG.log(Level.WARNING, "event=door_not_open", e);
            loop.schedule(loop.nowUs() + start.reportUs, this::open);
        }
    }

    private InetSocketAddress at;

    /** Where clients are served, once they are: the same when the door opens again. */
    void servesAt(InetSocketAddress where) {
        at = where;
    }

    private InetSocketAddress address() {
        return at == null ? door : at;
    }

    @Override
    public Collection<MaintenanceService.ListedNode> listedNodes() {
        return stages.roster.listed();
    }
}
