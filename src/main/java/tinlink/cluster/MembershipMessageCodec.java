package tinlink.cluster;

import tinlink.cluster.membership.Rumor;
import tinlink.cluster.transport.MessageKind;
import tinlink.cluster.transport.PeerProtocol;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.List;

/** {@link MembershipMessage}s as bytes; their version is that of the handshake. */
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
     * @throws MessageRejectedException where it is malformed or does not name its sender; a buffer that
     *     is too short throws its own
     */
    static MembershipMessage decode(ByteBuffer buffer) throws MessageRejectedException {
        MessageKind kind = MessageKind.ofMembership(buffer.get());
        long sequenceNumber = buffer.getLong();
        String target = MessageCodec.readText(buffer);
        List<Rumor> rumors = PeerProtocol.decodeRumors(buffer);
        if (rumors.isEmpty()) {
            throw MessageCodec.malformed("a membership message that does not name its sender");
        }
        return new MembershipMessage(kind, sequenceNumber, target, rumors);
    }
}
