package tinlink.cluster;

import tinlink.cluster.NodeMessage.Presence;
import tinlink.cluster.NodeMessage.ReplaceVoter;
import tinlink.cluster.consensus.Voter;
import tinlink.cluster.consensus.VoterReplacement;
import tinlink.net.Counters;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.logging.Level;

/**
 * Which disks vote. Each router says with which disk it runs; the leader gives the voter slots of lost
 * disks to the new ones, and of routers to others where an operator says so. Event loop's thread only.
 */
final class VoterSlots {
    private static final EventLog LOG = new EventLog("tinlink.cluster");
    /**
     * Seconds of the Raft library after which a router that does not say that its disk is there is not
     * counted on.
     */
    private static final int PRESENCE_TIMEOUT_SECONDS = 16;

    /** @param diskId in hex */
    private record PresentDisk(String diskId, long lastSeenUs) {}

    private final EventLoop loop;
    private final ClusterSettings settings;
    private final VoterLifecycle voter;
    private final KnownLeader leader;
    private final NodeMessageSender sender;
    private final Counters counters;
    /** On the leader, by router; as many as may be known. */
    private final Map<String, PresentDisk> present = new TreeMap<>();
    /**
     * By an operator's command, whose slot goes to whom; each leaves as it has gone, all as another leads.
     */
    private final Map<String, String> operatorReplacements = new TreeMap<>();

    private boolean changeInProgress;

    VoterSlots(
            EventLoop loop,
            ClusterSettings settings,
            VoterLifecycle voter,
            KnownLeader leader,
            NodeMessageSender sender,
            Counters counters) {
        this.loop = loop;
        this.settings = settings;
        this.voter = voter;
        this.leader = leader;
        this.sender = sender;
        this.counters = counters;
    }

    /** Routers that vote as the group stands; the configured ones where this router does not vote. */
    Set<String> voters() {
        return voter.isVoting()
                ? new TreeSet<>(disksByVoter().keySet())
                : settings.routers().initialVoters();
    }

    private Map<String, String> disksByVoter() {
        Map<String, String> disks = new TreeMap<>();
        voter.replica().committedMembers().getMembers().forEach(m -> {
            Voter member = (Voter) m;
            disks.put(member.router(), Long.toHexString(member.diskId()));
        });
        return disks;
    }

    /**
     * Says with which disk this router runs; on the leader, makes the next change. To be called
     * periodically.
     */
    void tick() {
        announcePresence();
        if (!voter.isLeader()) {
            present.clear();
            operatorReplacements.clear();
            changeInProgress = false;
            return;
        }
        present.values()
                .removeIf(disk -> loop.nowUs() - disk.lastSeenUs()
                        > PRESENCE_TIMEOUT_SECONDS * settings.timing().librarySecondUs());
        VoterReplacement.Change next = nextChange();
        if (next != null) {
            boolean adding = next.removed() == null;
            Voter changed = Voter.parse(adding ? next.added() : next.removed());
            if (!changed.equals(voter.localVoter())) {
                change(changed, adding);
            }
        }
    }

    private void announcePresence() {
        if (!voter.mayBePresent() || !leader.isKnown()) {
            return;
        }
        String diskId = Long.toHexString(voter.localVoter().diskId());
        if (voter.isLeader()) {
            recordPresence(settings.local().router(), diskId);
        } else {
            sender.send(leader.router(), new Presence(diskId));
        }
    }

    void onPresence(String router, Presence message) {
        if (voter.isLeader()) {
            recordPresence(router, message.diskId());
        }
    }

    private void recordPresence(String router, String diskId) {
        if (present.size() < settings.limits().maxRouters() || present.containsKey(router)) {
            present.put(router, new PresentDisk(diskId, loop.nowUs()));
        }
    }

    /** Null where none is due, or one is under way. */
    private VoterReplacement.Change nextChange() {
        Map<String, String> voters = disksByVoter();
        Set<String> initialVoters = settings.routers().initialVoters();
        Map<String, String> eligible = new TreeMap<>();
        present.forEach((router, disk) -> {
            if (voters.containsKey(router)
                    || initialVoters.contains(router)
                    || operatorReplacements.containsValue(router)) {
                eligible.put(router, disk.diskId());
            }
        });
        operatorReplacements
                .keySet()
                .removeIf(router ->
                        !voters.containsKey(router) && voters.size() >= initialVoters.size());
        return changeInProgress
                ? null
                : VoterReplacement.nextChange(
                        voters, eligible, operatorReplacements, initialVoters.size());
    }

    private void change(Voter changed, boolean adding) {
        changeInProgress = true;
        LOG.log(
                Level.WARNING,
                "voter_change",
                "change",
                adding ? "add" : "remove",
                "voter",
                changed);
        voter.replica()
                .changeMembership(
                        changed,
                        adding,
                        (result, failure) -> loop.execute(() -> {
                            changeInProgress = false;
                            counters.increment(
                                    failure == null
                                            ? "peers_seats_changed"
                                            : "peers_seats_not_changed");
                        }));
    }

    /**
     * An operator gives a router's voter slot to another; it may get lost, and is seen in {@link #voters}.
     */
    void replace(String removedRouter, String addedRouter) {
        if (voter.isLeader()) {
            if (operatorReplacements.size() < settings.limits().maxRouters()) {
                operatorReplacements.put(removedRouter, addedRouter);
            }
        } else if (leader.isKnown()) {
            sender.send(leader.router(), new ReplaceVoter(removedRouter, addedRouter));
        }
    }

    void onReplaceVoter(ReplaceVoter message) {
        if (voter.isLeader()) {
            replace(message.removedRouter(), message.addedRouter());
        }
    }
}
