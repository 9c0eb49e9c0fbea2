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
 * Encodes and decodes {@link NodeMessage}s: the code of the kind, the sender's name, then the fields of the
 * kind. The handshake carries the version, {@link PeerProtocol#VERSION}.
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
                    .putByte(proposed.isCommitted() ? 1 : 0)
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
        Incarnation incarnation = message.knownIncarnation();
        out.putByte(incarnation == null ? 0 : 1);
        if (incarnation != null) {
            PeerProtocol.encodeIncarnation(out, incarnation);
        }
        LogPosition position = message.knownPosition();
        out.putByte(position == null ? 0 : 1);
        if (position != null) {
            out.putInt(position.term()).putLong(position.confirmedIndex());
        }
        RecoveryFloor logEnd = message.logEnd();
        out.putInt(logEnd.term()).putInt(logEnd.lastTerm()).putLong(logEnd.lastIndex());
    }

    /**
     * Decodes a message.
     *
     * @param authenticatedSender the name of the router that the connection was authenticated for
     * @throws MessageRejectedException if the message is malformed, of an unknown kind, or names another
     *     router as its sender
     * @throws java.nio.BufferUnderflowException if the message is too short
     */
    static NodeMessage decode(String authenticatedSender, ByteBuffer buffer)
            throws MessageRejectedException {
        int code = buffer.get();
        String sender = MessageCodec.readText(buffer);
        if (!sender.equals(authenticatedSender)) {
            throw MessageCodec.malformed(
                    "node message names another router than its connection was authenticated for");
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
            default -> throw MessageCodec.malformed("node message of unknown kind " + code);
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
        Incarnation knownIncarnation =
                buffer.get() == 0 ? null : PeerProtocol.decodeIncarnation(buffer);
        LogPosition knownPosition =
                buffer.get() == 0 ? null : new LogPosition(buffer.getInt(), buffer.getLong());
        return new AdmissionResponse(
                knownIncarnation,
                knownPosition,
                new RecoveryFloor(buffer.getInt(), buffer.getInt(), buffer.getLong()));
    }

    private static String longText(ByteBuffer buffer) throws MessageRejectedException {
        return MessageCodec.readLongText(buffer, RaftCodec.MAX_TEXT_BYTES);
    }
}
