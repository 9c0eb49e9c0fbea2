package tinlink.securechannel;

/**
 * A frame on a connection between two routers, all numbers big-endian: the length of what follows
 * (4 bytes), the message type (1), the message body, and, once both sides are authenticated, an
 * authentication tag (16).
 */
public final class FrameFormat {
    static final int LENGTH_BYTES = Integer.BYTES;
    static final int TYPE_BYTES = Byte.BYTES;
    /** What a message costs on the connection beside its body and tag. */
    public static final int HEADER_BYTES = LENGTH_BYTES + TYPE_BYTES;
    /** The first bytes of an HMAC-SHA256. */
    public static final int TAG_BYTES = 16;

    private FrameFormat() {}

    /**
     * What stands before the body.
     *
     * @param bodyAndTagBytes length of what follows the type
     */
    static byte[] header(byte type, int bodyAndTagBytes) {
        int length = TYPE_BYTES + bodyAndTagBytes;
        return new byte[] {
            (byte) (length >> 24), (byte) (length >> 16), (byte) (length >> 8), (byte) length, type
        };
    }
}
