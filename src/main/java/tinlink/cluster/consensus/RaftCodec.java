package tinlink.cluster.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;

import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The messages and records of the agreement, as bytes. Operations are texts, or a change of who
 * votes. The group is not written: a link between two routers is of one cluster.
 */
public final class RaftCodec {
    static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();
    static final Object GROUP_ID = "tinlink";
    /** One operation is no longer, nor is a piece of a snapshot. */
    public static final int MAX_TEXT_BYTES = 1 << 20;

    private static final int MAX_ENTRIES = 4096;
    private static final int MAX_VOTERS = 64;

    private RaftCodec() {}

    // ---- Messages. ----

    public static byte[] encode(RaftMessage message) {
        MessageCodec.Builder out = new MessageCodec.Builder();
        if (message instanceof AppendEntriesRequest request) {
            header(out, 1, request)
                    .putInt(request.getPreviousLogTerm())
                    .putLong(request.getPreviousLogIndex())
                    .putLong(request.getCommitIndex())
                    .putLong(request.getQuerySequenceNumber())
                    .putLong(request.getFlowControlSequenceNumber())
                    .putInt(request.getLogEntries().size());
            request.getLogEntries().forEach(entry -> entry(out, entry));
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            header(out, 2, response)
                    .putLong(response.getLastLogIndex())
                    .putLong(response.getQuerySequenceNumber())
                    .putLong(response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            header(out, 3, response)
                    .putLong(response.getExpectedNextIndex())
                    .putLong(response.getQuerySequenceNumber())
                    .putLong(response.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest request) {
            header(out, 4, request)
                    .putByte(request.isSenderLeader() ? 1 : 0)
                    .putInt(request.getSnapshotTerm())
                    .putLong(request.getSnapshotIndex())
                    .putInt(request.getTotalSnapshotChunkCount())
                    .putLong(request.getQuerySequenceNumber())
                    .putLong(request.getFlowControlSequenceNumber());
            voters(out, request.getSnapshottedMembers());
            view(out, request.getGroupMembersView());
            out.putByte(request.getSnapshotChunk() == null ? 0 : 1);
            if (request.getSnapshotChunk() != null) {
                chunk(out, request.getSnapshotChunk());
            }
        } else if (message instanceof InstallSnapshotResponse response) {
            header(out, 5, response)
                    .putLong(response.getSnapshotIndex())
                    .putInt(response.getRequestedSnapshotChunkIndex())
                    .putLong(response.getQuerySequenceNumber())
                    .putLong(response.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest request) {
            header(out, 6, request)
                    .putInt(request.getLastLogTerm())
                    .putLong(request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            header(out, 7, response).putByte(response.isGranted() ? 1 : 0);
        } else if (message instanceof VoteRequest request) {
            header(out, 8, request)
                    .putInt(request.getLastLogTerm())
                    .putLong(request.getLastLogIndex())
                    .putByte(request.isSticky() ? 1 : 0);
        } else if (message instanceof VoteResponse response) {
            header(out, 9, response).putByte(response.isGranted() ? 1 : 0);
        } else if (message instanceof TriggerLeaderElectionRequest request) {
            header(out, 10, request)
                    .putInt(request.getLastLogTerm())
                    .putLong(request.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("a message of another kind: " + message);
        }
        return out.build();
    }

    private static MessageCodec.Builder header(
            MessageCodec.Builder out, int type, RaftMessage message) {
        return out.putByte(type).putText(message.getSender().toString()).putInt(message.getTerm());
    }

    /**
     * Reads a message.
     *
     * @throws MessageRejectedException where it is none; a buffer that is too short throws its own
     */
    public static RaftMessage decode(ByteBuffer in) throws MessageRejectedException {
        int type = in.get();
        Voter sender = voter(in);
        int term = in.getInt();
        return switch (type) {
            case 1 -> {
                int previousLogTerm = in.getInt();
                long previousLogIndex = in.getLong();
                long commitIndex = in.getLong();
                long querySequenceNumber = in.getLong();
                long flowControlSequenceNumber = in.getLong();
                int count = count(in, MAX_ENTRIES);
                List<LogEntry> entries = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    entries.add(entry(in));
                }
                yield MODEL_FACTORY
                        .createAppendEntriesRequestBuilder()
                        .setGroupId(GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setPreviousLogTerm(previousLogTerm)
                        .setPreviousLogIndex(previousLogIndex)
                        .setCommitIndex(commitIndex)
                        .setLogEntries(entries)
                        .setQuerySequenceNumber(querySequenceNumber)
                        .setFlowControlSequenceNumber(flowControlSequenceNumber)
                        .build();
            }
            case 2 ->
                MODEL_FACTORY
                        .createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogIndex(in.getLong())
                        .setQuerySequenceNumber(in.getLong())
                        .setFlowControlSequenceNumber(in.getLong())
                        .build();
            case 3 ->
                MODEL_FACTORY
                        .createAppendEntriesFailureResponseBuilder()
                        .setGroupId(GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setExpectedNextIndex(in.getLong())
                        .setQuerySequenceNumber(in.getLong())
                        .setFlowControlSequenceNumber(in.getLong())
                        .build();
            case 4 -> {
                boolean isSenderLeader = in.get() == 1;
                int snapshotTerm = in.getInt();
                long index = in.getLong();
                int chunkCount = in.getInt();
                long querySequenceNumber = in.getLong();
                long flowControlSequenceNumber = in.getLong();
                List<RaftEndpoint> members = voters(in);
                RaftGroupMembersView view = view(in);
                SnapshotChunk chunk = in.get() == 0 ? null : chunk(in);
                yield MODEL_FACTORY
                        .createInstallSnapshotRequestBuilder()
                        .setGroupId(GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setSenderLeader(isSenderLeader)
                        .setSnapshotTerm(snapshotTerm)
                        .setSnapshotIndex(index)
                        .setTotalSnapshotChunkCount(chunkCount)
                        .setSnapshotChunk(chunk)
                        .setSnapshottedMembers(members)
                        .setGroupMembersView(view)
                        .setQuerySequenceNumber(querySequenceNumber)
                        .setFlowControlSequenceNumber(flowControlSequenceNumber)
                        .build();
            }
            case 5 ->
                MODEL_FACTORY
                        .createInstallSnapshotResponseBuilder()
                        .setGroupId(GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setSnapshotIndex(in.getLong())
                        .setRequestedSnapshotChunkIndex(in.getInt())
                        .setQuerySequenceNumber(in.getLong())
                        .setFlowControlSequenceNumber(in.getLong())
                        .build();
            case 6 ->
                MODEL_FACTORY
                        .createPreVoteRequestBuilder()
                        .setGroupId(GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(in.getInt())
                        .setLastLogIndex(in.getLong())
                        .build();
            case 7 ->
                MODEL_FACTORY
                        .createPreVoteResponseBuilder()
                        .setGroupId(GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(in.get() == 1)
                        .build();
            case 8 ->
                MODEL_FACTORY
                        .createVoteRequestBuilder()
                        .setGroupId(GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(in.getInt())
                        .setLastLogIndex(in.getLong())
                        .setSticky(in.get() == 1)
                        .build();
            case 9 ->
                MODEL_FACTORY
                        .createVoteResponseBuilder()
                        .setGroupId(GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(in.get() == 1)
                        .build();
            case 10 ->
                MODEL_FACTORY
                        .createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(GROUP_ID)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(in.getInt())
                        .setLastLogIndex(in.getLong())
                        .build();
            default -> throw MessageCodec.malformed("a word of type " + type);
        };
    }

    private static int count(ByteBuffer in, int max) throws MessageRejectedException {
        int count = in.getInt();
        if (count < 0 || count > max) {
            throw MessageCodec.malformed("a list of " + count);
        }
        return count;
    }

    // ---- What they are made of. ----

    /** The voter that stands next in a message. */
    public static Voter voter(ByteBuffer in) throws MessageRejectedException {
        String text = MessageCodec.readText(in);
        try {
            return Voter.parse(text);
        } catch (IllegalArgumentException invalid) {
            throw MessageCodec.malformed(invalid.getMessage());
        }
    }

    static void voters(MessageCodec.Builder out, Collection<RaftEndpoint> voters) {
        out.putInt(voters.size());
        voters.forEach(voter -> out.putText(voter.toString()));
    }

    static List<RaftEndpoint> voters(ByteBuffer in) throws MessageRejectedException {
        int count = count(in, MAX_VOTERS);
        List<RaftEndpoint> voters = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            voters.add(voter(in));
        }
        return voters;
    }

    static void view(MessageCodec.Builder out, RaftGroupMembersView view) {
        out.putLong(view.getLogIndex());
        voters(out, view.getMembers());
        voters(out, view.getVotingMembers());
    }

    static RaftGroupMembersView view(ByteBuffer in) throws MessageRejectedException {
        long index = in.getLong();
        List<RaftEndpoint> members = voters(in);
        return MODEL_FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(index)
                .setMembers(members)
                .setVotingMembers(voters(in))
                .build();
    }

    static void entry(MessageCodec.Builder out, LogEntry entry) {
        out.putLong(entry.getIndex()).putInt(entry.getTerm());
        operation(out, entry.getOperation());
    }

    static LogEntry entry(ByteBuffer in) throws MessageRejectedException {
        long index = in.getLong();
        int term = in.getInt();
        return MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(operation(in))
                .build();
    }

    @SuppressWarnings("EnumOrdinal") // Modes are numbered in their order.
    private static void operation(MessageCodec.Builder out, Object operation) {
        if (operation instanceof UpdateRaftGroupMembersOp update) {
            out.putByte(1);
            voters(out, update.getMembers());
            voters(out, update.getVotingMembers());
            out.putText(update.getEndpoint().toString())
                    .putByte(update.getMode().ordinal());
        } else {
            out.putByte(0).putLongText((String) operation);
        }
    }

    @SuppressWarnings("EnumOrdinal") // As above.
    private static Object operation(ByteBuffer in) throws MessageRejectedException {
        if (in.get() == 0) {
            return MessageCodec.readLongText(in, MAX_TEXT_BYTES);
        }
        List<RaftEndpoint> members = voters(in);
        List<RaftEndpoint> voting = voters(in);
        Voter voter = voter(in);
        int mode = in.get();
        if (mode < 0 || mode >= MembershipChangeMode.values().length) {
            throw MessageCodec.malformed("a change of kind " + mode);
        }
        return MODEL_FACTORY
                .createUpdateRaftGroupMembersOpBuilder()
                .setMembers(members)
                .setVotingMembers(voting)
                .setEndpoint(voter)
                .setMode(MembershipChangeMode.values()[mode])
                .build();
    }

    static void chunk(MessageCodec.Builder out, SnapshotChunk chunk) {
        out.putLong(chunk.getIndex())
                .putInt(chunk.getTerm())
                .putInt(chunk.getSnapshotChunkIndex())
                .putInt(chunk.getSnapshotChunkCount());
        view(out, chunk.getGroupMembersView());
        out.putLongText((String) chunk.getOperation());
    }

    static SnapshotChunk chunk(ByteBuffer in) throws MessageRejectedException {
        long index = in.getLong();
        int term = in.getInt();
        int chunkIndex = in.getInt();
        int chunkCount = in.getInt();
        RaftGroupMembersView view = view(in);
        return MODEL_FACTORY
                .createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(term)
                .setSnapshotChunkIndex(chunkIndex)
                .setSnapshotChunkCount(chunkCount)
                .setGroupMembersView(view)
                .setOperation(MessageCodec.readLongText(in, MAX_TEXT_BYTES))
                .build();
    }
}
