package tinlink.cluster.consensus;

import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

/** Types of the records in a {@link RaftStateStore}. An encoded record begins with the code of its type. */
enum RaftRecordType {
    /** The voter as which this disk takes part. */
    ENDPOINT(1),
    /** The members of the group at its first start. */
    GROUP_MEMBERS(2),
    /** The current term, and the vote that was granted in it. */
    TERM(3),
    /** Log entries that were appended. */
    ENTRIES(4),
    /** A chunk of a snapshot. */
    SNAPSHOT_CHUNK(5),
    /** Removes the log entries from an index on. */
    TRUNCATE_FROM(6),
    /** Removes the log entries up to and including an index. */
    TRUNCATE_UNTIL(7),
    /** Deletes the chunks of the snapshot at an index. */
    DELETE_CHUNKS(8);

    final int code;

    RaftRecordType(int code) {
        this.code = code;
    }

    /** @throws MessageRejectedException if no type has that code */
    static RaftRecordType withCode(int code) throws MessageRejectedException {
        for (RaftRecordType type : values()) {
            if (type.code == code) {
                return type;
            }
        }
        throw MessageCodec.malformed("unknown Raft record type " + code);
    }
}
