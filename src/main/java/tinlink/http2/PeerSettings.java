package tinlink.http2;

import java.nio.ByteBuffer;
import java.util.Collection;

/** The settings of the other side (RFC 9113, section 6.5): checked, applied and acknowledged. */
final class PeerSettings {
    private static final int SETTING_BYTES = 6;
    /** Longer frames are not written, whatever the other side takes. */
    private static final int MAX_WRITTEN_FRAME_BYTES = 4 * Http2Constants.DEFAULT_MAX_FRAME_SIZE;
    /** No setting changes how many streams may be open. */
    static final long UNCHANGED = -1;

    private final FrameWriter writer;
    private final HeaderCodec headerCodec;
    private final SendWindow sendWindow;
    private final UselessFrameBudget uselessFrameBudget;
    private boolean received;
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

    /** The first settings of the other side are here. */
    boolean areReceived() {
        return received;
    }

    /** The other side has our settings. */
    void onAck() throws Http2Exception {
        uselessFrameBudget.spendUnless(!ownAcknowledged);
        ownAcknowledged = true;
    }

    /**
     * Applies a SETTINGS frame and acknowledges it.
     *
     * @return how many streams may be open from now on, or {@link #UNCHANGED}
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
                    throw Http2Exception.protocolError("a server that lets itself be pushed to");
                }
            }
            case Http2Constants.INITIAL_WINDOW_SIZE ->
                sendWindow.initialStreamWindow(value, openStreams);
            case Http2Constants.MAX_FRAME_SIZE -> {
                if (value < Http2Constants.DEFAULT_MAX_FRAME_SIZE
                        || value > Http2Constants.LARGEST_MAX_FRAME_SIZE) {
                    throw Http2Exception.protocolError("frames of " + value + " bytes");
                }
                writer.maxFrameSize((int) Math.min(value, MAX_WRITTEN_FRAME_BYTES));
            }
            default -> {
                // The list size is advice that our few fields keep; unknown ones are ignored.
            }
        }
    }

    /** Fails where a SETTINGS frame can't be of that form. */
    static void check(int streamId, boolean isAck, ByteBuffer payload) throws Http2Exception {
        if (streamId != 0) {
            throw Http2Exception.protocolError("settings of a stream");
        }
        boolean isValid =
                payload.remaining() % SETTING_BYTES == 0 && !(isAck && payload.hasRemaining());
        FramePayload.checkSize(isValid, "settings", payload);
    }
}
