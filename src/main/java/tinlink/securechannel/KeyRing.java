package tinlink.securechannel;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Map;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys that routers share, by id: all of them are good for proving who one is, one is used to
 * call others. So a key is replaced without a cut: add the new one everywhere, then use it
 * everywhere, then take the old away.
 */
public class KeyRing {
    private static final String HMAC_ALGORITHM = "HmacSHA256";
    private final Map<String, byte[]> keysById;
    private final String activeKeyId;

    public KeyRing(Map<String, byte[]> keysById, String activeKeyId) {
        this.keysById = Map.copyOf(keysById);
        this.activeKeyId = activeKeyId;
    }

    /** The id of the key that others are called with. */
    public String activeKeyId() {
        return activeKeyId;
    }

    public boolean contains(String keyId) {
        return keysById.containsKey(keyId);
    }

    /**
     * HMAC-SHA256 under the key of that id over a label and pieces, each preceded by its length.
     */
    public byte[] proof(String keyId, String label, byte[]... parts) {
        return mac(keysById.get(keyId), label, parts);
    }

    public static byte[] mac(byte[] key, String label, byte[]... parts) {
        Mac mac = newMac(key);
        mac.update(label.getBytes(StandardCharsets.US_ASCII));
        for (byte[] part : parts) {
            mac.update(ByteBuffer.allocate(4).putInt(part.length).array());
            mac.update(part);
        }
        return mac.doFinal();
    }

    private static Mac newMac(byte[] key) {
        try {
            Mac mac = Mac.getInstance(HMAC_ALGORITHM);
            mac.init(new SecretKeySpec(key, HMAC_ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "this JVM has no " + HMAC_ALGORITHM, e); // Every Java platform has to have it.
        }
    }

    /**
     * Danger: a comparison that ends at the first wrong byte tells a guesser how far it was right.
     */
    public static boolean constantTimeEquals(byte[] a, byte[] b) {
        return MessageDigest.isEqual(a, b);
    }

    /**
     * One direction of one connection after the handshake: a counted authentication code a message.
     * Danger: a byte that the line has changed must not become a value, nor a message come twice or
     * from elsewhere.
     */
    public static final class FrameAuthenticator {
        private final Mac mac;
        private long frameCount;

        public FrameAuthenticator(byte[] key) {
            mac = newMac(key);
        }

        public byte[] nextTag(byte type, byte[] body, int offset, int length) {
            mac.update(ByteBuffer.allocate(9).putLong(frameCount++).put(type).flip());
            mac.update(body, offset, length);
            return Arrays.copyOf(mac.doFinal(), MessageCodec.TAG_BYTES);
        }
    }
}
