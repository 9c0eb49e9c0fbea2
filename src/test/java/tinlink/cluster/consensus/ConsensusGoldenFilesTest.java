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

/** Messages between voters and the records that they keep, byte for byte as earlier builds wrote them. */
@SuppressWarnings("EnumOrdinal") // What was recorded numbers constants in their order.
class ConsensusGoldenFilesTest {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final Object GROUP = "tinlink";
    private static final String MAINTENANCE =
            "request\tw1\tn1,n2\t60000000\t3600000000\t5\top\ta\\tb";
    private static final String POLICY = "policy\tseen\tc1\t1700000000000000";

    // ---- The code under test: one call a kind. ----

    private static byte[] encode(RaftMessage message) {
        return RaftCodec.encode(message);
    }

    private static RaftMessage decode(byte[] bytes) throws Exception {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        RaftMessage message = RaftCodec.decode(in);
        assertEquals(0, in.remaining());
        return message;
    }

    private static RaftEndpoint voter(String router, long disk) {
        return new Voter(router, disk);
    }

    /** Where kept records go in these tests. */
    private static final class Memory implements RaftStateStore.RecordLog {
        final List<byte[]> appended = new ArrayList<>();
        byte[] whole;

        @Override
        public void append(byte[] record) {
            appended.add(record);
        }

        @Override
        public void sync() {
            // Nothing is lost here.
        }

        @Override
        public void compactTo(byte[] state) {
            whole = state;
        }

        byte[] last() {
            return appended.get(appended.size() - 1);
        }
    }

    private static RaftStateStore store(Memory memory, byte[] state, List<byte[]> since)
            throws IOException {
        return new RaftStateStore(memory, state, since);
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

    private static Object change(MembershipChangeMode mode) {
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
            all.add(entry(8 + mode.ordinal(), 3, change(mode)));
        }
        return all;
    }

    private static SnapshotChunk chunk(long index, int number, int count) {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(2)
                .setSnapshotChunkIndex(number)
                .setSnapshotChunkCount(count)
                .setGroupMembersView(view(3))
                .setOperation("order\t1\t" + number + "\t0\t0\nlife\tr1\tr1#1.é\n")
                .build();
    }

    private static Map<String, RaftMessage> messages() {
        RaftEndpoint r1 = voter("r1", 0x1a2b3c4d5e6f7081L);
        Map<String, RaftMessage> all = new LinkedHashMap<>();
        all.put("append-of-all-kinds-of-entries", append(r1, entries()));
        all.put("append-of-nothing", append(r1, List.of()));
        all.put(
                "append-success",
                MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(r1)
                        .setTerm(3)
                        .setLastLogIndex(10)
                        .setQuerySequenceNumber(21)
                        .setFlowControlSequenceNumber(22)
                        .build());
        all.put(
                "append-failure",
                MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(r1)
                        .setTerm(3)
                        .setExpectedNextIndex(7)
                        .setQuerySequenceNumber(21)
                        .setFlowControlSequenceNumber(22)
                        .build());
        all.put("snapshot-announced", install(r1, null));
        all.put("snapshot-piece", install(r1, chunk(9, 1, 2)));
        all.put(
                "snapshot-answer",
                MODEL.createInstallSnapshotResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(r1)
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
                        .setSender(r1)
                        .setTerm(4)
                        .setLastLogTerm(3)
                        .setLastLogIndex(10)
                        .build());
        for (boolean granted : new boolean[] {true, false}) {
            all.put(
                    granted ? "pre-vote-granted" : "pre-vote-refused",
                    MODEL.createPreVoteResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(r1)
                            .setTerm(4)
                            .setGranted(granted)
                            .build());
        }
        for (boolean sticky : new boolean[] {true, false}) {
            all.put(
                    sticky ? "vote" : "vote-after-a-handover",
                    MODEL.createVoteRequestBuilder()
                            .setGroupId(GROUP)
                            .setSender(r1)
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
                            .setSender(r1)
                            .setTerm(4)
                            .setGranted(granted)
                            .build());
        }
        all.put(
                "handover",
                MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(r1)
                        .setTerm(4)
                        .setLastLogTerm(3)
                        .setLastLogIndex(10)
                        .build());
        return all;
    }

    private static RaftMessage append(RaftEndpoint from, List<LogEntry> entries) {
        return MODEL.createAppendEntriesRequestBuilder()
                .setGroupId(GROUP)
                .setSender(from)
                .setTerm(3)
                .setPreviousLogTerm(2)
                .setPreviousLogIndex(4)
                .setCommitIndex(0x0102030405L)
                .setLogEntries(entries)
                .setQuerySequenceNumber(21)
                .setFlowControlSequenceNumber(22)
                .build();
    }

    private static RaftMessage install(RaftEndpoint from, SnapshotChunk chunk) {
        return MODEL.createInstallSnapshotRequestBuilder()
                .setGroupId(GROUP)
                .setSender(from)
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
    void messagesOfTheAgreementAreWrittenAndReadAsTheyWere() throws Exception {
        Map<String, String> all = new LinkedHashMap<>();
        messages().forEach((name, m) -> all.put(name, GoldenFile.hex(encode(m))));
        String file = "raft-messages.txt";
        GoldenFile.holds(file, "Messages between voters, in hex.", all);
        for (Map.Entry<String, String> golden : GoldenFile.read(file).entrySet()) {
            RaftMessage read = decode(GoldenFile.bytes(golden.getValue()));
            RaftMessage value = messages().get(golden.getKey());
            assertEquals(value.getClass(), read.getClass(), golden.getKey());
            assertEquals(value.toString(), read.toString(), golden.getKey());
            assertEquals(golden.getValue(), GoldenFile.hex(encode(read)), golden.getKey());
        }
    }

    // ---- What a voter keeps. ----

    private static Map<String, byte[]> written(Memory memory) throws IOException {
        Map<String, byte[]> all = new LinkedHashMap<>();
        RaftStateStore store = store(memory, null, List.of());
        store.persistAndFlushLocalEndpoint(MODEL.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(voter("r2", 0xabcdefL))
                .setVoting(true)
                .build());
        all.put("endpoint", memory.last());
        store.persistAndFlushInitialGroupMembers(view(0));
        all.put("first-members", memory.last());
        store.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                .setTerm(1)
                .setVotedFor(null)
                .build());
        all.put("term-without-a-vote", memory.last());
        store.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                .setTerm(3)
                .setVotedFor(voter("r3", -1))
                .build());
        all.put("term-and-vote", memory.last());
        store.persistLogEntries(entries());
        all.put("entries-of-all-kinds", memory.last());
        store.truncateLogEntriesFrom(9);
        all.put("cut-from", memory.last());
        store.persistLogEntries(List.of(entry(9, 3, POLICY)));
        all.put("one-entry", memory.last());
        store.persistSnapshotChunk(chunk(5, 0, 1));
        all.put("snapshot-whole", memory.last());
        store.persistSnapshotChunk(chunk(6, 0, 2));
        all.put("snapshot-first-piece", memory.last());
        store.deleteSnapshotChunks(5, 1);
        all.put("snapshot-deleted", memory.last());
        store.truncateLogEntriesUntil(5);
        all.put("cut-until", memory.last());
        all.put("all-that-is-kept", memory.whole);
        return all;
    }

    /** The entries that stand after all of {@link #written}. */
    private static void stands(RaftStateStore store) {
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
    void keptRecordsAreWrittenAndReadAsTheyWere() throws Exception {
        Map<String, String> all = new LinkedHashMap<>();
        written(new Memory()).forEach((name, bytes) -> all.put(name, GoldenFile.hex(bytes)));
        String file = "voter-records.txt";
        GoldenFile.holds(file, "Records of a voter's disk, in hex.", all);
        Map<String, byte[]> golden = new LinkedHashMap<>();
        GoldenFile.read(file).forEach((name, hex) -> golden.put(name, GoldenFile.bytes(hex)));
        byte[] whole = golden.remove("all-that-is-kept");
        Memory again = new Memory();
        RaftStateStore played = store(again, null, List.copyOf(golden.values()));
        stands(played);
        assertEquals(
                entries().subList(1, 4).toString(),
                played.restoredState().getLogEntries().subList(0, 3).toString());
        played.truncateLogEntriesUntil(5);
        assertArrayEquals(whole, again.whole);
        Memory fromWhole = new Memory();
        RaftStateStore read = store(fromWhole, whole, List.of());
        stands(read);
        assertNull(read.restoredState().getSnapshotEntry(), "one piece of it is missing");
        read.truncateLogEntriesUntil(5);
        assertArrayEquals(whole, fromWhole.whole);
        read.persistSnapshotChunk(chunk(6, 1, 2));
        assertEquals(
                List.of(chunk(6, 0, 2), chunk(6, 1, 2)).toString(),
                List.copyOf((List<?>) read.restoredState().getSnapshotEntry().getOperation())
                        .toString());
    }
}
