package tinlink.cluster.consensus;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;

import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The persistent state of a voter: its identity, its term and vote, its log and its last snapshot. The state
 * is stored as records that are replayed at the start. Log entries before a snapshot are deleted once the
 * snapshot is complete. Confined to the Raft thread once the replica runs, except for {@link #logEnd}.
 */
public final class RaftStateStore implements RaftStore {
    /** Stores records: on disk, or in memory in a simulation. */
    public interface RecordLog {
        /** Appends a record, which a crash may lose until {@link #sync} returns. */
        void append(byte[] record) throws IOException;

        /** Returns once all appended records survive a crash. */
        void sync() throws IOException;

        /** Replaces all records by a state, atomically; the state survives a crash once this returns. */
        void compactTo(byte[] state) throws IOException;
    }

    private final RecordLog recordLog;
    private final StoredRaftState state = new StoredRaftState();
    /** Updated by the Raft thread, read by others. */
    private volatile RecoveryFloor logEnd;

    /**
     * Restores the state by replaying stored records.
     *
     * @param compacted the state that was last passed to {@link RecordLog#compactTo}; null for none
     * @param recordsSince the records that have been appended since, in order
     * @throws IOException if a record can't be decoded
     */
    public RaftStateStore(RecordLog recordLog, byte[] compacted, List<byte[]> recordsSince)
            throws IOException {
        this.recordLog = recordLog;
        try {
            if (compacted != null) {
                ByteBuffer buffer = ByteBuffer.wrap(compacted);
                while (buffer.hasRemaining()) {
                    state.replay(ByteBuffer.wrap(MessageCodec.readBytes(buffer, buffer.getInt())));
                }
            }
            for (byte[] record : recordsSince) {
                state.replay(ByteBuffer.wrap(record));
            }
        } catch (MessageRejectedException | BufferUnderflowException e) {
            throw new IOException("a stored Raft record can't be decoded: " + e.getMessage(), e);
        }
        logEnd = state.logEnd();
    }

    /** The state from which a replica is restored; null if the first start has not been stored yet. */
    RestoredRaftState restoredState() {
        return state.restoredState();
    }

    /** The current term and the end of the log. May be called from any thread. */
    public RecoveryFloor logEnd() {
        return logEnd;
    }

    /** The voter as which this disk has taken part; null if it never has. */
    public Voter localVoter() {
        return state.localVoter();
    }

    /**
     * The highest term and the end of the log: the latest position of this disk that other voters may know
     * from before this process was started.
     */
    public LogPosition lastPosition() {
        return state.lastPosition();
    }

    private void persist(byte[] record) throws IOException {
        try {
            state.replay(ByteBuffer.wrap(record));
        } catch (MessageRejectedException e) {
            throw new IOException(e.getMessage(), e);
        }
        logEnd = state.logEnd();
        recordLog.append(record);
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState localEndpoint)
            throws IOException {
        persist(RaftRecordCodec.encodeEndpoint(localEndpoint));
        recordLog.sync();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
        persist(RaftRecordCodec.encodeGroupMembers(view));
        recordLog.sync();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        persist(RaftRecordCodec.encodeTerm(term));
        recordLog.sync();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        persist(RaftRecordCodec.encodeEntries(entries));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        persist(RaftRecordCodec.encodeChunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        persist(RaftRecordCodec.encodeIndex(RaftRecordType.TRUNCATE_FROM, index));
    }

    /** Called once a snapshot replaces the entries up to the index. Only then are the records compacted. */
    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        persist(RaftRecordCodec.encodeIndex(RaftRecordType.TRUNCATE_UNTIL, index));
        recordLog.compactTo(state.encode());
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        persist(RaftRecordCodec.encodeIndex(RaftRecordType.DELETE_CHUNKS, index));
    }

    @Override
    public void flush() throws IOException {
        recordLog.sync();
    }
}
