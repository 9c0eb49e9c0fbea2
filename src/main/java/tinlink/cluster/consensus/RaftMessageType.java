package tinlink.cluster.consensus;

import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

/** The messages of Raft; each begins with its code. */
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

    /** @throws MessageRejectedException where there is none with that code */
    static RaftMessageType withCode(int code) throws MessageRejectedException {
        for (RaftMessageType type : values()) {
            if (type.code == code) {
                return type;
            }
        }
        throw MessageCodec.malformed("a Raft message of type " + code);
    }
}
