package tinlink.cluster;

import tinlink.cluster.membership.Rumor;
import tinlink.cluster.transport.MessageKind;
import tinlink.cluster.transport.PeerProtocol;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.List;

/** Encodes and decodes {@link MembershipMessage}s, in the version that the handshake has agreed on. */
final class MembershipMessageCodec {
    private MembershipMessageCodec() {}

    static byte[] encode(MembershipMessage message) {
        MessageCodec.Builder out = new MessageCodec.Builder()
                .putByte(message.kind().code())
                .putLong(message.sequenceNumber())
                .putText(message.target());
        PeerProtocol.encodeRumors(out, message.rumors());
        return out.build();
    }

    /**
     * Decodes a message.
     *
     * @throws MessageRejectedException if the message is malformed or lacks the sender's own rumor
     * @throws java.nio.BufferUnderflowException if the message is too short
     */
    static MembershipMessage decode(ByteBuffer buffer) throws MessageRejectedException {
        MessageKind kind = MessageKind.ofMembership(buffer.get());
        long sequenceNumber = buffer.getLong();
        String target = MessageCodec.readText(buffer);
        List<Rumor> rumors = PeerProtocol.decodeRumors(buffer);
        if (rumors.isEmpty()) {
            throw MessageCodec.malformed("membership message without the rumor of its sender");
        }
        return new MembershipMessage(kind, sequenceNumber, target, rumors);
    }
}
