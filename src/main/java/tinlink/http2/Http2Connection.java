package tinlink.http2;

import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The client side of one HTTP/2 connection (RFC 9113), without the socket. The connection checks received
 * frames and notifies its listener of the result of each stream; the listener interprets the result for the
 * attempt. A protocol error ends the connection with an error code; a malformed message ends its stream only.
 * Runs on the connection's thread.
 */
final class Http2Connection implements FrameParser.FrameHandler {
    private static final int RESET_BYTES = 4;
    private static final int PING_BYTES = 8;
    private static final int MIN_GOAWAY_BYTES = 8;
    private static final int WINDOW_UPDATE_BYTES = 4;

    private final StreamListener listener;
    private final FrameParser parser = new FrameParser(this);
    private final FrameWriter writer;
    private final HeaderCodec headerCodec = new HeaderCodec();
    private final HeaderBlockReader headerBlockReader = new HeaderBlockReader(headerCodec);
    private final UselessFrameBudget uselessFrameBudget = new UselessFrameBudget();
    private long completedFrames;
    private final ResponseReader responseReader = new ResponseReader(uselessFrameBudget);
    private final StreamTable streamTable;
    private final SendWindow sendWindow;
    private final ReceiveWindow receiveWindow;
    private final PeerSettings peerSettings;

    /**
     * Creates a connection that has written nothing yet.
     *
     * @param out receives the bytes to write, in order
     * @param maxResetIds the maximum number of remembered ids of reset streams
     */
    Http2Connection(Consumer<byte[]> out, StreamListener listener, int maxResetIds) {
        this.listener = listener;
        writer = new FrameWriter(out);
        streamTable = new StreamTable(maxResetIds);
        sendWindow = new SendWindow(writer, listener::maySend);
        receiveWindow = new ReceiveWindow(writer);
        peerSettings = new PeerSettings(writer, headerCodec, sendWindow, uselessFrameBudget);
    }

    // ---- Sending. ----

    /** Sends the preface, the client's settings and the connection's window; requests may follow at once. */
    void start() {
        writer.preface(ReceiveWindow.STREAM_WINDOW);
        receiveWindow.open();
    }

    /** Whether no new stream can be opened: all ids are used, or the server sent GOAWAY. */
    boolean isExhausted() {
        return streamTable.isExhausted();
    }

    /**
     * Opens a stream and sends as much of the body as the windows allow.
     *
     * @param call the caller's object for the request; opaque to the connection
     * @param headerFields the fields in order, pseudo fields first, with names in lower case
     */
    Http2Stream sendRequest(Object call, Map<String, String> headerFields, byte[] body) {
        Http2Stream stream = streamTable.open(call, body);
        sendWindow.initialize(stream);
        stream.receiveWindow = ReceiveWindow.STREAM_WINDOW;
        writer.headers(stream.id, headerCodec.encode(headerFields), body.length == 0);
        sendWindow.flush(stream);
        return stream;
    }

    /** Resets a stream, of which the listener is no longer notified. */
    void cancel(Http2Stream stream) {
        if (streamTable.remove(stream)) {
            resetStream(stream.id, Http2Constants.ErrorCode.CANCEL);
        }
    }

    private void resetStream(int streamId, Http2Constants.ErrorCode code) {
        writer.resetStream(streamId, code);
        streamTable.rememberReset(streamId);
    }

    void sendPing(long number) {
        writer.ping(number);
    }

    /** Sends a GOAWAY, after which the caller closes the connection. */
    void sendGoAway(Http2Constants.ErrorCode code) {
        writer.goAway(code);
    }

    /** A copy of the open streams, oldest first. */
    List<Http2Stream> openStreams() {
        return List.copyOf(streamTable.openStreams());
    }

    /** Whether no part of the next frame or of a header block has been received. */
    boolean isAtFrameBoundary() {
        return parser.isAtFrameBoundary() && !headerBlockReader.isInProgress();
    }

    /** The number of frames, those of a header block counted as one, that have been received completely. */
    long completedFrames() {
        return completedFrames;
    }

    // ---- Receiving. ----

    /**
     * Reads all received bytes.
     *
     * @throws Http2Exception if the server violates the protocol; nothing may be read afterwards
     */
    void read(RingBuffer in) throws Http2Exception {
        parser.read(in);
    }

    @Override
    public void onFrame(int type, int flags, int streamId, ByteBuffer payload)
            throws Http2Exception {
        boolean settingsFrame = type == Http2Constants.SETTINGS && !isAck(flags);
        if (!peerSettings.areReceived() && !settingsFrame) {
            throw Http2Exception.protocolError(
                    "first frame is not SETTINGS: type " + type + ", flags " + flags);
        }
        headerBlockReader.checkNext(type, streamId);
        switch (type) {
            case Http2Constants.DATA -> onData(flags, streamId, payload);
            case Http2Constants.HEADERS -> onHeaders(flags, streamId, payload);
            case Http2Constants.PRIORITY -> onPriority(streamId, payload);
            case Http2Constants.RST_STREAM -> onReset(streamId, payload);
            case Http2Constants.SETTINGS -> onSettings(flags, streamId, payload);
            case Http2Constants.PUSH_PROMISE ->
                throw Http2Exception.protocolError("PUSH_PROMISE frame although push is disabled");
            case Http2Constants.PING -> onPing(flags, streamId, payload);
            case Http2Constants.GOAWAY -> onGoAway(streamId, payload);
            case Http2Constants.WINDOW_UPDATE -> onWindowUpdate(streamId, payload);
            case Http2Constants.CONTINUATION ->
                onHeaderBlock(headerBlockReader.continuation(flags, payload));
            default -> uselessFrameBudget.spend(); // Unknown frames are ignored.
        }
        if (!headerBlockReader.isInProgress()) {
            completedFrames++;
        }
    }

    private static boolean isAck(int flags) {
        return (flags & Http2Constants.ACK) != 0;
    }

    // ---- Responses. ----

    private void onData(int flags, int streamId, ByteBuffer payload) throws Http2Exception {
        int length = payload.remaining();
        receiveWindow.received(length);
        Http2Stream stream = streamTable.getKnown(streamId);
        FramePayload.removePadding(flags, payload);
        if (stream == null) {
            uselessFrameBudget.spend();
            return;
        }
        receiveWindow.received(stream, length);
        boolean endsStream = (flags & Http2Constants.END_STREAM) != 0;
        advance(stream, responseReader.data(stream, payload, endsStream));
    }

    private void onHeaders(int flags, int streamId, ByteBuffer payload) throws Http2Exception {
        streamTable.getKnown(streamId);
        FramePayload.removePadding(flags, payload);
        FramePayload.removePriority(flags, payload);
        onHeaderBlock(headerBlockReader.headers(flags, streamId, payload));
    }

    /**
     * Handles a frame of a header block.
     *
     * @param block the decoded block; null if continuations follow
     */
    private void onHeaderBlock(HeaderCodec.HeaderBlock block) throws Http2Exception {
        if (block == null) {
            return;
        }
        Http2Stream stream = streamTable.get(headerBlockReader.streamId());
        if (stream == null) {
            uselessFrameBudget.spend();
        } else {
            advance(stream, responseReader.headers(stream, block, headerBlockReader.endsStream()));
        }
    }

    private void advance(Http2Stream stream, ResponseReader.Progress progress) {
        switch (progress) {
            case INCOMPLETE -> {}
            case COMPLETE -> complete(stream);
            case MALFORMED -> rejectMalformed(stream, Http2Constants.ErrorCode.PROTOCOL_ERROR);
        }
    }

    private void complete(Http2Stream stream) {
        streamTable.remove(stream);
        uselessFrameBudget.refill();
        if (!stream.isRequestSent()) {
            // The server answered before the request was complete and doesn't need the rest.
            resetStream(stream.id, Http2Constants.ErrorCode.NO_ERROR);
        }
        listener.onResponse(stream);
    }

    private void rejectMalformed(Http2Stream stream, Http2Constants.ErrorCode code) {
        if (streamTable.remove(stream)) {
            resetStream(stream.id, code);
            listener.onStreamReset(stream, false, true);
        }
    }

    private void onPriority(int streamId, ByteBuffer payload) throws Http2Exception {
        uselessFrameBudget.spend();
        if (streamId == 0) {
            throw Http2Exception.protocolError("PRIORITY frame on stream 0");
        }
        Http2Stream stream = streamTable.get(streamId);
        if (!FramePayload.isPriority(payload) && stream != null) {
            rejectMalformed(stream, Http2Constants.ErrorCode.FRAME_SIZE_ERROR);
        }
    }

    private void onReset(int streamId, ByteBuffer payload) throws Http2Exception {
        FramePayload.checkSize(payload.remaining() == RESET_BYTES, "RST_STREAM", payload);
        Http2Stream stream = streamTable.getKnown(streamId);
        uselessFrameBudget.spend();
        if (stream != null) {
            streamTable.remove(stream);
            streamTable.rememberReset(streamId); // Later frames on the stream are ignored.
            int code = payload.getInt();
            listener.onStreamReset(
                    stream, code == Http2Constants.ErrorCode.REFUSED_STREAM.number(), false);
        }
    }

    // ---- The connection. ----

    private void onSettings(int flags, int streamId, ByteBuffer payload) throws Http2Exception {
        PeerSettings.check(streamId, isAck(flags), payload);
        if (isAck(flags)) {
            peerSettings.onAck();
            return;
        }
        long maxStreams = peerSettings.apply(payload, streamTable.openStreams());
        if (maxStreams != PeerSettings.UNCHANGED) {
            listener.onMaxStreams(maxStreams);
        }
        sendWindow.flushAll(streamTable.openStreams());
    }

    private void onPing(int flags, int streamId, ByteBuffer payload) throws Http2Exception {
        if (streamId != 0) {
            throw Http2Exception.protocolError("PING frame on stream " + streamId);
        }
        FramePayload.checkSize(payload.remaining() == PING_BYTES, "PING", payload);
        byte[] opaque = new byte[PING_BYTES];
        payload.get(opaque);
        if (isAck(flags)) {
            listener.onPingAck(ByteBuffer.wrap(opaque).getLong());
        } else {
            uselessFrameBudget.spend();
            writer.pingAck(opaque);
        }
    }

    private void onGoAway(int streamId, ByteBuffer payload) throws Http2Exception {
        if (streamId != 0) {
            throw Http2Exception.protocolError("GOAWAY frame on stream " + streamId);
        }
        FramePayload.checkSize(payload.remaining() >= MIN_GOAWAY_BYTES, "GOAWAY", payload);
        int lastStreamId = payload.getInt() & Http2Constants.MAX_STREAM_ID;
        streamTable.checkGoAway(lastStreamId);
        uselessFrameBudget.spend();
        listener.onGoAway(lastStreamId, streamTable.closeAbove(lastStreamId));
    }

    private void onWindowUpdate(int streamId, ByteBuffer payload) throws Http2Exception {
        FramePayload.checkSize(
                payload.remaining() == WINDOW_UPDATE_BYTES, "WINDOW_UPDATE", payload);
        int increment = payload.getInt() & Http2Constants.MAX_STREAM_ID;
        if (streamId == 0) {
            sendWindow.growConnection(increment);
            uselessFrameBudget.spendUnless(sendWindow.flushAll(streamTable.openStreams()));
            return;
        }
        // An update for a stream that has ended is no error: the server may have sent it before
        // it learned of the end.
        Http2Stream stream = streamTable.get(streamId);
        if (stream == null) {
            uselessFrameBudget.spend();
            streamTable.checkOpened(streamId);
            return;
        }
        stream.sendWindow += increment;
        if (increment == 0) {
            rejectMalformed(stream, Http2Constants.ErrorCode.PROTOCOL_ERROR);
        } else if (stream.sendWindow > Http2Constants.MAX_WINDOW) {
            rejectMalformed(stream, Http2Constants.ErrorCode.FLOW_CONTROL_ERROR);
        } else {
            uselessFrameBudget.spendUnless(sendWindow.flush(stream));
        }
    }

    /** The body of a response, decoded as UTF-8 text. */
    static String bodyText(Http2Stream stream) {
        return stream.responseBody.toString(StandardCharsets.UTF_8);
    }
}
