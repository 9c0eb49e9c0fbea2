package tinlink.cluster.consensus;

import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

/** Types of Raft messages. An encoded message begins with the code of its type. */
enum RaftMessageType {
    APPEND_REQUEST(1),
    APPEND_SUCCESS(2),
    APPEND_FAILURE(3),
    INSTALL_SNAPSHOT_REQUEST(4),
    INSTALL_SNAPSHOT_RESPONSE(5),
    PRE_VOTE_REQUEST(6),
    PRE_VOTE_RESPONSE(7),
    VOTE_REQUEST(8),
    VOTE_RESPONSE(9),
    TRIGGER_ELECTION(10);

    final int code;

    RaftMessageType(int code) {
        this.code = code;
    }

    /** @throws MessageRejectedException if no type has that code */
    static RaftMessageType withCode(int code) throws MessageRejectedException {
        for (RaftMessageType type : values()) {
            if (type.code == code) {
                return type;
            }
        }
        throw MessageCodec.malformed("unknown Raft message type " + code);
    }
}
