package tinlink.http2;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Joins a HEADERS frame and its CONTINUATION frames to one header block and decodes it (RFC 9113, section
 * 4.3). At most one block is under way on a connection, and no other frame may come within it.
 */
final class HeaderBlockReader {
    private static final int MAX_CONTINUATIONS = 16;

    private final HeaderCodec headerCodec;
    /** Null while no block is under way. */
    private ByteArrayOutputStream pendingBlock;

    private int streamId;
    private boolean endsStream;
    private int continuations;

    HeaderBlockReader(HeaderCodec headerCodec) {
        this.headerCodec = headerCodec;
    }

    /** A block has begun and has not come whole. */
    boolean isInProgress() {
        return pendingBlock != null;
    }

    /** The stream of the block that is under way, or that came last. */
    int streamId() {
        return streamId;
    }

    /** Whether the block that is under way, or that came last, ends its stream. */
    boolean endsStream() {
        return endsStream;
    }

    /** Fails where a frame of that type and stream may not come now. */
    void checkNext(int type, int frameStreamId) throws Http2Exception {
        if (pendingBlock != null
                && (type != Http2Constants.CONTINUATION || frameStreamId != streamId)) {
            throw Http2Exception.protocolError("a frame within a header block");
        }
    }

    /**
     * A HEADERS frame, without its padding and its priority.
     *
     * @return the block, or null where more of it is to come
     */
    HeaderCodec.HeaderBlock headers(int flags, int frameStreamId, ByteBuffer payload)
            throws Http2Exception {
        pendingBlock = new ByteArrayOutputStream();
        streamId = frameStreamId;
        endsStream = (flags & Http2Constants.END_STREAM) != 0;
        continuations = 0;
        return append(flags, payload);
    }

    /**
     * A CONTINUATION frame.
     *
     * @return the block, or null where more of it is to come
     */
    HeaderCodec.HeaderBlock continuation(int flags, ByteBuffer payload) throws Http2Exception {
        if (pendingBlock == null) {
            throw Http2Exception.protocolError("a continuation without its headers");
        }
        if (++continuations > MAX_CONTINUATIONS) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.ENHANCE_YOUR_CALM, "too many continuations");
        }
        return append(flags, payload);
    }

    private HeaderCodec.HeaderBlock append(int flags, ByteBuffer payload) throws Http2Exception {
        FramePayload.appendTo(pendingBlock, payload);
        if (pendingBlock.size() > HeaderCodec.MAX_BLOCK_BYTES) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.ENHANCE_YOUR_CALM, "a header block that is too large");
        }
        if ((flags & Http2Constants.END_HEADERS) == 0) {
            return null;
        }
        HeaderCodec.HeaderBlock decoded = headerCodec.decode(pendingBlock.toByteArray());
        pendingBlock = null;
        return decoded;
    }
}
