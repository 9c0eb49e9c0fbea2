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
 * The frames between routers of a cluster, and what their bodies share. The handshake carries the version,
 * for all messages of its connection.
 */
public final class PeerProtocol {
    /** Of the handshake, and of all that follows it. */
    public static final int VERSION = 1;
    /** Of the router that has connected, first: its cluster, key and incarnation. */
    public static final byte HELLO = 1;
    /** Answers {@link #HELLO}, and proves the key. */
    public static final byte CHALLENGE = 2;
    /** Answers {@link #CHALLENGE}, and proves the key. */
    public static final byte PROOF = 3;
    /** Probes and their answers, with rumors. */
    public static final byte MEMBERSHIP = 4;
    /** A voter and a message of Raft for it. */
    public static final byte RAFT = 5;
    /** A message of one node to another; its first byte is its kind. */
    public static final byte NODE = 6;

    static final int NONCE_BYTES = 32;
    static final int PROOF_BYTES = 32;
    static final int MAX_HANDSHAKE_BYTES = 1 << 10;
    /**
     * A chunk of a snapshot, or the lines that a router lacks, with what goes with them: twice the longest
     * text.
     */
    static final int MAX_FRAME_BYTES = 2 << 20;

    private static final int MAX_RUMORS = 64;

    private PeerProtocol() {}

    /** Writes which process of a router it is. */
    public static void encodeIncarnation(MessageCodec.Builder out, Incarnation incarnation) {
        out.putText(incarnation.router())
                .putLong(incarnation.startCount())
                .putLong(incarnation.nonce());
    }

    /**
     * Reads which process of a router it is.
     *
     * @throws MessageRejectedException where it is malformed
     */
    public static Incarnation decodeIncarnation(ByteBuffer buffer) throws MessageRejectedException {
        String name = MessageCodec.readText(buffer);
        if (name.isEmpty()) {
            throw MessageCodec.malformed("a router without a name");
        }
        return new Incarnation(name, buffer.getLong(), buffer.getLong());
    }

    /** Writes rumors; states are numbered in their order. */
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
     * Reads rumors.
     *
     * @throws MessageRejectedException where they are malformed or too many
     */
    @SuppressWarnings("EnumOrdinal")
    public static List<Rumor> decodeRumors(ByteBuffer buffer) throws MessageRejectedException {
        int count = buffer.get();
        if (count < 0 || count > MAX_RUMORS) {
            throw MessageCodec.malformed(count + " rumors");
        }
        List<Rumor> rumors = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Incarnation incarnation = decodeIncarnation(buffer);
            long refutationCount = buffer.getLong();
            int state = buffer.get();
            if (state < 0 || state >= MemberState.values().length) {
                throw MessageCodec.malformed("a member state of " + state);
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
