package tinlink.securechannel;

import java.util.Map;

/**
 * The keys that routers share, by id. Each of them is good for proving who one is; the active one
 * is used on connections that this router opens. So a key is replaced without a cut: add the new
 * one everywhere, then make it the active one everywhere, then remove the old one. Immutable.
 */
public class KeyRing {
    private final Map<String, byte[]> keysById;
    private final String activeKeyId;

    /**
     * A ring of those keys.
     *
     * @param activeKeyId one of the ids
     */
    public KeyRing(Map<String, byte[]> keysById, String activeKeyId) {
        this.keysById = Map.copyOf(keysById);
        this.activeKeyId = activeKeyId;
    }

    /** The id of the key for connections that this router opens. */
    public String activeKeyId() {
        return activeKeyId;
    }

    /** Whether there is a key of that id. */
    public boolean contains(String keyId) {
        return keysById.containsKey(keyId);
    }

    /** HMAC-SHA256 under that key, which has to be there, over a label and parts. */
    public byte[] proof(String keyId, String label, byte[]... parts) {
        return Hmac.compute(keysById.get(keyId), label, parts);
    }

    /** HMAC-SHA256 over a label and parts. */
    public static byte[] mac(byte[] key, String label, byte[]... parts) {
        return Hmac.compute(key, label, parts);
    }

    /** Whether two proofs or tags are equal, in a time that does not tell where they differ. */
    public static boolean constantTimeEquals(byte[] first, byte[] second) {
        return Hmac.constantTimeEquals(first, second);
    }
}
