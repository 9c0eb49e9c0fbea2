package tinlink.http2;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Writes the client's frames (RFC 9113, section 6) to a sink of bytes. Runs on the connection's thread. */
final class FrameWriter {
    private static final int SETTING_BYTES = 6;
    private static final byte[] NOTHING = new byte[0];

    private final Consumer<byte[]> sink;
    /** The maximum payload of one frame, in bytes. */
    private int maxFrameSize = Http2Constants.DEFAULT_MAX_FRAME_SIZE;

    FrameWriter(Consumer<byte[]> sink) {
        this.sink = sink;
    }

    int maxFrameSize() {
        return maxFrameSize;
    }

    /** @param bytes the maximum payload of one frame that the server accepts */
    void maxFrameSize(int bytes) {
        maxFrameSize = bytes;
    }

    /**
     * Writes the connection preface with the client's settings: no push, the window of each stream in bytes,
     * and the maximum size of a header list.
     */
    void preface(int streamWindow) {
        sink.accept(Http2Constants.PREFACE);
        ByteBuffer settings = ByteBuffer.allocate(3 * SETTING_BYTES);
        settings.putShort((short) Http2Constants.ENABLE_PUSH).putInt(0);
        settings.putShort((short) Http2Constants.INITIAL_WINDOW_SIZE).putInt(streamWindow);
        settings.putShort((short) Http2Constants.MAX_HEADER_LIST_SIZE)
                .putInt(HeaderCodec.MAX_LIST_BYTES);
        frame(Http2Constants.SETTINGS, 0, 0, settings.array());
    }

    void settingsAck() {
        frame(Http2Constants.SETTINGS, Http2Constants.ACK, 0, NOTHING);
    }

    /** Allows the server to send the given number of further bytes on the connection. */
    void connectionWindowUpdate(int bytes) {
        frame(Http2Constants.WINDOW_UPDATE, 0, 0, fourBytes(bytes));
    }

    /** Writes a header block, split into as many frames as it needs. */
    void headers(int streamId, byte[] block, boolean endStream) {
        int length = Math.min(block.length, maxFrameSize);
        int endStreamFlag = endStream ? Http2Constants.END_STREAM : 0;
        frame(
                Http2Constants.HEADERS,
                endStreamFlag | endHeaders(block, length),
                streamId,
                block,
                0,
                length);
        for (int offset = length; offset < block.length; offset += length) {
            length = Math.min(block.length - offset, maxFrameSize);
            frame(
                    Http2Constants.CONTINUATION,
                    endHeaders(block, offset + length),
                    streamId,
                    block,
                    offset,
                    length);
        }
    }

    private static int endHeaders(byte[] block, int written) {
        return written == block.length ? Http2Constants.END_HEADERS : 0;
    }

    void data(int streamId, byte[] body, int from, int length, boolean endStream) {
        frame(
                Http2Constants.DATA,
                endStream ? Http2Constants.END_STREAM : 0,
                streamId,
                body,
                from,
                length);
    }

    void resetStream(int streamId, Http2Constants.ErrorCode code) {
        frame(Http2Constants.RST_STREAM, 0, streamId, fourBytes(code.number()));
    }

    void ping(long number) {
        frame(
                Http2Constants.PING,
                0,
                0,
                ByteBuffer.allocate(Long.BYTES).putLong(number).array());
    }

    void pingAck(byte[] payload) {
        frame(Http2Constants.PING, Http2Constants.ACK, 0, payload);
    }

    /** Writes a GOAWAY, which says that the client has processed no stream of the server. */
    void goAway(Http2Constants.ErrorCode code) {
        frame(
                Http2Constants.GOAWAY,
                0,
                0,
                ByteBuffer.allocate(Long.BYTES).putInt(0).putInt(code.number()).array());
    }

    private void frame(int type, int flags, int streamId, byte[] payload) {
        frame(type, flags, streamId, payload, 0, payload.length);
    }

    private void frame(int type, int flags, int streamId, byte[] payload, int from, int length) {
        ByteBuffer frame = ByteBuffer.allocate(Http2Constants.FRAME_HEADER_BYTES + length);
        frame.put((byte) (length >> 16)).put((byte) (length >> 8)).put((byte) length);
        frame.put((byte) type).put((byte) flags).putInt(streamId);
        frame.put(payload, from, length);
        sink.accept(frame.array());
    }

    private static byte[] fourBytes(int value) {
        return ByteBuffer.allocate(Integer.BYTES).putInt(value).array();
    }
}
