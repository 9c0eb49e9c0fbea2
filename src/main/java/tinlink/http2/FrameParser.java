package tinlink.http2;

import tinlink.net.Ring;

import java.nio.ByteBuffer;

/** Reads frames, cut anywhere; one that is longer than we allow is never held. */
final class FrameParser {
    /** What hears the frames. */
    interface Sink {
        void frame(int type, int flags, int stream, ByteBuffer payload) throws Broken;
    }

    private final Sink sink;
    private final byte[] head = new byte[H2.HEAD];
    private int headRead;
    private ByteBuffer payload;

    FrameParser(Sink sink) {
        this.sink = sink;
    }

    /** Nothing of a next frame has come. */
    boolean between() {
        return headRead == 0;
    }

    void read(Ring in) throws Broken {
        while (in.size() > 0) {
            if (headRead < H2.HEAD) {
                head[headRead++] = in.take();
                if (headRead < H2.HEAD) {
                    continue;
                }
                int length = (head[0] & 0xff) << 16 | (head[1] & 0xff) << 8 | (head[2] & 0xff);
                if (length > H2.LEAST_FRAME) {
                    throw new Broken(H2.Code.FRAME_SIZE_ERROR, "a frame of " + length + " bytes");
                }
                payload = ByteBuffer.allocate(length);
            }
            payload.put(in.takeRun(payload.remaining()));
            if (!payload.hasRemaining()) {
                ByteBuffer whole = payload.flip();
                headRead = 0;
                payload = null;
                sink.frame(
                        head[3] & 0xff,
                        head[4] & 0xff,
                        ByteBuffer.wrap(head, 5, 4).getInt() & H2.MOST_ID,
                        whole);
            }
        }
    }
}
