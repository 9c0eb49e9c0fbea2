package tinlink.gateway.forwarding;

import java.util.LinkedHashSet;

/**
 * The ended parts whose status the receiving router keeps, so that the forwarding routers can query it again.
 * The parts are in the order in which they ended, bounded by their number and by the bytes of their values.
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

    /** The oldest part, which is to be evicted, if a bound is exceeded; else null. */
    ReceivedPart overflow() {
        return parts.size() > maxParts || bytes > maxBytes ? parts.iterator().next() : null;
    }
}
