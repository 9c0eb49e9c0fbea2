package tinlink.cluster;

import tinlink.net.BadMessage;
import tinlink.net.Ending;
import tinlink.cluster.membership.Incarnation;
import tinlink.sealed.Keys;
import tinlink.sealed.Message;
import tinlink.sealed.Session;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One connection between two peers. Who has called speaks on it, the other listens: so each way
 * between two routers is a connection of its own, and fails on its own.
 */
final class PeerSession extends Session {
    private static final Logger LOG = Logger.getLogger("tinlink.cluster");
    /** A frame's length and type. */
    private static final int FRAME_HEADER_BYTES = 5;

    private final PeerConnections connections;
    /** Where we have called; null where we were called. */
    final String dialedAddress;

    private String keyId = "";
    private byte[] hello;
    private byte[] challenge;
    /** Who is on the other side, once it has said so. */
    private Incarnation peerIncarnation;
    /** When something last went on it. */
    long lastUsedUs;

    PeerSession(PeerConnections connections, String dialedAddress) {
        super(connections.loop, connections.timeouts.handshakeUs(), PeerProtocol.MAX_HANDSHAKE_BYTES, PeerProtocol.MAX_FRAME_BYTES);
        this.connections = connections;
        this.dialedAddress = dialedAddress;
    }

    @Override
    public void up() {
        if (dialedAddress == null) {
            return; // Who was called listens first.
        }
        keyId = connections.keys.use();
        Message.Out out = new Message.Out().two(PeerProtocol.VERSION).text(keyId).text(connections.cluster);
        PeerProtocol.incarnation(out, connections.self);
        hello = out.bytes(connections.nonce()).made();
        send(PeerProtocol.HELLO, hello);
    }

    @Override
    public long send(byte type, byte[] body) {
        connections.traffic.countSent(
                type, body, FRAME_HEADER_BYTES + body.length + (wasProved() ? Message.SEAL_BYTES : 0));
        return super.send(type, body);
    }

    @Override
    public void message(byte type, byte[] whole) throws BadMessage {
        connections.traffic.countReceived(type, whole, 1, FRAME_HEADER_BYTES - 1 + whole.length);
        super.message(type, whole);
    }

    @Override
    protected void said(byte type, ByteBuffer in, byte[] whole) throws BadMessage {
        if (isProved()) {
            if (dialedAddress != null) {
                throw Message.bad("the one who was called speaks");
            }
            connections.dispatch(peerIncarnation, type, in);
        } else if (dialedAddress != null) {
            onChallenge(type, in, whole);
        } else if (hello == null) {
            onHello(type, in, whole);
        } else {
            onProof(type, in);
        }
    }

    private void onHello(byte type, ByteBuffer in, byte[] whole) throws BadMessage {
        if (type != PeerProtocol.HELLO || in.getShort() != PeerProtocol.VERSION) {
            throw Message.bad("no greeting of this version");
        }
        keyId = Message.text(in);
        String cluster = Message.text(in);
        peerIncarnation = PeerProtocol.incarnation(in);
        Message.bytes(in, PeerProtocol.NONCE_BYTES);
        if (!connections.keys.has(keyId) || !cluster.equals(connections.cluster)) {
            throw Message.bad(
                    "another cluster, or a key that is not known here: " + cluster + ", " + keyId);
        }
        hello = Arrays.copyOfRange(whole, 1, in.position());
        Message.Out out = new Message.Out().two(PeerProtocol.VERSION).text(connections.cluster);
        PeerProtocol.incarnation(out, connections.self);
        challenge = out.bytes(connections.nonce()).made();
        within(connections.timeouts.handshakeUs());
        send(
                PeerProtocol.CHALLENGE,
                new Message.Out()
                        .bytes(challenge)
                        .bytes(connections.keys.proof(keyId, "called proof", hello, challenge))
                        .made());
    }

    private void onChallenge(byte type, ByteBuffer in, byte[] whole) throws BadMessage {
        if (type != PeerProtocol.CHALLENGE || in.getShort() != PeerProtocol.VERSION) {
            throw Message.bad("no challenge of this version");
        }
        String cluster = Message.text(in);
        peerIncarnation = PeerProtocol.incarnation(in);
        Message.bytes(in, PeerProtocol.NONCE_BYTES);
        int signedEnd = in.position();
        byte[] proof = Message.bytes(in, PeerProtocol.PROOF_BYTES);
        challenge = Arrays.copyOfRange(whole, 1, signedEnd);
        if (!cluster.equals(connections.cluster)
                || !connections.keys.has(keyId)
                || !Keys.same(proof, connections.keys.proof(keyId, "called proof", hello, challenge))) {
            connections.counters.add("peers_wrong_proof");
            throw Message.bad("a wrong proof");
        }
        if (peerIncarnation.equals(connections.self)) {
            throw Message.bad("this router itself");
        }
        send(PeerProtocol.PROOF, connections.keys.proof(keyId, "caller proof", hello, challenge));
        sealed(connections.keys.proof(keyId, "session", hello, challenge), true);
        connections.opened(this);
    }

    private void onProof(byte type, ByteBuffer in) throws BadMessage {
        if (type != PeerProtocol.PROOF
                || !connections.keys.has(keyId)
                || !Keys.same(
                        Message.bytes(in, PeerProtocol.PROOF_BYTES),
                        connections.keys.proof(keyId, "caller proof", hello, challenge))) {
            connections.counters.add("peers_wrong_proof");
            throw Message.bad("a wrong proof");
        }
        sealed(connections.keys.proof(keyId, "session", hello, challenge), false);
        connections.sessionAuthenticated(this);
    }

    @Override
    protected void over(Ending reason) {
        LOG.log(Level.FINE, "event=peer_connection_closed peer={0} dialed={1} reason={2}", new Object[] {
            peer(), dialedAddress, reason
        });
        connections.sessionClosed(this);
    }

    @Override
    protected String peer() {
        return peerIncarnation == null ? String.valueOf(dialedAddress) : peerIncarnation.toString();
    }

    @Override
    protected void counted(String event) {
        connections.counters.add("peers_" + event);
    }

    @Override
    protected Logger log() {
        return LOG;
    }
}
