package tinlink.cluster.transport;

import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.membership.MemberState;
import tinlink.cluster.membership.Rumor;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Types of the frames between the routers of a cluster, and the encoding of what several messages share. The
 * protocol version is exchanged in the handshake and holds for all messages of the connection.
 */
public final class PeerProtocol {
    /** Version of the handshake and of all messages after it. */
    public static final int VERSION = 1;
    /** The first message, from the router that opened the connection: its cluster, key id and incarnation. */
    public static final byte HELLO = 1;
    /** Answers {@link #HELLO}, and proves that the sender has the key. */
    public static final byte CHALLENGE = 2;
    /** Answers {@link #CHALLENGE}, and proves that the sender has the key. */
    public static final byte PROOF = 3;
    /** Probes and their answers, along with rumors. */
    public static final byte MEMBERSHIP = 4;
    /** A Raft message, after the voter to whom it is addressed. */
    public static final byte RAFT = 5;
    /** Any other message between two routers; its first byte is the code of its {@link MessageKind}. */
    public static final byte NODE = 6;

    static final int NONCE_BYTES = 32;
    static final int PROOF_BYTES = 32;
    static final int MAX_HANDSHAKE_BYTES = 1 << 10;
    /**
     * Twice the longest text, which leaves room for the fields that go with a snapshot chunk, or with the
     * lines that a learner is missing.
     */
    static final int MAX_FRAME_BYTES = 2 << 20;

    private static final int MAX_RUMORS = 64;

    private PeerProtocol() {}

    /** Encodes an incarnation. */
    public static void encodeIncarnation(MessageCodec.Builder out, Incarnation incarnation) {
        out.putText(incarnation.router())
                .putLong(incarnation.startCount())
                .putLong(incarnation.nonce());
    }

    /**
     * Decodes an incarnation.
     *
     * @throws MessageRejectedException if the incarnation is malformed
     */
    public static Incarnation decodeIncarnation(ByteBuffer buffer) throws MessageRejectedException {
        String router = MessageCodec.readText(buffer);
        if (router.isEmpty()) {
            throw MessageCodec.malformed(
                    "expected an incarnation of a router, found an empty name");
        }
        return new Incarnation(router, buffer.getLong(), buffer.getLong());
    }

    /** Encodes rumors. The state of a member is encoded by its ordinal. */
    @SuppressWarnings("EnumOrdinal")
    public static void encodeRumors(MessageCodec.Builder out, List<Rumor> rumors) {
        out.putByte(rumors.size());
        for (Rumor rumor : rumors) {
            encodeIncarnation(out, rumor.incarnation());
            out.putLong(rumor.refutationCount())
                    .putByte(rumor.state().ordinal())
                    .putText(rumor.address())
                    .putText(rumor.suspectedBy());
        }
    }

    /**
     * Decodes rumors.
     *
     * @throws MessageRejectedException if a rumor is malformed, or there are too many
     */
    @SuppressWarnings("EnumOrdinal")
    public static List<Rumor> decodeRumors(ByteBuffer buffer) throws MessageRejectedException {
        int count = buffer.get();
        if (count < 0 || count > MAX_RUMORS) {
            throw MessageCodec.malformed("expected 0 to " + MAX_RUMORS + " rumors, found " + count);
        }
        List<Rumor> rumors = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Incarnation incarnation = decodeIncarnation(buffer);
            long refutationCount = buffer.getLong();
            int state = buffer.get();
            if (state < 0 || state >= MemberState.values().length) {
                throw MessageCodec.malformed("unknown member state " + state);
            }
            rumors.add(new Rumor(
                    incarnation,
                    refutationCount,
                    MemberState.values()[state],
                    MessageCodec.readText(buffer),
                    MessageCodec.readText(buffer)));
        }
        return rumors;
    }
}
