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

/** What the records of a voter's store add up to. One thread at a time. */
final class StoredRaftState {
    /** The entries of a compacted log are written in records of about so many characters. */
    private static final int MAX_ENTRIES_RECORD_CHARS = 1 << 20;

    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView groupMembers;
    private RaftTermPersistentState term;
    /** As long as the log since its last snapshot. */
    private final TreeMap<Long, LogEntry> log = new TreeMap<>();
    /** Of the newest snapshot, and of one that is being received; others are deleted. */
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

    void replay(ByteBuffer record) throws MessageRejectedException {
        switch (RaftRecordType.withCode(record.get())) {
            case ENDPOINT -> endpoint = RaftRecordCodec.decodeEndpoint(record);
            case GROUP_MEMBERS -> groupMembers = RaftModelCodec.decodeView(record);
            case TERM -> term = RaftRecordCodec.decodeTerm(record);
            case ENTRIES ->
                RaftRecordCodec.decodeEntries(record).forEach(e -> log.put(e.getIndex(), e));
            case SNAPSHOT_CHUNK -> replayChunk(RaftModelCodec.decodeChunk(record));
            case TRUNCATE_FROM -> log.tailMap(record.getLong(), true).clear();
            case TRUNCATE_UNTIL -> log.headMap(record.getLong(), true).clear();
            case DELETE_CHUNKS -> chunks.remove(record.getLong());
        }
    }

    /**
     * Danger: a snapshot that another voter has taken stands for entries that this log does not have, or
     * has otherwise. What follows it in this log is then of a leader that was not followed by a majority;
     * found after a restart, it would be taken for what follows the snapshot.
     */
    private void replayChunk(SnapshotChunk chunk) {
        TreeMap<Integer, SnapshotChunk> received =
                chunks.computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>());
        received.put(chunk.getSnapshotChunkIndex(), chunk);
        LogEntry existing = log.get(chunk.getIndex());
        boolean isSameTerm = existing != null && existing.getTerm() == chunk.getTerm();
        if (received.size() == chunk.getSnapshotChunkCount() && !isSameTerm) {
            log.clear();
        }
    }

    /** Null where nothing has been stored yet. */
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

    /** Null where this disk has never voted. */
    Voter localVoter() {
        return endpoint == null ? null : (Voter) endpoint.getLocalEndpoint();
    }

    private int termNumber() {
        return term == null ? 0 : term.getTerm();
    }

    /** The term, and the last entry of log or snapshot. */
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

    /** The highest term, and the end of the log: what others may know of this disk. */
    LogPosition lastPosition() {
        long lastIndex = log.isEmpty() ? chunks.isEmpty() ? 0 : chunks.lastKey() : log.lastKey();
        return new LogPosition(termNumber(), lastIndex);
    }

    /** All of it, as records that replay to the same. */
    byte[] encode() {
        MessageCodec.Builder out = new MessageCodec.Builder();
        append(out, RaftRecordCodec.encodeEndpoint(endpoint));
        append(out, RaftRecordCodec.encodeGroupMembers(groupMembers));
        if (term != null) {
            append(out, RaftRecordCodec.encodeTerm(term));
        }
        chunks.values()
                .forEach(snapshot -> snapshot.values()
                        .forEach(chunk -> append(out, RaftRecordCodec.encodeChunk(chunk))));
        List<LogEntry> batch = new ArrayList<>();
        long chars = 0;
        for (Iterator<LogEntry> iterator = log.values().iterator(); iterator.hasNext(); ) {
            LogEntry entry = iterator.next();
            batch.add(entry);
            chars += entry.getOperation() instanceof String line ? line.length() : 0;
            if (chars > MAX_ENTRIES_RECORD_CHARS || !iterator.hasNext()) {
                append(out, RaftRecordCodec.encodeEntries(batch));
                batch.clear();
                chars = 0;
            }
        }
        return out.build();
    }

    private static void append(MessageCodec.Builder out, byte[] record) {
        out.putInt(record.length).putBytes(record);
    }
}
