package tinlink.securechannel;

import java.nio.ByteBuffer;
import java.util.Arrays;

import javax.crypto.Mac;

/**
 * The tags of the frames that go one way on one connection. Danger: a byte that was changed on the
 * way must not become a value, nor may a frame come twice, out of order or from elsewhere; so each
 * tag covers the number of its frame, and each direction has a key of its own. Belongs to the event
 * loop's thread.
 */
public final class FrameAuthenticator {
    private static final int NUMBER_AND_TYPE_BYTES = Long.BYTES + Byte.BYTES;

    private final Mac mac;
    private long frameNumber;

    /** For the frames of one direction, from the first one on. */
    public FrameAuthenticator(byte[] key) {
        mac = Hmac.withKey(key);
    }

    /**
     * The tag of the next frame.
     *
     * @param body holds the message's body, {@code length} bytes from the offset on
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
