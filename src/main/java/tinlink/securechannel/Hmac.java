package tinlink.securechannel;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** HMAC-SHA256 for proofs, session keys and tags. */
final class Hmac {
    private static final String ALGORITHM = "HmacSHA256";

    private Hmac() {}

    /** Returns an HMAC function with that key; it is not thread-safe. */
    static Mac withKey(byte[] key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "this JVM does not support " + ALGORITHM, e); // Every Java platform has to.
        }
    }

    /**
     * Returns the HMAC of a label and parts. The length of each part is included, so that different
     * lists of parts never result in the same input.
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
     * Compares in constant time. The time of a comparison that ends at the first difference tells
     * an attacker how many bytes of a guess are correct.
     */
    static boolean constantTimeEquals(byte[] first, byte[] second) {
        return MessageDigest.isEqual(first, second);
    }
}
