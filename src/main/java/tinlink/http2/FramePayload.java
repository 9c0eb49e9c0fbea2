package tinlink.http2;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Checks the size of frames and removes padding and priority from payloads (RFC 9113, section 6). */
final class FramePayload {
    private static final int PRIORITY_BYTES = 5;
    /** Stands for a missing pad length; larger than any pad length, so that the check of the length fails. */
    private static final int NO_PAD_LENGTH = 256;

    private FramePayload() {}

    static void checkSize(boolean validSize, String frameName, ByteBuffer payload)
            throws Http2Exception {
        if (!validSize) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.FRAME_SIZE_ERROR,
                    "invalid size of " + frameName + " frame: " + payload.remaining() + " bytes");
        }
    }

    static boolean isPriority(ByteBuffer payload) {
        return payload.remaining() == PRIORITY_BYTES;
    }

    static void removePadding(int flags, ByteBuffer payload) throws Http2Exception {
        if ((flags & Http2Constants.PADDED) == 0) {
            return;
        }
        int padLength = payload.hasRemaining() ? payload.get() & 0xff : NO_PAD_LENGTH;
        if (padLength > payload.remaining()) {
            throw Http2Exception.protocolError("padding is longer than the frame");
        }
        payload.limit(payload.limit() - padLength);
    }

    /** Removes the priority that a HEADERS frame may begin with, which has no meaning for a client. */
    static void removePriority(int flags, ByteBuffer payload) throws Http2Exception {
        if ((flags & Http2Constants.WITH_PRIORITY) == 0) {
            return;
        }
        if (payload.remaining() < PRIORITY_BYTES) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.FRAME_SIZE_ERROR,
                    "HEADERS frame with a truncated priority");
        }
        payload.position(payload.position() + PRIORITY_BYTES);
    }

    /** Appends the remaining payload to the output. */
    static void appendTo(ByteArrayOutputStream out, ByteBuffer payload) {
        byte[] bytes = new byte[payload.remaining()];
        payload.get(bytes);
        out.writeBytes(bytes);
    }
}
