package tinlink.cluster.transport;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Messages and bytes that have gone over the links with other routers, by kind and direction. Bytes
 * are those of whole frames, length and seal counted, without TCP's own. One entry a kind, so the
 * table is bounded; it belongs to the loop's thread.
 */
public final class TrafficCounters {
    /** What a message is for; each is named in {@code docs/protocol-peers.md}. */
    public enum Kind {
        HANDSHAKE,
        PROBE,
        PROBE_ANSWER,
        PROBE_REQUEST,
        PROBE_FAILURE,
        APPEND,
        APPEND_ANSWER,
        SNAPSHOT,
        ELECTION,
        LEARN,
        LEARNED,
        PROPOSE,
        PROPOSED,
        ENTRY,
        ENTRY_ANSWER,
        NEWS,
        SEAT,
        REPLACE,
        CONFIRM,
        CONFIRMED,
        OTHER
    }

    private static final Kind[] MEMBERSHIP_KINDS = {
        Kind.OTHER, Kind.PROBE, Kind.PROBE_ANSWER, Kind.PROBE_REQUEST, Kind.PROBE_FAILURE
    };
    private static final Kind[] RAFT_KINDS = {
        Kind.OTHER,
        Kind.APPEND,
        Kind.APPEND_ANSWER,
        Kind.APPEND_ANSWER,
        Kind.SNAPSHOT,
        Kind.SNAPSHOT,
        Kind.ELECTION,
        Kind.ELECTION,
        Kind.ELECTION,
        Kind.ELECTION,
        Kind.ELECTION
    };
    private static final Kind[] NODE_KINDS = {
        Kind.OTHER,
        Kind.LEARN,
        Kind.LEARNED,
        Kind.PROPOSE,
        Kind.PROPOSED,
        Kind.ENTRY,
        Kind.ENTRY_ANSWER,
        Kind.NEWS,
        Kind.SEAT,
        Kind.REPLACE,
        Kind.CONFIRM,
        Kind.CONFIRMED
    };

    /** Messages in, bytes in, messages out, bytes out. */
    private final Map<Kind, long[]> counts = new EnumMap<>(Kind.class);

    /** @param body of the message, from that place on */
    void countReceived(byte type, byte[] body, int offset, int frameBytes) {
        add(kind(type, body, offset), 0, frameBytes);
    }

    void countSent(byte type, byte[] body, int frameBytes) {
        add(kind(type, body, 0), 2, frameBytes);
    }

    private void add(Kind kind, int column, int frameBytes) {
        long[] count = counts.computeIfAbsent(kind, k -> new long[4]);
        count[column]++;
        count[column + 1] += frameBytes;
    }

    private static Kind kind(byte type, byte[] body, int offset) {
        return switch (type) {
            case PeerProtocol.HELLO, PeerProtocol.CHALLENGE, PeerProtocol.PROOF -> Kind.HANDSHAKE;
            case PeerProtocol.MEMBERSHIP -> kindAt(MEMBERSHIP_KINDS, body, offset);
            // The voter that it is for comes first, as a text of up to 255 bytes.
            case PeerProtocol.RAFT ->
                offset < body.length
                        ? kindAt(RAFT_KINDS, body, offset + 1 + (body[offset] & 0xff))
                        : Kind.OTHER;
            case PeerProtocol.NODE -> kindAt(NODE_KINDS, body, offset);
            default -> Kind.OTHER;
        };
    }

    /** Danger: this is read before the message is; a spoilt one may hold any number, or end before it. */
    private static Kind kindAt(Kind[] kinds, byte[] body, int offset) {
        int code = offset < body.length ? body[offset] : 0;
        return code > 0 && code < kinds.length ? kinds[code] : Kind.OTHER;
    }

    /** By kind: messages in, bytes in, messages out, bytes out, since the start. */
    public Map<String, long[]> byKind() {
        Map<String, long[]> copy = new TreeMap<>();
        counts.forEach((kind, count) ->
                copy.put(kind.name().toLowerCase(java.util.Locale.ROOT), count.clone()));
        return copy;
    }
}
