package tinlink.securechannel;

import tinlink.net.MessageRejectedException;
import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;

/**
 * Cuts the bytes of a connection into frames and bounds their length. Belongs to the event loop's
 * thread.
 */
final class FrameReader {
    /** Is given the frames. */
    interface Handler {
        /**
         * A frame is complete.
         *
         * @param frame the frame without its length: type, body, and the tag if there is one
         * @throws MessageRejectedException where the frame is not one that may come now
         */
        void onFrame(byte type, byte[] frame) throws MessageRejectedException;
    }

    private final Handler handler;
    private final int maxAuthenticatedLength;
    private int maxLength;
    private int lengthBytesRead;
    private int length;
    /** Bytes of the frame that is coming in; null while its length is. */
    private ByteBuffer frame;

    /**
     * @param maxHandshakeLength bytes that a frame may have until the other side is authenticated,
     *     so that an unknown one can't make this side hold much
     * @param maxAuthenticatedLength bytes that it may have after that
     */
    FrameReader(Handler handler, int maxHandshakeLength, int maxAuthenticatedLength) {
        this.handler = handler;
        maxLength = maxHandshakeLength;
        this.maxAuthenticatedLength = maxAuthenticatedLength;
    }

    /** From here on frames may have the length of an authenticated peer's. */
    void peerAuthenticated() {
        maxLength = maxAuthenticatedLength;
    }

    /** Whether no frame has begun that is not complete yet. */
    boolean isAtFrameBoundary() {
        return lengthBytesRead == 0;
    }

    /**
     * Takes all bytes that are there.
     *
     * @throws MessageRejectedException where a length is out of bounds
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
                    handler.onFrame(complete[0], complete);
                }
            }
        }
    }

    private void readLengthByte(byte next) throws MessageRejectedException {
        length = (length << Byte.SIZE) | (next & 0xff);
        if (++lengthBytesRead == FrameFormat.LENGTH_BYTES) {
            if (length < FrameFormat.TYPE_BYTES || length > maxLength) {
                throw MessageCodec.malformed("a message of length " + length + ", allowed "
                        + FrameFormat.TYPE_BYTES + " to " + maxLength);
            }
            frame = ByteBuffer.allocate(length);
        }
    }
}
