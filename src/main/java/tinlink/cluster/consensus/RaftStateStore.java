package tinlink.cluster.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;

import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a voter must not forget: who it is, its term and vote, the log and the last snapshot. Kept
 * as records that are played through again at the start; the log below the last snapshot goes as
 * that is complete.
 */
public final class RaftStateStore implements RaftStore {
    /** Where records go; a store on disk, or one in memory in simulated time. */
    public interface RecordLog {
        void append(byte[] record) throws IOException;

        void sync() throws IOException;

        /** Stands for all before it. */
        void compactTo(byte[] state) throws IOException;
    }

    private static final int ENDPOINT = 1;
    private static final int GROUP = 2;
    private static final int TERM = 3;
    private static final int ENTRIES = 4;
    private static final int CHUNK = 5;
    private static final int TRUNCATE_FROM = 6;
    private static final int TRUNCATE_UNTIL = 7;
    private static final int DELETE_CHUNKS = 8;
    private static final int MAX_ENTRIES_RECORD_CHARS = 1 << 20;
    private final RecordLog recordLog;
    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView group;
    private RaftTermPersistentState term;
    /** Where it ends, for other threads. */
    private volatile RecoveryFloor logEnd = RecoveryFloor.NONE;
    /** As long as the log since its last snapshot. */
    private final TreeMap<Long, LogEntry> log = new TreeMap<>();
    /** Of the newest snapshot, and of one that is coming in; others are deleted. */
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

    /** @param state as {@link RecordLog#compactTo} last had it; null for none */
    public RaftStateStore(RecordLog recordLog, byte[] state, List<byte[]> recordsSince)
            throws IOException {
        this.recordLog = recordLog;
        try {
            if (state != null) {
                ByteBuffer in = ByteBuffer.wrap(state);
                while (in.hasRemaining()) {
                    replay(ByteBuffer.wrap(MessageCodec.readBytes(in, in.getInt())));
                }
            }
            for (byte[] record : recordsSince) {
                replay(ByteBuffer.wrap(record));
            }
            updateLogEnd();
        } catch (MessageRejectedException | BufferUnderflowException e) {
            throw new IOException(
                    "a record of the agreement is not as it was written: " + e.getMessage(), e);
        }
    }

    /** Null where nothing was kept yet. */
    public RestoredRaftState restoredState() {
        if (endpoint == null || group == null || term == null) {
            return null;
        }
        SnapshotEntry snapshot = null;
        for (Map<Integer, SnapshotChunk> chunksByNumber : chunks.descendingMap().values()) {
            SnapshotChunk firstChunk = chunksByNumber.values().iterator().next();
            if (chunksByNumber.size() == firstChunk.getSnapshotChunkCount()) {
                snapshot = RaftCodec.MODEL_FACTORY
                        .createSnapshotEntryBuilder()
                        .setIndex(firstChunk.getIndex())
                        .setTerm(firstChunk.getTerm())
                        .setSnapshotChunks(new ArrayList<>(chunksByNumber.values()))
                        .setGroupMembersView(firstChunk.getGroupMembersView())
                        .build();
                break;
            }
        }
        long snapshotIndex = snapshot == null ? 0 : snapshot.getIndex();
        return new RestoredRaftState(
                endpoint,
                group,
                term,
                snapshot,
                new ArrayList<>(log.tailMap(snapshotIndex, false).values()));
    }

    /** Its term and the end of its log; from any thread. */
    public RecoveryFloor logEnd() {
        return logEnd;
    }

    private void updateLogEnd() {
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
        logEnd = new RecoveryFloor(term == null ? 0 : term.getTerm(), lastTerm, lastIndex);
    }

    /** As whom this disk has voted; null where it never has. */
    public Voter localVoter() {
        return endpoint == null ? null : (Voter) endpoint.getLocalEndpoint();
    }

    /**
     * The highest term, and the end of the log: what others may have heard of before this process.
     */
    public LogPosition lastPosition() {
        long lastIndex = log.isEmpty() ? chunks.isEmpty() ? 0 : chunks.lastKey() : log.lastKey();
        return new LogPosition(term == null ? 0 : term.getTerm(), lastIndex);
    }

    private void replay(ByteBuffer in) throws MessageRejectedException {
        switch (in.get()) {
            case ENDPOINT -> {
                Voter voter = RaftCodec.voter(in);
                endpoint = RaftCodec.MODEL_FACTORY
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(voter)
                        .setVoting(in.get() == 1)
                        .build();
            }
            case GROUP -> group = RaftCodec.view(in);
            case TERM -> {
                int number = in.getInt();
                RaftEndpoint votedFor = in.get() == 0 ? null : RaftCodec.voter(in);
                term = RaftCodec.MODEL_FACTORY
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(number)
                        .setVotedFor(votedFor)
                        .build();
            }
            case ENTRIES -> {
                for (int remaining = in.getInt(); remaining > 0; remaining--) {
                    LogEntry entry = RaftCodec.entry(in);
                    log.put(entry.getIndex(), entry);
                }
            }
            case CHUNK -> {
                SnapshotChunk chunk = RaftCodec.chunk(in);
                TreeMap<Integer, SnapshotChunk> received =
                        chunks.computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>());
                received.put(chunk.getSnapshotChunkIndex(), chunk);
                // Danger: a snapshot that another has taken stands for lines that this log does not
                // have, or
                // has
                // otherwise. What stands behind it in this log is then of a leader that did not get
                // through;
                // found again after a restart, it would be taken for what follows the snapshot.
                LogEntry existing = log.get(chunk.getIndex());
                boolean isSameTerm = existing != null && existing.getTerm() == chunk.getTerm();
                if (received.size() == chunk.getSnapshotChunkCount() && !isSameTerm) {
                    log.clear();
                }
            }
            case TRUNCATE_FROM -> log.tailMap(in.getLong(), true).clear();
            case TRUNCATE_UNTIL -> log.headMap(in.getLong(), true).clear();
            case DELETE_CHUNKS -> chunks.remove(in.getLong());
            default -> throw MessageCodec.malformed("a record of another kind");
        }
    }

    private void persist(MessageCodec.Builder out) throws IOException {
        byte[] record = out.build();
        try {
            replay(ByteBuffer.wrap(record));
        } catch (MessageRejectedException e) {
            throw new IOException(e.getMessage(), e);
        }
        updateLogEnd();
        recordLog.append(record);
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState localEndpoint)
            throws IOException {
        persist(endpoint(localEndpoint));
        recordLog.sync();
    }

    private static MessageCodec.Builder endpoint(RaftEndpointPersistentState localEndpoint) {
        return new MessageCodec.Builder()
                .putByte(ENDPOINT)
                .putText(localEndpoint.getLocalEndpoint().toString())
                .putByte(localEndpoint.isVoting() ? 1 : 0);
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
        persist(group(view));
        recordLog.sync();
    }

    private static MessageCodec.Builder group(RaftGroupMembersView view) {
        MessageCodec.Builder out = new MessageCodec.Builder().putByte(GROUP);
        RaftCodec.view(out, view);
        return out;
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState newTerm) throws IOException {
        persist(term(newTerm));
        recordLog.sync();
    }

    private static MessageCodec.Builder term(RaftTermPersistentState newTerm) {
        MessageCodec.Builder out = new MessageCodec.Builder()
                .putByte(TERM)
                .putInt(newTerm.getTerm())
                .putByte(newTerm.getVotedFor() == null ? 0 : 1);
        return newTerm.getVotedFor() == null
                ? out
                : out.putText(newTerm.getVotedFor().toString());
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        persist(entries(entries));
    }

    private static MessageCodec.Builder entries(List<LogEntry> entries) {
        MessageCodec.Builder out =
                new MessageCodec.Builder().putByte(ENTRIES).putInt(entries.size());
        entries.forEach(entry -> RaftCodec.entry(out, entry));
        return out;
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        persist(chunk(chunk));
    }

    private static MessageCodec.Builder chunk(SnapshotChunk chunk) {
        MessageCodec.Builder out = new MessageCodec.Builder().putByte(CHUNK);
        RaftCodec.chunk(out, chunk);
        return out;
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        persist(new MessageCodec.Builder().putByte(TRUNCATE_FROM).putLong(index));
    }

    /**
     * A snapshot stands for what was there before: the one moment at which the whole is written
     * anew.
     */
    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        persist(new MessageCodec.Builder().putByte(TRUNCATE_UNTIL).putLong(index));
        MessageCodec.Builder state = new MessageCodec.Builder();
        appendPart(state, endpoint(endpoint));
        appendPart(state, group(group));
        if (term != null) {
            appendPart(state, term(term));
        }
        chunks.values()
                .forEach(batch -> batch.values().forEach(chunk -> appendPart(state, chunk(chunk))));
        List<LogEntry> batch = new ArrayList<>();
        long chars = 0;
        for (Iterator<LogEntry> iterator = log.values().iterator(); iterator.hasNext(); ) {
            LogEntry entry = iterator.next();
            batch.add(entry);
            chars += entry.getOperation() instanceof String s ? s.length() : 0;
            if (chars > MAX_ENTRIES_RECORD_CHARS || !iterator.hasNext()) {
                appendPart(state, entries(batch));
                batch.clear();
                chars = 0;
            }
        }
        recordLog.compactTo(state.build());
    }

    private static void appendPart(MessageCodec.Builder state, MessageCodec.Builder part) {
        byte[] encoded = part.build();
        state.putInt(encoded.length).putBytes(encoded);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        persist(new MessageCodec.Builder().putByte(DELETE_CHUNKS).putLong(index));
    }

    @Override
    public void flush() throws IOException {
        recordLog.sync();
    }
}
