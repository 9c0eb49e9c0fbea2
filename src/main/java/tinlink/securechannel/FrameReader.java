package tinlink.securechannel;

import tinlink.net.MessageRejectedException;
import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;

/**
 * Splits the bytes received on a connection into frames, and bounds the length of a frame. Must be
 * used on the event loop's thread only.
 */
final class FrameReader {
    /** Receives the frames. */
    interface Handler {
        /**
         * Called for each complete frame.
         *
         * @param type the message type
         * @param frame the frame without its length field: type, body, and the tag if there is one
         * @throws MessageRejectedException if the frame is not allowed in the current state
         */
        void onFrame(byte type, byte[] frame) throws MessageRejectedException;
    }

    private final Handler handler;
    private final int maxAuthenticatedLength;
    /** Maximum length of a frame at present, without its length field. */
    private int maxLength;
    /** How many bytes of the length field of the current frame have been read. */
    private int lengthBytesRead;
    /** The length field of the current frame, as far as it has been read. */
    private int length;
    /** The current frame without its length field; null until the length field is complete. */
    private ByteBuffer frame;

    private long completedFrames;

    /**
     * Creates a reader. Lengths are in bytes and don't include the length field.
     *
     * @param handler receives the frames
     * @param maxHandshakeLength maximum length of a frame until the peer is authenticated, which
     *     bounds the memory that an unknown peer can make this side allocate
     * @param maxAuthenticatedLength maximum length of a frame after that
     */
    FrameReader(Handler handler, int maxHandshakeLength, int maxAuthenticatedLength) {
        this.handler = handler;
        maxLength = maxHandshakeLength;
        this.maxAuthenticatedLength = maxAuthenticatedLength;
    }

    /** Raises the maximum length of a frame to that of an authenticated peer. */
    void peerAuthenticated() {
        maxLength = maxAuthenticatedLength;
    }

    /** Returns whether the bytes read so far end with a complete frame. */
    boolean isAtFrameBoundary() {
        return lengthBytesRead == 0;
    }

    /** Returns the number of frames that have been read completely. */
    long completedFrames() {
        return completedFrames;
    }

    /**
     * Consumes all received bytes.
     *
     * @throws MessageRejectedException if the length of a frame is out of bounds
     */
    void read(RingBuffer received) throws MessageRejectedException {
        while (received.size() > 0) {
            if (lengthBytesRead < FrameFormat.LENGTH_BYTES) {
                readLengthByte(received.take());
            } else {
                frame.put(received.takeContiguous(frame.remaining()));
                if (!frame.hasRemaining()) {
                    byte[] complete = frame.array();
                    lengthBytesRead = 0;
                    length = 0;
                    frame = null;
                    completedFrames++;
                    handler.onFrame(complete[0], complete);
                }
            }
        }
    }

    private void readLengthByte(byte next) throws MessageRejectedException {
        length = (length << Byte.SIZE) | (next & 0xff);
        if (++lengthBytesRead == FrameFormat.LENGTH_BYTES) {
            if (length < FrameFormat.TYPE_BYTES || length > maxLength) {
                throw MessageCodec.malformed("frame length " + length + " is not between "
                        + FrameFormat.TYPE_BYTES + " and " + maxLength);
            }
            frame = ByteBuffer.allocate(length);
        }
    }
}
