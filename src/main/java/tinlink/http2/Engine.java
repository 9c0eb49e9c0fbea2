package tinlink.http2;

import tinlink.net.Ring;

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
final class Engine implements FrameParser.Sink {
    private static final int PRIORITY_BYTES = 5;
    private static final int RESET_BYTES = 4;
    private static final int SETTING_BYTES = 6;
    private static final int PING_BYTES = 8;
    private static final int LEAST_GOAWAY_BYTES = 8;
    private static final int WINDOW_UPDATE_BYTES = 4;
    /** More than any frame can hold: padding whose length is missing. */
    private static final int NO_PAD_LENGTH = 256;
    /** Longer frames are not written, whatever the other side takes. */
    private static final int MOST_FRAME_WRITTEN = 4 * H2.LEAST_FRAME;

    /** Who hears what comes of it. */
    interface Owner {
        /** How many streams may be open; at first and whenever the other side says so. */
        void settled(long streams);

        /** It has ended in order: status, fields, value and trailers stand in the stream. */
        void answered(Stream s);

        /**
         * A stream has ended without an answer.
         *
         * @param never the other side has said that it did not process any of it
         * @param ours what came of it was malformed, and we have ended it
         */
        void reset(Stream s, boolean never, boolean ours);

        /** Streams over that id have not been and will not be processed; no new ones may be opened. */
        void leaving(int lastId, List<Stream> above);

        void ponged(long number);
    }

    private final Owner owner;
    private final FrameParser parser = new FrameParser(this);
    private final FrameWriter writer;
    private final Headers headers = new Headers();
    private final HeaderBlockReader headerBlocks = new HeaderBlockReader(headers);
    private final UselessFrameBudget budget = new UselessFrameBudget();
    private final ResponseReader responses = new ResponseReader(budget);
    private final StreamTable streams;
    private final SendWindow sendWindow;
    private final ReceiveWindow receiveWindow;
    private boolean settingsReceived;
    private boolean settingsAcked;

    /** @param mostCancelled so many ids are remembered after we have reset them */
    Engine(Consumer<byte[]> out, Owner owner, int mostCancelled) {
        this.owner = owner;
        writer = new FrameWriter(out);
        streams = new StreamTable(mostCancelled);
        sendWindow = new SendWindow(writer);
        receiveWindow = new ReceiveWindow(writer);
    }

    // ---- What goes out. ----

    /** The preface and our settings; requests may follow at once. */
    void begins() {
        writer.preface(ReceiveWindow.STREAM_WINDOW);
        receiveWindow.open();
    }

    /** No id is left for a new stream, or the other side takes none. */
    boolean isUsedUp() {
        return streams.isExhausted();
    }

    /** Opens a stream; all of the body that the windows allow leaves with it. */
    Stream request(Object call, Map<String, String> list, byte[] body) {
        Stream stream = streams.open(call, body);
        sendWindow.opened(stream);
        stream.takes = ReceiveWindow.STREAM_WINDOW;
        writer.headers(stream.id, headers.block(list), body.length == 0);
        sendWindow.flush(stream);
        return stream;
    }

    /** Given up: nobody hears of it any more. */
    void cancel(Stream stream) {
        if (streams.remove(stream)) {
            resetStream(stream.id, H2.Code.CANCEL);
        }
    }

    private void resetStream(int id, H2.Code code) {
        writer.resetStream(id, code);
        streams.rememberReset(id);
    }

    void ping(long number) {
        writer.ping(number);
    }

    /** The last word; the connection ends after it. We have processed none of the other side's streams. */
    void goodbye(H2.Code code) {
        writer.goAway(code);
    }

    /** Open streams, oldest first. */
    List<Stream> open() {
        return List.copyOf(streams.openStreams());
    }

    /** Nothing of a next frame or of a header block has come. */
    boolean between() {
        return parser.between() && !headerBlocks.isUnderWay();
    }

    // ---- What comes in. ----

    void read(Ring in) throws Broken {
        parser.read(in);
    }

    @Override
    public void frame(int type, int flags, int stream, ByteBuffer payload) throws Broken {
        if (!settingsReceived && (type != H2.SETTINGS || (flags & H2.ACK) != 0)) {
            throw protocolError("it does not begin with settings");
        }
        headerBlocks.checkNext(type, stream);
        switch (type) {
            case H2.DATA -> dataFrame(flags, stream, payload);
            case H2.HEADERS -> headersFrame(flags, stream, payload);
            case H2.PRIORITY -> priorityFrame(stream, payload);
            case H2.RST_STREAM -> resetFrame(stream, payload);
            case H2.SETTINGS -> settingsFrame(flags, stream, payload);
            case H2.PUSH_PROMISE -> throw protocolError("a push that we have forbidden");
            case H2.PING -> pingFrame(flags, stream, payload);
            case H2.GOAWAY -> goAwayFrame(stream, payload);
            case H2.WINDOW_UPDATE -> windowUpdateFrame(stream, payload);
            case H2.CONTINUATION -> headerBlock(headerBlocks.continuation(flags, payload));
            default -> budget.spend(); // Unknown frames are passed over.
        }
    }

    private static Broken protocolError(String what) {
        return new Broken(H2.Code.PROTOCOL_ERROR, what);
    }

    private static void checkSize(boolean fits, String what, ByteBuffer payload) throws Broken {
        if (!fits) {
            throw new Broken(
                    H2.Code.FRAME_SIZE_ERROR, what + " of " + payload.remaining() + " bytes");
        }
    }

    // ---- Answers. ----

    private void dataFrame(int flags, int id, ByteBuffer payload) throws Broken {
        int length = payload.remaining();
        receiveWindow.received(length);
        Stream stream = streams.getKnown(id);
        removePadding(flags, payload);
        if (stream == null) {
            budget.spend();
            return;
        }
        receiveWindow.received(stream, length);
        advance(stream, responses.data(stream, payload, (flags & H2.END_STREAM) != 0));
    }

    private static void removePadding(int flags, ByteBuffer payload) throws Broken {
        if ((flags & H2.PADDED) == 0) {
            return;
        }
        int pad = payload.hasRemaining() ? payload.get() & 0xff : NO_PAD_LENGTH;
        if (pad > payload.remaining()) {
            throw protocolError("padding longer than its frame");
        }
        payload.limit(payload.limit() - pad);
    }

    private void headersFrame(int flags, int id, ByteBuffer payload) throws Broken {
        streams.getKnown(id);
        removePadding(flags, payload);
        if ((flags & H2.WITH_PRIORITY) != 0) {
            if (payload.remaining() < PRIORITY_BYTES) {
                throw new Broken(H2.Code.FRAME_SIZE_ERROR, "a priority cut short");
            }
            payload.position(payload.position() + PRIORITY_BYTES);
        }
        headerBlock(headerBlocks.headers(flags, id, payload));
    }

    /** @param block null where more of it is to come */
    private void headerBlock(Headers.Block block) throws Broken {
        if (block == null) {
            return;
        }
        Stream stream = streams.get(headerBlocks.stream());
        if (stream == null) {
            budget.spend();
        } else {
            advance(stream, responses.headers(stream, block, headerBlocks.endsStream()));
        }
    }

    private void advance(Stream stream, ResponseReader.Progress progress) {
        switch (progress) {
            case INCOMPLETE -> {}
            case COMPLETE -> complete(stream);
            case MALFORMED -> malformed(stream, H2.Code.PROTOCOL_ERROR);
        }
    }

    private void complete(Stream stream) {
        streams.remove(stream);
        budget.refill();
        if (!stream.said()) {
            // Answered before the request was over: the rest is not wanted.
            resetStream(stream.id, H2.Code.NO_ERROR);
        }
        owner.answered(stream);
    }

    private void malformed(Stream stream, H2.Code code) {
        if (streams.remove(stream)) {
            resetStream(stream.id, code);
            owner.reset(stream, false, true);
        }
    }

    private void priorityFrame(int id, ByteBuffer payload) throws Broken {
        budget.spend();
        if (id == 0) {
            throw protocolError("a priority of stream 0");
        }
        Stream stream = streams.get(id);
        if (payload.remaining() != PRIORITY_BYTES && stream != null) {
            malformed(stream, H2.Code.FRAME_SIZE_ERROR);
        }
    }

    private void resetFrame(int id, ByteBuffer payload) throws Broken {
        checkSize(payload.remaining() == RESET_BYTES, "a reset", payload);
        Stream stream = streams.getKnown(id);
        budget.spend();
        if (stream != null) {
            streams.remove(stream);
            streams.rememberReset(id); // Another reset of it says nothing more.
            owner.reset(stream, payload.getInt() == H2.Code.REFUSED_STREAM.ordinal(), false);
        }
    }

    // ---- The connection. ----

    private void settingsFrame(int flags, int stream, ByteBuffer payload) throws Broken {
        if (stream != 0) {
            throw protocolError("settings of a stream");
        }
        boolean ack = (flags & H2.ACK) != 0;
        checkSize(
                payload.remaining() % SETTING_BYTES == 0 && !(ack && payload.hasRemaining()),
                "settings",
                payload);
        if (ack) {
            budget.spendUnless(!settingsAcked);
            settingsAcked = true;
            return;
        }
        budget.spendUnless(!settingsReceived);
        long maxStreams = settingsReceived ? -1 : H2.MOST_ID;
        while (payload.hasRemaining()) {
            int key = payload.getShort() & 0xffff;
            long value = payload.getInt() & 0xffffffffL;
            if (key == H2.MAX_CONCURRENT_STREAMS) {
                maxStreams = value;
            } else {
                apply(key, value);
            }
        }
        settingsReceived = true;
        writer.settingsAck();
        if (maxStreams >= 0) {
            owner.settled(maxStreams);
        }
        sendWindow.flushAll(streams.openStreams());
    }

    private void apply(int key, long value) throws Broken {
        switch (key) {
            case H2.HEADER_TABLE_SIZE -> headers.table(value);
            case H2.ENABLE_PUSH -> {
                if (value != 0) {
                    throw protocolError("a server that lets itself be pushed to");
                }
            }
            case H2.INITIAL_WINDOW_SIZE ->
                sendWindow.initialStreamWindow(value, streams.openStreams());
            case H2.MAX_FRAME_SIZE -> {
                if (value < H2.LEAST_FRAME || value > H2.MOST_FRAME) {
                    throw protocolError("frames of " + value + " bytes");
                }
                writer.maxFrameSize((int) Math.min(value, MOST_FRAME_WRITTEN));
            }
            default -> {
                // The list size is advice that our few fields keep; unknown ones are passed over.
            }
        }
    }

    private void pingFrame(int flags, int stream, ByteBuffer payload) throws Broken {
        if (stream != 0) {
            throw protocolError("a ping of a stream");
        }
        checkSize(payload.remaining() == PING_BYTES, "a ping", payload);
        byte[] opaque = new byte[PING_BYTES];
        payload.get(opaque);
        if ((flags & H2.ACK) == 0) {
            budget.spend();
            writer.pingAck(opaque);
        } else {
            owner.ponged(ByteBuffer.wrap(opaque).getLong());
        }
    }

    private void goAwayFrame(int stream, ByteBuffer payload) throws Broken {
        if (stream != 0) {
            throw protocolError("a goodbye of a stream");
        }
        checkSize(payload.remaining() >= LEAST_GOAWAY_BYTES, "a goodbye", payload);
        int last = payload.getInt() & H2.MOST_ID;
        streams.checkGoAway(last);
        budget.spend();
        owner.leaving(last, streams.closeAbove(last));
    }

    private void windowUpdateFrame(int id, ByteBuffer payload) throws Broken {
        checkSize(payload.remaining() == WINDOW_UPDATE_BYTES, "a window update", payload);
        int bytes = payload.getInt() & H2.MOST_ID;
        if (id == 0) {
            sendWindow.growConnection(bytes);
            budget.spendUnless(sendWindow.flushAll(streams.openStreams()));
            return;
        }
        // Danger: an update for a stream that is over may have crossed its end, and is nobody's
        // fault.
        Stream stream = streams.get(id);
        if (stream == null) {
            budget.spend();
            streams.checkOpened(id);
            return;
        }
        stream.window += bytes;
        if (bytes == 0 || stream.window > H2.MOST_WINDOW) {
            malformed(stream, bytes == 0 ? H2.Code.PROTOCOL_ERROR : H2.Code.FLOW_CONTROL_ERROR);
            return;
        }
        budget.spendUnless(sendWindow.flush(stream));
    }

    /** The text of a field as it is said in a value. */
    static String text(Stream stream) {
        return stream.value.toString(StandardCharsets.UTF_8);
    }
}
