package tinlink.peers;

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

import tinlink.net.BadMessage;
import tinlink.sealed.Message;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The messages and records of the agreement, as bytes. Operations are texts, or a change of who
 * votes. The group is not written: a link between two routers is of one cluster.
 */
public final class RaftCodec {
    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    static final Object GROUP = "tinlink";
    /** One operation is no longer, nor is a piece of a snapshot. */
    static final int MOST_TEXT = 1 << 20;

    private static final int MOST_ENTRIES = 4096;
    private static final int MOST_VOTERS = 64;

    private RaftCodec() {}

    // ---- Messages. ----

    public static byte[] bytes(RaftMessage m) {
        Message.Out o = new Message.Out();
        if (m instanceof AppendEntriesRequest r) {
            head(o, 1, r)
                    .four(r.getPreviousLogTerm())
                    .eight(r.getPreviousLogIndex())
                    .eight(r.getCommitIndex())
                    .eight(r.getQuerySequenceNumber())
                    .eight(r.getFlowControlSequenceNumber())
                    .four(r.getLogEntries().size());
            r.getLogEntries().forEach(e -> entry(o, e));
        } else if (m instanceof AppendEntriesSuccessResponse r) {
            head(o, 2, r)
                    .eight(r.getLastLogIndex())
                    .eight(r.getQuerySequenceNumber())
                    .eight(r.getFlowControlSequenceNumber());
        } else if (m instanceof AppendEntriesFailureResponse r) {
            head(o, 3, r)
                    .eight(r.getExpectedNextIndex())
                    .eight(r.getQuerySequenceNumber())
                    .eight(r.getFlowControlSequenceNumber());
        } else if (m instanceof InstallSnapshotRequest r) {
            head(o, 4, r)
                    .byt(r.isSenderLeader() ? 1 : 0)
                    .four(r.getSnapshotTerm())
                    .eight(r.getSnapshotIndex())
                    .four(r.getTotalSnapshotChunkCount())
                    .eight(r.getQuerySequenceNumber())
                    .eight(r.getFlowControlSequenceNumber());
            voters(o, r.getSnapshottedMembers());
            view(o, r.getGroupMembersView());
            o.byt(r.getSnapshotChunk() == null ? 0 : 1);
            if (r.getSnapshotChunk() != null) {
                chunk(o, r.getSnapshotChunk());
            }
        } else if (m instanceof InstallSnapshotResponse r) {
            head(o, 5, r)
                    .eight(r.getSnapshotIndex())
                    .four(r.getRequestedSnapshotChunkIndex())
                    .eight(r.getQuerySequenceNumber())
                    .eight(r.getFlowControlSequenceNumber());
        } else if (m instanceof PreVoteRequest r) {
            head(o, 6, r).four(r.getLastLogTerm()).eight(r.getLastLogIndex());
        } else if (m instanceof PreVoteResponse r) {
            head(o, 7, r).byt(r.isGranted() ? 1 : 0);
        } else if (m instanceof VoteRequest r) {
            head(o, 8, r)
                    .four(r.getLastLogTerm())
                    .eight(r.getLastLogIndex())
                    .byt(r.isSticky() ? 1 : 0);
        } else if (m instanceof VoteResponse r) {
            head(o, 9, r).byt(r.isGranted() ? 1 : 0);
        } else if (m instanceof TriggerLeaderElectionRequest r) {
            head(o, 10, r).four(r.getLastLogTerm()).eight(r.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("a message of another kind: " + m);
        }
        return o.made();
    }

    private static Message.Out head(Message.Out o, int type, RaftMessage m) {
        return o.byt(type).text(m.getSender().toString()).four(m.getTerm());
    }

    /**
     * Reads a message.
     *
     * @throws BadMessage where it is none; a buffer that is too short throws its own
     */
    public static RaftMessage message(ByteBuffer in) throws BadMessage {
        int type = in.get();
        Voter from = voter(in);
        int term = in.getInt();
        return switch (type) {
            case 1 -> {
                int previousTerm = in.getInt();
                long previous = in.getLong();
                long commit = in.getLong();
                long query = in.getLong();
                long flow = in.getLong();
                int count = count(in, MOST_ENTRIES);
                List<LogEntry> entries = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    entries.add(entry(in));
                }
                yield MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(from)
                        .setTerm(term)
                        .setPreviousLogTerm(previousTerm)
                        .setPreviousLogIndex(previous)
                        .setCommitIndex(commit)
                        .setLogEntries(entries)
                        .setQuerySequenceNumber(query)
                        .setFlowControlSequenceNumber(flow)
                        .build();
            }
            case 2 ->
                MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(from)
                        .setTerm(term)
                        .setLastLogIndex(in.getLong())
                        .setQuerySequenceNumber(in.getLong())
                        .setFlowControlSequenceNumber(in.getLong())
                        .build();
            case 3 ->
                MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(from)
                        .setTerm(term)
                        .setExpectedNextIndex(in.getLong())
                        .setQuerySequenceNumber(in.getLong())
                        .setFlowControlSequenceNumber(in.getLong())
                        .build();
            case 4 -> {
                boolean leader = in.get() == 1;
                int snapshotTerm = in.getInt();
                long index = in.getLong();
                int total = in.getInt();
                long query = in.getLong();
                long flow = in.getLong();
                List<RaftEndpoint> members = voters(in);
                RaftGroupMembersView view = view(in);
                SnapshotChunk chunk = in.get() == 0 ? null : chunk(in);
                yield MODEL.createInstallSnapshotRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(from)
                        .setTerm(term)
                        .setSenderLeader(leader)
                        .setSnapshotTerm(snapshotTerm)
                        .setSnapshotIndex(index)
                        .setTotalSnapshotChunkCount(total)
                        .setSnapshotChunk(chunk)
                        .setSnapshottedMembers(members)
                        .setGroupMembersView(view)
                        .setQuerySequenceNumber(query)
                        .setFlowControlSequenceNumber(flow)
                        .build();
            }
            case 5 ->
                MODEL.createInstallSnapshotResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(from)
                        .setTerm(term)
                        .setSnapshotIndex(in.getLong())
                        .setRequestedSnapshotChunkIndex(in.getInt())
                        .setQuerySequenceNumber(in.getLong())
                        .setFlowControlSequenceNumber(in.getLong())
                        .build();
            case 6 ->
                MODEL.createPreVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(from)
                        .setTerm(term)
                        .setLastLogTerm(in.getInt())
                        .setLastLogIndex(in.getLong())
                        .build();
            case 7 ->
                MODEL.createPreVoteResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(from)
                        .setTerm(term)
                        .setGranted(in.get() == 1)
                        .build();
            case 8 ->
                MODEL.createVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(from)
                        .setTerm(term)
                        .setLastLogTerm(in.getInt())
                        .setLastLogIndex(in.getLong())
                        .setSticky(in.get() == 1)
                        .build();
            case 9 ->
                MODEL.createVoteResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(from)
                        .setTerm(term)
                        .setGranted(in.get() == 1)
                        .build();
            case 10 ->
                MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(from)
                        .setTerm(term)
                        .setLastLogTerm(in.getInt())
                        .setLastLogIndex(in.getLong())
                        .build();
            default -> throw Message.bad("a word of type " + type);
        };
    }

    private static int count(ByteBuffer in, int most) throws BadMessage {
        int n = in.getInt();
        if (n < 0 || n > most) {
            throw Message.bad("a list of " + n);
        }
        return n;
    }

    // ---- What they are made of. ----

    static Voter voter(ByteBuffer in) throws BadMessage {
        String text = Message.text(in);
        try {
            return Voter.of(text);
        } catch (IllegalArgumentException e) {
            throw Message.bad(e.getMessage());
        }
    }

    static void voters(Message.Out o, Collection<RaftEndpoint> all) {
        o.four(all.size());
        all.forEach(v -> o.text(v.toString()));
    }

    static List<RaftEndpoint> voters(ByteBuffer in) throws BadMessage {
        int count = count(in, MOST_VOTERS);
        List<RaftEndpoint> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(voter(in));
        }
        return all;
    }

    static void view(Message.Out o, RaftGroupMembersView v) {
        o.eight(v.getLogIndex());
        voters(o, v.getMembers());
        voters(o, v.getVotingMembers());
    }

    static RaftGroupMembersView view(ByteBuffer in) throws BadMessage {
        long index = in.getLong();
        List<RaftEndpoint> members = voters(in);
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(index)
                .setMembers(members)
                .setVotingMembers(voters(in))
                .build();
    }

    static void entry(Message.Out o, LogEntry e) {
        o.eight(e.getIndex()).four(e.getTerm());
        operation(o, e.getOperation());
    }

    static LogEntry entry(ByteBuffer in) throws BadMessage {
        long index = in.getLong();
        int term = in.getInt();
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(operation(in))
                .build();
    }

    @SuppressWarnings("EnumOrdinal") // Modes are numbered in their order.
    private static void operation(Message.Out o, Object what) {
        if (what instanceof UpdateRaftGroupMembersOp u) {
            o.byt(1);
            voters(o, u.getMembers());
            voters(o, u.getVotingMembers());
            o.text(u.getEndpoint().toString()).byt(u.getMode().ordinal());
        } else {
            o.byt(0).longText((String) what);
        }
    }

    @SuppressWarnings("EnumOrdinal") // As above.
    private static Object operation(ByteBuffer in) throws BadMessage {
        if (in.get() == 0) {
            return Message.longText(in, MOST_TEXT);
        }
        List<RaftEndpoint> members = voters(in);
        List<RaftEndpoint> voting = voters(in);
        Voter who = voter(in);
        int mode = in.get();
        if (mode < 0 || mode >= MembershipChangeMode.values().length) {
            throw Message.bad("a change of kind " + mode);
        }
        return MODEL.createUpdateRaftGroupMembersOpBuilder()
                .setMembers(members)
                .setVotingMembers(voting)
                .setEndpoint(who)
                .setMode(MembershipChangeMode.values()[mode])
                .build();
    }

    static void chunk(Message.Out o, SnapshotChunk c) {
        o.eight(c.getIndex())
                .four(c.getTerm())
                .four(c.getSnapshotChunkIndex())
                .four(c.getSnapshotChunkCount());
        view(o, c.getGroupMembersView());
        o.longText((String) c.getOperation());
    }

    static SnapshotChunk chunk(ByteBuffer in) throws BadMessage {
        long index = in.getLong();
        int term = in.getInt();
        int at = in.getInt();
        int of = in.getInt();
        RaftGroupMembersView view = view(in);
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(term)
                .setSnapshotChunkIndex(at)
                .setSnapshotChunkCount(of)
                .setGroupMembersView(view)
                .setOperation(Message.longText(in, MOST_TEXT))
                .build();
    }
}
