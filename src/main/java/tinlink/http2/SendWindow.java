package tinlink.http2;

import java.util.Collection;

/**
 * Flow control of what the client sends (RFC 9113, section 5.2): the connection's window, the window of each
 * stream, and the bodies that they let out.
 */
final class SendWindow {
    private final FrameWriter writer;
    private long connectionWindow = Http2Constants.DEFAULT_WINDOW;
    /** Of a stream that is opened from now on. */
    private long initialStreamWindow = Http2Constants.DEFAULT_WINDOW;

    SendWindow(FrameWriter writer) {
        this.writer = writer;
    }

    /** Gives a new stream its window. */
    void initialize(Http2Stream stream) {
        stream.sendWindow = initialStreamWindow;
    }

    /** Sends of a body what the windows allow. @return whether any byte has left */
    boolean flush(Http2Stream stream) {
        boolean sent = false;
        while (!stream.isRequestSent()) {
            int length = sendableBytes(stream);
            if (length <= 0) {
                return sent;
            }
            boolean endsStream = stream.bodySent + length == stream.body.length;
            writer.data(stream.id, stream.body, stream.bodySent, length, endsStream);
            stream.bodySent += length;
            stream.sendWindow -= length;
            connectionWindow -= length;
            sent = true;
        }
        return sent;
    }

    private int sendableBytes(Http2Stream stream) {
        int frameBytes = Math.min(stream.body.length - stream.bodySent, writer.maxFrameSize());
        return (int) Math.min(frameBytes, Math.min(connectionWindow, stream.sendWindow));
    }

    /** Sends of all bodies what the windows allow. @return whether any byte has left */
    boolean flushAll(Collection<Http2Stream> streams) {
        boolean sent = false;
        for (Http2Stream stream : streams) {
            if (connectionWindow <= 0) {
                return sent;
            }
            sent |= flush(stream);
        }
        return sent;
    }

    /** The other side's settings change the window of all streams, open ones too; it may fall below 0. */
    void initialStreamWindow(long value, Collection<Http2Stream> openStreams)
            throws Http2Exception {
        checkWindow(value);
        for (Http2Stream stream : openStreams) {
            stream.sendWindow += value - initialStreamWindow;
            checkWindow(stream.sendWindow);
        }
        initialStreamWindow = value;
    }

    /** The connection's window grows by so many bytes. */
    void growConnection(int bytes) throws Http2Exception {
        if (bytes == 0) {
            throw Http2Exception.protocolError("a window that does not grow");
        }
        connectionWindow += bytes;
        checkWindow(connectionWindow);
    }

    private static void checkWindow(long window) throws Http2Exception {
        if (window > Http2Constants.MAX_WINDOW) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.FLOW_CONTROL_ERROR, "a window of " + window);
        }
    }
}
