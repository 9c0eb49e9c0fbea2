package tinlink.cluster.transport;

/**
 * Kinds of messages between the routers of a cluster; {@code docs/protocol-peers.md} describes each. In
 * {@link PeerProtocol#MEMBERSHIP} and {@link PeerProtocol#NODE} frames, the first byte of the body is the
 * code of the kind.
 */
public enum MessageKind {
    /** Proves to each side of a connection that the other side has the key. */
    HANDSHAKE("handshake"),
    /** Asks a member for an answer, to detect whether the member is alive. */
    PROBE("probe", PeerProtocol.MEMBERSHIP, 1),
    /** Answers a {@link #PROBE} or, once the probed member has answered, a {@link #PROBE_REQUEST}. */
    PROBE_ACK("probe_answer", PeerProtocol.MEMBERSHIP, 2),
    /** Asks a member to probe another member. */
    PROBE_REQUEST("probe_request", PeerProtocol.MEMBERSHIP, 3),
    /** Answers a {@link #PROBE_REQUEST} if the probed member is silent. */
    PROBE_NACK("probe_failure", PeerProtocol.MEMBERSHIP, 4),
    /** Log entries, or a heartbeat, from the leader. */
    APPEND("append"),
    /** Answers {@link #APPEND}. */
    APPEND_RESPONSE("append_answer"),
    /** A chunk of a snapshot, or the request for one. */
    SNAPSHOT("snapshot"),
    /** Requests for votes and pre-votes, their answers, and the request to start an election. */
    ELECTION("election"),
    /** Asks a voter for committed lines. */
    LEARN("learn", PeerProtocol.NODE, 1),
    /** Answers {@link #LEARN}. */
    LEARNED("learned", PeerProtocol.NODE, 2),
    /** Asks the leader to propose a line. */
    PROPOSE("propose", PeerProtocol.NODE, 3),
    /** Answers {@link #PROPOSE}. */
    PROPOSED("proposed", PeerProtocol.NODE, 4),
    /** Asks a voter what it knows of the sender's disk, before the sender votes with it. */
    ADMISSION_REQUEST("entry", PeerProtocol.NODE, 5),
    /** Answers {@link #ADMISSION_REQUEST}. */
    ADMISSION_RESPONSE("entry_answer", PeerProtocol.NODE, 6),
    /** Reports an observation to the leader. */
    REPORT("news", PeerProtocol.NODE, 7),
    /** Tells the leader which disk the sender runs with. */
    PRESENCE("seat", PeerProtocol.NODE, 8),
    /** Passes an operator's command to the leader: one router's voter slot goes to another. */
    REPLACE_VOTER("replace", PeerProtocol.NODE, 9),
    /** Asks the leader for the commit index, confirmed by a majority. */
    CONFIRM_REQUEST("confirm", PeerProtocol.NODE, 10),
    /** Answers {@link #CONFIRM_REQUEST}. */
    CONFIRM_RESPONSE("confirmed", PeerProtocol.NODE, 11),
    /** None of the other kinds: the message is malformed, or of a later version. */
    OTHER("other");

    private static final int MAX_CODE = 15;
    private static final MessageKind[] MEMBERSHIP_KINDS = byCode(PeerProtocol.MEMBERSHIP);
    private static final MessageKind[] NODE_KINDS = byCode(PeerProtocol.NODE);
    /** Kinds of Raft messages, by the code of the message. */
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

    /** The name under which traffic of this kind is counted. */
    public String label() {
        return label;
    }

    /** The code of this kind in frames of its type; 0 if these frames don't carry one. */
    public int code() {
        return code;
    }

    /** The kind with that code in {@link PeerProtocol#MEMBERSHIP} frames, or else {@link #OTHER}. */
    public static MessageKind ofMembership(int code) {
        return withCode(MEMBERSHIP_KINDS, code);
    }

    /** The kind with that code in {@link PeerProtocol#NODE} frames, or else {@link #OTHER}. */
    public static MessageKind ofNode(int code) {
        return withCode(NODE_KINDS, code);
    }

    /** The kind of a Raft message that begins with that code, or else {@link #OTHER}. */
    static MessageKind ofRaft(int code) {
        return withCode(RAFT_KINDS, code);
    }

    private static MessageKind withCode(MessageKind[] kinds, int code) {
        MessageKind kind = code > 0 && code < kinds.length ? kinds[code] : null;
        return kind == null ? OTHER : kind;
    }
}
