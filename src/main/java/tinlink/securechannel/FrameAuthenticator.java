package tinlink.securechannel;

import java.nio.ByteBuffer;
import java.util.Arrays;

import javax.crypto.Mac;

/**
 * Computes the authentication tags of the frames in one direction of one connection. A frame that
 * was modified, replayed, reordered or taken from elsewhere must not be accepted. Therefore each
 * tag covers the number of its frame, and each direction has its own key. Must be used on the event
 * loop's thread only.
 */
public final class FrameAuthenticator {
    private static final int NUMBER_AND_TYPE_BYTES = Long.BYTES + Byte.BYTES;

    private final Mac mac;
    /** Number of the next frame; the first frame has number 0. */
    private long frameNumber;

    /** Creates the authenticator for the frames of one direction, starting with the first. */
    public FrameAuthenticator(byte[] key) {
        mac = Hmac.withKey(key);
    }

    /**
     * Returns the tag of the next frame.
     *
     * @param type the message type
     * @param body array that holds the message body
     * @param offset position of the message body in the array
     * @param length length of the message body in bytes
     */
    public byte[] nextTag(byte type, byte[] body, int offset, int length) {
        mac.update(ByteBuffer.allocate(NUMBER_AND_TYPE_BYTES)
                .putLong(frameNumber++)
                .put(type)
                .flip());
        mac.update(body, offset, length);
        return Arrays.copyOf(mac.doFinal(), FrameFormat.TAG_BYTES);
    }
}
