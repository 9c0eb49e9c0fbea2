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
 * What the messages of Raft and the records of a voter are made of: voters, views of the group, log entries
 * and chunks of snapshots. An operation is a text, or a change of who votes.
 */
final class RaftModelCodec {
    static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();
    /** One operation is no longer, nor is a chunk of a snapshot. */
    static final int MAX_TEXT_BYTES = 1 << 20;

    private static final int MAX_VOTERS = 64;
    private static final int TEXT_OPERATION = 0;
    private static final int MEMBERSHIP_OPERATION = 1;

    private RaftModelCodec() {}

    /** A count that is no larger than that. */
    static int decodeCount(ByteBuffer buffer, int max) throws MessageRejectedException {
        int count = buffer.getInt();
        if (count < 0 || count > max) {
            throw MessageCodec.malformed("a list of " + count);
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

    /** The library's modes are numbered in their order. */
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

    @SuppressWarnings("EnumOrdinal") // As above.
    private static Object decodeOperation(ByteBuffer buffer) throws MessageRejectedException {
        if (buffer.get() == TEXT_OPERATION) {
            return MessageCodec.readLongText(buffer, MAX_TEXT_BYTES);
        }
        List<RaftEndpoint> members = decodeVoters(buffer);
        List<RaftEndpoint> votingMembers = decodeVoters(buffer);
        Voter voter = decodeVoter(buffer);
        int mode = buffer.get();
        if (mode < 0 || mode >= MembershipChangeMode.values().length) {
            throw MessageCodec.malformed("a membership change of mode " + mode);
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
