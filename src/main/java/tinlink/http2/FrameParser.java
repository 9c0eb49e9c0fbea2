package tinlink.http2;

import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;

/** Parses frames from bytes that may be split anywhere. A frame above the size limit is never buffered. */
final class FrameParser {
    /** Receives the parsed frames. */
    interface FrameHandler {
        void onFrame(int type, int flags, int streamId, ByteBuffer payload) throws Http2Exception;
    }

    private final FrameHandler handler;
    private final byte[] header = new byte[Http2Constants.FRAME_HEADER_BYTES];
    private int headerBytesRead;
    /** The payload received so far; null while the frame header is incomplete. */
    private ByteBuffer payload;

    FrameParser(FrameHandler handler) {
        this.handler = handler;
    }

    /** Whether no part of the next frame has been received. */
    boolean isAtFrameBoundary() {
        return headerBytesRead == 0;
    }

    void read(RingBuffer in) throws Http2Exception {
        while (in.size() > 0) {
            if (headerBytesRead < Http2Constants.FRAME_HEADER_BYTES) {
                header[headerBytesRead++] = in.take();
                if (headerBytesRead < Http2Constants.FRAME_HEADER_BYTES) {
                    continue;
                }
                int length =
                        (header[0] & 0xff) << 16 | (header[1] & 0xff) << 8 | (header[2] & 0xff);
                if (length > Http2Constants.DEFAULT_MAX_FRAME_SIZE) {
                    throw new Http2Exception(
                            Http2Constants.ErrorCode.FRAME_SIZE_ERROR,
                            "frame of " + length + " bytes exceeds the limit of "
                                    + Http2Constants.DEFAULT_MAX_FRAME_SIZE);
                }
                payload = ByteBuffer.allocate(length);
            }
            payload.put(in.takeContiguous(payload.remaining()));
            if (!payload.hasRemaining()) {
                ByteBuffer complete = payload.flip();
                headerBytesRead = 0;
                payload = null;
                handler.onFrame(
                        header[3] & 0xff,
                        header[4] & 0xff,
                        ByteBuffer.wrap(header, 5, 4).getInt() & Http2Constants.MAX_STREAM_ID,
                        complete);
            }
        }
    }
}
