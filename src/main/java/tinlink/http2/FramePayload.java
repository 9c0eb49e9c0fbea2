package tinlink.http2;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Checks and strips what stands around the content of a frame (RFC 9113, section 6). */
final class FramePayload {
    private static final int PRIORITY_BYTES = 5;
    /** More than any frame can hold: padding whose length is missing. */
    private static final int NO_PAD_LENGTH = 256;

    private FramePayload() {}

    static void checkSize(boolean isValid, String frameName, ByteBuffer payload)
            throws Http2Exception {
        if (!isValid) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.FRAME_SIZE_ERROR,
                    frameName + " of " + payload.remaining() + " bytes");
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
            throw Http2Exception.protocolError("padding longer than its frame");
        }
        payload.limit(payload.limit() - padLength);
    }

    /** The priority that a HEADERS frame may begin with says nothing to a client. */
    static void removePriority(int flags, ByteBuffer payload) throws Http2Exception {
        if ((flags & Http2Constants.WITH_PRIORITY) == 0) {
            return;
        }
        if (payload.remaining() < PRIORITY_BYTES) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.FRAME_SIZE_ERROR, "a priority cut short");
        }
        payload.position(payload.position() + PRIORITY_BYTES);
    }

    /** Copies all that is left of the payload. */
    static void appendTo(ByteArrayOutputStream out, ByteBuffer payload) {
        byte[] bytes = new byte[payload.remaining()];
        payload.get(bytes);
        out.writeBytes(bytes);
    }
}
