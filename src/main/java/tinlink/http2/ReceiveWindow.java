package tinlink.http2;

import tinlink.net.ProtocolLimits;

/**
 * Flow control of the data that the client receives (RFC 9113, section 5.2), for the connection and for its
 * streams.
 */
final class ReceiveWindow {
    /** The window of the connection, in bytes; large enough that responses don't block each other. */
    private static final int CONNECTION_WINDOW = 1 << 20;
    /**
     * The window of a stream, in bytes; never enlarged. Twice the largest allowed body, so that a longer body
     * is detected by its length before the window is exhausted.
     */
    static final int STREAM_WINDOW = 2 * ProtocolLimits.MAX_BODY_BYTES;

    private final FrameWriter writer;
    /** The bytes that the client still accepts on the connection. */
    private long connectionWindow = CONNECTION_WINDOW;

    ReceiveWindow(FrameWriter writer) {
        this.writer = writer;
    }

    /** Enlarges the connection's window from its initial size; called after the preface. */
    void open() {
        writer.connectionWindowUpdate(CONNECTION_WINDOW - Http2Constants.DEFAULT_WINDOW);
    }

    /** Counts a DATA frame with its padding on the connection, also if its stream was cancelled. */
    void received(int length) throws Http2Exception {
        connectionWindow -= length;
        if (connectionWindow < 0) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.FLOW_CONTROL_ERROR,
                    "DATA frame of " + length + " bytes exceeds the connection's window");
        }
        if (connectionWindow < CONNECTION_WINDOW / 2) {
            writer.connectionWindowUpdate((int) (CONNECTION_WINDOW - connectionWindow));
            connectionWindow = CONNECTION_WINDOW;
        }
    }

    /** Counts the same frame on its stream. */
    void received(Http2Stream stream, int length) throws Http2Exception {
        stream.receiveWindow -= length;
        if (stream.receiveWindow < 0) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.FLOW_CONTROL_ERROR,
                    "DATA frame of " + length + " bytes exceeds the window of stream " + stream.id);
        }
    }
}
