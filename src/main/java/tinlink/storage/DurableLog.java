package tinlink.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A write-ahead log of numbered records with snapshots, stored in a directory of its own. Synced
 * records survive a kill of the process and a crash of the machine.
 *
 * <p>All calls block. The log is not thread-safe; a file lock excludes other processes. Once a
 * write or sync has failed, all later writes fail with {@link LogFailedException}: after a failed
 * sync the content of the disk is unknown, and a repeated sync could report success although data
 * was lost.
 *
 * <p>Files: {@code log-N} starts with record N; {@code snap-N} holds the state after all records
 * before N. A snapshot is written to a temporary file, synced and renamed, and the directory is
 * synced, before the files that the snapshot replaces are deleted.
 */
public final class DurableLog implements Closeable {
    private final LogDirectory directory;
    private final long maxBytes;
    private final long tornBytes;
    /** Encoded records that were appended but not synced. */
    private final List<byte[]> pendingFrames = new ArrayList<>();

    private byte[] recoveredSnapshot;
    private List<byte[]> recoveredRecords;
    private LogFile logFile;
    private long nextRecordNumber;
    /** The failure of the first write or sync that failed; null if none has. */
    private IOException failure;

    /**
     * Opens the log and recovers its content. Creates the directory if it is missing.
     *
     * @param path the directory
     * @param maxBytes maximum size of the log without its snapshot; a write beyond it fails as on a
     *     full disk
     * @throws CorruptLogException if the stored data is corrupt; it is left unchanged then
     * @throws LogLockedException if the log is already open
     * @throws IOException if the directory can't be read or written
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
     * Returns the newest snapshot at the time of opening; null if there was none, or after
     * {@link #releaseRecovered}.
     */
    public byte[] recoveredSnapshot() {
        return recoveredSnapshot;
    }

    /** Returns the records after {@link #recoveredSnapshot} at the time of opening, in order. */
    public List<byte[]> recoveredRecords() {
        return recoveredRecords;
    }

    /** Releases the memory of the recovered snapshot and records. */
    public void releaseRecovered() {
        recoveredSnapshot = null;
        recoveredRecords = List.of();
    }

    /** Returns how many bytes of a torn write were truncated when the log was opened. */
    public long tornBytes() {
        return tornBytes;
    }

    /** Returns the number of the next record; the first record has number 0. */
    public long nextRecordNumber() {
        return nextRecordNumber;
    }

    /** Returns the size of the log since the last snapshot in bytes, without pending records. */
    public long bytesSinceSnapshot() {
        return logFile.bytes();
    }

    /**
     * Appends a record. The record is durable once {@link #sync} has returned.
     *
     * @return the number of the record
     * @throws IllegalArgumentException if the record is longer than 8 MiB
     */
    public long append(byte[] record) throws IOException {
        ensureUsable();
        pendingFrames.add(RecordFraming.encode(nextRecordNumber, record));
        return nextRecordNumber++;
    }

    /**
     * Writes all appended records to the disk before returning.
     *
     * @throws LogFullException if the records don't fit
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
     * Replaces all records so far by a snapshot of the state that results from them. The snapshot
     * is on the disk when this method returns.
     *
     * @throws IllegalArgumentException if the state is longer than 8 MiB
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
