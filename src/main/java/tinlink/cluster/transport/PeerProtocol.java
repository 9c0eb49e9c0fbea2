package tinlink.cluster.transport;

import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.membership.MemberState;
import tinlink.cluster.membership.Rumor;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The messages between routers that know each other. */
public final class PeerProtocol extends MessageCodec {
    public static final int VERSION = 1;
    public static final byte HELLO = 1;
    public static final byte CHALLENGE = 2;
    public static final byte PROOF = 3;
    /** Of the membership: probes and their answers, with rumors. */
    public static final byte MEMBERSHIP = 4;
    /** Of the agreement. */
    public static final byte RAFT = 5;
    /** A subsystem's own; it says what it is. */
    public static final byte NODE = 6;

    public static final int NONCE_BYTES = 32;
    public static final int PROOF_BYTES = 32;
    public static final int MAX_HANDSHAKE_BYTES = 1 << 10;
    /** A chunk of a snapshot, or the lines that a router lacks, with what goes with them: twice the longest text. */
    public static final int MAX_FRAME_BYTES = 2 << 20;

    private static final int MAX_RUMORS = 64;

    private PeerProtocol() {}

    public static void incarnation(Builder out, Incarnation incarnation) {
        out.putText(incarnation.router())
                .putLong(incarnation.startCount())
                .putLong(incarnation.nonce());
    }

    public static Incarnation incarnation(ByteBuffer in) throws MessageRejectedException {
        String name = readText(in);
        if (name.isEmpty()) {
            throw malformed("a router without a name");
        }
        return new Incarnation(name, in.getLong(), in.getLong());
    }

    @SuppressWarnings("EnumOrdinal") // Standings are numbered in their order.
    public static void rumors(Builder out, List<Rumor> rumors) {
        out.putByte(rumors.size());
        for (Rumor rumor : rumors) {
            incarnation(out, rumor.incarnation());
            out.putLong(rumor.refutationCount())
                    .putByte(rumor.state().ordinal())
                    .putText(rumor.address())
                    .putText(rumor.suspectedBy());
        }
    }

    @SuppressWarnings("EnumOrdinal") // As above.
    public static List<Rumor> rumors(ByteBuffer in) throws MessageRejectedException {
        int count = in.get();
        if (count < 0 || count > MAX_RUMORS) {
            throw malformed(count + " rumours");
        }
        List<Rumor> rumors = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Incarnation incarnation = incarnation(in);
            long refutationCount = in.getLong();
            int state = in.get();
            if (state < 0 || state >= MemberState.values().length) {
                throw malformed("a standing of " + state);
            }
            rumors.add(new Rumor(
                    incarnation,
                    refutationCount,
                    MemberState.values()[state],
                    readText(in),
                    readText(in)));
        }
        return rumors;
    }
}
