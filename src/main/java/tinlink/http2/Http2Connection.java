package tinlink.http2;

import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The client's side of one HTTP/2 connection (RFC 9113), without its socket: it checks what comes in, and
 * says what each stream came to, and nothing of what that means for a part call. Whatever does not fit ends
 * the connection with the code that says why, or, where only one message is malformed, its stream. Runs on
 * the connection's thread.
 */
final class Http2Connection implements FrameParser.FrameHandler {
    private static final int PRIORITY_BYTES = 5;
    private static final int RESET_BYTES = 4;
    private static final int SETTING_BYTES = 6;
    private static final int PING_BYTES = 8;
    private static final int MIN_GOAWAY_BYTES = 8;
    private static final int WINDOW_UPDATE_BYTES = 4;
    /** More than any frame can hold: padding whose length is missing. */
    private static final int NO_PAD_LENGTH = 256;
    /** Longer frames are not written, whatever the other side takes. */
    private static final int MAX_WRITTEN_FRAME_BYTES = 4 * Http2Constants.DEFAULT_MAX_FRAME_SIZE;

    /** Who hears what comes of it. */
    interface StreamListener {
        /** How many streams may be open; at first and whenever the other side says so. */
        void onMaxStreams(long maxStreams);

        /** It has ended in order: status, fields, value and trailers stand in the stream. */
        void onResponse(Http2Stream stream);

        /**
         * A stream has ended without an answer.
         *
         * @param notProcessed the other side has said that it did not process any of it
         * @param malformed what came of it was malformed, and we have ended it
         */
        void onStreamReset(Http2Stream stream, boolean notProcessed, boolean malformed);

        /** Streams over that id have not been and will not be processed; no new ones may be opened. */
        void onGoAway(int lastStreamId, List<Http2Stream> above);

        void onPingAck(long number);
    }

    private final StreamListener listener;
    private final FrameParser parser = new FrameParser(this);
    private final FrameWriter writer;
    private final HeaderCodec headerCodec = new HeaderCodec();
    private final HeaderBlockReader headerBlockReader = new HeaderBlockReader(headerCodec);
    private final UselessFrameBudget uselessFrameBudget = new UselessFrameBudget();
    private final ResponseReader responseReader = new ResponseReader(uselessFrameBudget);
    private final StreamTable streamTable;
    private final SendWindow sendWindow;
    private final ReceiveWindow receiveWindow;
    private boolean settingsReceived;
    private boolean settingsAcked;

    /** @param maxResetIds so many ids are remembered after we have reset them */
    Http2Connection(Consumer<byte[]> out, StreamListener listener, int maxResetIds) {
        this.listener = listener;
        writer = new FrameWriter(out);
        streamTable = new StreamTable(maxResetIds);
        sendWindow = new SendWindow(writer);
        receiveWindow = new ReceiveWindow(writer);
    }

    // ---- What goes out. ----

    /** The preface and our settings; requests may follow at once. */
    void start() {
        writer.preface(ReceiveWindow.STREAM_WINDOW);
        receiveWindow.open();
    }

    /** No id is left for a new stream, or the other side takes none. */
    boolean isExhausted() {
        return streamTable.isExhausted();
    }

    /** Opens a stream; all of the body that the windows allow leaves with it. */
    Http2Stream sendRequest(Object call, Map<String, String> headerFields, byte[] body) {
        Http2Stream stream = streamTable.open(call, body);
        sendWindow.initialize(stream);
        stream.receiveWindow = ReceiveWindow.STREAM_WINDOW;
        writer.headers(stream.id, headerCodec.encode(headerFields), body.length == 0);
        sendWindow.flush(stream);
        return stream;
    }

    /** Given up: nobody hears of it any more. */
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

    /** The last word; the connection ends after it. We have processed none of the other side's streams. */
    void sendGoAway(Http2Constants.ErrorCode code) {
        writer.goAway(code);
    }

    /** Open streams, oldest first. */
    List<Http2Stream> openStreams() {
        return List.copyOf(streamTable.openStreams());
    }

    /** Nothing of a next frame or of a header block has come. */
    boolean isAtFrameBoundary() {
        return parser.isAtFrameBoundary() && !headerBlockReader.isInProgress();
    }

    // ---- What comes in. ----

    void read(RingBuffer in) throws Http2Exception {
        parser.read(in);
    }

    @Override
    public void onFrame(int type, int flags, int streamId, ByteBuffer payload)
            throws Http2Exception {
        if (!settingsReceived
                && (type != Http2Constants.SETTINGS || (flags & Http2Constants.ACK) != 0)) {
            throw protocolError("it does not begin with settings");
        }
        headerBlockReader.checkNext(type, streamId);
        switch (type) {
            case Http2Constants.DATA -> onData(flags, streamId, payload);
            case Http2Constants.HEADERS -> onHeaders(flags, streamId, payload);
            case Http2Constants.PRIORITY -> onPriority(streamId, payload);
            case Http2Constants.RST_STREAM -> onReset(streamId, payload);
            case Http2Constants.SETTINGS -> onSettings(flags, streamId, payload);
            case Http2Constants.PUSH_PROMISE ->
                throw protocolError("a push that we have forbidden");
            case Http2Constants.PING -> onPing(flags, streamId, payload);
            case Http2Constants.GOAWAY -> onGoAway(streamId, payload);
            case Http2Constants.WINDOW_UPDATE -> onWindowUpdate(streamId, payload);
            case Http2Constants.CONTINUATION ->
                onHeaderBlock(headerBlockReader.continuation(flags, payload));
            default -> uselessFrameBudget.spend(); // Unknown frames are passed over.
        }
    }

    private static Http2Exception protocolError(String description) {
        return new Http2Exception(Http2Constants.ErrorCode.PROTOCOL_ERROR, description);
    }

    private static void checkSize(boolean isValid, String frameName, ByteBuffer payload)
            throws Http2Exception {
        if (!isValid) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.FRAME_SIZE_ERROR,
                    frameName + " of " + payload.remaining() + " bytes");
        }
    }

    // ---- Answers. ----

    private void onData(int flags, int streamId, ByteBuffer payload) throws Http2Exception {
        int length = payload.remaining();
        receiveWindow.received(length);
        Http2Stream stream = streamTable.getKnown(streamId);
        removePadding(flags, payload);
        if (stream == null) {
            uselessFrameBudget.spend();
            return;
        }
        receiveWindow.received(stream, length);
        advance(
                stream,
                responseReader.data(stream, payload, (flags & Http2Constants.END_STREAM) != 0));
    }

    private static void removePadding(int flags, ByteBuffer payload) throws Http2Exception {
        if ((flags & Http2Constants.PADDED) == 0) {
            return;
        }
        int padLength = payload.hasRemaining() ? payload.get() & 0xff : NO_PAD_LENGTH;
        if (padLength > payload.remaining()) {
            throw protocolError("padding longer than its frame");
        }
        payload.limit(payload.limit() - padLength);
    }

    private void onHeaders(int flags, int streamId, ByteBuffer payload) throws Http2Exception {
        streamTable.getKnown(streamId);
        removePadding(flags, payload);
        if ((flags & Http2Constants.WITH_PRIORITY) != 0) {
            if (payload.remaining() < PRIORITY_BYTES) {
                throw new Http2Exception(
                        Http2Constants.ErrorCode.FRAME_SIZE_ERROR, "a priority cut short");
            }
            payload.position(payload.position() + PRIORITY_BYTES);
        }
        onHeaderBlock(headerBlockReader.headers(flags, streamId, payload));
    }

    /** @param block null where more of it is to come */
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
            // Answered before the request was over: the rest is not wanted.
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
            throw protocolError("a priority of stream 0");
        }
        Http2Stream stream = streamTable.get(streamId);
        if (payload.remaining() != PRIORITY_BYTES && stream != null) {
            rejectMalformed(stream, Http2Constants.ErrorCode.FRAME_SIZE_ERROR);
        }
    }

    private void onReset(int streamId, ByteBuffer payload) throws Http2Exception {
        checkSize(payload.remaining() == RESET_BYTES, "a reset", payload);
        Http2Stream stream = streamTable.getKnown(streamId);
        uselessFrameBudget.spend();
        if (stream != null) {
            streamTable.remove(stream);
            streamTable.rememberReset(streamId); // Another reset of it says nothing more.
            listener.onStreamReset(
                    stream,
                    payload.getInt() == Http2Constants.ErrorCode.REFUSED_STREAM.ordinal(),
                    false);
        }
    }

    // ---- The connection. ----

    private void onSettings(int flags, int streamId, ByteBuffer payload) throws Http2Exception {
        if (streamId != 0) {
            throw protocolError("settings of a stream");
        }
        boolean ack = (flags & Http2Constants.ACK) != 0;
        checkSize(
                payload.remaining() % SETTING_BYTES == 0 && !(ack && payload.hasRemaining()),
                "settings",
                payload);
        if (ack) {
            uselessFrameBudget.spendUnless(!settingsAcked);
            settingsAcked = true;
            return;
        }
        uselessFrameBudget.spendUnless(!settingsReceived);
        long maxStreams = settingsReceived ? -1 : Http2Constants.MAX_STREAM_ID;
        while (payload.hasRemaining()) {
            int settingId = payload.getShort() & 0xffff;
            long value = payload.getInt() & 0xffffffffL;
            if (settingId == Http2Constants.MAX_CONCURRENT_STREAMS) {
                maxStreams = value;
            } else {
                applySetting(settingId, value);
            }
        }
        settingsReceived = true;
        writer.settingsAck();
        if (maxStreams >= 0) {
            listener.onMaxStreams(maxStreams);
        }
        sendWindow.flushAll(streamTable.openStreams());
    }

    private void applySetting(int settingId, long value) throws Http2Exception {
        switch (settingId) {
            case Http2Constants.HEADER_TABLE_SIZE -> headerCodec.setMaxTableSize(value);
            case Http2Constants.ENABLE_PUSH -> {
                if (value != 0) {
                    throw protocolError("a server that lets itself be pushed to");
                }
            }
            case Http2Constants.INITIAL_WINDOW_SIZE ->
                sendWindow.initialStreamWindow(value, streamTable.openStreams());
            case Http2Constants.MAX_FRAME_SIZE -> {
                if (value < Http2Constants.DEFAULT_MAX_FRAME_SIZE
                        || value > Http2Constants.LARGEST_MAX_FRAME_SIZE) {
                    throw protocolError("frames of " + value + " bytes");
                }
                writer.maxFrameSize((int) Math.min(value, MAX_WRITTEN_FRAME_BYTES));
            }
            default -> {
                // The list size is advice that our few fields keep; unknown ones are passed over.
            }
        }
    }

    private void onPing(int flags, int streamId, ByteBuffer payload) throws Http2Exception {
        if (streamId != 0) {
            throw protocolError("a ping of a stream");
        }
        checkSize(payload.remaining() == PING_BYTES, "a ping", payload);
        byte[] opaque = new byte[PING_BYTES];
        payload.get(opaque);
        if ((flags & Http2Constants.ACK) == 0) {
            uselessFrameBudget.spend();
            writer.pingAck(opaque);
        } else {
            listener.onPingAck(ByteBuffer.wrap(opaque).getLong());
        }
    }

    private void onGoAway(int streamId, ByteBuffer payload) throws Http2Exception {
        if (streamId != 0) {
            throw protocolError("a goodbye of a stream");
        }
        checkSize(payload.remaining() >= MIN_GOAWAY_BYTES, "a goodbye", payload);
        int lastStreamId = payload.getInt() & Http2Constants.MAX_STREAM_ID;
        streamTable.checkGoAway(lastStreamId);
        uselessFrameBudget.spend();
        listener.onGoAway(lastStreamId, streamTable.closeAbove(lastStreamId));
    }

    private void onWindowUpdate(int streamId, ByteBuffer payload) throws Http2Exception {
        checkSize(payload.remaining() == WINDOW_UPDATE_BYTES, "a window update", payload);
        int increment = payload.getInt() & Http2Constants.MAX_STREAM_ID;
        if (streamId == 0) {
            sendWindow.growConnection(increment);
            uselessFrameBudget.spendUnless(sendWindow.flushAll(streamTable.openStreams()));
            return;
        }
        // Danger: an update for a stream that is over may have crossed its end, and is nobody's
        // fault.
        Http2Stream stream = streamTable.get(streamId);
        if (stream == null) {
            uselessFrameBudget.spend();
            streamTable.checkOpened(streamId);
            return;
        }
        stream.sendWindow += increment;
        if (increment == 0 || stream.sendWindow > Http2Constants.MAX_WINDOW) {
            rejectMalformed(
                    stream,
                    increment == 0
                            ? Http2Constants.ErrorCode.PROTOCOL_ERROR
                            : Http2Constants.ErrorCode.FLOW_CONTROL_ERROR);
            return;
        }
        uselessFrameBudget.spendUnless(sendWindow.flush(stream));
    }

    /** The text of a field as it is said in a value. */
    static String bodyText(Http2Stream stream) {
        return stream.responseBody.toString(StandardCharsets.UTF_8);
    }
}
