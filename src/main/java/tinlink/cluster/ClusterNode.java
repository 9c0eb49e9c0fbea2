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
 * This router's node in the cluster of routers. It wires together membership, consensus, the requests to the
 * leader, and transport, and decides nothing itself. All state belongs to the event loop's thread, except
 * that Raft runs on a thread of its own, since its disk writes block. Serving clients never waits for
 * any of it.
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
     * Opens the data folder and listens for connections; {@link #start} begins to contact other routers.
     *
     * @param folder the data folder, used by this router alone; created if missing
     * @param stateMachine receives the committed lines on the event loop's thread
     * @param voterStateMachine a second instance, which receives them on the Raft thread
     * @throws IOException if the folder or the listen address can't be used
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
                .map(entry -> RouterAddresses.withRouterName(entry.getKey(), entry.getValue()))
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

    /** Voters at the cluster's first start have disk id 0, since each router knows only its own disk's id. */
    private RaftReplica newReplica(Voter localVoter) {
        List<Voter> initialVoters = new ArrayList<>();
        settings.routers()
                .initialVoters()
                .forEach(router -> initialVoters.add(new Voter(router, 0)));
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
                        recipient -> true),
                settings.limits().snapshotIntervalLines());
    }

    /** Starts to contact other routers and to take part in consensus. */
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

    // Status.

    /** Returns the known routers and their states. */
    public Membership membership() {
        return membership;
    }

    /** Returns the incarnation of this process. */
    public Incarnation incarnation() {
        return identity.incarnation;
    }

    /** Returns the counters of connections and members. */
    public Counters counters() {
        return connections.counters();
    }

    /** Returns the messages and bytes by message kind. */
    public TrafficCounters traffic() {
        return connections.traffic();
    }

    /** Returns the number of open connections with other routers. */
    public int connectionCount() {
        return connections.connectionCount();
    }

    /** Returns the leader's name as far as this router knows; empty if it knows none. */
    public String leader() {
        return leader.router();
    }

    /** Whether this router leads, as far as it knows. */
    public boolean isLeader() {
        return voter.isLeader();
    }

    /**
     * Whether the disk was found to be an old copy, which never votes, or another process of this router
     * runs.
     */
    public boolean hasStaleDisk() {
        return voter.hasStaleDisk();
    }

    /** Returns the address that this router listens at. */
    public InetSocketAddress address() throws IOException {
        return connections.address();
    }

    /** Returns the routers that vote; on a router that does not vote, the configured initial voters. */
    public Set<String> voters() {
        return voterSlots.voters();
    }

    /** Returns the log index up to which this router has applied everything. */
    public long learnedIndex() {
        return learner.index();
    }

    // Operations.

    /** Sets the listener that runs on the event loop's thread after committed lines were applied. */
    public void setAppliedListener(Runnable listener) {
        learner.setAppliedListener(listener);
    }

    /** Sets the listener that receives each report with its sender's name, on the leader only. */
    public void setReportListener(BiConsumer<String, String> listener) {
        leaderRequests.setReportListener(listener);
    }

    /** Sets the keys for new connections; open connections stay. */
    public void setKeys(KeyRing newKeys) {
        connections.setKeys(newKeys);
    }

    /**
     * Proposes a line, through the leader if another router leads.
     *
     * @param onResult receives the state machine's reply and null, or null and the reason why it is not
     *     known whether the line was committed
     */
    public void propose(String line, BiConsumer<String, String> onResult) {
        leaderRequests.propose(line, onResult);
    }

    /**
     * Requests the commit index, confirmed by a majority, from the leader.
     *
     * @param onIndex receives the index: a router that has applied the log up to it knows everything that
     *     was committed before this call. May never be called
     */
    public void confirmCommitIndex(LongConsumer onIndex) {
        leaderRequests.confirmCommitIndex(onIndex);
    }

    /** Sends a report to the leader; it may get lost. */
    public void reportToLeader(String line) {
        leaderRequests.report(line);
    }

    /**
     * Gives a router's voter slot to another router, on an operator's command. The command may get lost; its
     * outcome is visible in {@link #voters}.
     */
    public void replaceVoter(String removedRouter, String addedRouter) {
        voterSlots.replace(removedRouter, addedRouter);
    }

    /** Announces to other routers that this process ends. */
    public void leave() {
        membership.leave();
    }

    /** Closes the node; once this returns, another process may use the data folder. */
    public void close() throws IOException {
        closed = true;
        connections.close();
        voter.close();
        raftExecutor.shutdown();
        recordLog.close();
        identity.close();
    }

    // Turns of the event loop: membership gets the time, then its decisions are carried out.

    @Override
    public void turnStarted(long nowUs) {
        membership.advanceClock(nowUs);
    }

    @Override
    public void turnEnding() {
        while (!closed && membership.decide(membershipHandler())) {
            // Each call carries out one decision.
        }
    }

    /** Returns the handler that carries out the decisions of membership; for tests. */
    Membership.Handler membershipHandler() {
        return membershipTransport;
    }

    // Sending of messages.

    private void send(String router, NodeMessage message) {
        String address = addresses.addressOf(router);
        if (address != null && !closed) {
            connections.send(
                    address,
                    PeerProtocol.NODE,
                    NodeMessageCodec.encode(settings.local().router(), message));
        }
    }

    /** Called on the Raft thread. */
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

    // Committed lines and restored snapshots, passed to the learner; called on the Raft thread.

    @Override
    public void onApplied(long index, String line) {
        loop.execute(() -> learner.onApplied(index, line));
    }

    @Override
    public void onRestored(long index, List<String> lines) {
        loop.execute(() -> learner.onRestored(index, lines));
    }
}
