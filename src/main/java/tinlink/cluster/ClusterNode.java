package tinlink.cluster;

import io.microraft.model.message.RaftMessage;

import tinlink.cluster.consensus.DiskRecordLog;
import tinlink.cluster.consensus.LearnerLog;
import tinlink.cluster.consensus.RaftCodec;
import tinlink.cluster.consensus.RaftExecutor;
import tinlink.cluster.consensus.RaftReplica;
import tinlink.cluster.consensus.RaftStateStore;
import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.cluster.consensus.Voter;
import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.membership.Membership;
import tinlink.cluster.transport.PeerConnections;
import tinlink.cluster.transport.PeerProtocol;
import tinlink.cluster.transport.TrafficCounters;
import tinlink.net.Counters;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.net.Network;
import tinlink.securechannel.KeyRing;
import tinlink.securechannel.MessageCodec;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * A router among the others of its cluster: which of them are there, what they agree on, and what is passed
 * on to the one that leads. It wires membership, consensus and transport together and decides nothing
 * itself. All state belongs to the event loop's thread; Raft has a thread of its own, for its disk blocks.
 * Nothing that serves clients waits for any of it.
 */
public final class ClusterNode implements RaftReplica.Listener, EventLoopParticipant {
    private final EventLoop loop;
    private final ClusterSettings settings;
    private final Identity identity;
    private final DiskRecordLog recordLog;
    private final RaftStateStore stateStore;
    private final ReplicatedStateMachine voterStateMachine;
    private final RaftExecutor raftExecutor;
    private final SplittableRandom random;
    private final PeerConnections connections;
    private final Membership membership;
    private final RouterAddresses addresses;
    private final MembershipTransport membershipTransport;
    private final MessageDispatcher dispatcher;
    private final KnownLeader leader = new KnownLeader();
    private final VoterLifecycle voter;
    private final VoterSlots voterSlots;
    private final Learner learner;
    private final LeaderRequests leaderRequests;
    private boolean closed;

    /**
     * Opens the folder and listens; others are looked for from {@link #start} on.
     *
     * @param folder of this router alone, made where it is not there
     * @param stateMachine what is agreed on, as the event loop's thread has it
     * @param voterStateMachine the same once more, for the thread of Raft
     * @throws IOException where the folder or the address can't be used
     */
    public ClusterNode(
            EventLoop loop,
            Network network,
            ClusterSettings settings,
            KeyRing keys,
            Path folder,
            ReplicatedStateMachine stateMachine,
            ReplicatedStateMachine voterStateMachine)
            throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.voterStateMachine = voterStateMachine;
        identity = new Identity(folder, settings.local().router());
        recordLog = new DiskRecordLog(folder, settings.limits().maxDiskBytes());
        stateStore = recordLog.openStateStore();
        random = new SplittableRandom(settings.seed());
        raftExecutor = new RaftExecutor(settings.timing().librarySecondUs());
        connections = openConnections(network, keys);
        membership = newMembership();
        addresses = new RouterAddresses(settings.routers().addresses(), membership);
        voter = new VoterLifecycle(
                loop, settings, identity, stateStore, this::newReplica, this::send, leader);
        membershipTransport = new MembershipTransport(
                loop,
                membership,
                connections,
                addresses,
                identity.incarnation,
                voter::onSelfConflict);
        voterSlots = new VoterSlots(loop, settings, voter, leader, this::send, counters());
        LearnerLog learnerLog =
                new LearnerLog(stateMachine, settings.limits().snapshotIntervalLines());
        learner = new Learner(settings, learnerLog, leader, voter, this::send, random);
        leaderRequests =
                new LeaderRequests(loop, settings.local().router(), voter, leader, this::send);
        dispatcher = new MessageDispatcher(
                membershipTransport,
                voter,
                new AdmissionResponder(membership, stateStore, settings.limits().maxRouters()),
                voterSlots,
                learner,
                leaderRequests,
                this::send);
    }

    private PeerConnections openConnections(Network network, KeyRing keys) throws IOException {
        ClusterSettings.Timing timing = settings.timing();
        PeerConnections opened = new PeerConnections(
                loop,
                network,
                new PeerConnections.Self(settings.local().cluster(), identity.incarnation),
                keys,
                new PeerConnections.Timeouts(
                        timing.handshakeTimeoutUs(),
                        timing.idleTimeoutUs(),
                        timing.probeIntervalUs() / 2),
                new PeerConnections.Limits(
                        settings.limits().maxRouters(),
                        settings.limits().maxUnauthenticatedConnections()),
                (sender, type, payload) -> dispatcher.onMessage(sender, type, payload));
        opened.listen(settings.local().listenAddress());
        return opened;
    }

    private Membership newMembership() throws IOException {
        ClusterSettings.LocalRouter local = settings.local();
        String address = local.advertisedAddress().isEmpty()
                ? "127.0.0.1:" + connections.address().getPort()
                : local.advertisedAddress();
        List<String> seeds = settings.routers().addresses().entrySet().stream()
                .map(e -> RouterAddresses.withRouterName(e.getKey(), e.getValue()))
                .toList();
        return new Membership(
                identity.incarnation,
                RouterAddresses.withRouterName(local.router(), address),
                seeds,
                new Membership.Settings(
                        settings.timing().probeIntervalUs(),
                        settings.timing().indirectProbes(),
                        settings.limits().maxRouters()),
                random.split());
    }

    /** Disks of the cluster's first start are number 0: those of others are not known then. */
    private RaftReplica newReplica(Voter localVoter) {
        List<Voter> initialVoters = new ArrayList<>();
        settings.routers().initialVoters().forEach(r -> initialVoters.add(new Voter(r, 0)));
        return new RaftReplica(
                localVoter,
                initialVoters,
                stateStore,
                voterStateMachine,
                this,
                new RaftReplica.Environment(
                        raftExecutor,
                        raftExecutor,
                        new Random(random.nextLong()),
                        this::sendRaft,
                        v -> true),
                settings.limits().snapshotIntervalLines());
    }

    /** From now on it looks for others and takes its part in agreeing. */
    public void start() {
        voter.start();
        tick();
    }

    private void tick() {
        if (closed) {
            return;
        }
        voter.tick();
        if (voter.isVoting()) {
            voter.replica().restartIfStuck();
        } else {
            learner.requestBatch();
        }
        voterSlots.tick();
        loop.schedule(loop.nowUs() + settings.timing().librarySecondUs() / 2, this::tick);
    }

    // What is known.

    /** The routers that are known, and which of them answer. */
    public Membership membership() {
        return membership;
    }

    /** This process of this router. */
    public Incarnation incarnation() {
        return identity.incarnation;
    }

    /** What has happened on its connections and to its members. */
    public Counters counters() {
        return connections.counters();
    }

    /** Messages and bytes by kind. */
    public TrafficCounters traffic() {
        return connections.traffic();
    }

    /** Open connections with other routers. */
    public int connectionCount() {
        return connections.connectionCount();
    }

    /** The router that leads, as far as is known; empty where none is known to. */
    public String leader() {
        return leader.router();
    }

    /** Whether this router leads, as far as it knows. */
    public boolean isLeader() {
        return voter.isLeader();
    }

    /** Its disk is an old copy, or another process of this router runs: it never votes by it. */
    public boolean hasStaleDisk() {
        return voter.hasStaleDisk();
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return connections.address();
    }

    /** Routers that vote as the group stands; the configured ones where this router does not vote. */
    public Set<String> voters() {
        return voterSlots.voters();
    }

    /** The index up to which this router has applied what was agreed on. */
    public long learnedIndex() {
        return learner.index();
    }

    // What others have it do.

    /** Runs on the event loop's thread after something agreed on has been applied. */
    public void setAppliedListener(Runnable listener) {
        learner.setAppliedListener(listener);
    }

    /** Receives what routers report to the leader, with their names; on the leader alone. */
    public void setReportListener(BiConsumer<String, String> listener) {
        leaderRequests.setReportListener(listener);
    }

    /** Uses these keys for connections from now on; those that are open stay. */
    public void setKeys(KeyRing newKeys) {
        connections.setKeys(newKeys);
    }

    /**
     * Proposes a line to whoever leads.
     *
     * @param onResult the state machine's reply with null, or null with why it is not known to be agreed on
     */
    public void propose(String line, BiConsumer<String, String> onResult) {
        leaderRequests.propose(line, onResult);
    }

    /**
     * Asks whoever leads for the commit index, confirmed by a majority.
     *
     * @param onIndex the index up to which a router has to have applied all to know all that was agreed on as
     *     this was asked; it may never be called
     */
    public void confirmCommitIndex(LongConsumer onIndex) {
        leaderRequests.confirmCommitIndex(onIndex);
    }

    /** Reports to whoever leads; it may get lost. */
    public void reportToLeader(String line) {
        leaderRequests.report(line);
    }

    /** An operator gives a router's voter slot to another; what came of it is seen in {@link #voters}. */
    public void replaceVoter(String removedRouter, String addedRouter) {
        voterSlots.replace(removedRouter, addedRouter);
    }

    /** Notifies others that this process ends. */
    public void leave() {
        membership.leave();
    }

    /** Closes all; the folder is free once this returns. */
    public void close() throws IOException {
        closed = true;
        connections.close();
        voter.close();
        raftExecutor.shutdown();
        recordLog.close();
        identity.close();
    }

    // Its part in a turn of the event loop.

    @Override
    public void turnStarted(long nowUs) {
        membership.advanceClock(nowUs);
    }

    @Override
    public void turnEnding() {
        while (!closed && membership.decide(membershipHandler())) {
            // Each decision has been carried out.
        }
    }

    /** What carries out the decisions of membership. */
    Membership.Handler membershipHandler() {
        return membershipTransport;
    }

    // Messages.

    private void send(String router, NodeMessage message) {
        String address = addresses.addressOf(router);
        if (address != null && !closed) {
            connections.send(
                    address,
                    PeerProtocol.NODE,
                    NodeMessageCodec.encode(settings.local().router(), message));
        }
    }

    /** On the thread of Raft. */
    private void sendRaft(Voter recipient, RaftMessage message) {
        byte[] encoded = RaftCodec.encode(message);
        loop.execute(() -> {
            String address = addresses.addressOf(recipient.router());
            if (address != null && !closed) {
                connections.send(
                        address,
                        PeerProtocol.RAFT,
                        new MessageCodec.Builder()
                                .putText(recipient.toString())
                                .putBytes(encoded)
                                .build());
            }
        });
    }

    // What the replica has come to; called on the thread of Raft.

    @Override
    public void onApplied(long index, String line) {
        loop.execute(() -> learner.onApplied(index, line));
    }

    @Override
    public void onRestored(long index, List<String> lines) {
        loop.execute(() -> learner.onRestored(index, lines));
    }
}
