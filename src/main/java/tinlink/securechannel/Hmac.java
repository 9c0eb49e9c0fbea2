package tinlink.securechannel;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** HMAC-SHA256 as proofs, session keys and tags use it. */
final class Hmac {
    private static final String ALGORITHM = "HmacSHA256";

    private Hmac() {}

    /** A function under that key, for one thread. */
    static Mac withKey(byte[] key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "this JVM has no " + ALGORITHM, e); // Every Java platform has to have it.
        }
    }

    /**
     * Over a label and parts; each part is preceded by its length, so that no two lists of parts
     * are alike.
     */
    static byte[] compute(byte[] key, String label, byte[]... parts) {
        Mac mac = withKey(key);
        mac.update(label.getBytes(StandardCharsets.US_ASCII));
        for (byte[] part : parts) {
            mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
            mac.update(part);
        }
        return mac.doFinal();
    }

    /**
     * Danger: a comparison that ends at the first wrong byte tells a guesser how far it was right.
     */
    static boolean constantTimeEquals(byte[] first, byte[] second) {
        return MessageDigest.isEqual(first, second);
    }
}
