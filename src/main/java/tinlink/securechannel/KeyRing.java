package tinlink.securechannel;

import java.util.Map;

/**
 * The keys that routers share, by id. Every key of the ring is accepted for authentication; this
 * router uses the active key on the connections that it opens. To replace a key without an
 * interruption, add the new key on all routers, then make it the active key on all routers, then
 * remove the old key. Immutable.
 */
public class KeyRing {
    private final Map<String, byte[]> keysById;
    private final String activeKeyId;

    /**
     * Creates a ring.
     *
     * @param keysById the keys
     * @param activeKeyId id of the active key, one of the keys
     */
    public KeyRing(Map<String, byte[]> keysById, String activeKeyId) {
        this.keysById = Map.copyOf(keysById);
        this.activeKeyId = activeKeyId;
    }

    /** Returns the id of the key for connections that this router opens. */
    public String activeKeyId() {
        return activeKeyId;
    }

    /** Returns whether the ring has a key with that id. */
    public boolean contains(String keyId) {
        return keysById.containsKey(keyId);
    }

    /** Returns the HMAC-SHA256 of a label and parts with a key, which has to be in the ring. */
    public byte[] proof(String keyId, String label, byte[]... parts) {
        return Hmac.compute(keysById.get(keyId), label, parts);
    }

    /** Returns the HMAC-SHA256 of a label and parts. */
    public static byte[] mac(byte[] key, String label, byte[]... parts) {
        return Hmac.compute(key, label, parts);
    }

    /** Returns whether two proofs or tags are equal; the time doesn't depend on the content. */
    public static boolean constantTimeEquals(byte[] first, byte[] second) {
        return Hmac.constantTimeEquals(first, second);
    }
}
