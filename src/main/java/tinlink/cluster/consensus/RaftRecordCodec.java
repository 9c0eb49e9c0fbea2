package tinlink.cluster.consensus;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;

import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes the records of a {@link RaftStateStore}: the code of the record's type, then the fields of that
 * type. The methods that decode start after the code.
 */
final class RaftRecordCodec {
    private RaftRecordCodec() {}

    private static MessageCodec.Builder newRecord(RaftRecordType type) {
        return new MessageCodec.Builder().putByte(type.code);
    }

    static byte[] encodeEndpoint(RaftEndpointPersistentState endpoint) {
        return newRecord(RaftRecordType.ENDPOINT)
                .putText(endpoint.getLocalEndpoint().toString())
                .putByte(endpoint.isVoting() ? 1 : 0)
                .build();
    }

    static RaftEndpointPersistentState decodeEndpoint(ByteBuffer buffer)
            throws MessageRejectedException {
        Voter voter = RaftModelCodec.decodeVoter(buffer);
        return RaftModelCodec.MODEL_FACTORY
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(voter)
                .setVoting(buffer.get() == 1)
                .build();
    }

    static byte[] encodeGroupMembers(RaftGroupMembersView view) {
        MessageCodec.Builder out = newRecord(RaftRecordType.GROUP_MEMBERS);
        RaftModelCodec.encodeView(out, view);
        return out.build();
    }

    static byte[] encodeTerm(RaftTermPersistentState term) {
        MessageCodec.Builder out = newRecord(RaftRecordType.TERM)
                .putInt(term.getTerm())
                .putByte(term.getVotedFor() == null ? 0 : 1);
        return (term.getVotedFor() == null
                        ? out
                        : out.putText(term.getVotedFor().toString()))
                .build();
    }

    static RaftTermPersistentState decodeTerm(ByteBuffer buffer) throws MessageRejectedException {
        int termNumber = buffer.getInt();
        Voter votedFor = buffer.get() == 0 ? null : RaftModelCodec.decodeVoter(buffer);
        return RaftModelCodec.MODEL_FACTORY
                .createRaftTermPersistentStateBuilder()
                .setTerm(termNumber)
                .setVotedFor(votedFor)
                .build();
    }

    static byte[] encodeEntries(List<LogEntry> entries) {
        MessageCodec.Builder out = newRecord(RaftRecordType.ENTRIES).putInt(entries.size());
        entries.forEach(entry -> RaftModelCodec.encodeEntry(out, entry));
        return out.build();
    }

    static List<LogEntry> decodeEntries(ByteBuffer buffer) throws MessageRejectedException {
        List<LogEntry> entries = new ArrayList<>();
        for (int remaining = buffer.getInt(); remaining > 0; remaining--) {
            entries.add(RaftModelCodec.decodeEntry(buffer));
        }
        return entries;
    }

    static byte[] encodeChunk(SnapshotChunk chunk) {
        MessageCodec.Builder out = newRecord(RaftRecordType.SNAPSHOT_CHUNK);
        RaftModelCodec.encodeChunk(out, chunk);
        return out.build();
    }

    /** Encodes a record whose only field is a log index. */
    static byte[] encodeIndex(RaftRecordType type, long index) {
        return newRecord(type).putLong(index).build();
    }
}
