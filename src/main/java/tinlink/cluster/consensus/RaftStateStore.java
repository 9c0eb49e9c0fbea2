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
 * What a voter must not forget: who it is, its term and vote, the log and the last snapshot. Stored as
 * records that are replayed at the start; the log below the last snapshot goes as that is complete. Belongs
 * to the thread of Raft once the replica runs, but for {@link #logEnd}.
 */
public final class RaftStateStore implements RaftStore {
    /** Where records go: a store on disk, or one in memory in simulated time. */
    public interface RecordLog {
        /** Written behind those before it; may be lost until {@link #sync}. */
        void append(byte[] record) throws IOException;

        /** Returns once all that was appended outlasts a crash. */
        void sync() throws IOException;

        /** This state takes the place of all records before it, at once, and outlasts a crash. */
        void compactTo(byte[] state) throws IOException;
    }

    private final RecordLog recordLog;
    private final StoredRaftState state = new StoredRaftState();
    /** Where the log ends, for other threads. */
    private volatile RecoveryFloor logEnd;

    /**
     * Replays what was stored before.
     *
     * @param compacted as {@link RecordLog#compactTo} was last given it; null for none
     * @param recordsSince what has been appended since
     * @throws IOException where a record is not as it was written
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
            throw new IOException(
                    "a record of the agreement is not as it was written: " + e.getMessage(), e);
        }
        logEnd = state.logEnd();
    }

    /** Null where nothing has been stored yet. */
    RestoredRaftState restoredState() {
        return state.restoredState();
    }

    /** Its term and the end of its log; from any thread. */
    public RecoveryFloor logEnd() {
        return logEnd;
    }

    /** As which voter this disk has taken part; null where it never has. */
    public Voter localVoter() {
        return state.localVoter();
    }

    /**
     * The highest term, and the end of the log: what others may know of this disk from before this process.
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

    /** A snapshot stands for what was there before: the one moment at which the log is compacted. */
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
