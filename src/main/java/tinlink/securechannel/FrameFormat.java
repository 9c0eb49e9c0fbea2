package tinlink.securechannel;

/**
 * The format of a frame on a connection between two routers. A frame consists of a length (4
 * bytes), the message type (1 byte), the message body and, once both sides are authenticated, an
 * authentication tag (16 bytes). The length covers everything after itself. All numbers are
 * big-endian.
 */
public final class FrameFormat {
    static final int LENGTH_BYTES = Integer.BYTES;
    static final int TYPE_BYTES = Byte.BYTES;
    /** Bytes of a frame before the message body. */
    public static final int HEADER_BYTES = LENGTH_BYTES + TYPE_BYTES;
    /** Length of a tag, which is an HMAC-SHA256 truncated to its first bytes. */
    public static final int TAG_BYTES = 16;

    private FrameFormat() {}

    /**
     * Returns the bytes before the message body.
     *
     * @param bodyAndTagBytes length of the message body and the tag
     */
    static byte[] header(byte type, int bodyAndTagBytes) {
        int length = TYPE_BYTES + bodyAndTagBytes;
        return new byte[] {
            (byte) (length >> 24), (byte) (length >> 16), (byte) (length >> 8), (byte) length, type
        };
    }
}
