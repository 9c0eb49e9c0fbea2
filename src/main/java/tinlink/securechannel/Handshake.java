package tinlink.securechannel;

import java.security.SecureRandom;
import java.util.function.Supplier;

/**
 * One handshake between two routers: the initiator has sent HELLO, the responder CHALLENGE, each with a fresh
 * nonce, and each proves with a shared key that it has seen both, so that a recorded handshake proves
 * nothing. HMAC-SHA256 under the key of that id. Not thread-safe.
 */
public final class Handshake {
    /** Of each side's nonce. */
    public static final int NONCE_BYTES = 32;
    /** Of each side's proof, an HMAC-SHA256. */
    public static final int PROOF_BYTES = 32;

    private static final String SESSION_LABEL = "session";

    /** Keep a proof of one protocol and side from counting as that of another. */
    public record Labels(String responder, String initiator) {}

    private final Supplier<KeyRing> keys;
    private final String keyId;
    private final Labels labels;
    private final byte[] hello;
    private final byte[] challenge;

    /**
     * The handshake once both of its first messages are known.
     *
     * @param keys the ring as it is at each step; a key may be removed from it in between
     * @param keyId the key that the initiator has named
     * @param hello the body of HELLO
     * @param challenge the body of CHALLENGE, up to the responder's proof
     */
    public Handshake(
            Supplier<KeyRing> keys, String keyId, Labels labels, byte[] hello, byte[] challenge) {
        this.keys = keys;
        this.keyId = keyId;
        this.labels = labels;
        this.hello = hello;
        this.challenge = challenge;
    }

    /** Returns a nonce for one handshake. */
    public static byte[] newNonce(SecureRandom random) {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    /** Returns the proof of the side that has sent CHALLENGE. */
    public byte[] responderProof() {
        return keys.get().proof(keyId, labels.responder(), hello, challenge);
    }

    /** False also where the key is no longer in the ring. */
    public boolean isResponderProof(byte[] proof) {
        return keys.get().contains(keyId) && KeyRing.constantTimeEquals(proof, responderProof());
    }

    /**
     * The proof of the side that has sent HELLO.
     *
     * @param claims what the initiator says besides, in its last message before the proof
     */
    public byte[] initiatorProof(byte[]... claims) {
        byte[][] proven = new byte[2 + claims.length][];
        proven[0] = hello;
        proven[1] = challenge;
        System.arraycopy(claims, 0, proven, 2, claims.length);
        return keys.get().proof(keyId, labels.initiator(), proven);
    }

    /** False also where the key is no longer in the ring. */
    public boolean isInitiatorProof(byte[] proof, byte[]... claims) {
        return keys.get().contains(keyId)
                && KeyRing.constantTimeEquals(proof, initiatorProof(claims));
    }

    /** From which both sides derive the keys of the two directions. */
    public byte[] sessionSecret() {
        return keys.get().proof(keyId, SESSION_LABEL, hello, challenge);
    }
}
