package tinlink.cluster;

import io.microraft.model.message.RaftMessage;

import tinlink.cluster.NodeMessage.AdmissionRequest;
import tinlink.cluster.NodeMessage.AdmissionResponse;
import tinlink.cluster.consensus.RaftReplica;
import tinlink.cluster.consensus.RaftStateStore;
import tinlink.cluster.consensus.Voter;
import tinlink.cluster.consensus.VoterAdmission;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;

import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.logging.Level;

/**
 * The life cycle of this router as a voter: the admission of its disk, which is refused if the disk is an old
 * copy; the run of its replica; and its end once another disk has the voter slot. Event loop's thread only.
 */
final class VoterLifecycle {
    private static final EventLog LOG = new EventLog("tinlink.cluster");
    /** Seconds of the Raft library to await further answers after those of a majority of the voters. */
    private static final int ADMISSION_GRACE_SECONDS = 8;

    private final EventLoop loop;
    private final ClusterSettings settings;
    private final Identity identity;
    private final RaftStateStore stateStore;
    private final Function<Voter, RaftReplica> replicaFactory;
    private final NodeMessageSender sender;
    private final KnownLeader leader;

    /** The voter of this router and its present disk; null before {@link #start}. */
    private Voter localVoter;
    /** The admission of this disk while it is undecided; null otherwise. */
    private VoterAdmission pendingAdmission;
    /** The admission whose floor binds the replica; null if the disk needed none, or was not admitted. */
    private VoterAdmission grantedAdmission;
    /** The running replica; null while this router does not vote. */
    private RaftReplica replica;

    /** Whether the disk was not admitted, or another process of this router was found. */
    private boolean diskStale;
    /** Whether the group has removed this voter while its replica ran. */
    private boolean removedFromGroup;

    /** @param replicaFactory creates the replica of this router's voter */
    VoterLifecycle(
            EventLoop loop,
            ClusterSettings settings,
            Identity identity,
            RaftStateStore stateStore,
            Function<Voter, RaftReplica> replicaFactory,
            NodeMessageSender sender,
            KnownLeader leader) {
        this.loop = loop;
        this.settings = settings;
        this.identity = identity;
        this.stateStore = stateStore;
        this.replicaFactory = replicaFactory;
        this.sender = sender;
        this.leader = leader;
    }

    /** Begins the admission if this disk has voted before, or may replace one that has. */
    void start() {
        String router = settings.local().router();
        Set<String> initialVoters = settings.routers().initialVoters();
        boolean initialVoter = initialVoters.contains(router) && !identity.replacesLostDisk();
        Voter stored = stateStore.localVoter();
        localVoter =
                stored != null ? stored : new Voter(router, initialVoter ? 0 : identity.diskId);
        if (stored != null || initialVoter) {
            // An empty store may be the replacement of a disk that was lost after it had voted.
            Set<String> otherVoters = new TreeSet<>(initialVoters);
            otherVoters.remove(router);
            pendingAdmission = new VoterAdmission(
                    identity.incarnation,
                    stateStore.lastPosition(),
                    otherVoters,
                    identity.firstStart);
        }
    }

    /** Advances the admission, and follows the state of the replica; called periodically. */
    void tick() {
        if (pendingAdmission != null) {
            advanceAdmission();
        } else if (grantedAdmission != null && replica != null) {
            refreshFloor();
        }
        if (replica != null) {
            Voter current = replica.leader();
            leader.set(current == null ? "" : current.router());
        }
        if (replica != null && replica.isTerminated()) {
            LOG.log(
                    Level.WARNING,
                    "voter_removed",
                    "router",
                    settings.local().router(),
                    "voter",
                    localVoter);
            replica = null;
            removedFromGroup = true;
        }
    }

    private void sendAdmissionRequests(VoterAdmission admission) {
        admission
                .votersToAsk()
                .forEach(router -> sender.send(router, new AdmissionRequest(localVoter)));
    }

    private void advanceAdmission() {
        sendAdmissionRequests(pendingAdmission);
        long graceUs = ADMISSION_GRACE_SECONDS * settings.timing().librarySecondUs();
        switch (pendingAdmission.decide(loop.nowUs(), graceUs)) {
            case ADMITTED -> {
                grantedAdmission = pendingAdmission;
                pendingAdmission = null;
                startReplica();
            }
            case STALE_DISK, DUPLICATE_PROCESS -> {
                rejectDisk();
                diskStale = true;
                pendingAdmission = null;
            }
            case UNDECIDED -> {
                // The next tick asks again.
            }
        }
    }

    /**
     * Updates the floor that binds the replica. A voter that was far ahead when it answered may never return;
     * so while the floor is not reached and no leader is known, the others are asked again, and their
     * newest answers count.
     */
    private void refreshFloor() {
        if (!leader.isKnown() && !replica.hasReachedFloor()) {
            sendAdmissionRequests(grantedAdmission);
        }
        replica.setFloor(grantedAdmission.floor());
    }

    private void rejectDisk() {
        if (pendingAdmission.isLostDisk()) {
            replaceLostDisk();
        } else {
            LOG.log(
                    Level.SEVERE,
                    "voter_not_admitted",
                    "router",
                    settings.local().router(),
                    "reason",
                    "the data folder is an old copy or in use by another process: "
                            + "start the router with an empty folder");
        }
    }

    /**
     * Records that the disk replaces a lost one. An empty folder may mean a first start or the loss of a disk
     * that had voted; here the answers of other voters have shown the latter.
     */
    private void replaceLostDisk() {
        try {
            identity.replaceLostDisk(pendingAdmission.knownStartCount());
            LOG.log(
                    Level.SEVERE,
                    "voter_not_admitted",
                    "router",
                    settings.local().router(),
                    "reason",
                    "the data folder is empty, but other voters know the router: "
                            + "restart it to have its voter slot given to the new disk");
        } catch (IOException e) {
            LOG.logFailure(Level.SEVERE, "identity_not_written", e);
        }
    }

    void onAdmissionResponse(String router, AdmissionResponse response) {
        VoterAdmission admission = pendingAdmission != null ? pendingAdmission : grantedAdmission;
        if (admission != null) {
            admission.onAnswer(
                    router,
                    response.knownIncarnation(),
                    response.knownPosition(),
                    response.logEnd(),
                    loop.nowUs());
        }
    }

    private void startReplica() {
        replica = replicaFactory.apply(localVoter);
        if (grantedAdmission != null) {
            replica.setFloor(grantedAdmission.floor());
        }
        replica.start();
        LOG.log(
                Level.INFO,
                "voter_started",
                "router",
                settings.local().router(),
                "incarnation",
                identity.incarnation,
                "voter",
                localVoter);
    }

    /** @param recipient the voter addressed; a message for another disk of this router is ignored */
    void onRaftMessage(Voter recipient, RaftMessage message) {
        if (isWaitingForSlot() && localVoter != null && localVoter.equals(recipient)) {
            // The leader sends to this disk, so the disk has been given a voter slot.
            startReplica();
        }
        if (replica != null && replica.self().equals(recipient)) {
            replica.receive(message);
        }
    }

    private boolean isWaitingForSlot() {
        return replica == null
                && pendingAdmission == null
                && !diskStale
                && !removedFromGroup
                && stateStore.localVoter() == null;
    }

    /** Called when another process of this router is found; this one stops announcing its disk. */
    void onSelfConflict() {
        diskStale = true;
    }

    /** Terminates the replica if it runs. */
    void close() {
        if (replica != null) {
            replica.terminate();
        }
    }

    /** Returns the voter of this router and its present disk; null before {@link #start}. */
    Voter localVoter() {
        return localVoter;
    }

    /** Whether the leader may count on the disk: it is not awaiting admission, stale or removed. */
    boolean mayAnnouncePresence() {
        return pendingAdmission == null && !diskStale && !removedFromGroup;
    }

    boolean hasStaleDisk() {
        return diskStale;
    }

    /** Whether the replica runs. */
    boolean isVoting() {
        return replica != null;
    }

    boolean isLeader() {
        return replica != null && replica.isLeader();
    }

    /** Returns the replica; null if this router does not vote. */
    RaftReplica replica() {
        return replica;
    }
}
