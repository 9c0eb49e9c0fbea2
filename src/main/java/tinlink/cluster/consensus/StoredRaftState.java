package tinlink.cluster.consensus;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;

import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state that the records of a {@link RaftStateStore} describe. Not safe for use by several threads. */
final class StoredRaftState {
    /** Approximate length of a record with log entries in a compacted state, in characters. */
    private static final int ENTRIES_RECORD_CHARS = 1 << 20;

    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView groupMembers;
    private RaftTermPersistentState term;
    /** Log entries by index; those before the last snapshot are removed. */
    private final TreeMap<Long, LogEntry> log = new TreeMap<>();
    /**
     * Chunks by number, of each snapshot by log index: of the newest snapshot, and of one that is being
     * received. The chunks of older snapshots are deleted.
     */
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

    /**
     * Applies an encoded record to the state.
     *
     * @throws MessageRejectedException if the record can't be decoded
     */
    void replay(ByteBuffer record) throws MessageRejectedException {
        switch (RaftRecordType.withCode(record.get())) {
            case ENDPOINT -> endpoint = RaftRecordCodec.decodeEndpoint(record);
            case GROUP_MEMBERS -> groupMembers = RaftModelCodec.decodeView(record);
            case TERM -> term = RaftRecordCodec.decodeTerm(record);
            case ENTRIES ->
                RaftRecordCodec.decodeEntries(record)
                        .forEach(entry -> log.put(entry.getIndex(), entry));
            case SNAPSHOT_CHUNK -> replayChunk(RaftModelCodec.decodeChunk(record));
            case TRUNCATE_FROM -> log.tailMap(record.getLong(), true).clear();
            case TRUNCATE_UNTIL -> log.headMap(record.getLong(), true).clear();
            case DELETE_CHUNKS -> chunks.remove(record.getLong());
        }
    }

    /**
     * Adds a chunk, and clears the log if the chunk completes a snapshot whose last entry is missing in the
     * log or has another term there. Such a snapshot was taken by another voter, and what follows it in this
     * log comes from a leader that had no majority. After a restart, these entries would be taken for the
     * entries that follow the snapshot.
     */
    private void replayChunk(SnapshotChunk chunk) {
        TreeMap<Integer, SnapshotChunk> received =
                chunks.computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>());
        received.put(chunk.getSnapshotChunkIndex(), chunk);
        LogEntry lastIncluded = log.get(chunk.getIndex());
        boolean sameTerm = lastIncluded != null && lastIncluded.getTerm() == chunk.getTerm();
        if (received.size() == chunk.getSnapshotChunkCount() && !sameTerm) {
            log.clear();
        }
    }

    /** The state from which a replica is restored; null if the first start has not been stored yet. */
    RestoredRaftState restoredState() {
        if (endpoint == null || groupMembers == null || term == null) {
            return null;
        }
        SnapshotEntry snapshot = newestCompleteSnapshot();
        long snapshotIndex = snapshot == null ? 0 : snapshot.getIndex();
        List<LogEntry> entries =
                new ArrayList<>(log.tailMap(snapshotIndex, false).values());
        return new RestoredRaftState(endpoint, groupMembers, term, snapshot, entries);
    }

    /** Null if there is no complete snapshot. */
    private SnapshotEntry newestCompleteSnapshot() {
        for (Map<Integer, SnapshotChunk> chunksByNumber : chunks.descendingMap().values()) {
            SnapshotChunk first = chunksByNumber.values().iterator().next();
            if (chunksByNumber.size() == first.getSnapshotChunkCount()) {
                return RaftModelCodec.MODEL_FACTORY
                        .createSnapshotEntryBuilder()
                        .setIndex(first.getIndex())
                        .setTerm(first.getTerm())
                        .setSnapshotChunks(new ArrayList<>(chunksByNumber.values()))
                        .setGroupMembersView(first.getGroupMembersView())
                        .build();
            }
        }
        return null;
    }

    /** The voter as which this disk has taken part; null if it never has. */
    Voter localVoter() {
        return endpoint == null ? null : (Voter) endpoint.getLocalEndpoint();
    }

    private int termNumber() {
        return term == null ? 0 : term.getTerm();
    }

    /** The current term, and the last entry of the log or of the newest snapshot, whichever is later. */
    RecoveryFloor logEnd() {
        int lastTerm = 0;
        long lastIndex = 0;
        if (!chunks.isEmpty()) {
            SnapshotChunk chunk = chunks.lastEntry().getValue().firstEntry().getValue();
            lastTerm = chunk.getTerm();
            lastIndex = chunk.getIndex();
        }
        if (!log.isEmpty() && log.lastKey() > lastIndex) {
            lastTerm = log.lastEntry().getValue().getTerm();
            lastIndex = log.lastKey();
        }
        return new RecoveryFloor(termNumber(), lastTerm, lastIndex);
    }

    /** The highest term and the end of the log: the latest position of this disk that others may know. */
    LogPosition lastPosition() {
        long lastIndex = log.isEmpty() ? chunks.isEmpty() ? 0 : chunks.lastKey() : log.lastKey();
        return new LogPosition(termNumber(), lastIndex);
    }

    /** Encodes the state as records that restore it when replayed, each after its length in bytes. */
    byte[] encode() {
        MessageCodec.Builder out = new MessageCodec.Builder();
        appendRecord(out, RaftRecordCodec.encodeEndpoint(endpoint));
        appendRecord(out, RaftRecordCodec.encodeGroupMembers(groupMembers));
        if (term != null) {
            appendRecord(out, RaftRecordCodec.encodeTerm(term));
        }
        chunks.values()
                .forEach(snapshot -> snapshot.values()
                        .forEach(chunk -> appendRecord(out, RaftRecordCodec.encodeChunk(chunk))));
        List<LogEntry> batch = new ArrayList<>();
        long chars = 0;
        for (Iterator<LogEntry> iterator = log.values().iterator(); iterator.hasNext(); ) {
            LogEntry entry = iterator.next();
            batch.add(entry);
            chars += entry.getOperation() instanceof String line ? line.length() : 0;
            if (chars > ENTRIES_RECORD_CHARS || !iterator.hasNext()) {
                appendRecord(out, RaftRecordCodec.encodeEntries(batch));
                batch.clear();
                chars = 0;
            }
        }
        return out.build();
    }

    private static void appendRecord(MessageCodec.Builder out, byte[] record) {
        out.putInt(record.length).putBytes(record);
    }
}
