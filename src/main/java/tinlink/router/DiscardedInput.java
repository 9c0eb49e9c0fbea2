package tinlink.router;

import tinlink.net.ProtocolLimits;
import tinlink.net.RingBuffer;

/**
 * Discards the bytes after the last response on a connection, since a reset would cut off the response. The
 * amount is bounded: a client that sends endlessly would take processing time from all others.
 */
final class DiscardedInput {
    private int discardedBytes;

    /** Empties the buffer. @return whether no more bytes are to be read */
    boolean discard(RingBuffer input) {
        while (input.size() > 0) {
            discardedBytes += input.takeContiguous(input.size()).remaining();
        }
        return discardedBytes >= ProtocolLimits.MAX_BODY_BYTES;
    }
}
