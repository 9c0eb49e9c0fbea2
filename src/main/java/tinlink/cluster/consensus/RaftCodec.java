package tinlink.cluster.consensus;

import static tinlink.cluster.consensus.RaftModelCodec.MODEL_FACTORY;

import io.microraft.RaftEndpoint;
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
import java.util.List;

/**
 * Encodes the Raft messages of the MicroRaft library: type, sender, term, then the fields of the message. The
 * Raft group is left out, since a connection between two routers belongs to one cluster; the version of the
 * format is that of the connection's handshake.
 */
public final class RaftCodec {
    /** Longest text of a log entry or of a snapshot chunk, in bytes of UTF-8. */
    public static final int MAX_TEXT_BYTES = RaftModelCodec.MAX_TEXT_BYTES;

    static final Object GROUP_ID = "tinlink";

    private static final int MAX_ENTRIES_PER_REQUEST = 4096;

    private RaftCodec() {}

    /**
     * Reads the voter to whom a message is addressed, which precedes the message in its frame.
     *
     * @throws MessageRejectedException if the voter is malformed
     */
    public static Voter voter(ByteBuffer buffer) throws MessageRejectedException {
        return RaftModelCodec.decodeVoter(buffer);
    }

    /**
     * Encodes a message.
     *
     * @throws IllegalArgumentException if the message is of a type that this codec doesn't know
     */
    public static byte[] encode(RaftMessage message) {
        MessageCodec.Builder out = new MessageCodec.Builder();
        if (message instanceof AppendEntriesRequest request) {
            encode(out, request);
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            encodeHeader(out, RaftMessageType.APPEND_SUCCESS, response)
                    .putLong(response.getLastLogIndex())
                    .putLong(response.getQuerySequenceNumber())
                    .putLong(response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            encodeHeader(out, RaftMessageType.APPEND_FAILURE, response)
                    .putLong(response.getExpectedNextIndex())
                    .putLong(response.getQuerySequenceNumber())
                    .putLong(response.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest request) {
            encode(out, request);
        } else if (message instanceof InstallSnapshotResponse response) {
            encodeHeader(out, RaftMessageType.INSTALL_SNAPSHOT_RESPONSE, response)
                    .putLong(response.getSnapshotIndex())
                    .putInt(response.getRequestedSnapshotChunkIndex())
                    .putLong(response.getQuerySequenceNumber())
                    .putLong(response.getFlowControlSequenceNumber());
        } else {
            encodeElection(out, message);
        }
        return out.build();
    }

    private static void encodeElection(MessageCodec.Builder out, RaftMessage message) {
        if (message instanceof PreVoteRequest request) {
            encodeHeader(out, RaftMessageType.PRE_VOTE_REQUEST, request)
                    .putInt(request.getLastLogTerm())
                    .putLong(request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            encodeHeader(out, RaftMessageType.PRE_VOTE_RESPONSE, response)
                    .putByte(response.isGranted() ? 1 : 0);
        } else if (message instanceof VoteRequest request) {
            encodeHeader(out, RaftMessageType.VOTE_REQUEST, request)
                    .putInt(request.getLastLogTerm())
                    .putLong(request.getLastLogIndex())
                    .putByte(request.isSticky() ? 1 : 0);
        } else if (message instanceof VoteResponse response) {
            encodeHeader(out, RaftMessageType.VOTE_RESPONSE, response)
                    .putByte(response.isGranted() ? 1 : 0);
        } else if (message instanceof TriggerLeaderElectionRequest request) {
            encodeHeader(out, RaftMessageType.TRIGGER_ELECTION, request)
                    .putInt(request.getLastLogTerm())
                    .putLong(request.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("unknown type of Raft message: " + message);
        }
    }

    private static MessageCodec.Builder encodeHeader(
            MessageCodec.Builder out, RaftMessageType type, RaftMessage message) {
        return out.putByte(type.code)
                .putText(message.getSender().toString())
                .putInt(message.getTerm());
    }

    private static void encode(MessageCodec.Builder out, AppendEntriesRequest request) {
        encodeHeader(out, RaftMessageType.APPEND_REQUEST, request)
                .putInt(request.getPreviousLogTerm())
                .putLong(request.getPreviousLogIndex())
                .putLong(request.getCommitIndex())
                .putLong(request.getQuerySequenceNumber())
                .putLong(request.getFlowControlSequenceNumber())
                .putInt(request.getLogEntries().size());
        request.getLogEntries().forEach(entry -> RaftModelCodec.encodeEntry(out, entry));
    }

    private static void encode(MessageCodec.Builder out, InstallSnapshotRequest request) {
        encodeHeader(out, RaftMessageType.INSTALL_SNAPSHOT_REQUEST, request)
                .putByte(request.isSenderLeader() ? 1 : 0)
                .putInt(request.getSnapshotTerm())
                .putLong(request.getSnapshotIndex())
                .putInt(request.getTotalSnapshotChunkCount())
                .putLong(request.getQuerySequenceNumber())
                .putLong(request.getFlowControlSequenceNumber());
        RaftModelCodec.encodeVoters(out, request.getSnapshottedMembers());
        RaftModelCodec.encodeView(out, request.getGroupMembersView());
        out.putByte(request.getSnapshotChunk() == null ? 0 : 1);
        if (request.getSnapshotChunk() != null) {
            RaftModelCodec.encodeChunk(out, request.getSnapshotChunk());
        }
    }

    /**
     * Decodes a message.
     *
     * @throws MessageRejectedException if the message is malformed
     * @throws java.nio.BufferUnderflowException if the message ends before its last field
     */
    public static RaftMessage decode(ByteBuffer buffer) throws MessageRejectedException {
        int code = buffer.get();
        Voter sender = voter(buffer);
        int term = buffer.getInt();
        return switch (RaftMessageType.withCode(code)) {
            case APPEND_REQUEST -> appendRequest(buffer, sender, term);
            case APPEND_SUCCESS -> appendSuccess(buffer, sender, term);
            case APPEND_FAILURE -> appendFailure(buffer, sender, term);
            case INSTALL_SNAPSHOT_REQUEST -> installSnapshotRequest(buffer, sender, term);
            case INSTALL_SNAPSHOT_RESPONSE -> installSnapshotResponse(buffer, sender, term);
            case PRE_VOTE_REQUEST -> preVoteRequest(buffer, sender, term);
            case PRE_VOTE_RESPONSE -> preVoteResponse(buffer, sender, term);
            case VOTE_REQUEST -> voteRequest(buffer, sender, term);
            case VOTE_RESPONSE -> voteResponse(buffer, sender, term);
            case TRIGGER_ELECTION -> triggerElection(buffer, sender, term);
        };
    }

    private static RaftMessage appendRequest(ByteBuffer buffer, Voter sender, int term)
            throws MessageRejectedException {
        int previousLogTerm = buffer.getInt();
        long previousLogIndex = buffer.getLong();
        long commitIndex = buffer.getLong();
        long querySequenceNumber = buffer.getLong();
        long flowControlSequenceNumber = buffer.getLong();
        int count = RaftModelCodec.decodeCount(buffer, MAX_ENTRIES_PER_REQUEST);
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(RaftModelCodec.decodeEntry(buffer));
        }
        return MODEL_FACTORY
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

    private static RaftMessage appendSuccess(ByteBuffer buffer, Voter sender, int term) {
        return MODEL_FACTORY
                .createAppendEntriesSuccessResponseBuilder()
                .setGroupId(GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setLastLogIndex(buffer.getLong())
                .setQuerySequenceNumber(buffer.getLong())
                .setFlowControlSequenceNumber(buffer.getLong())
                .build();
    }

    private static RaftMessage appendFailure(ByteBuffer buffer, Voter sender, int term) {
        return MODEL_FACTORY
                .createAppendEntriesFailureResponseBuilder()
                .setGroupId(GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setExpectedNextIndex(buffer.getLong())
                .setQuerySequenceNumber(buffer.getLong())
                .setFlowControlSequenceNumber(buffer.getLong())
                .build();
    }

    private static RaftMessage installSnapshotRequest(ByteBuffer buffer, Voter sender, int term)
            throws MessageRejectedException {
        boolean senderLeader = buffer.get() == 1;
        int snapshotTerm = buffer.getInt();
        long snapshotIndex = buffer.getLong();
        int chunkCount = buffer.getInt();
        long querySequenceNumber = buffer.getLong();
        long flowControlSequenceNumber = buffer.getLong();
        List<RaftEndpoint> members = RaftModelCodec.decodeVoters(buffer);
        RaftGroupMembersView view = RaftModelCodec.decodeView(buffer);
        SnapshotChunk chunk = buffer.get() == 0 ? null : RaftModelCodec.decodeChunk(buffer);
        return MODEL_FACTORY
                .createInstallSnapshotRequestBuilder()
                .setGroupId(GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setSenderLeader(senderLeader)
                .setSnapshotTerm(snapshotTerm)
                .setSnapshotIndex(snapshotIndex)
                .setTotalSnapshotChunkCount(chunkCount)
                .setSnapshotChunk(chunk)
                .setSnapshottedMembers(members)
                .setGroupMembersView(view)
                .setQuerySequenceNumber(querySequenceNumber)
                .setFlowControlSequenceNumber(flowControlSequenceNumber)
                .build();
    }

    private static RaftMessage installSnapshotResponse(ByteBuffer buffer, Voter sender, int term) {
        return MODEL_FACTORY
                .createInstallSnapshotResponseBuilder()
                .setGroupId(GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setSnapshotIndex(buffer.getLong())
                .setRequestedSnapshotChunkIndex(buffer.getInt())
                .setQuerySequenceNumber(buffer.getLong())
                .setFlowControlSequenceNumber(buffer.getLong())
                .build();
    }

    private static RaftMessage preVoteRequest(ByteBuffer buffer, Voter sender, int term) {
        return MODEL_FACTORY
                .createPreVoteRequestBuilder()
                .setGroupId(GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setLastLogTerm(buffer.getInt())
                .setLastLogIndex(buffer.getLong())
                .build();
    }

    private static RaftMessage preVoteResponse(ByteBuffer buffer, Voter sender, int term) {
        return MODEL_FACTORY
                .createPreVoteResponseBuilder()
                .setGroupId(GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setGranted(buffer.get() == 1)
                .build();
    }

    private static RaftMessage voteRequest(ByteBuffer buffer, Voter sender, int term) {
        return MODEL_FACTORY
                .createVoteRequestBuilder()
                .setGroupId(GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setLastLogTerm(buffer.getInt())
                .setLastLogIndex(buffer.getLong())
                .setSticky(buffer.get() == 1)
                .build();
    }

    private static RaftMessage voteResponse(ByteBuffer buffer, Voter sender, int term) {
        return MODEL_FACTORY
                .createVoteResponseBuilder()
                .setGroupId(GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setGranted(buffer.get() == 1)
                .build();
    }

    private static RaftMessage triggerElection(ByteBuffer buffer, Voter sender, int term) {
        return MODEL_FACTORY
                .createTriggerLeaderElectionRequestBuilder()
                .setGroupId(GROUP_ID)
                .setSender(sender)
                .setTerm(term)
                .setLastLogTerm(buffer.getInt())
                .setLastLogIndex(buffer.getLong())
                .build();
    }
}
