package tinlink.http2;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Writes the client's frames (RFC 9113, section 6) to a sink of bytes. Runs on the connection's thread. */
final class FrameWriter {
    private static final int SETTING_BYTES = 6;
    private static final byte[] NOTHING = new byte[0];

    private final Consumer<byte[]> out;
    /** Bytes of payload that the other side takes in one frame. */
    private int maxFrameSize = H2.LEAST_FRAME;

    FrameWriter(Consumer<byte[]> out) {
        this.out = out;
    }

    int maxFrameSize() {
        return maxFrameSize;
    }

    /** @param bytes of payload that the other side takes in one frame */
    void maxFrameSize(int bytes) {
        maxFrameSize = bytes;
    }

    /** The connection preface with the client's settings: no push, and the given window for each stream. */
    void preface(int streamWindow) {
        out.accept(H2.PREFACE);
        ByteBuffer settings = ByteBuffer.allocate(3 * SETTING_BYTES);
        settings.putShort((short) H2.ENABLE_PUSH).putInt(0);
        settings.putShort((short) H2.INITIAL_WINDOW_SIZE).putInt(streamWindow);
        settings.putShort((short) H2.MAX_HEADER_LIST_SIZE).putInt(Headers.MOST_LIST);
        frame(H2.SETTINGS, 0, 0, settings.array());
    }

    void settingsAck() {
        frame(H2.SETTINGS, H2.ACK, 0, NOTHING);
    }

    /** Lets the other side send so many more bytes on the connection. */
    void connectionWindowUpdate(int bytes) {
        frame(H2.WINDOW_UPDATE, 0, 0, fourBytes(bytes));
    }

    /** A header block, in as many frames as it needs. */
    void headers(int stream, byte[] block, boolean endStream) {
        int length = Math.min(block.length, maxFrameSize);
        int end = endStream ? H2.END_STREAM : 0;
        frame(H2.HEADERS, end | endHeaders(block, length), stream, block, 0, length);
        for (int at = length; at < block.length; at += length) {
            length = Math.min(block.length - at, maxFrameSize);
            frame(H2.CONTINUATION, endHeaders(block, at + length), stream, block, at, length);
        }
    }

    private static int endHeaders(byte[] block, int written) {
        return written == block.length ? H2.END_HEADERS : 0;
    }

    void data(int stream, byte[] body, int from, int length, boolean endStream) {
        frame(H2.DATA, endStream ? H2.END_STREAM : 0, stream, body, from, length);
    }

    void resetStream(int stream, H2.Code code) {
        frame(H2.RST_STREAM, 0, stream, fourBytes(code.ordinal()));
    }

    void ping(long number) {
        frame(H2.PING, 0, 0, ByteBuffer.allocate(Long.BYTES).putLong(number).array());
    }

    void pingAck(byte[] payload) {
        frame(H2.PING, H2.ACK, 0, payload);
    }

    /** The client has processed none of the other side's streams. */
    void goAway(H2.Code code) {
        frame(
                H2.GOAWAY,
                0,
                0,
                ByteBuffer.allocate(Long.BYTES).putInt(0).putInt(code.ordinal()).array());
    }

    private void frame(int type, int flags, int stream, byte[] payload) {
        frame(type, flags, stream, payload, 0, payload.length);
    }

    private void frame(int type, int flags, int stream, byte[] payload, int from, int length) {
        ByteBuffer frame = ByteBuffer.allocate(H2.HEAD + length);
        frame.put((byte) (length >> 16)).put((byte) (length >> 8)).put((byte) length);
        frame.put((byte) type).put((byte) flags).putInt(stream);
        frame.put(payload, from, length);
        out.accept(frame.array());
    }

    private static byte[] fourBytes(int value) {
        return ByteBuffer.allocate(Integer.BYTES).putInt(value).array();
    }
}
