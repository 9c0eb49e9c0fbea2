package tinlink.cluster;

import tinlink.cluster.NodeMessage.AdmissionRequest;
import tinlink.cluster.NodeMessage.AdmissionResponse;
import tinlink.cluster.NodeMessage.ConfirmRequest;
import tinlink.cluster.NodeMessage.ConfirmResponse;
import tinlink.cluster.NodeMessage.Learn;
import tinlink.cluster.NodeMessage.Learned;
import tinlink.cluster.NodeMessage.Presence;
import tinlink.cluster.NodeMessage.Propose;
import tinlink.cluster.NodeMessage.Proposed;
import tinlink.cluster.NodeMessage.ReplaceVoter;
import tinlink.cluster.NodeMessage.Report;
import tinlink.cluster.consensus.LearnerLog;
import tinlink.cluster.consensus.LogPosition;
import tinlink.cluster.consensus.RaftCodec;
import tinlink.cluster.consensus.RecoveryFloor;
import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.transport.MessageKind;
import tinlink.cluster.transport.PeerProtocol;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * {@link NodeMessage}s as bytes: the code of the kind, the sender's name, then what the kind has. The version
 * is that of the handshake, {@link PeerProtocol#VERSION}.
 */
final class NodeMessageCodec {
    private static final int NO_BATCH = 0;
    private static final int LINES = 1;
    private static final int SNAPSHOT = 2;

    private NodeMessageCodec() {}

    static byte[] encode(String sender, NodeMessage message) {
        MessageCodec.Builder out =
                new MessageCodec.Builder().putByte(message.kind().code()).putText(sender);
        if (message instanceof Learn learn) {
            out.putLong(learn.afterIndex());
        } else if (message instanceof Learned learned) {
            encode(out, learned);
        } else if (message instanceof Propose propose) {
            out.putLong(propose.proposalId()).putLongText(propose.line());
        } else if (message instanceof Proposed proposed) {
            out.putLong(proposed.proposalId())
                    .putByte(proposed.isAgreed() ? 1 : 0)
                    .putLongText(proposed.text());
        } else if (message instanceof AdmissionRequest admissionRequest) {
            out.putText(admissionRequest.voter().toString());
        } else if (message instanceof AdmissionResponse admissionResponse) {
            encode(out, admissionResponse);
        } else if (message instanceof Report report) {
            out.putLongText(report.line());
        } else if (message instanceof Presence presence) {
            out.putText(presence.diskId());
        } else if (message instanceof ReplaceVoter replaceVoter) {
            out.putText(replaceVoter.removedRouter()).putText(replaceVoter.addedRouter());
        } else if (message instanceof ConfirmRequest confirmRequest) {
            out.putLong(confirmRequest.requestId());
        } else if (message instanceof ConfirmResponse confirmResponse) {
            out.putLong(confirmResponse.requestId()).putLong(confirmResponse.commitIndex());
        }
        return out.build();
    }

    private static void encode(MessageCodec.Builder out, Learned message) {
        LearnerLog.Batch batch = message.batch();
        out.putText(message.leader()).putLong(message.afterIndex());
        if (batch == null) {
            out.putByte(NO_BATCH);
        } else {
            out.putByte(batch.isSnapshot() ? SNAPSHOT : LINES)
                    .putLong(batch.index())
                    .putLongText(String.join("\n", batch.lines()));
        }
    }

    private static void encode(MessageCodec.Builder out, AdmissionResponse message) {
        Incarnation known = message.known();
        out.putByte(known == null ? 0 : 1);
        if (known != null) {
            PeerProtocol.encodeIncarnation(out, known);
        }
        LogPosition position = message.position();
        out.putByte(position == null ? 0 : 1);
        if (position != null) {
            out.putInt(position.term()).putLong(position.confirmedIndex());
        }
        RecoveryFloor end = message.logEnd();
        out.putInt(end.term()).putInt(end.lastTerm()).putLong(end.lastIndex());
    }

    /**
     * @param authenticatedSender the router that the connection was authenticated for
     * @throws MessageRejectedException where it is malformed, of an unknown kind, or speaks for another
     *     router; a buffer that is too short throws its own
     */
    static NodeMessage decode(String authenticatedSender, ByteBuffer buffer)
            throws MessageRejectedException {
        int code = buffer.get();
        String sender = MessageCodec.readText(buffer);
        if (!sender.equals(authenticatedSender)) {
            throw MessageCodec.malformed("it speaks for another router");
        }
        return switch (MessageKind.ofNode(code)) {
            case LEARN -> new Learn(buffer.getLong());
            case LEARNED -> learned(buffer);
            case PROPOSE -> new Propose(buffer.getLong(), longText(buffer));
            case PROPOSED -> new Proposed(buffer.getLong(), buffer.get() == 1, longText(buffer));
            case ADMISSION_REQUEST -> new AdmissionRequest(RaftCodec.voter(buffer));
            case ADMISSION_RESPONSE -> admissionResponse(buffer);
            case REPORT -> new Report(longText(buffer));
            case PRESENCE -> new Presence(MessageCodec.readText(buffer));
            case REPLACE_VOTER ->
                new ReplaceVoter(MessageCodec.readText(buffer), MessageCodec.readText(buffer));
            case CONFIRM_REQUEST -> new ConfirmRequest(buffer.getLong());
            case CONFIRM_RESPONSE -> new ConfirmResponse(buffer.getLong(), buffer.getLong());
            default -> throw MessageCodec.malformed("a node message of kind " + code);
        };
    }

    private static Learned learned(ByteBuffer buffer) throws MessageRejectedException {
        String leader = MessageCodec.readText(buffer);
        long afterIndex = buffer.getLong();
        int content = buffer.get();
        if (content == NO_BATCH) {
            return new Learned(leader, afterIndex, null);
        }
        long index = buffer.getLong();
        List<String> lines = longText(buffer).lines().toList();
        return new Learned(
                leader, afterIndex, new LearnerLog.Batch(index, content == SNAPSHOT, lines));
    }

    private static AdmissionResponse admissionResponse(ByteBuffer buffer)
            throws MessageRejectedException {
        Incarnation known = buffer.get() == 0 ? null : PeerProtocol.decodeIncarnation(buffer);
        LogPosition position =
                buffer.get() == 0 ? null : new LogPosition(buffer.getInt(), buffer.getLong());
        return new AdmissionResponse(
                known,
                position,
                new RecoveryFloor(buffer.getInt(), buffer.getInt(), buffer.getLong()));
    }

    private static String longText(ByteBuffer buffer) throws MessageRejectedException {
        return MessageCodec.readLongText(buffer, RaftCodec.MAX_TEXT_BYTES);
    }
}
