package tinlink.http2;

import tinlink.net.ProtocolLimits;

/**
 * Flow control of what the client receives (RFC 9113, section 5.2): the windows of the connection and of its
 * streams.
 */
final class ReceiveWindow {
    /** The connection's window is made this large at once, so that responses don't wait for each other. */
    private static final int CONNECTION_WINDOW = 1 << 20;
    /** A response of the largest size fits, and what is longer is found out by its length. */
    static final int STREAM_WINDOW = 2 * ProtocolLimits.MAX_BODY_BYTES;

    private final FrameWriter writer;
    private long connectionWindow = CONNECTION_WINDOW;

    ReceiveWindow(FrameWriter writer) {
        this.writer = writer;
    }

    /** Widens the connection's window from its first size; follows the preface. */
    void open() {
        writer.connectionWindowUpdate(CONNECTION_WINDOW - Http2Constants.DEFAULT_WINDOW);
    }

    /** A whole DATA frame has come: it counts with its padding, also on a stream that is given up. */
    void received(int length) throws Http2Exception {
        connectionWindow -= length;
        if (connectionWindow < 0) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.FLOW_CONTROL_ERROR, "over the connection's window");
        }
        if (connectionWindow < CONNECTION_WINDOW / 2) {
            writer.connectionWindowUpdate((int) (CONNECTION_WINDOW - connectionWindow));
            connectionWindow = CONNECTION_WINDOW;
        }
    }

    /** The same frame, on its stream. */
    void received(Http2Stream stream, int length) throws Http2Exception {
        stream.receiveWindow -= length;
        if (stream.receiveWindow < 0) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.FLOW_CONTROL_ERROR, "over a stream's window");
        }
    }
}
