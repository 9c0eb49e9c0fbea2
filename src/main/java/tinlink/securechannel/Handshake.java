package tinlink.securechannel;

import java.security.SecureRandom;
import java.util.function.Supplier;

/**
 * The authentication handshake between two routers. The initiator sends HELLO and the responder
 * sends CHALLENGE, each with a fresh nonce. Each side then proves that it has the shared key by an
 * HMAC-SHA256 over both messages; because of the nonces, the proofs of a recorded handshake can't
 * be replayed. Not thread-safe.
 */
public final class Handshake {
    /** Length of a nonce. */
    public static final int NONCE_BYTES = 32;
    /** Length of a proof, which is an HMAC-SHA256. */
    public static final int PROOF_BYTES = 32;

    private static final String SESSION_LABEL = "session";

    /**
     * Labels of the proofs. They differ for each protocol and side, so that a proof of one protocol
     * or side is not valid for another.
     *
     * @param responder label of the responder's proof
     * @param initiator label of the initiator's proof
     */
    public record Labels(String responder, String initiator) {}

    private final Supplier<KeyRing> keys;
    private final String keyId;
    private final Labels labels;
    private final byte[] hello;
    private final byte[] challenge;

    /**
     * Creates the handshake once HELLO and CHALLENGE are known.
     *
     * @param keys returns the current key ring; a key may be removed from it during the handshake
     * @param keyId id of the key that the initiator has named
     * @param labels labels of the protocol
     * @param hello body of HELLO
     * @param challenge body of CHALLENGE before the responder's proof
     */
    public Handshake(
            Supplier<KeyRing> keys, String keyId, Labels labels, byte[] hello, byte[] challenge) {
        this.keys = keys;
        this.keyId = keyId;
        this.labels = labels;
        this.hello = hello;
        this.challenge = challenge;
    }

    /** Returns a new nonce for one handshake. */
    public static byte[] newNonce(SecureRandom random) {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    /** Returns the proof of the responder. */
    public byte[] responderProof() {
        return keys.get().proof(keyId, labels.responder(), hello, challenge);
    }

    /** Returns whether the responder's proof is valid; false if the key was removed. */
    public boolean isResponderProof(byte[] proof) {
        return keys.get().contains(keyId) && KeyRing.constantTimeEquals(proof, responderProof());
    }

    /**
     * Returns the proof of the initiator.
     *
     * @param claims other fields that the proof covers, from the message that carries the proof
     */
    public byte[] initiatorProof(byte[]... claims) {
        byte[][] proven = new byte[2 + claims.length][];
        proven[0] = hello;
        proven[1] = challenge;
        System.arraycopy(claims, 0, proven, 2, claims.length);
        return keys.get().proof(keyId, labels.initiator(), proven);
    }

    /** Returns whether the initiator's proof is valid; false if the key was removed. */
    public boolean isInitiatorProof(byte[] proof, byte[]... claims) {
        return keys.get().contains(keyId)
                && KeyRing.constantTimeEquals(proof, initiatorProof(claims));
    }

    /** Returns the secret from which both sides derive the keys of the two directions. */
    public byte[] sessionSecret() {
        return keys.get().proof(keyId, SESSION_LABEL, hello, challenge);
    }
}
