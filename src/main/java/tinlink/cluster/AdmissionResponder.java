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
 * Answers the admission requests of other voters with what this router knows of their disks, so that no
 * router votes with an old copy of its disk. Event loop's thread only.
 */
final class AdmissionResponder {
    private final Membership membership;
    private final RaftStateStore stateStore;
    private final int maxVoters;
    /** The furthest known log position of each voter's disk; the oldest entry is evicted when full. */
    private final Map<Voter, LogPosition> knownPositions = new LinkedHashMap<>();

    /** @param maxVoters number of disks whose positions are remembered */
    AdmissionResponder(Membership membership, RaftStateStore stateStore, int maxVoters) {
        this.membership = membership;
        this.stateStore = stateStore;
        this.maxVoters = maxVoters;
    }

    /** Records the log position that a Raft message proves for its sender's disk. */
    void onRaftMessage(RaftMessage message) {
        LogPosition position = RaftReplica.confirmedPosition(message);
        if (position != null) {
            knownPositions.merge((Voter) message.getSender(), position, LogPosition::max);
        }
        if (knownPositions.size() > maxVoters) {
            knownPositions.remove(knownPositions.keySet().iterator().next());
        }
    }

    /** @param requester the requesting process, as its connection was authenticated */
    NodeMessage.AdmissionResponse respond(
            Incarnation requester, NodeMessage.AdmissionRequest request) {
        return new NodeMessage.AdmissionResponse(
                newestOtherIncarnation(requester),
                knownPositions.get(request.voter()),
                stateStore.logEnd());
    }

    /**
     * Returns the newest known incarnation of the requester's router, or its duplicate if the newest is the
     * requester itself; null if the router is unknown.
     */
    private Incarnation newestOtherIncarnation(Incarnation requester) {
        Member member = membership.member(requester.router());
        if (member == null) {
            return null;
        }
        return member.duplicate() != null && member.incarnation().equals(requester)
                ? member.duplicate()
                : member.incarnation();
    }
}
