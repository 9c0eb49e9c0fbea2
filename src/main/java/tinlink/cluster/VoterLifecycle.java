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
 * This router's life as a voter: its disk is admitted or found to be an old copy, its replica runs, and it
 * ends as the voter slot goes to another disk. Event loop's thread only.
 */
final class VoterLifecycle {
    private static final EventLog LOG = new EventLog("tinlink.cluster");
    /** Seconds of the Raft library that voters are waited for once a majority has answered. */
    private static final int ADMISSION_GRACE_SECONDS = 8;

    private final EventLoop loop;
    private final ClusterSettings settings;
    private final Identity identity;
    private final RaftStateStore stateStore;
    private final Function<Voter, RaftReplica> replicas;
    private final NodeMessageSender sender;
    private final KnownLeader leader;

    /** As which voter this disk takes part, once it may; null before {@link #start}. */
    private Voter localVoter;
    /** Null but while it is being found out whether this disk may vote. */
    private VoterAdmission pendingAdmission;
    /** Whose floor the replica keeps; null where the disk was new, and asked nobody. */
    private VoterAdmission grantedAdmission;
    /** Null while this router does not vote. */
    private RaftReplica replica;

    private boolean hasStaleDisk;
    private boolean removedFromGroup;

    /** @param replicas makes the replica of a voter */
    VoterLifecycle(
            EventLoop loop,
            ClusterSettings settings,
            Identity identity,
            RaftStateStore stateStore,
            Function<Voter, RaftReplica> replicas,
            NodeMessageSender sender,
            KnownLeader leader) {
        this.loop = loop;
        this.settings = settings;
        this.identity = identity;
        this.stateStore = stateStore;
        this.replicas = replicas;
        this.sender = sender;
        this.leader = leader;
    }

    /** Begins to ask the other voters where this disk has voted before, or may have. */
    void start() {
        String router = settings.local().router();
        Set<String> initialVoters = settings.routers().initialVoters();
        boolean isInitialVoter = initialVoters.contains(router) && !identity.replacesLostDisk();
        Voter stored = stateStore.localVoter();
        localVoter =
                stored != null ? stored : new Voter(router, isInitialVoter ? 0 : identity.diskId);
        if (stored != null || isInitialVoter) {
            // Danger: a store with nothing in it may be that of a disk that was lost after it had
            // voted.
            Set<String> otherVoters = new TreeSet<>(initialVoters);
            otherVoters.remove(router);
            pendingAdmission = new VoterAdmission(
                    identity.incarnation,
                    stateStore.lastPosition(),
                    otherVoters,
                    identity.isFirstStart);
        }
    }

    /** Goes on with the admission, and follows what the replica has come to; to be called periodically. */
    void tick() {
        if (pendingAdmission != null) {
            seekAdmission();
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

    private void askVoters(VoterAdmission admission) {
        admission.votersToAsk().forEach(r -> sender.send(r, new AdmissionRequest(localVoter)));
    }

    private void seekAdmission() {
        askVoters(pendingAdmission);
        long graceUs = ADMISSION_GRACE_SECONDS * settings.timing().librarySecondUs();
        switch (pendingAdmission.decide(loop.nowUs(), graceUs)) {
            case ADMITTED -> {
                grantedAdmission = pendingAdmission;
                pendingAdmission = null;
                startReplica();
            }
            case STALE_DISK, DUPLICATE_PROCESS -> {
                rejectDisk();
                hasStaleDisk = true;
                pendingAdmission = null;
            }
            case UNDECIDED -> {
                // Asked again at the next tick.
            }
        }
    }

    /**
     * Danger: a voter that was far ahead as it was asked may be gone for good; what binds this one is what
     * those know who are there now.
     */
    private void refreshFloor() {
        if (!leader.isKnown() && !replica.hasReachedFloor()) {
            askVoters(grantedAdmission);
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
                    "its folder is an old copy, or another process runs with it: start it with an empty one");
        }
    }

    /** Danger: an empty folder may be the first start, or a disk that was lost and had voted. */
    private void replaceLostDisk() {
        try {
            identity.replaceLostDisk(pendingAdmission.knownStartCount());
            LOG.log(
                    Level.SEVERE,
                    "voter_not_admitted",
                    "router",
                    settings.local().router(),
                    "reason",
                    "its folder is empty, and the router was known before: "
                            + "start it once more, and it gets its voter slot back");
        } catch (IOException e) {
            LOG.logFailure(Level.SEVERE, "identity_not_written", e);
        }
    }

    void onAdmissionResponse(String router, AdmissionResponse response) {
        VoterAdmission admission = pendingAdmission != null ? pendingAdmission : grantedAdmission;
        if (admission != null) {
            admission.onAnswer(
                    router, response.known(), response.position(), response.logEnd(), loop.nowUs());
        }
    }

    private void startReplica() {
        replica = replicas.apply(localVoter);
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

    /** @param recipient the voter that it was sent to; for another disk of this router it is passed over */
    void onRaftMessage(Voter recipient, RaftMessage message) {
        if (isWaitingForSlot() && localVoter != null && localVoter.equals(recipient)) {
            startReplica(); // Its disk has been given a voter slot: whoever leads sends to it.
        }
        if (replica != null && replica.self().equals(recipient)) {
            replica.receive(message);
        }
    }

    private boolean isWaitingForSlot() {
        return replica == null
                && pendingAdmission == null
                && !hasStaleDisk
                && !removedFromGroup
                && stateStore.localVoter() == null;
    }

    /** Another process of this router was found: this one does not say that its disk is there. */
    void onSelfConflict() {
        hasStaleDisk = true;
    }

    /** Closes the replica, where it runs. */
    void close() {
        if (replica != null) {
            replica.terminate();
        }
    }

    /** Null before the start. */
    Voter localVoter() {
        return localVoter;
    }

    /** Whether its disk may be counted on: neither unknown yet, nor an old copy, nor removed. */
    boolean mayBePresent() {
        return pendingAdmission == null && !hasStaleDisk && !removedFromGroup;
    }

    boolean hasStaleDisk() {
        return hasStaleDisk;
    }

    /** Whether its replica runs. */
    boolean isVoting() {
        return replica != null;
    }

    boolean isLeader() {
        return replica != null && replica.isLeader();
    }

    /** Null where it does not vote. */
    RaftReplica replica() {
        return replica;
    }
}
