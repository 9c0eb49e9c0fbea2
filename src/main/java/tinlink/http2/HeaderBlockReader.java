package tinlink.http2;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Joins a HEADERS frame and its CONTINUATION frames to one header block and decodes it (RFC 9113, section
 * 4.3). At most one block is under way on a connection, and no other frame may come within it.
 */
final class HeaderBlockReader {
    private static final int MAX_CONTINUATIONS = 16;

    private final Headers headers;
    /** Null while no block is under way. */
    private ByteArrayOutputStream block;

    private int stream;
    private boolean endsStream;
    private int continuations;

    HeaderBlockReader(Headers headers) {
        this.headers = headers;
    }

    /** A block has begun and has not come whole. */
    boolean isUnderWay() {
        return block != null;
    }

    /** The stream of the block that is under way, or that came last. */
    int stream() {
        return stream;
    }

    /** Whether the block that is under way, or that came last, ends its stream. */
    boolean endsStream() {
        return endsStream;
    }

    /** Fails where a frame of that type and stream may not come now. */
    void checkNext(int type, int ofStream) throws Broken {
        if (block != null && (type != H2.CONTINUATION || ofStream != stream)) {
            throw new Broken(H2.Code.PROTOCOL_ERROR, "a frame within a header block");
        }
    }

    /**
     * A HEADERS frame, without its padding and its priority.
     *
     * @return the block, or null where more of it is to come
     */
    Headers.Block headers(int flags, int ofStream, ByteBuffer payload) throws Broken {
        block = new ByteArrayOutputStream();
        stream = ofStream;
        endsStream = (flags & H2.END_STREAM) != 0;
        continuations = 0;
        return append(flags, payload);
    }

    /** @return the block, or null where more of it is to come */
    Headers.Block continuation(int flags, ByteBuffer payload) throws Broken {
        if (block == null) {
            throw new Broken(H2.Code.PROTOCOL_ERROR, "a continuation of nothing");
        }
        if (++continuations > MAX_CONTINUATIONS) {
            throw new Broken(H2.Code.ENHANCE_YOUR_CALM, "so many continuations");
        }
        return append(flags, payload);
    }

    private Headers.Block append(int flags, ByteBuffer payload) throws Broken {
        block.write(payload.array(), payload.position(), payload.remaining());
        if (block.size() > Headers.MOST_BLOCK) {
            throw new Broken(H2.Code.ENHANCE_YOUR_CALM, "a header block that is too large");
        }
        if ((flags & H2.END_HEADERS) == 0) {
            return null;
        }
        Headers.Block decoded = headers.list(block.toByteArray());
        block = null;
        return decoded;
    }
}
