package tinlink.cluster.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;

import org.junit.jupiter.api.Test;

import tinlink.GoldenFile;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Raft messages and stored records are encoded byte for byte as by earlier builds, and decoded again. */
@SuppressWarnings("EnumOrdinal") // The recorded encoding has ordinals of enum constants.
class ConsensusGoldenFilesTest {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final Object GROUP = "tinlink";
    private static final String MAINTENANCE =
            "request\tw1\tn1,n2\t60000000\t3600000000\t5\top\ta\\tb";
    private static final String POLICY = "policy\tseen\tc1\t1700000000000000";

    // ---- Calls of the code under test. ----

    private static byte[] encode(RaftMessage message) {
        return RaftCodec.encode(message);
    }

    private static RaftMessage decode(byte[] bytes) throws Exception {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        RaftMessage message = RaftCodec.decode(buffer);
        assertEquals(0, buffer.remaining());
        return message;
    }

    private static RaftEndpoint voter(String router, long diskId) {
        return new Voter(router, diskId);
    }

    /** Holds records in memory. */
    private static final class MemoryRecordLog implements RaftStateStore.RecordLog {
        final List<byte[]> appended = new ArrayList<>();
        byte[] compacted;

        @Override
        public void append(byte[] record) {
            appended.add(record);
        }

        @Override
        public void sync() {
            // Memory loses no records, so there is nothing to sync.
        }

        @Override
        public void compactTo(byte[] state) {
            compacted = state;
        }

        byte[] last() {
            return appended.get(appended.size() - 1);
        }
    }

    private static RaftStateStore store(
            MemoryRecordLog recordLog, byte[] compacted, List<byte[]> recordsSince)
            throws IOException {
        return new RaftStateStore(recordLog, compacted, recordsSince);
    }

    // ---- Values. ----

    private static RaftGroupMembersView view(long index) {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(index)
                .setMembers(List.of(voter("r1", 0), voter("r2", 0xabcdefL), voter("r3", -1)))
                .setVotingMembers(List.of(voter("r1", 0), voter("r2", 0xabcdefL)))
                .build();
    }

    private static LogEntry entry(long index, int term, Object operation) {
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(operation)
                .build();
    }

    private static Object membershipChange(MembershipChangeMode mode) {
        return MODEL.createUpdateRaftGroupMembersOpBuilder()
                .setMembers(List.of(voter("r1", 0), voter("r2", 2)))
                .setVotingMembers(List.of(voter("r1", 0)))
                .setEndpoint(voter("r2", 2))
                .setMode(mode)
                .build();
    }

    private static List<LogEntry> entries() {
        List<LogEntry> all = new ArrayList<>();
        all.add(entry(5, 2, ""));
        all.add(entry(6, 2, MAINTENANCE));
        all.add(entry(7, 3, POLICY));
        for (MembershipChangeMode mode : MembershipChangeMode.values()) {
            all.add(entry(8 + mode.ordinal(), 3, membershipChange(mode)));
        }
        return all;
    }

    private static SnapshotChunk chunk(long index, int chunkIndex, int count) {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(2)
                .setSnapshotChunkIndex(chunkIndex)
                .setSnapshotChunkCount(count)
                .setGroupMembersView(view(3))
                .setOperation("order\t1\t" + chunkIndex + "\t0\t0\nlife\tr1\tr1#1.é\n")
                .build();
    }

    private static Map<String, RaftMessage> messages() {
        RaftEndpoint sender = voter("r1", 0x1a2b3c4d5e6f7081L);
        Map<String, RaftMessage> all = new LinkedHashMap<>();
        all.put("append-of-all-kinds-of-entries", append(sender, entries()));
        all.put("append-of-nothing", append(sender, List.of()));
        all.put(
                "append-success",
                MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(3)
                        .setLastLogIndex(10)
                        .setQuerySequenceNumber(21)
                        .setFlowControlSequenceNumber(22)
                        .build());
        all.put(
                "append-failure",
                MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(3)
                        .setExpectedNextIndex(7)
                        .setQuerySequenceNumber(21)
                        .setFlowControlSequenceNumber(22)
                        .build());
        all.put("snapshot-announced", installSnapshot(sender, null));
        all.put("snapshot-piece", installSnapshot(sender, chunk(9, 1, 2)));
        all.put(
                "snapshot-answer",
                MODEL.createInstallSnapshotResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(3)
                        .setSnapshotIndex(9)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(21)
                        .setFlowControlSequenceNumber(22)
                        .build());
        all.put(
                "pre-vote",
                MODEL.createPreVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(4)
                        .setLastLogTerm(3)
                        .setLastLogIndex(10)
                        .build());
        for (boolean granted : new boolean[] {true, false}) {
            all.put(
                    granted ? "pre-vote-granted" : "pre-vote-refused",
                    MODEL.createPreVoteResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(4)
                            .setGranted(granted)
                            .build());
        }
        for (boolean sticky : new boolean[] {true, false}) {
            all.put(
                    sticky ? "vote" : "vote-after-a-handover",
                    MODEL.createVoteRequestBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(4)
                            .setLastLogTerm(3)
                            .setLastLogIndex(10)
                            .setSticky(sticky)
                            .build());
        }
        for (boolean granted : new boolean[] {true, false}) {
            all.put(
                    granted ? "vote-granted" : "vote-refused",
                    MODEL.createVoteResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(sender)
                            .setTerm(4)
                            .setGranted(granted)
                            .build());
        }
        all.put(
                "handover",
                MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(4)
                        .setLastLogTerm(3)
                        .setLastLogIndex(10)
                        .build());
        return all;
    }

    private static RaftMessage append(RaftEndpoint sender, List<LogEntry> entries) {
        return MODEL.createAppendEntriesRequestBuilder()
                .setGroupId(GROUP)
                .setSender(sender)
                .setTerm(3)
                .setPreviousLogTerm(2)
                .setPreviousLogIndex(4)
                .setCommitIndex(0x0102030405L)
                .setLogEntries(entries)
                .setQuerySequenceNumber(21)
                .setFlowControlSequenceNumber(22)
                .build();
    }

    private static RaftMessage installSnapshot(RaftEndpoint sender, SnapshotChunk chunk) {
        return MODEL.createInstallSnapshotRequestBuilder()
                .setGroupId(GROUP)
                .setSender(sender)
                .setTerm(3)
                .setSenderLeader(chunk == null)
                .setSnapshotTerm(2)
                .setSnapshotIndex(9)
                .setTotalSnapshotChunkCount(2)
                .setSnapshotChunk(chunk)
                .setSnapshottedMembers(List.of(voter("r1", 0), voter("r2", 2)))
                .setGroupMembersView(view(3))
                .setQuerySequenceNumber(21)
                .setFlowControlSequenceNumber(22)
                .build();
    }

    // ---- Messages. ----

    @Test
    void raftMessagesAreEncodedAndDecodedAsBefore() throws Exception {
        Map<String, String> all = new LinkedHashMap<>();
        messages().forEach((name, message) -> all.put(name, GoldenFile.hex(encode(message))));
        String file = "raft-messages.txt";
        GoldenFile.holds(file, "Messages between voters, in hex.", all);
        for (Map.Entry<String, String> golden : GoldenFile.read(file).entrySet()) {
            RaftMessage decoded = decode(GoldenFile.bytes(golden.getValue()));
            RaftMessage expected = messages().get(golden.getKey());
            assertEquals(expected.getClass(), decoded.getClass(), golden.getKey());
            assertEquals(expected.toString(), decoded.toString(), golden.getKey());
            assertEquals(golden.getValue(), GoldenFile.hex(encode(decoded)), golden.getKey());
        }
    }

    // ---- Records. ----

    /** Stores one record after the other; returns them by name, and last the compacted state. */
    private static Map<String, byte[]> storeRecords(MemoryRecordLog recordLog) throws IOException {
        Map<String, byte[]> all = new LinkedHashMap<>();
        RaftStateStore store = store(recordLog, null, List.of());
        store.persistAndFlushLocalEndpoint(MODEL.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(voter("r2", 0xabcdefL))
                .setVoting(true)
                .build());
        all.put("endpoint", recordLog.last());
        store.persistAndFlushInitialGroupMembers(view(0));
        all.put("first-members", recordLog.last());
        store.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                .setTerm(1)
                .setVotedFor(null)
                .build());
        all.put("term-without-a-vote", recordLog.last());
        store.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                .setTerm(3)
                .setVotedFor(voter("r3", -1))
                .build());
        all.put("term-and-vote", recordLog.last());
        store.persistLogEntries(entries());
        all.put("entries-of-all-kinds", recordLog.last());
        store.truncateLogEntriesFrom(9);
        all.put("cut-from", recordLog.last());
        store.persistLogEntries(List.of(entry(9, 3, POLICY)));
        all.put("one-entry", recordLog.last());
        store.persistSnapshotChunk(chunk(5, 0, 1));
        all.put("snapshot-whole", recordLog.last());
        store.persistSnapshotChunk(chunk(6, 0, 2));
        all.put("snapshot-first-piece", recordLog.last());
        store.deleteSnapshotChunks(5, 1);
        all.put("snapshot-deleted", recordLog.last());
        store.truncateLogEntriesUntil(5);
        all.put("cut-until", recordLog.last());
        all.put("all-that-is-kept", recordLog.compacted);
        return all;
    }

    /** Checks the state that the records of {@link #storeRecords} leave, apart from log and snapshot. */
    private static void assertRestored(RaftStateStore store) {
        assertEquals(voter("r2", 0xabcdefL), store.localVoter());
        assertEquals(new LogPosition(3, 9), store.lastPosition());
        assertEquals(new RecoveryFloor(3, 3, 9), store.logEnd());
        RestoredRaftState restored = store.restoredState();
        assertNotNull(restored);
        assertTrue(restored.getLocalEndpointPersistentState().isVoting());
        assertEquals(view(0).toString(), restored.getInitialGroupMembers().toString());
        assertEquals(3, restored.getTermPersistentState().getTerm());
        assertEquals(voter("r3", -1), restored.getTermPersistentState().getVotedFor());
    }

    @Test
    void storedRecordsAreEncodedAndDecodedAsBefore() throws Exception {
        Map<String, String> all = new LinkedHashMap<>();
        storeRecords(new MemoryRecordLog())
                .forEach((name, bytes) -> all.put(name, GoldenFile.hex(bytes)));
        String file = "voter-records.txt";
        GoldenFile.holds(file, "Records of a voter's disk, in hex.", all);
        Map<String, byte[]> golden = new LinkedHashMap<>();
        GoldenFile.read(file).forEach((name, hex) -> golden.put(name, GoldenFile.bytes(hex)));
        byte[] compacted = golden.remove("all-that-is-kept");
        MemoryRecordLog replayedLog = new MemoryRecordLog();
        RaftStateStore replayed = store(replayedLog, null, List.copyOf(golden.values()));
        assertRestored(replayed);
        assertEquals(
                entries().subList(1, 4).toString(),
                replayed.restoredState().getLogEntries().subList(0, 3).toString());
        replayed.truncateLogEntriesUntil(5);
        assertArrayEquals(compacted, replayedLog.compacted);
        MemoryRecordLog reopenedLog = new MemoryRecordLog();
        RaftStateStore reopened = store(reopenedLog, compacted, List.of());
        assertRestored(reopened);
        assertNull(reopened.restoredState().getSnapshotEntry(), "one of the two chunks is missing");
        reopened.truncateLogEntriesUntil(5);
        assertArrayEquals(compacted, reopenedLog.compacted);
        reopened.persistSnapshotChunk(chunk(6, 1, 2));
        assertEquals(
                List.of(chunk(6, 0, 2), chunk(6, 1, 2)).toString(),
                List.copyOf((List<?>)
                                reopened.restoredState().getSnapshotEntry().getOperation())
                        .toString());
    }
}
