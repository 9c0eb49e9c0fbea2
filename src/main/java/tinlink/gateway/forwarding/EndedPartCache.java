package tinlink.gateway.forwarding;

import java.util.LinkedHashSet;

/**
 * Parts that have ended here and are remembered, so that their routers can ask about them again; in the order
 * in which they ended, bounded by number and by the bytes of their values.
 */
final class EndedPartCache {
    private final int maxParts;
    private final long maxBytes;
    private final LinkedHashSet<ReceivedPart> parts = new LinkedHashSet<>();
    private long bytes;

    EndedPartCache(int maxParts, long maxBytes) {
        this.maxParts = maxParts;
        this.maxBytes = maxBytes;
    }

    void add(ReceivedPart part) {
        parts.add(part);
        bytes += part.endedBytes;
    }

    void remove(ReceivedPart part) {
        if (parts.remove(part)) {
            bytes -= part.endedBytes;
        }
    }

    /** The part that has to be forgotten next, the oldest; null while the bounds are kept. */
    ReceivedPart overflow() {
        return parts.size() > maxParts || bytes > maxBytes ? parts.iterator().next() : null;
    }
}
