package tinlink.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A log of numbered records on top of a snapshot, in a directory of its own, that survives kills
 * and crashes: what has been synced is there again after any stop.
 *
 * <p>All calls block. One thread at a time may use it; a lock keeps other processes out. Once a
 * write or sync has failed, all later calls fail with {@link LogFailedException}: after a failed
 * sync nobody can tell what the disk holds, and to sync again would report that nothing was lost.
 *
 * <p>Files: {@code log-N} begins with record N, {@code snap-N} stands for all before record N. A
 * snapshot is written to a temporary file, synced, renamed, and the directory synced, before what
 * it replaces is deleted.
 */
public final class DurableLog implements Closeable {
    private final LogDirectory directory;
    private final long maxBytes;
    private final long tornBytes;
    private final List<byte[]> pendingFrames = new ArrayList<>();
    private byte[] recoveredSnapshot;
    private List<byte[]> recoveredRecords;
    private LogFile logFile;
    private long nextRecordNumber;
    /** The first write or sync that failed; null while none has. */
    private IOException failure;

    /**
     * Opens the directory, creates it where it is missing, and reads what it holds.
     *
     * @param maxBytes bound on the log without its snapshot; past it a write fails as on a full
     *     disk
     * @throws CorruptLogException where what is there can't be trusted; it is left as it is then
     * @throws LogLockedException where it is open elsewhere
     * @throws IOException where it can't be read or written
     */
    public DurableLog(Path path, long maxBytes) throws IOException {
        this.maxBytes = maxBytes;
        directory = LogDirectory.open(path);
        try {
            LogRecovery recovered = LogRecovery.recover(directory);
            recoveredSnapshot = recovered.snapshot();
            recoveredRecords = recovered.records();
            tornBytes = recovered.tornBytes();
            nextRecordNumber = recovered.nextRecordNumber();
            logFile = recovered.newestLog() == null
                    ? LogFile.create(directory, nextRecordNumber, maxBytes)
                    : LogFile.openExisting(
                            directory, recovered.newestLog(), recovered.logBytes(), maxBytes);
            for (Path obsolete : recovered.obsoleteFiles()) {
                Files.deleteIfExists(obsolete);
            }
        } catch (IOException | RuntimeException e) {
            if (logFile != null) {
                logFile.close();
            }
            directory.close();
            throw e;
        }
    }

    /**
     * The newest snapshot as it was found at the opening; null where there was none, or after its
     * release.
     */
    public byte[] recoveredSnapshot() {
        return recoveredSnapshot;
    }

    /** Records after {@link #recoveredSnapshot} as they were found at the opening, in order. */
    public List<byte[]> recoveredRecords() {
        return recoveredRecords;
    }

    /** Frees the memory of what was found at the opening, once it has been read. */
    public void releaseRecovered() {
        recoveredSnapshot = null;
        recoveredRecords = List.of();
    }

    /** Bytes of a torn record that were cut off at the opening. */
    public long tornBytes() {
        return tornBytes;
    }

    /** The number that the next record gets; the first record has 0. */
    public long nextRecordNumber() {
        return nextRecordNumber;
    }

    /** Bytes of the log since the last snapshot, as far as they have been written. */
    public long bytesSinceSnapshot() {
        return logFile.bytes();
    }

    /**
     * Adds a record. It is durable once {@link #sync} has returned.
     *
     * @return its number
     * @throws IllegalArgumentException where it is longer than 8 MiB
     */
    public long append(byte[] record) throws IOException {
        ensureUsable();
        pendingFrames.add(RecordFraming.encode(nextRecordNumber, record));
        return nextRecordNumber++;
    }

    /**
     * Writes all that was appended. It is on the disk when this returns.
     *
     * @throws LogFullException where it doesn't fit
     */
    public void sync() throws IOException {
        ensureUsable();
        if (pendingFrames.isEmpty()) {
            return;
        }
        try {
            logFile.append(pendingFrames);
            logFile.sync();
            pendingFrames.clear();
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    /**
     * Replaces all records so far by a state that stands for them. It is on the disk when this
     * returns.
     *
     * @throws IllegalArgumentException where the state is longer than 8 MiB
     */
    public void writeSnapshot(byte[] state) throws IOException {
        sync();
        try {
            SnapshotFile.write(directory, nextRecordNumber, state);
            logFile.close();
            logFile = LogFile.create(directory, nextRecordNumber, maxBytes);
            directory.deleteAllBut(nextRecordNumber);
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    private void ensureUsable() throws IOException {
        if (failure != null) {
            throw new LogFailedException(directory.path(), failure);
        }
    }

    private IOException recordFailure(IOException newFailure) {
        failure = newFailure;
        return newFailure;
    }

    @Override
    public void close() throws IOException {
        logFile.close();
        directory.close();
    }
}
