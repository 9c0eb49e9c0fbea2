package tinlink.cluster;

import io.microraft.model.message.RaftMessage;

import tinlink.cluster.consensus.LogPosition;
import tinlink.cluster.consensus.RaftReplica;
import tinlink.cluster.consensus.RaftStateStore;
import tinlink.cluster.consensus.Voter;
import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.membership.Member;
import tinlink.cluster.membership.Membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells other voters what is known here of their disks, so that none votes by an old copy. Event loop's
 * thread only.
 */
final class AdmissionResponder {
    private final Membership membership;
    private final RaftStateStore stateStore;
    private final int maxVoters;
    /** How far others' disks are known to have been; the oldest entry gives way. */
    private final Map<Voter, LogPosition> knownPositions = new LinkedHashMap<>();

    /** @param maxVoters disks whose positions are remembered */
    AdmissionResponder(Membership membership, RaftStateStore stateStore, int maxVoters) {
        this.membership = membership;
        this.stateStore = stateStore;
        this.maxVoters = maxVoters;
    }

    /** Remembers what a message of Raft shows of its sender's disk. */
    void onRaftMessage(RaftMessage message) {
        LogPosition position = RaftReplica.confirmedPosition(message);
        if (position != null) {
            knownPositions.merge((Voter) message.getSender(), position, LogPosition::max);
        }
        if (knownPositions.size() > maxVoters) {
            knownPositions.remove(knownPositions.keySet().iterator().next());
        }
    }

    /** @param asker the process that has asked, as it is authenticated */
    NodeMessage.AdmissionResponse respond(Incarnation asker, NodeMessage.AdmissionRequest request) {
        return new NodeMessage.AdmissionResponse(
                knownBesides(asker), knownPositions.get(request.voter()), stateStore.logEnd());
    }

    /** What is known of the asking router: another process than the asking one, if there is another. */
    private Incarnation knownBesides(Incarnation asker) {
        Member member = membership.member(asker.router());
        if (member == null) {
            return null;
        }
        return member.duplicate() != null && member.incarnation().equals(asker)
                ? member.duplicate()
                : member.incarnation();
    }
}
