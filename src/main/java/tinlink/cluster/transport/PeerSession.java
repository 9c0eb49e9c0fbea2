package tinlink.cluster.transport;

import tinlink.cluster.membership.Incarnation;
import tinlink.net.CloseReason;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.FrameFormat;
import tinlink.securechannel.KeyRing;
import tinlink.securechannel.MessageCodec;
import tinlink.securechannel.SecureSession;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One connection between two routers. After the handshake, only the router that opened the connection sends
 * on it. So each direction between two routers has a connection of its own, which fails on its own.
 */
final class PeerSession extends SecureSession {
    private static final Logger LOG = Logger.getLogger("tinlink.cluster");
    /** Length and type of a frame. */
    private static final int FRAME_HEADER_BYTES = 5;

    private final PeerConnections connections;
    /** The address that this router has connected to; null if the other router opened the connection. */
    final String dialedAddress;

    private String keyId = "";
    /** The body of {@link PeerProtocol#HELLO}; null until it was sent or received. */
    private byte[] hello;
    /** The body of {@link PeerProtocol#CHALLENGE} without its proof; null until it was sent or received. */
    private byte[] challenge;
    /** The process at the other end, as it has named itself; null until then. */
    private Incarnation peerIncarnation;
    /** When a message was last sent on the connection. */
    long lastUsedUs;

    PeerSession(PeerConnections connections, String dialedAddress) {
        super(
                connections.loop,
                connections.timeouts.handshakeUs(),
                PeerProtocol.MAX_HANDSHAKE_BYTES,
                PeerProtocol.MAX_FRAME_BYTES);
        this.connections = connections;
        this.dialedAddress = dialedAddress;
    }

    @Override
    public void connected() {
        if (dialedAddress == null) {
            return; // The router that accepted a connection waits for HELLO.
        }
        keyId = connections.keys.activeKeyId();
        MessageCodec.Builder out = new MessageCodec.Builder()
                .putShort(PeerProtocol.VERSION)
                .putText(keyId)
                .putText(connections.self.cluster());
        PeerProtocol.encodeIncarnation(out, connections.self.incarnation());
        hello = out.putBytes(connections.newNonce()).build();
        send(PeerProtocol.HELLO, hello);
    }

    @Override
    public long send(byte type, byte[] body) {
        connections.traffic.countSent(
                type,
                body,
                FRAME_HEADER_BYTES
                        + body.length
                        + (wasAuthenticated() ? FrameFormat.TAG_BYTES : 0));
        return super.send(type, body);
    }

    @Override
    public void onFrame(byte type, byte[] whole) throws MessageRejectedException {
        connections.traffic.countReceived(type, whole, 1, FRAME_HEADER_BYTES - 1 + whole.length);
        super.onFrame(type, whole);
    }

    @Override
    protected void onMessage(byte type, ByteBuffer payload, byte[] whole)
            throws MessageRejectedException {
        if (isAuthenticated()) {
            if (dialedAddress != null) {
                throw MessageCodec.malformed(
                        "expected no message from the router that accepted the connection, found type "
                                + type);
            }
            connections.dispatch(peerIncarnation, type, payload);
        } else if (dialedAddress != null) {
            onChallenge(type, payload, whole);
        } else if (hello == null) {
            onHello(type, payload, whole);
        } else {
            onProof(type, payload);
        }
    }

    private void onHello(byte type, ByteBuffer payload, byte[] whole)
            throws MessageRejectedException {
        if (type != PeerProtocol.HELLO || payload.getShort() != PeerProtocol.VERSION) {
            throw MessageCodec.malformed("expected HELLO of version " + PeerProtocol.VERSION
                    + ", found type " + type + " or another version");
        }
        keyId = MessageCodec.readText(payload);
        String cluster = MessageCodec.readText(payload);
        peerIncarnation = PeerProtocol.decodeIncarnation(payload);
        MessageCodec.readBytes(payload, PeerProtocol.NONCE_BYTES);
        if (!connections.keys.contains(keyId) || !cluster.equals(connections.self.cluster())) {
            throw MessageCodec.malformed("expected cluster " + connections.self.cluster()
                    + " and a known key, found cluster " + cluster + " and key " + keyId);
        }
        hello = Arrays.copyOfRange(whole, 1, payload.position());
        MessageCodec.Builder out = new MessageCodec.Builder()
                .putShort(PeerProtocol.VERSION)
                .putText(connections.self.cluster());
        PeerProtocol.encodeIncarnation(out, connections.self.incarnation());
        challenge = out.putBytes(connections.newNonce()).build();
        restartHandshakeDeadline(connections.timeouts.handshakeUs());
        send(
                PeerProtocol.CHALLENGE,
                new MessageCodec.Builder()
                        .putBytes(challenge)
                        .putBytes(connections.keys.proof(keyId, "called proof", hello, challenge))
                        .build());
    }

    private void onChallenge(byte type, ByteBuffer payload, byte[] whole)
            throws MessageRejectedException {
        if (type != PeerProtocol.CHALLENGE || payload.getShort() != PeerProtocol.VERSION) {
            throw MessageCodec.malformed("expected CHALLENGE of version " + PeerProtocol.VERSION
                    + ", found type " + type + " or another version");
        }
        String cluster = MessageCodec.readText(payload);
        peerIncarnation = PeerProtocol.decodeIncarnation(payload);
        MessageCodec.readBytes(payload, PeerProtocol.NONCE_BYTES);
        int signedEnd = payload.position();
        byte[] proof = MessageCodec.readBytes(payload, PeerProtocol.PROOF_BYTES);
        challenge = Arrays.copyOfRange(whole, 1, signedEnd);
        if (!cluster.equals(connections.self.cluster())
                || !connections.keys.contains(keyId)
                || !KeyRing.constantTimeEquals(
                        proof, connections.keys.proof(keyId, "called proof", hello, challenge))) {
            connections.counters.increment("peers_wrong_proof");
            throw MessageCodec.malformed("expected CHALLENGE of cluster "
                    + connections.self.cluster() + " with a proof of key " + keyId
                    + ", found cluster " + cluster + " or a wrong proof");
        }
        if (peerIncarnation.equals(connections.self.incarnation())) {
            throw MessageCodec.malformed("expected another router, found this process");
        }
        send(PeerProtocol.PROOF, connections.keys.proof(keyId, "caller proof", hello, challenge));
        enableAuthentication(connections.keys.proof(keyId, "session", hello, challenge), true);
        connections.outboundAuthenticated(this);
    }

    private void onProof(byte type, ByteBuffer payload) throws MessageRejectedException {
        if (type != PeerProtocol.PROOF
                || !connections.keys.contains(keyId)
                || !KeyRing.constantTimeEquals(
                        MessageCodec.readBytes(payload, PeerProtocol.PROOF_BYTES),
                        connections.keys.proof(keyId, "caller proof", hello, challenge))) {
            connections.counters.increment("peers_wrong_proof");
            throw MessageCodec.malformed("expected PROOF of key " + keyId + ", found type " + type
                    + " or a wrong proof");
        }
        enableAuthentication(connections.keys.proof(keyId, "session", hello, challenge), false);
        connections.inboundAuthenticated(this);
    }

    @Override
    protected void onClosed(CloseReason reason) {
        LOG.log(
                Level.FINE,
                "event=peer_connection_closed peer={0} dialed={1} reason={2}",
                new Object[] {peerName(), dialedAddress, reason});
        connections.sessionClosed(this);
    }

    @Override
    protected String peerName() {
        return peerIncarnation == null ? String.valueOf(dialedAddress) : peerIncarnation.toString();
    }

    @Override
    protected void incrementCounter(String event) {
        connections.counters.increment("peers_" + event);
    }

    @Override
    protected Logger logger() {
        return LOG;
    }
}
