package tinlink.http2;

import java.util.Collection;

/**
 * Flow control of what the client sends (RFC 9113, section 5.2): the connection's window, the window of each
 * stream, and the bodies that they let out.
 */
final class SendWindow {
    private final FrameWriter writer;
    private long connectionWindow = H2.FIRST_WINDOW;
    /** Of a stream that is opened from now on. */
    private long initialStreamWindow = H2.FIRST_WINDOW;

    SendWindow(FrameWriter writer) {
        this.writer = writer;
    }

    /** Gives a new stream its window. */
    void opened(Stream stream) {
        stream.window = initialStreamWindow;
    }

    /** Sends of a body what the windows allow. @return whether any byte has left */
    boolean flush(Stream stream) {
        boolean sent = false;
        while (!stream.said()) {
            int length = sendable(stream);
            if (length <= 0) {
                return sent;
            }
            boolean last = stream.bodySent + length == stream.body.length;
            writer.data(stream.id, stream.body, stream.bodySent, length, last);
            stream.bodySent += length;
            stream.window -= length;
            connectionWindow -= length;
            sent = true;
        }
        return sent;
    }

    private int sendable(Stream stream) {
        int rest = Math.min(stream.body.length - stream.bodySent, writer.maxFrameSize());
        return (int) Math.min(rest, Math.min(connectionWindow, stream.window));
    }

    /** Sends of all bodies what the windows allow. @return whether any byte has left */
    boolean flushAll(Collection<Stream> streams) {
        boolean sent = false;
        for (Stream stream : streams) {
            if (connectionWindow <= 0) {
                return sent;
            }
            sent |= flush(stream);
        }
        return sent;
    }

    /** The other side's settings change the window of all streams, open ones too; it may fall below 0. */
    void initialStreamWindow(long value, Collection<Stream> open) throws Broken {
        checkWindow(value);
        for (Stream stream : open) {
            stream.window += value - initialStreamWindow;
            checkWindow(stream.window);
        }
        initialStreamWindow = value;
    }

    /** The connection's window grows by so many bytes. */
    void growConnection(int bytes) throws Broken {
        if (bytes == 0) {
            throw new Broken(H2.Code.PROTOCOL_ERROR, "a window that does not grow");
        }
        connectionWindow += bytes;
        checkWindow(connectionWindow);
    }

    private static void checkWindow(long window) throws Broken {
        if (window > H2.MOST_WINDOW) {
            throw new Broken(H2.Code.FLOW_CONTROL_ERROR, "a window of " + window);
        }
    }
}
