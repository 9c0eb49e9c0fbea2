package tinlink.router;

import tinlink.net.HeapCharge;
import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;
import tinlink.net.ProtocolLimits;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The body of the request that a client connection is receiving. It is kept as bytes until it is complete and
 * parsed only then: a body that never ends costs neither processing time nor the heap of its objects.
 */
final class RequestBody {
    /** The first capacity, in bytes; a usual body fits. */
    private static final int MIN_BYTES = 256;

    private final HeapCharge heapCharge;
    private final JsonReader json;
    private byte[] bytes = {};
    private int length;
    private int parsed;

    /** @param heapCharge accounts for the bytes and for the parsed objects */
    RequestBody(HeapCharge heapCharge) {
        this.heapCharge = heapCharge;
        json = new JsonReader(heapCharge);
    }

    void append(ByteBuffer piece) throws MessageRejectedException {
        int needed = length + piece.remaining();
        if (needed > bytes.length) {
            grow(needed);
        }
        piece.get(bytes, length, needed - length);
        length = needed;
    }

    private void grow(int needed) throws MessageRejectedException {
        int capacity = Math.max(MIN_BYTES, bytes.length);
        while (capacity < needed) {
            capacity *= 2;
        }
        capacity = Math.max(needed, Math.min(capacity, ProtocolLimits.MAX_BODY_BYTES));
        heapCharge.add(capacity - bytes.length);
        bytes = Arrays.copyOf(bytes, capacity);
    }

    /** The number of bytes that are not parsed yet. */
    int unparsedBytes() {
        return length - parsed;
    }

    /**
     * Parses the next bytes.
     *
     * @return the number of bytes that were parsed, at most {@code maxBytes}
     */
    int parse(int maxBytes) throws MessageRejectedException {
        int count = Math.min(maxBytes, unparsedBytes());
        json.read(ByteBuffer.wrap(bytes, parsed, count));
        parsed += count;
        return count;
    }

    /** The parsed body, once all bytes are parsed. */
    JsonReader json() {
        return json;
    }
}
