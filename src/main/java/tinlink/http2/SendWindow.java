package tinlink.http2;

import java.util.Collection;
import java.util.function.Predicate;

/**
 * Flow control of the data that the client sends (RFC 9113, section 5.2). Writes request bodies as far as the
 * windows of the connection and of the stream allow.
 */
final class SendWindow {
    private final FrameWriter writer;
    /** Whether the rest of a request may still be sent. */
    private final Predicate<Http2Stream> maySend;

    /** The bytes that the server still accepts on the connection. */
    private long connectionWindow = Http2Constants.DEFAULT_WINDOW;
    /** The initial window of a new stream, in bytes. */
    private long initialStreamWindow = Http2Constants.DEFAULT_WINDOW;

    /** @param maySend whether the rest of a stream's request may still be sent */
    SendWindow(FrameWriter writer, Predicate<Http2Stream> maySend) {
        this.writer = writer;
        this.maySend = maySend;
    }

    /** Sets the initial window of a new stream. */
    void initialize(Http2Stream stream) {
        stream.sendWindow = initialStreamWindow;
    }

    /** Sends as much of a body as the windows allow. @return whether any byte was sent */
    boolean flush(Http2Stream stream) {
        boolean sent = false;
        if (stream.isWithdrawn() || !maySend.test(stream)) {
            return false;
        }
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

    /** Sends as much of all bodies as the windows allow. @return whether any byte was sent */
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

    /** Applies the server's setting to new and open streams; an open window may become negative. */
    void initialStreamWindow(long value, Collection<Http2Stream> openStreams)
            throws Http2Exception {
        checkWindow(value);
        for (Http2Stream stream : openStreams) {
            stream.sendWindow += value - initialStreamWindow;
            checkWindow(stream.sendWindow);
        }
        initialStreamWindow = value;
    }

    /** Increases the connection's window. */
    void growConnection(int bytes) throws Http2Exception {
        if (bytes == 0) {
            throw Http2Exception.protocolError("WINDOW_UPDATE frame with an increment of 0");
        }
        connectionWindow += bytes;
        checkWindow(connectionWindow);
    }

    private static void checkWindow(long window) throws Http2Exception {
        if (window > Http2Constants.MAX_WINDOW) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.FLOW_CONTROL_ERROR,
                    "window of " + window + " bytes exceeds " + Http2Constants.MAX_WINDOW);
        }
    }
}
