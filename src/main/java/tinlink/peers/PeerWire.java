package tinlink.peers;

import tinlink.net.BadMessage;
import tinlink.peers.choice.Life;
import tinlink.peers.choice.Rumor;
import tinlink.peers.choice.Standing;
import tinlink.sealed.Message;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The messages between routers that know each other. */
final class PeerWire extends Message {
    static final int VERSION = 1;
    static final byte HELLO = 1;
    static final byte CHALLENGE = 2;
    static final byte PROOF = 3;
    /** Of the membership: probes and their answers, with rumours. */
    static final byte MEMBER = 4;
    /** Of the agreement. */
    static final byte RAFT = 5;
    /** A subsystem's own; it says what it is. */
    static final byte WORD = 6;

    static final int NONCE = 32;
    static final int PROOF_BYTES = 32;
    static final int MOST_BEFORE = 1 << 10;
    /** A piece of a snapshot, or the lines that a router lacks, with what goes with them. */
    static final int MOST = 2 * RaftCodec.MOST_TEXT;

    private static final int MOST_RUMORS = 64;

    private PeerWire() {}

    static void life(Out o, Life l) {
        o.text(l.name()).eight(l.starts()).eight(l.word());
    }

    static Life life(ByteBuffer in) throws BadMessage {
        String name = text(in);
        if (name.isEmpty()) {
            throw bad("a router without a name");
        }
        return new Life(name, in.getLong(), in.getLong());
    }

    @SuppressWarnings("EnumOrdinal") // Standings are numbered in their order.
    static void rumors(Out o, List<Rumor> all) {
        o.byt(all.size());
        for (Rumor r : all) {
            life(o, r.life());
            o.eight(r.incarnation()).byt(r.standing().ordinal()).text(r.at()).text(r.by());
        }
    }

    @SuppressWarnings("EnumOrdinal") // As above.
    static List<Rumor> rumors(ByteBuffer in) throws BadMessage {
        int n = in.get();
        if (n < 0 || n > MOST_RUMORS) {
            throw bad(n + " rumours");
        }
        List<Rumor> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            Life l = life(in);
            long incarnation = in.getLong();
            int standing = in.get();
            if (standing < 0 || standing >= Standing.values().length) {
                throw bad("a standing of " + standing);
            }
            all.add(new Rumor(l, incarnation, Standing.values()[standing], text(in), text(in)));
        }
        return all;
    }
}
