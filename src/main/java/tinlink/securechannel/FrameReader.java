package tinlink.securechannel;

import tinlink.net.MessageRejectedException;
import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;

/** Reads length-bounded messages, cut anywhere. */
final class FrameReader {
    /** What hears the messages. */
    interface Handler {
        void onFrame(byte type, byte[] frame) throws MessageRejectedException;
    }

    private final Handler handler;
    private final int maxAuthenticatedLength;
    private int maxLength;
    private int lengthBytesRead;
    private int length;
    private ByteBuffer frame;

    /**
     * @param maxHandshakeLength how long a message may be until the other side has proved itself; then
     *     mostProved
     */
    FrameReader(Handler handler, int maxHandshakeLength, int maxAuthenticatedLength) {
        this.handler = handler;
        maxLength = maxHandshakeLength;
        this.maxAuthenticatedLength = maxAuthenticatedLength;
    }

    /** The other side has proved itself: its messages may be long. */
    void peerAuthenticated() {
        maxLength = maxAuthenticatedLength;
    }

    boolean isAtFrameBoundary() {
        return lengthBytesRead == 0;
    }

    void read(RingBuffer in) throws MessageRejectedException {
        while (in.size() > 0) {
            if (lengthBytesRead < 4) {
                length = length << 8 | (in.take() & 0xff);
                if (++lengthBytesRead == 4) {
                    if (length < 1 || length > maxLength) {
                        throw MessageCodec.malformed("a message of length " + length);
                    }
                    frame = ByteBuffer.allocate(length);
                }
            } else {
                frame.put(in.takeContiguous(frame.remaining()));
                if (!frame.hasRemaining()) {
                    byte[] completeFrame = frame.array();
                    lengthBytesRead = 0;
                    length = 0;
                    frame = null;
                    handler.onFrame(completeFrame[0], completeFrame);
                }
            }
        }
    }
}
