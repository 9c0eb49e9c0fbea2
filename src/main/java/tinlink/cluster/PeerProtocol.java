package tinlink.cluster;

import tinlink.net.BadMessage;
import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.membership.Rumor;
import tinlink.cluster.membership.MemberState;
import tinlink.sealed.Message;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The messages between routers that know each other. */
final class PeerProtocol extends Message {
    static final int VERSION = 1;
    static final byte HELLO = 1;
    static final byte CHALLENGE = 2;
    static final byte PROOF = 3;
    /** Of the membership: probes and their answers, with rumors. */
    static final byte MEMBERSHIP = 4;
    /** Of the agreement. */
    static final byte RAFT = 5;
    /** A subsystem's own; it says what it is. */
    static final byte NODE = 6;

    static final int NONCE_BYTES = 32;
    static final int PROOF_BYTES = 32;
    static final int MAX_HANDSHAKE_BYTES = 1 << 10;
    /** A piece of a snapshot, or the lines that a router lacks, with what goes with them. */
    static final int MAX_FRAME_BYTES = 2 * RaftCodec.MAX_TEXT_BYTES;

    private static final int MAX_RUMORS = 64;

    private PeerProtocol() {}

    static void incarnation(Out out, Incarnation incarnation) {
        out.text(incarnation.router()).eight(incarnation.startCount()).eight(incarnation.nonce());
    }

    static Incarnation incarnation(ByteBuffer in) throws BadMessage {
        String name = text(in);
        if (name.isEmpty()) {
            throw bad("a router without a name");
        }
        return new Incarnation(name, in.getLong(), in.getLong());
    }

    @SuppressWarnings("EnumOrdinal") // Standings are numbered in their order.
    static void rumors(Out out, List<Rumor> rumors) {
        out.byt(rumors.size());
        for (Rumor rumor : rumors) {
            incarnation(out, rumor.incarnation());
            out.eight(rumor.refutationCount()).byt(rumor.state().ordinal()).text(rumor.address()).text(rumor.suspectedBy());
        }
    }

    @SuppressWarnings("EnumOrdinal") // As above.
    static List<Rumor> rumors(ByteBuffer in) throws BadMessage {
        int count = in.get();
        if (count < 0 || count > MAX_RUMORS) {
            throw bad(count + " rumours");
        }
        List<Rumor> rumors = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Incarnation incarnation = incarnation(in);
            long refutationCount = in.getLong();
            int state = in.get();
            if (state < 0 || state >= MemberState.values().length) {
                throw bad("a standing of " + state);
            }
            rumors.add(new Rumor(incarnation, refutationCount, MemberState.values()[state], text(in), text(in)));
        }
        return rumors;
    }
}
