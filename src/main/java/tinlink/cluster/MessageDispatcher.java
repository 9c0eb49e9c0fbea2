package tinlink.cluster;

import io.microraft.model.message.RaftMessage;

import tinlink.cluster.consensus.RaftCodec;
import tinlink.cluster.consensus.Voter;
import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.transport.PeerConnections;
import tinlink.cluster.transport.PeerProtocol;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;

/** Routes the messages of other routers to the components of this node. Event loop's thread only. */
final class MessageDispatcher implements PeerConnections.MessageHandler {
    private final MembershipTransport membership;
    private final VoterLifecycle voter;
    private final AdmissionResponder admissionResponder;
    private final VoterSlots voterSlots;
    private final Learner learner;
    private final LeaderRequests leaderRequests;
    private final NodeMessageSender sender;

    MessageDispatcher(
            MembershipTransport membership,
            VoterLifecycle voter,
            AdmissionResponder admissionResponder,
            VoterSlots voterSlots,
            Learner learner,
            LeaderRequests leaderRequests,
            NodeMessageSender sender) {
        this.membership = membership;
        this.voter = voter;
        this.admissionResponder = admissionResponder;
        this.voterSlots = voterSlots;
        this.learner = learner;
        this.leaderRequests = leaderRequests;
        this.sender = sender;
    }

    @Override
    public void onMessage(Incarnation source, byte type, ByteBuffer payload)
            throws MessageRejectedException {
        switch (type) {
            case PeerProtocol.MEMBERSHIP -> membership.onMessage(payload);
            case PeerProtocol.RAFT -> onRaftMessage(payload);
            case PeerProtocol.NODE ->
                onNodeMessage(source, NodeMessageCodec.decode(source.router(), payload));
            default -> throw MessageCodec.malformed("frame of unknown type " + type);
        }
    }

    private void onRaftMessage(ByteBuffer payload) throws MessageRejectedException {
        Voter recipient = RaftCodec.voter(payload);
        RaftMessage message = RaftCodec.decode(payload);
        admissionResponder.onRaftMessage(message);
        voter.onRaftMessage(recipient, message);
    }

    private void onNodeMessage(Incarnation source, NodeMessage message) {
        String router = source.router();
        if (message instanceof NodeMessage.Learn learn) {
            learner.onLearn(router, learn);
        } else if (message instanceof NodeMessage.Learned learned) {
            learner.onLearned(learned);
        } else if (message instanceof NodeMessage.Propose propose) {
            leaderRequests.onPropose(router, propose);
        } else if (message instanceof NodeMessage.Proposed proposed) {
            leaderRequests.onProposed(proposed);
        } else if (message instanceof NodeMessage.AdmissionRequest admissionRequest) {
            sender.send(router, admissionResponder.respond(source, admissionRequest));
        } else if (message instanceof NodeMessage.AdmissionResponse admissionResponse) {
            voter.onAdmissionResponse(router, admissionResponse);
        } else if (message instanceof NodeMessage.Report report) {
            leaderRequests.onReport(router, report);
        } else if (message instanceof NodeMessage.Presence presence) {
            voterSlots.onPresence(router, presence);
        } else if (message instanceof NodeMessage.ReplaceVoter replaceVoter) {
            voterSlots.onReplaceVoter(replaceVoter);
        } else if (message instanceof NodeMessage.ConfirmRequest confirmRequest) {
            leaderRequests.onConfirmRequest(router, confirmRequest);
        } else if (message instanceof NodeMessage.ConfirmResponse confirmResponse) {
            leaderRequests.onConfirmResponse(confirmResponse);
        }
    }
}
