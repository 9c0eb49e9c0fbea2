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
 * The assignment of voter slots to disks. Each router announces its disk to the leader. The leader gives the
 * slot of a lost disk to the new disk of the same router, and on an operator's command the slot of a router
 * to another router. Event loop's thread only.
 */
final class VoterSlots {
    private static final EventLog LOG = new EventLog("tinlink.cluster");
    /**
     * Seconds of the Raft library after which a router that has not announced its disk no longer counts as
     * present.
     */
    private static final int PRESENCE_TIMEOUT_SECONDS = 16;

    /** @param diskId the disk's id in hex */
    private record PresentDisk(String diskId, long lastSeenUs) {}

    private final EventLoop loop;
    private final ClusterSettings settings;
    private final VoterLifecycle voter;
    private final KnownLeader leader;
    private final NodeMessageSender sender;
    private final Counters counters;
    /** Announced disks by router, on the leader only; at most {@code maxRouters}. */
    private final Map<String, PresentDisk> presentDisks = new TreeMap<>();
    /**
     * Replacements requested by operators: the new router by the router that loses its slot. An entry is
     * removed once carried out, all entries when this router no longer leads.
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

    /** Returns the routers that vote; on a router that does not vote, the configured initial voters. */
    Set<String> voters() {
        return voter.isVoting()
                ? new TreeSet<>(disksByVoter().keySet())
                : settings.routers().initialVoters();
    }

    private Map<String, String> disksByVoter() {
        Map<String, String> disks = new TreeMap<>();
        voter.replica().committedMembers().getMembers().forEach(member -> {
            Voter groupVoter = (Voter) member;
            disks.put(groupVoter.router(), Long.toHexString(groupVoter.diskId()));
        });
        return disks;
    }

    /**
     * Announces this router's disk; on the leader, starts the next change of the group. Called periodically.
     */
    void tick() {
        announcePresence();
        if (!voter.isLeader()) {
            presentDisks.clear();
            operatorReplacements.clear();
            changeInProgress = false;
            return;
        }
        presentDisks
                .values()
                .removeIf(disk -> loop.nowUs() - disk.lastSeenUs()
                        > PRESENCE_TIMEOUT_SECONDS * settings.timing().librarySecondUs());
        VoterReplacement.Change next = nextChange();
        if (next != null) {
            boolean adding = next.removed() == null;
            Voter changed = Voter.parse(adding ? next.added() : next.removed());
            if (!changed.equals(voter.localVoter())) {
                changeGroup(changed, adding);
            }
        }
    }

    private void announcePresence() {
        if (!voter.mayAnnouncePresence() || !leader.isKnown()) {
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
        if (presentDisks.size() < settings.limits().maxRouters()
                || presentDisks.containsKey(router)) {
            presentDisks.put(router, new PresentDisk(diskId, loop.nowUs()));
        }
    }

    /** Returns the next change of the group; null if none is due or one is in progress. */
    private VoterReplacement.Change nextChange() {
        Map<String, String> voters = disksByVoter();
        Set<String> initialVoters = settings.routers().initialVoters();
        Map<String, String> eligible = new TreeMap<>();
        presentDisks.forEach((router, disk) -> {
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

    private void changeGroup(Voter changed, boolean adding) {
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
     * Gives a router's voter slot to another router, on an operator's command. The command may get lost; its
     * outcome is visible in {@link #voters}.
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
