package tinlink.http2;

import java.nio.ByteBuffer;
import java.util.Collection;

/** Checks, applies and acknowledges the server's settings (RFC 9113, section 6.5). */
final class PeerSettings {
    private static final int SETTING_BYTES = 6;
    /** The maximum payload of written frames, even if the server accepts more. */
    private static final int MAX_WRITTEN_FRAME_BYTES = 4 * Http2Constants.DEFAULT_MAX_FRAME_SIZE;
    /** The result of settings that don't change the stream limit. */
    static final long UNCHANGED = -1;

    private final FrameWriter writer;
    private final HeaderCodec headerCodec;
    private final SendWindow sendWindow;
    private final UselessFrameBudget uselessFrameBudget;
    private boolean received;
    /** Whether the server has acknowledged the client's settings. */
    private boolean ownAcknowledged;

    PeerSettings(
            FrameWriter writer,
            HeaderCodec headerCodec,
            SendWindow sendWindow,
            UselessFrameBudget uselessFrameBudget) {
        this.writer = writer;
        this.headerCodec = headerCodec;
        this.sendWindow = sendWindow;
        this.uselessFrameBudget = uselessFrameBudget;
    }

    /** Whether the server's first settings have been received. */
    boolean areReceived() {
        return received;
    }

    /** The server has acknowledged the client's settings. */
    void onAck() throws Http2Exception {
        uselessFrameBudget.spendUnless(!ownAcknowledged);
        ownAcknowledged = true;
    }

    /**
     * Applies a SETTINGS frame and acknowledges it.
     *
     * @return the new stream limit, or {@link #UNCHANGED}; if the first settings contain no limit, the
     *     highest stream id
     */
    long apply(ByteBuffer payload, Collection<Http2Stream> openStreams) throws Http2Exception {
        uselessFrameBudget.spendUnless(!received);
        long maxStreams = received ? UNCHANGED : Http2Constants.MAX_STREAM_ID;
        while (payload.hasRemaining()) {
            int settingId = payload.getShort() & 0xffff;
            long value = payload.getInt() & 0xffffffffL;
            if (settingId == Http2Constants.MAX_CONCURRENT_STREAMS) {
                maxStreams = value;
            } else {
                apply(settingId, value, openStreams);
            }
        }
        received = true;
        writer.settingsAck();
        return maxStreams;
    }

    private void apply(int settingId, long value, Collection<Http2Stream> openStreams)
            throws Http2Exception {
        switch (settingId) {
            case Http2Constants.HEADER_TABLE_SIZE -> headerCodec.setMaxTableSize(value);
            case Http2Constants.ENABLE_PUSH -> {
                if (value != 0) {
                    throw Http2Exception.protocolError(
                            "server sent ENABLE_PUSH " + value + " instead of 0");
                }
            }
            case Http2Constants.INITIAL_WINDOW_SIZE ->
                sendWindow.initialStreamWindow(value, openStreams);
            case Http2Constants.MAX_FRAME_SIZE -> {
                if (value < Http2Constants.DEFAULT_MAX_FRAME_SIZE
                        || value > Http2Constants.LARGEST_MAX_FRAME_SIZE) {
                    throw Http2Exception.protocolError("MAX_FRAME_SIZE out of range: " + value);
                }
                writer.maxFrameSize((int) Math.min(value, MAX_WRITTEN_FRAME_BYTES));
            }
            default -> {
                // The maximum list size is advisory, and the few fields of a request stay below it.
                // Unknown settings are ignored.
            }
        }
    }

    /** Throws if the stream id or the size of a SETTINGS frame is invalid. */
    static void check(int streamId, boolean ack, ByteBuffer payload) throws Http2Exception {
        if (streamId != 0) {
            throw Http2Exception.protocolError("SETTINGS frame on stream " + streamId);
        }
        boolean validSize =
                payload.remaining() % SETTING_BYTES == 0 && !(ack && payload.hasRemaining());
        FramePayload.checkSize(validSize, "SETTINGS", payload);
    }
}
