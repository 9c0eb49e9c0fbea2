package tinlink.http2;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Joins a HEADERS frame and its CONTINUATION frames to one header block and decodes it (RFC 9113, section
 * 4.3). At most one block is in progress on a connection, and no other frame may interrupt it.
 */
final class HeaderBlockReader {
    /** The maximum number of CONTINUATION frames in one header block. */
    private static final int MAX_CONTINUATIONS = 16;

    private final HeaderCodec headerCodec;
    /** The bytes of the block in progress; null if there is none. */
    private ByteArrayOutputStream pendingBlock;

    private int streamId;
    private boolean endsStream;
    private int continuations;

    HeaderBlockReader(HeaderCodec headerCodec) {
        this.headerCodec = headerCodec;
    }

    /** Whether a block has begun and is not complete. */
    boolean isInProgress() {
        return pendingBlock != null;
    }

    /** The stream of the block in progress, or else of the last block. */
    int streamId() {
        return streamId;
    }

    /** Whether the block in progress, or else the last block, ends its stream. */
    boolean endsStream() {
        return endsStream;
    }

    /** Throws if a frame of the type and stream would interrupt the block in progress. */
    void checkNext(int type, int frameStreamId) throws Http2Exception {
        if (pendingBlock != null
                && (type != Http2Constants.CONTINUATION || frameStreamId != streamId)) {
            throw Http2Exception.protocolError("frame of type " + type + " within a header block");
        }
    }

    /**
     * Reads a HEADERS frame whose padding and priority are removed.
     *
     * @return the block, or null if continuations follow
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
     * Reads a CONTINUATION frame.
     *
     * @return the block, or null if further continuations follow
     */
    HeaderCodec.HeaderBlock continuation(int flags, ByteBuffer payload) throws Http2Exception {
        if (pendingBlock == null) {
            throw Http2Exception.protocolError("CONTINUATION frame without a HEADERS frame");
        }
        if (++continuations > MAX_CONTINUATIONS) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.ENHANCE_YOUR_CALM,
                    "more than " + MAX_CONTINUATIONS + " CONTINUATION frames");
        }
        return append(flags, payload);
    }

    private HeaderCodec.HeaderBlock append(int flags, ByteBuffer payload) throws Http2Exception {
        FramePayload.appendTo(pendingBlock, payload);
        if (pendingBlock.size() > HeaderCodec.MAX_BLOCK_BYTES) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.ENHANCE_YOUR_CALM,
                    "header block exceeds " + HeaderCodec.MAX_BLOCK_BYTES + " bytes");
        }
        if ((flags & Http2Constants.END_HEADERS) == 0) {
            return null;
        }
        HeaderCodec.HeaderBlock decoded = headerCodec.decode(pendingBlock.toByteArray());
        pendingBlock = null;
        return decoded;
    }
}
