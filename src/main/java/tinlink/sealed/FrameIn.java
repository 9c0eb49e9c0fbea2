package tinlink.sealed;

import tinlink.net.BadMessage;
import tinlink.net.Ring;

import java.nio.ByteBuffer;

/** Reads length-bounded messages, cut anywhere. */
final class FrameIn {
    /** What hears the messages. */
    interface Sink {
        void message(byte type, byte[] body) throws BadMessage;
    }

    private final Sink sink;
    private final int mostProved;
    private int most;
    private int head;
    private int length;
    private ByteBuffer body;

    /**
     * @param before how long a message may be until the other side has proved itself; then
     *     mostProved
     */
    FrameIn(Sink sink, int before, int mostProved) {
        this.sink = sink;
        most = before;
        this.mostProved = mostProved;
    }

    /** The other side has proved itself: its messages may be long. */
    void proved() {
        most = mostProved;
    }

    boolean between() {
        return head == 0;
    }

    void read(Ring in) throws BadMessage {
        while (in.size() > 0) {
            if (head < 4) {
                length = length << 8 | (in.take() & 0xff);
                if (++head == 4) {
                    if (length < 1 || length > most) {
                        throw Message.bad("a message of length " + length);
                    }
                    body = ByteBuffer.allocate(length);
                }
            } else {
                body.put(in.takeRun(body.remaining()));
                if (!body.hasRemaining()) {
                    byte[] whole = body.array();
                    head = 0;
                    length = 0;
                    body = null;
                    sink.message(whole[0], whole);
                }
            }
        }
    }
}
