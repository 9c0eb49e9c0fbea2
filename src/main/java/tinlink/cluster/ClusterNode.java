package tinlink.cluster;

import io.microraft.model.message.RaftMessage;

import tinlink.cluster.consensus.DiskRecordLog;
import tinlink.cluster.consensus.LearnerLog;
import tinlink.cluster.consensus.RaftCodec;
import tinlink.cluster.consensus.RaftExecutor;
import tinlink.cluster.consensus.RaftReplica;
import tinlink.cluster.consensus.RaftStateStore;
import tinlink.cluster.consensus.RecoveryFloor;
import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.cluster.consensus.Voter;
import tinlink.cluster.consensus.VoterAdmission;
import tinlink.cluster.consensus.VoterReplacement;
import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.membership.Member;
import tinlink.cluster.membership.Membership;
import tinlink.cluster.membership.Rumor;
import tinlink.cluster.transport.PeerConnections;
import tinlink.cluster.transport.PeerProtocol;
import tinlink.cluster.transport.TrafficCounters;
import tinlink.net.Counters;
import tinlink.net.EventLoop;
import tinlink.net.MessageRejectedException;
import tinlink.net.Network;
import tinlink.securechannel.KeyRing;
import tinlink.securechannel.MessageCodec;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The routers that this one knows, and what it agrees on with them: carries out the decisions of
 * {@link Membership}, {@link VoterAdmission} and {@link RaftReplica}. All state belongs to the loop's thread;
 * the agreement has one of its own, for its disk blocks. Nothing that serves waits for any of it.
 */
public final class ClusterNode
        implements Membership.Handler,
                PeerConnections.MessageHandler,
                RaftReplica.Listener,
                EventLoop.EventLoopParticipant {
    private static final Logger LOG = Logger.getLogger("tinlink.cluster");

    /**
     * Which cluster, and who we are in it.
     *
     * @param advertisedAddress where others reach us
     */
    public record LocalRouter(
            String cluster,
            String router,
            InetSocketAddress listenAddress,
            String advertisedAddress) {}

    /**
     * The other routers, as configured.
     *
     * @param addresses by router where it is reached from here; others are reached where they say
     * @param initialVoters who agrees at the very first start of the cluster
     */
    public record KnownRouters(Map<String, String> addresses, Set<String> initialVoters) {}

    /**
     * The paces of membership, agreement and links, in microseconds.
     *
     * @param librarySecondUs one beat of the agreement; a leader is missed after four of them
     */
    public record Timing(
            long probeIntervalUs,
            int indirectProbes,
            long librarySecondUs,
            long handshakeTimeoutUs,
            long idleTimeoutUs) {}

    /**
     * Bounds.
     *
     * @param maxRouters routers that are known
     * @param maxUnauthenticatedConnections connections that have not proved themselves, at a time
     * @param maxDiskBytes of the log
     * @param snapshotIntervalLines between two snapshots
     */
    public record Limits(
            int maxRouters,
            int maxUnauthenticatedConnections,
            long maxDiskBytes,
            int snapshotIntervalLines) {
        /** With as many strangers as where nothing is stated. */
        public Limits(int maxRouters, long maxDiskBytes, int snapshotIntervalLines) {
            this(
                    maxRouters,
                    PeerConnections.MAX_UNAUTHENTICATED_CONNECTIONS,
                    maxDiskBytes,
                    snapshotIntervalLines);
        }
    }

    private static final int PROBE = 1;
    private static final int ACK = 2;
    private static final int PROBE_REQUEST = 3;
    private static final int NACK = 4;

    private static final int LEARN = 1;
    private static final int LEARNED = 2;
    private static final int PROPOSE = 3;
    private static final int PROPOSED = 4;
    private static final int ADMISSION_REQUEST = 5;
    private static final int ADMISSION_RESPONSE = 6;
    private static final int REPORT = 7;
    private static final int PRESENCE = 8;
    private static final int REPLACE_VOTER = 9;
    private static final int CONFIRM_REQUEST = 10;
    private static final int CONFIRM_RESPONSE = 11;
    /** Who has not said for so many beats that its disk is there is not counted on. */
    private static final int PRESENCE_TIMEOUT_SECONDS = 16;
    /** Proposals of this router that wait for their answer; the oldest give way. */
    private static final int MAX_PENDING_PROPOSALS = 256;

    private final EventLoop loop;
    private final LocalRouter localRouter;
    private final KnownRouters knownRouters;
    private final Timing timing;
    private final Limits limits;
    private final Identity identity;
    private final DiskRecordLog recordLog;
    private final PeerConnections connections;
    private final Membership membership;
    private final SplittableRandom random;
    private final RaftExecutor raftExecutor;
    private final LearnerLog learnerLog;
    /** As the Raft thread has it; the loop's copy is with {@link #learnerLog}. */
    private final ReplicatedStateMachine voterStateMachine;

    private final Counters counters;
    private RaftReplica raft;
    /** Before it is known whether this disk may vote; and after, for what it holds to. */
    private VoterAdmission voterAdmission;

    private VoterAdmission grantedAdmission;
    private RaftStateStore stateStore;
    private boolean hasStaleDisk;
    /** As whom this disk votes, once it may. */
    private Voter localVoter;
    /** Its voter slot was given to another: this disk does not vote any more. */
    private boolean removedFromGroup;
    /**
     * On the leader: by router, the disk with which it is there, and since when; as many as are
     * known.
     */
    private final Map<String, String> presentDisks = new TreeMap<>();

    private final Map<String, Long> lastPresentUs = new TreeMap<>();
    /**
     * By an operator's word: whose voter slot goes to whom. Emptied as it has gone, or as another leads.
     */
    private final Map<String, String> operatorReplacements = new TreeMap<>();

    private boolean changeInProgress;
    private String leader = "";
    /** How far others' disks have been heard to be: as many as there have been voters, bounded. */
    private final Map<Voter, VoterAdmission.LogPosition> knownPositions = new LinkedHashMap<>();

    private final Map<Long, BiConsumer<String, String>> pendingProposals = new LinkedHashMap<>();
    private long lastProposalId;
    /** Of the newest question for a confirmation alone. */
    private LongConsumer commitIndexListener = index -> {};

    private long confirmCommitIndex;
    private BiConsumer<String, String> reportListener = (from, line) -> {};
    private Runnable appliedListener = () -> {};
    private boolean closed;

    /**
     * @param stateMachine what is agreed on, as the loop has it
     * @param voterStateMachine the same once more, for the
     *     agreement's thread
     * @throws IOException where the folder can't be used
     */
    public ClusterNode(
            EventLoop loop,
            Network network,
            LocalRouter localRouter,
            KnownRouters knownRouters,
            KeyRing keys,
            Timing timing,
            Limits limits,
            Path folder,
            long seed,
            ReplicatedStateMachine stateMachine,
            ReplicatedStateMachine voterStateMachine)
            throws IOException {
        this.loop = loop;
        this.localRouter = localRouter;
        this.knownRouters = knownRouters;
        this.timing = timing;
        this.limits = limits;
        this.voterStateMachine = voterStateMachine;
        identity = new Identity(folder, localRouter.router());
        recordLog = new DiskRecordLog(folder, limits.maxDiskBytes());
        stateStore = recordLog.openStateStore();
        random = new SplittableRandom(seed);
        raftExecutor = new RaftExecutor(timing.librarySecondUs());
        learnerLog = new LearnerLog(stateMachine, limits.snapshotIntervalLines());
        connections = new PeerConnections(
                loop,
                network,
                localRouter.cluster(),
                identity.incarnation,
                keys,
                new PeerConnections.Timeouts(
                        timing.handshakeTimeoutUs(),
                        timing.idleTimeoutUs(),
                        timing.probeIntervalUs() / 2),
                new PeerConnections.Limits(
                        limits.maxRouters(), limits.maxUnauthenticatedConnections()),
                this);
        counters = connections.counters();
        connections.listen(localRouter.listenAddress());
        String at = localRouter.advertisedAddress().isEmpty()
                ? "127.0.0.1:" + connections.address().getPort()
                : localRouter.advertisedAddress();
        membership = new Membership(
                identity.incarnation,
                withRouterName(localRouter.router(), at),
                knownRouters.addresses().entrySet().stream()
                        .map(e -> withRouterName(e.getKey(), e.getValue()))
                        .toList(),
                new Membership.Settings(
                        timing.probeIntervalUs(), timing.indirectProbes(), limits.maxRouters()),
                random.split());
    }

    /**
     * Names go with addresses, since the same router may be reached at different ones from
     * different places.
     */
    private static String withRouterName(String router, String address) {
        return router + "@" + address;
    }

    private String address(String at) {
        int separator = at.lastIndexOf('@');
        return knownRouters
                .addresses()
                .getOrDefault(at.substring(0, Math.max(0, separator)), at.substring(separator + 1));
    }

    private String addressOf(String router) {
        Member m = membership.member(router);
        String known = knownRouters.addresses().get(router);
        return known != null ? known : m == null ? null : address(m.address());
    }

    /** From now on it looks for others and takes its part in agreeing. */
    public void start() {
        boolean isInitialVoter = knownRouters.initialVoters().contains(localRouter.router())
                && !identity.replacesLostDisk();
        localVoter = stateStore.localVoter() != null
                ? stateStore.localVoter()
                : new Voter(localRouter.router(), isInitialVoter ? 0 : identity.diskId);
        if (stateStore.localVoter() != null || isInitialVoter) {
            // Also with nothing kept: it may be that the disk was lost, and that it has voted
            // before.
            long[] to = stateStore.lastPosition();
            voterAdmission = new VoterAdmission(
                    identity.incarnation,
                    new VoterAdmission.LogPosition((int) to[0], to[1]),
                    without(knownRouters.initialVoters(), localRouter.router()),
                    identity.isFirstStart);
        }
        tick();
    }

    private static Set<String> without(Set<String> all, String one) {
        Set<String> rest = new TreeSet<>(all);
        rest.remove(one);
        return rest;
    }

    /** Disks of the first start are number 0: those of others are not known then. */
    private void startReplica() {
        Collection<Voter> initialVoters = new ArrayList<>();
        knownRouters.initialVoters().forEach(r -> initialVoters.add(new Voter(r, 0)));
        raft = new RaftReplica(
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
                limits.snapshotIntervalLines());
        if (grantedAdmission != null) {
            raft.setFloor(grantedAdmission.floor());
        }
        raft.start();
        LOG.log(Level.INFO, "event=voter_started router={0} incarnation={1} as={2}", new Object[] {
            localRouter.router(), identity.incarnation, localVoter
        });
    }

    // ---- What stands. ----

    public Membership membership() {
        return membership;
    }

    public Incarnation incarnation() {
        return identity.incarnation;
    }

    public Counters counters() {
        return counters;
    }

    /** Messages and bytes by kind. */
    public TrafficCounters traffic() {
        return connections.traffic();
    }

    /** Open connections with other routers. */
    public int connectionCount() {
        return connections.connectionCount();
    }

    /** Who leads, as far as is known; empty where nobody is known to. */
    public String leader() {
        return leader;
    }

    public boolean isLeader() {
        return raft != null && raft.isLeader();
    }

    /** Its disk is an old copy, or another process is this start too: it never votes by it. */
    public boolean hasStaleDisk() {
        return hasStaleDisk;
    }

    public InetSocketAddress address() throws IOException {
        return connections.address();
    }

    /** Runs on the loop whenever something agreed has been played. */
    public void setAppliedListener(Runnable newListener) {
        appliedListener = newListener;
    }

    /** Hears what routers tell the leader, by name; on the leader alone. */
    public void setReportListener(BiConsumer<String, String> listener) {
        reportListener = listener;
    }

    public void setKeys(KeyRing newKeys) {
        connections.keys(newKeys);
    }

    // ---- Its part in a turn. ----

    @Override
    public void turnStarted(long nowUs) {
        membership.advanceClock(nowUs);
    }

    @Override
    public void turnEnding() {
        while (!closed && membership.decide(this)) {
            // Each has been carried out.
        }
    }

    private void tick() {
        if (closed) {
            return;
        }
        if (voterAdmission != null) {
            seekAdmission();
        } else if (grantedAdmission != null && raft != null) {
            // Danger: whoever was far ahead as it was asked may be gone for good; what binds this
            // voter is
            // what
            // those know who are there now.
            if (leader.isEmpty() && !raft.hasReachedFloor()) {
                grantedAdmission
                        .votersToAsk()
                        .forEach(r -> word(
                                r,
                                ADMISSION_REQUEST,
                                new MessageCodec.Builder().putText(localVoter.toString())));
            }
            raft.setFloor(grantedAdmission.floor());
        }
        if (raft != null) {
            leader = raft.leader() == null ? "" : raft.leader().router();
        }
        if (raft != null && raft.isTerminated()) {
            LOG.log(Level.WARNING, "event=voter_removed router={0} as={1}", new Object[] {
                localRouter.router(), localVoter
            });
            raft = null;
            removedFromGroup = true;
        }
        if (raft == null) {
            requestLearn();
        } else {
            raft.restartIfStuck();
        }
        maintainVoters();
        loop.schedule(loop.nowUs() + timing.librarySecondUs() / 2, this::tick);
    }

    /**
     * Says with which disk it is there; on the leader, gives voter slots whose disks are lost to those.
     */
    private void maintainVoters() {
        if (voterAdmission == null && !hasStaleDisk && !removedFromGroup && !leader.isEmpty()) {
            String disk = Long.toHexString(localVoter.diskId());
            if (isLeader()) {
                present(localRouter.router(), disk);
            } else {
                word(leader, PRESENCE, new MessageCodec.Builder().putText(disk));
            }
        }
        if (!isLeader()) {
            presentDisks.clear();
            lastPresentUs.clear();
            operatorReplacements.clear();
            changeInProgress = false;
            return;
        }
        lastPresentUs
                .values()
                .removeIf(at ->
                        loop.nowUs() - at > PRESENCE_TIMEOUT_SECONDS * timing.librarySecondUs());
        presentDisks.keySet().retainAll(lastPresentUs.keySet());
        Map<String, String> voters = new TreeMap<>();
        raft.committedMembers()
                .getMembers()
                .forEach(m ->
                        voters.put(((Voter) m).router(), Long.toHexString(((Voter) m).diskId())));
        Map<String, String> eligible = new TreeMap<>(presentDisks);
        eligible.keySet()
                .removeIf(r -> !voters.containsKey(r)
                        && !knownRouters.initialVoters().contains(r)
                        && !operatorReplacements.containsValue(r));
        operatorReplacements
                .keySet()
                .removeIf(r -> !voters.containsKey(r)
                        && voters.size() >= knownRouters.initialVoters().size());
        VoterReplacement.Change next = changeInProgress
                ? null
                : VoterReplacement.nextChange(
                        voters,
                        eligible,
                        operatorReplacements,
                        knownRouters.initialVoters().size());
        if (next != null
                && !Voter.parse(next.removed() == null ? next.added() : next.removed())
                        .equals(localVoter)) {
            changeInProgress = true;
            Voter voter = Voter.parse(next.removed() == null ? next.added() : next.removed());
            LOG.log(Level.WARNING, "event=voter_change {0}={1}", new Object[] {
                next.removed() == null ? "comes" : "goes", voter
            });
            raft.changeMembership(
                    voter,
                    next.removed() == null,
                    (reply, e) -> loop.execute(() -> {
                        changeInProgress = false;
                        counters.increment(
                                e == null ? "peers_seats_changed" : "peers_seats_not_changed");
                    }));
        }
    }

    private void present(String router, String disk) {
        if (presentDisks.size() < limits.maxRouters() || presentDisks.containsKey(router)) {
            presentDisks.put(router, disk);
            lastPresentUs.put(router, loop.nowUs());
        }
    }

    /** An operator gives a router's voter slot to another; what came of it is seen in {@link #voters}. */
    public void replaceVoter(String from, String to) {
        if (isLeader()) {
            if (operatorReplacements.size() < limits.maxRouters()) {
                operatorReplacements.put(from, to);
            }
        } else if (!leader.isEmpty()) {
            word(leader, REPLACE_VOTER, new MessageCodec.Builder().putText(from).putText(to));
        }
    }

    /** Routers that vote, as the group stands; those of the file where this one does not vote. */
    public Set<String> voters() {
        if (raft == null) {
            return knownRouters.initialVoters();
        }
        Set<String> all = new TreeSet<>();
        raft.committedMembers().getMembers().forEach(m -> all.add(((Voter) m).router()));
        return all;
    }

    private void seekAdmission() {
        for (String r : voterAdmission.votersToAsk()) {
            word(r, ADMISSION_REQUEST, new MessageCodec.Builder().putText(localVoter.toString()));
        }
        switch (voterAdmission.decide(loop.nowUs(), 8 * timing.librarySecondUs())) {
            case ADMITTED -> {
                grantedAdmission = voterAdmission;
                voterAdmission = null;
                startReplica();
            }
            case STALE_DISK, DUPLICATE_PROCESS -> {
                if (voterAdmission.isLostDisk()) {
                    replaceLostDisk();
                } else {
                    LOG.log(
                            Level.SEVERE,
                            "event=voter_not_admitted router={0} why=\"its folder is an old copy, or another "
                                    + "process runs with it: start it with an empty one\"",
                            localRouter.router());
                }
                hasStaleDisk = true;
                voterAdmission = null;
            }
            default -> {}
        }
    }

    /** Danger: an empty folder may be the first start, or a disk that was lost and had voted. */
    private void replaceLostDisk() {
        try {
            identity.replaceLostDisk(voterAdmission.knownStartCount());
            LOG.log(
                    Level.SEVERE,
                    "event=voter_not_admitted router={0} why=\"its folder is empty, and the "
                            + "router was known before: start it once more, and it gets its seat back\"",
                    localRouter.router());
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "event=identity_not_written", e);
        }
    }

    private void requestLearn() {
        List<String> all =
                new ArrayList<>(without(knownRouters.initialVoters(), localRouter.router()));
        if (!all.isEmpty()) {
            word(
                    all.get(random.nextInt(all.size())),
                    LEARN,
                    new MessageCodec.Builder().putLong(learnerLog.index()));
        }
    }

    /**
     * Proposes a line to whoever leads; what is told is what is said to it, or why that is not
     * known.
     */
    public void propose(String line, BiConsumer<String, String> onResult) {
        if (isLeader()) {
            raft.propose(
                    line,
                    (reply, e) -> loop.execute(
                            () -> onResult.accept(reply, e == null ? null : e.toString())));
            return;
        }
        if (leader.isEmpty()) {
            onResult.accept(null, "nobody is known to lead");
            return;
        }
        long n = ++lastProposalId;
        pendingProposals.put(n, onResult);
        if (pendingProposals.size() > MAX_PENDING_PROPOSALS) {
            BiConsumer<String, String> oldest =
                    pendingProposals.remove(pendingProposals.keySet().iterator().next());
            oldest.accept(null, "it was not answered");
        }
        word(leader, PROPOSE, new MessageCodec.Builder().putLong(n).putLongText(line));
    }

    /** The place in the order up to which this router has heard. */
    public long learnedIndex() {
        return learnerLog.index();
    }

    /**
     * Asks whoever leads for a majority's word on how much there is by now.
     *
     * @param onResult the place that everybody had to have heard of to know all; it may never be told
     */
    public void confirmCommitIndex(LongConsumer onResult) {
        if (isLeader()) {
            raft.confirmCommitIndex((index, e) -> loop.execute(() -> {
                if (e == null) {
                    onResult.accept(index);
                }
            }));
        } else if (!leader.isEmpty()) {
            commitIndexListener = onResult;
            word(leader, CONFIRM_REQUEST, new MessageCodec.Builder().putLong(++confirmCommitIndex));
        }
    }

    /** Tells whoever leads; it may get lost. */
    public void reportToLeader(String line) {
        if (isLeader()) {
            reportListener.accept(localRouter.router(), line);
        } else if (!leader.isEmpty()) {
            word(leader, REPORT, new MessageCodec.Builder().putLongText(line));
        }
    }

    /** Says to all that this process ends. */
    public void leave() {
        membership.leave();
    }

    /** Ends it all; the folder is free once this returns. */
    public void close() throws IOException {
        closed = true;
        connections.close();
        if (raft != null) {
            raft.terminate();
        }
        raftExecutor.shutdown();
        recordLog.close();
        identity.close();
    }

    // ---- Words to others. ----

    private void word(String router, int kind, MessageCodec.Builder body) {
        String at = addressOf(router);
        if (at != null && !closed) {
            byte[] b = body.build();
            connections.send(
                    at,
                    PeerProtocol.NODE,
                    new MessageCodec.Builder()
                            .putByte(kind)
                            .putText(localRouter.router())
                            .putBytes(b)
                            .build());
        }
    }

    private void sendMembershipMessage(
            String at, int kind, long number, String target, List<Rumor> rumors) {
        MessageCodec.Builder o =
                new MessageCodec.Builder().putByte(kind).putLong(number).putText(target);
        PeerProtocol.rumors(o, rumors);
        connections.send(address(at), PeerProtocol.MEMBERSHIP, o.build());
    }

    @Override
    public void sendProbe(String at, long number, List<Rumor> rumors) {
        sendMembershipMessage(at, PROBE, number, "", rumors);
    }

    @Override
    public void sendAck(String at, long number, List<Rumor> rumors) {
        sendMembershipMessage(at, ACK, number, "", rumors);
    }

    @Override
    public void sendProbeRequest(String at, long number, String target, List<Rumor> rumors) {
        sendMembershipMessage(at, PROBE_REQUEST, number, target, rumors);
    }

    @Override
    public void sendNack(String at, long number, List<Rumor> rumors) {
        sendMembershipMessage(at, NACK, number, "", rumors);
    }

    @Override
    public void onMemberChanged(Member m) {
        LOG.log(
                Level.INFO,
                "event=member_changed router={0} incarnation={1} state={2}{3}",
                new Object[] {
                    m.router(),
                    m.incarnation(),
                    m.state(),
                    m.duplicate() == null ? "" : " twin=" + m.duplicate()
                });
        counters.increment("peers_" + m.state().name().toLowerCase(java.util.Locale.ROOT));
    }

    @Override
    public void onSelfConflict(Incarnation.Relation relation, Incarnation other) {
        counters.increment("peers_self_" + relation.name().toLowerCase(java.util.Locale.ROOT));
        LOG.log(
                Level.SEVERE,
                "event=duplicate_router relation={0} other={1} own={2}",
                new Object[] {relation, other, identity.incarnation});
        hasStaleDisk = true;
    }

    @Override
    public void scheduleWakeUp(long atUs) {
        loop.schedule(atUs, () -> {}); // The turn in which it is due pulls decisions.
    }

    // ---- Words of others. ----

    @Override
    public void onMessage(Incarnation from, byte type, ByteBuffer in)
            throws MessageRejectedException {
        switch (type) {
            case PeerProtocol.MEMBERSHIP -> onMembershipMessage(in);
            case PeerProtocol.RAFT -> onRaftMessage(in);
            case PeerProtocol.NODE -> word(from, in);
            default -> throw MessageCodec.malformed("a word of type " + type);
        }
    }

    private void onMembershipMessage(ByteBuffer in) throws MessageRejectedException {
        int kind = in.get();
        long number = in.getLong();
        String target = MessageCodec.readText(in);
        List<Rumor> rumors = PeerProtocol.rumors(in);
        if (rumors.isEmpty()) {
            throw MessageCodec.malformed("a word that does not say whose it is");
        }
        String from = rumors.get(0).address();
        membership.onRumors(rumors);
        switch (kind) {
            case PROBE -> membership.onProbe(from, number);
            case ACK -> membership.onAck(number);
            case PROBE_REQUEST -> membership.onProbeRequest(from, number, target);
            case NACK -> membership.onNack(number);
            default -> throw MessageCodec.malformed("a word of kind " + kind);
        }
    }

    /** On the Raft thread. */
    private void sendRaft(Voter to, RaftMessage m) {
        byte[] b = RaftCodec.encode(m);
        loop.execute(() -> {
            String at = addressOf(to.router());
            if (at != null && !closed) {
                connections.send(
                        at,
                        PeerProtocol.RAFT,
                        new MessageCodec.Builder()
                                .putText(to.toString())
                                .putBytes(b)
                                .build());
            }
        });
    }

    private void onRaftMessage(ByteBuffer in) throws MessageRejectedException {
        Voter to = RaftCodec.voter(in);
        RaftMessage m = RaftCodec.decode(in);
        VoterAdmission.LogPosition position = RaftReplica.confirmedPosition(m);
        if (position != null) {
            knownPositions.merge((Voter) m.getSender(), position, VoterAdmission.LogPosition::max);
        }
        if (knownPositions.size() > limits.maxRouters()) {
            knownPositions.remove(knownPositions.keySet().iterator().next());
        }
        if (raft == null
                && voterAdmission == null
                && !hasStaleDisk
                && !removedFromGroup
                && localVoter != null
                && localVoter.equals(to)
                && stateStore.localVoter() == null) {
            startReplica(); // Its disk has been given a seat: whoever leads speaks to it.
        }
        if (raft != null && raft.self().equals(to)) {
            raft.receive(m);
        }
    }

    private void word(Incarnation from, ByteBuffer in) throws MessageRejectedException {
        int kind = in.get();
        String router = MessageCodec.readText(in);
        if (!router.equals(from.router())) {
            throw MessageCodec.malformed("it speaks for another router");
        }
        switch (kind) {
            case LEARN -> {
                long after = in.getLong();
                LearnerLog.Batch p = learnerLog.batchAfter(after);
                MessageCodec.Builder o = new MessageCodec.Builder()
                        .putText(leader)
                        .putLong(after)
                        .putByte(p == null ? 0 : p.isSnapshot() ? 2 : 1);
                if (p != null) {
                    o.putLong(p.index()).putLongText(String.join("\n", p.lines()));
                }
                word(router, LEARNED, o);
            }
            case LEARNED -> {
                String leads = MessageCodec.readText(in);
                long after = in.getLong();
                int what = in.get();
                leader = leads.isEmpty() ? leader : leads;
                if (what != 0 && raft == null) {
                    long index = in.getLong();
                    String lines = MessageCodec.readLongText(in, RaftCodec.MAX_TEXT_BYTES);
                    if (learnerLog.appendBatch(
                            after,
                            new LearnerLog.Batch(index, what == 2, lines.lines().toList()))) {
                        appliedListener.run();
                    }
                }
            }
            case PROPOSE -> {
                long n = in.getLong();
                String line = MessageCodec.readLongText(in, RaftCodec.MAX_TEXT_BYTES);
                if (!isLeader()) {
                    word(
                            router,
                            PROPOSED,
                            new MessageCodec.Builder()
                                    .putLong(n)
                                    .putByte(0)
                                    .putLongText("it does not lead"));
                    return;
                }
                raft.propose(
                        line,
                        (reply, e) -> loop.execute(() -> word(
                                router,
                                PROPOSED,
                                new MessageCodec.Builder()
                                        .putLong(n)
                                        .putByte(e == null ? 1 : 0)
                                        .putLongText(
                                                e == null
                                                        ? String.valueOf(reply)
                                                        : e.toString()))));
            }
            case PROPOSED -> {
                BiConsumer<String, String> onResult = pendingProposals.remove(in.getLong());
                boolean is = in.get() == 1;
                String text = MessageCodec.readLongText(in, RaftCodec.MAX_TEXT_BYTES);
                if (onResult != null) {
                    onResult.accept(is ? text : null, is ? null : text);
                }
            }
            case ADMISSION_REQUEST -> {
                Member m = membership.member(router);
                VoterAdmission.LogPosition r = knownPositions.get(RaftCodec.voter(in));
                MessageCodec.Builder o = new MessageCodec.Builder().putByte(m == null ? 0 : 1);
                if (m != null) {
                    // Whom we know besides the one who asks, if there is another.
                    PeerProtocol.incarnation(
                            o,
                            m.duplicate() != null && m.incarnation().equals(from)
                                    ? m.duplicate()
                                    : m.incarnation());
                }
                o.putByte(r == null ? 0 : 1);
                if (r != null) {
                    o.putInt(r.term()).putLong(r.confirmedIndex());
                }
                RecoveryFloor logEnd = stateStore.logEnd();
                o.putInt(logEnd.term()).putInt(logEnd.lastTerm()).putLong(logEnd.lastIndex());
                word(router, ADMISSION_RESPONSE, o);
            }
            case ADMISSION_RESPONSE -> {
                Incarnation knownIncarnation = in.get() == 0 ? null : PeerProtocol.incarnation(in);
                VoterAdmission.LogPosition r = in.get() == 0
                        ? null
                        : new VoterAdmission.LogPosition(in.getInt(), in.getLong());
                RecoveryFloor voterPosition =
                        new RecoveryFloor(in.getInt(), in.getInt(), in.getLong());
                VoterAdmission e = voterAdmission != null ? voterAdmission : grantedAdmission;
                if (e != null) {
                    e.answered(router, knownIncarnation, r, voterPosition, loop.nowUs());
                }
            }
            case CONFIRM_REQUEST -> {
                long n = in.getLong();
                if (isLeader()) {
                    raft.confirmCommitIndex((index, e) -> loop.execute(() -> {
                        if (e == null) {
                            word(
                                    router,
                                    CONFIRM_RESPONSE,
                                    new MessageCodec.Builder().putLong(n).putLong(index));
                        }
                    }));
                }
            }
            case CONFIRM_RESPONSE -> {
                long n = in.getLong();
                long index = in.getLong();
                if (n == confirmCommitIndex) {
                    commitIndexListener.accept(index);
                }
            }
            case PRESENCE -> {
                String disk = MessageCodec.readText(in);
                if (isLeader()) {
                    present(router, disk);
                }
            }
            case REPLACE_VOTER -> {
                String goes = MessageCodec.readText(in);
                String comes = MessageCodec.readText(in);
                if (isLeader()) {
                    replaceVoter(goes, comes);
                }
            }
            case REPORT -> {
                String line = MessageCodec.readLongText(in, RaftCodec.MAX_TEXT_BYTES);
                if (isLeader()) {
                    reportListener.accept(router, line);
                }
            }
            default -> throw MessageCodec.malformed("a word of kind " + kind);
        }
    }

    // ---- What was agreed; on the Raft thread. ----

    @Override
    public void onApplied(long index, String line) {
        loop.execute(() -> {
            if (learnerLog.append(index, line) && !line.isEmpty()) {
                appliedListener.run();
            }
        });
    }

    @Override
    public void onRestored(long index, List<String> lines) {
        loop.execute(() -> {
            if (learnerLog.restore(index, lines)) {
                appliedListener.run();
            }
        });
    }
}
