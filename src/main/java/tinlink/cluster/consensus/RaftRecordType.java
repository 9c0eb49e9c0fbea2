package tinlink.cluster.consensus;

import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

/** The records of a voter's store; each begins with its code. */
enum RaftRecordType {
    ENDPOINT(1),
    GROUP_MEMBERS(2),
    TERM(3),
    ENTRIES(4),
    SNAPSHOT_CHUNK(5),
    TRUNCATE_FROM(6),
    TRUNCATE_UNTIL(7),
    DELETE_CHUNKS(8);

    final int code;

    RaftRecordType(int code) {
        this.code = code;
    }

    /** @throws MessageRejectedException where there is none with that code */
    static RaftRecordType withCode(int code) throws MessageRejectedException {
        for (RaftRecordType type : values()) {
            if (type.code == code) {
                return type;
            }
        }
        throw MessageCodec.malformed("a record of type " + code);
    }
}
