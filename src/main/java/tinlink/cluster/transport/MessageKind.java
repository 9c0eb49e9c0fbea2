package tinlink.cluster.transport;

/**
 * What a message between routers of a cluster is for; each is described in {@code docs/protocol-peers.md}.
 * Those of membership and of {@link PeerProtocol#NODE} frames carry their code as the first byte of the body.
 */
public enum MessageKind {
    /** Proves to each side that the other has the key. */
    HANDSHAKE("handshake"),
    /** Asks a member whether it answers. */
    PROBE("probe", PeerProtocol.MEMBERSHIP, 1),
    /** Answers a probe, also one that was made for another router. */
    PROBE_ACK("probe_answer", PeerProtocol.MEMBERSHIP, 2),
    /** Asks a member to probe another one. */
    PROBE_REQUEST("probe_request", PeerProtocol.MEMBERSHIP, 3),
    /** The member that was to be probed for another router is silent. */
    PROBE_NACK("probe_failure", PeerProtocol.MEMBERSHIP, 4),
    /** Entries of the log, or a heartbeat, from the leader. */
    APPEND("append"),
    /** Answers {@link #APPEND}. */
    APPEND_RESPONSE("append_answer"),
    /** A chunk of a snapshot, or the request for one. */
    SNAPSHOT("snapshot"),
    /** Votes, pre-votes and their answers. */
    ELECTION("election"),
    /** Asks a voter for what was agreed on. */
    LEARN("learn", PeerProtocol.NODE, 1),
    /** Answers {@link #LEARN}. */
    LEARNED("learned", PeerProtocol.NODE, 2),
    /** Has the leader propose a line. */
    PROPOSE("propose", PeerProtocol.NODE, 3),
    /** Answers {@link #PROPOSE}. */
    PROPOSED("proposed", PeerProtocol.NODE, 4),
    /** Asks what is known of a disk, before it votes. */
    ADMISSION_REQUEST("entry", PeerProtocol.NODE, 5),
    /** Answers {@link #ADMISSION_REQUEST}. */
    ADMISSION_RESPONSE("entry_answer", PeerProtocol.NODE, 6),
    /** An observation for the leader. */
    REPORT("news", PeerProtocol.NODE, 7),
    /** With which disk a router runs. */
    PRESENCE("seat", PeerProtocol.NODE, 8),
    /** An operator's command on who votes. */
    REPLACE_VOTER("replace", PeerProtocol.NODE, 9),
    /** Asks the leader for the confirmed commit index. */
    CONFIRM_REQUEST("confirm", PeerProtocol.NODE, 10),
    /** Answers {@link #CONFIRM_REQUEST}. */
    CONFIRM_RESPONSE("confirmed", PeerProtocol.NODE, 11),
    /** None of these: malformed, or of a later version. */
    OTHER("other");

    private static final int MAX_CODE = 15;
    private static final MessageKind[] MEMBERSHIP_KINDS = byCode(PeerProtocol.MEMBERSHIP);
    private static final MessageKind[] NODE_KINDS = byCode(PeerProtocol.NODE);
    /** By the code of a Raft message. */
    private static final MessageKind[] RAFT_KINDS = {
        OTHER,
        APPEND,
        APPEND_RESPONSE,
        APPEND_RESPONSE,
        SNAPSHOT,
        SNAPSHOT,
        ELECTION,
        ELECTION,
        ELECTION,
        ELECTION,
        ELECTION
    };

    private final String label;
    private final byte frameType;
    private final int code;

    MessageKind(String label) {
        this(label, (byte) 0, 0);
    }

    MessageKind(String label, byte frameType, int code) {
        this.label = label;
        this.frameType = frameType;
        this.code = code;
    }

    private static MessageKind[] byCode(byte frameType) {
        MessageKind[] kinds = new MessageKind[MAX_CODE + 1];
        for (MessageKind kind : values()) {
            if (kind.frameType == frameType) {
                kinds[kind.code] = kind;
            }
        }
        return kinds;
    }

    /** Its name where traffic is counted. */
    public String label() {
        return label;
    }

    /** Its number on the wire within its type of frame; 0 where that has none. */
    public int code() {
        return code;
    }

    /** The kind of a membership message; {@link #OTHER} where there is none with that code. */
    public static MessageKind ofMembership(int code) {
        return withCode(MEMBERSHIP_KINDS, code);
    }

    /** The kind of a message in a {@link PeerProtocol#NODE} frame; {@link #OTHER} where there is none. */
    public static MessageKind ofNode(int code) {
        return withCode(NODE_KINDS, code);
    }

    /** The kind that a Raft message counts as, by the code with which it begins. */
    static MessageKind ofRaft(int code) {
        return withCode(RAFT_KINDS, code);
    }

    private static MessageKind withCode(MessageKind[] kinds, int code) {
        MessageKind kind = code > 0 && code < kinds.length ? kinds[code] : null;
        return kind == null ? OTHER : kind;
    }
}
