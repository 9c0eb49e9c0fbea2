package tinlink.cluster.transport;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts messages and bytes on the connections to other routers, by kind and direction. The bytes are those
 * of complete frames, with length and authentication tag but without the overhead of TCP. The table has at
 * most one entry per kind. Confined to the event loop's thread.
 */
public final class TrafficCounters {
    // Each direction has two columns: messages, and bytes.
    private static final int COLUMNS = 4;
    private static final int RECEIVED = 0;
    private static final int SENT = 2;

    /** Messages received, bytes received, messages sent, bytes sent. */
    private final Map<MessageKind, long[]> counts = new EnumMap<>(MessageKind.class);

    /** @param offset index in the frame at which the body of the message begins */
    void countReceived(byte type, byte[] frame, int offset, int frameBytes) {
        add(kind(type, frame, offset), RECEIVED, frameBytes);
    }

    void countSent(byte type, byte[] body, int frameBytes) {
        add(kind(type, body, 0), SENT, frameBytes);
    }

    private void add(MessageKind kind, int column, int frameBytes) {
        long[] count = counts.computeIfAbsent(kind, key -> new long[COLUMNS]);
        count[column]++;
        count[column + 1] += frameBytes;
    }

    private static MessageKind kind(byte type, byte[] body, int offset) {
        return switch (type) {
            case PeerProtocol.HELLO, PeerProtocol.CHALLENGE, PeerProtocol.PROOF ->
                MessageKind.HANDSHAKE;
            case PeerProtocol.MEMBERSHIP -> MessageKind.ofMembership(codeAt(body, offset));
            // The recipient comes before the Raft message, as a text of up to 255 bytes.
            case PeerProtocol.RAFT ->
                offset < body.length
                        ? MessageKind.ofRaft(codeAt(body, offset + 1 + (body[offset] & 0xff)))
                        : MessageKind.OTHER;
            case PeerProtocol.NODE -> MessageKind.ofNode(codeAt(body, offset));
            default -> MessageKind.OTHER;
        };
    }

    /** Messages are counted before they are decoded, so a malformed message may end before its code. */
    private static int codeAt(byte[] body, int offset) {
        return offset < body.length ? body[offset] : 0;
    }

    /** By kind since the start: messages received, bytes received, messages sent, bytes sent. */
    public Map<String, long[]> byKind() {
        Map<String, long[]> copy = new TreeMap<>();
        counts.forEach((kind, count) -> copy.put(kind.label(), count.clone()));
        return copy;
    }
}
