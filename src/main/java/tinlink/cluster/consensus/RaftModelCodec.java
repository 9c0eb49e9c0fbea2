package tinlink.cluster.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;

import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Encodes what Raft messages and stored Raft records share: voters, views of the group's members, log entries
 * and snapshot chunks. The operation of a log entry is a text or a membership change.
 */
final class RaftModelCodec {
    static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();
    /** Longest text of a log entry or of a snapshot chunk, in bytes of UTF-8. */
    static final int MAX_TEXT_BYTES = 1 << 20;

    private static final int MAX_VOTERS = 64;
    private static final int TEXT_OPERATION = 0;
    private static final int MEMBERSHIP_OPERATION = 1;

    private RaftModelCodec() {}

    /** @throws MessageRejectedException if the count is negative or over {@code max} */
    static int decodeCount(ByteBuffer buffer, int max) throws MessageRejectedException {
        int count = buffer.getInt();
        if (count < 0 || count > max) {
            throw MessageCodec.malformed("expected 0 to " + max + " elements, found " + count);
        }
        return count;
    }

    static Voter decodeVoter(ByteBuffer buffer) throws MessageRejectedException {
        String text = MessageCodec.readText(buffer);
        try {
            return Voter.parse(text);
        } catch (IllegalArgumentException invalid) {
            throw MessageCodec.malformed(invalid.getMessage());
        }
    }

    static void encodeVoters(MessageCodec.Builder out, Collection<RaftEndpoint> voters) {
        out.putInt(voters.size());
        voters.forEach(voter -> out.putText(voter.toString()));
    }

    static List<RaftEndpoint> decodeVoters(ByteBuffer buffer) throws MessageRejectedException {
        int count = decodeCount(buffer, MAX_VOTERS);
        List<RaftEndpoint> voters = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            voters.add(decodeVoter(buffer));
        }
        return voters;
    }

    static void encodeView(MessageCodec.Builder out, RaftGroupMembersView view) {
        out.putLong(view.getLogIndex());
        encodeVoters(out, view.getMembers());
        encodeVoters(out, view.getVotingMembers());
    }

    static RaftGroupMembersView decodeView(ByteBuffer buffer) throws MessageRejectedException {
        long index = buffer.getLong();
        List<RaftEndpoint> members = decodeVoters(buffer);
        return MODEL_FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(index)
                .setMembers(members)
                .setVotingMembers(decodeVoters(buffer))
                .build();
    }

    static void encodeEntry(MessageCodec.Builder out, LogEntry entry) {
        out.putLong(entry.getIndex()).putInt(entry.getTerm());
        encodeOperation(out, entry.getOperation());
    }

    static LogEntry decodeEntry(ByteBuffer buffer) throws MessageRejectedException {
        long index = buffer.getLong();
        int term = buffer.getInt();
        return MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(decodeOperation(buffer))
                .build();
    }

    /** A membership change mode of the library is encoded by its ordinal. */
    @SuppressWarnings("EnumOrdinal")
    private static void encodeOperation(MessageCodec.Builder out, Object operation) {
        if (operation instanceof UpdateRaftGroupMembersOp update) {
            out.putByte(MEMBERSHIP_OPERATION);
            encodeVoters(out, update.getMembers());
            encodeVoters(out, update.getVotingMembers());
            out.putText(update.getEndpoint().toString())
                    .putByte(update.getMode().ordinal());
        } else {
            out.putByte(TEXT_OPERATION).putLongText((String) operation);
        }
    }

    @SuppressWarnings("EnumOrdinal") // As in encodeOperation.
    private static Object decodeOperation(ByteBuffer buffer) throws MessageRejectedException {
        if (buffer.get() == TEXT_OPERATION) {
            return MessageCodec.readLongText(buffer, MAX_TEXT_BYTES);
        }
        List<RaftEndpoint> members = decodeVoters(buffer);
        List<RaftEndpoint> votingMembers = decodeVoters(buffer);
        Voter voter = decodeVoter(buffer);
        int mode = buffer.get();
        if (mode < 0 || mode >= MembershipChangeMode.values().length) {
            throw MessageCodec.malformed("unknown membership change mode " + mode);
        }
        return MODEL_FACTORY
                .createUpdateRaftGroupMembersOpBuilder()
                .setMembers(members)
                .setVotingMembers(votingMembers)
                .setEndpoint(voter)
                .setMode(MembershipChangeMode.values()[mode])
                .build();
    }

    static void encodeChunk(MessageCodec.Builder out, SnapshotChunk chunk) {
        out.putLong(chunk.getIndex())
                .putInt(chunk.getTerm())
                .putInt(chunk.getSnapshotChunkIndex())
                .putInt(chunk.getSnapshotChunkCount());
        encodeView(out, chunk.getGroupMembersView());
        out.putLongText((String) chunk.getOperation());
    }

    static SnapshotChunk decodeChunk(ByteBuffer buffer) throws MessageRejectedException {
        long index = buffer.getLong();
        int term = buffer.getInt();
        int chunkIndex = buffer.getInt();
        int chunkCount = buffer.getInt();
        RaftGroupMembersView view = decodeView(buffer);
        return MODEL_FACTORY
                .createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(term)
                .setSnapshotChunkIndex(chunkIndex)
                .setSnapshotChunkCount(chunkCount)
                .setGroupMembersView(view)
                .setOperation(MessageCodec.readLongText(buffer, MAX_TEXT_BYTES))
                .build();
    }
}
