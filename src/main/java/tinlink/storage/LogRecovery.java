package tinlink.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

/**
 * Recovers a log from its directory. A torn write at the end of the newest log file is truncated;
 * no synced record is lost by that. Any other corruption is reported, since ignoring it would lose
 * data silently.
 */
final class LogRecovery {
    private final LogDirectory directory;
    private final List<byte[]> records = new ArrayList<>();
    private final List<Path> obsoleteFiles = new ArrayList<>();
    private byte[] snapshot;
    private Path newestLog;
    private long nextRecordNumber;
    private long logBytes;
    private long tornBytes;

    private LogRecovery(LogDirectory directory) {
        this.directory = directory;
    }

    /**
     * Reads the directory and repairs the effects of a crash.
     *
     * @throws CorruptLogException if the stored data is corrupt
     */
    static LogRecovery recover(LogDirectory directory) throws IOException {
        LogRecovery recovery = new LogRecovery(directory);
        recovery.recover();
        return recovery;
    }

    /** Returns the state before the first of the records; null if there is no snapshot. */
    byte[] snapshot() {
        return snapshot;
    }

    List<byte[]> records() {
        return records;
    }

    long nextRecordNumber() {
        return nextRecordNumber;
    }

    /** Returns the total size of the log files since the snapshot, in bytes. */
    long logBytes() {
        return logBytes;
    }

    /** Returns how many bytes of a torn write were truncated. */
    long tornBytes() {
        return tornBytes;
    }

    /** Returns the log file to append to; null if one has to be created. */
    Path newestLog() {
        return newestLog;
    }

    /** Returns the files that the snapshot has replaced, to be deleted. */
    List<Path> obsoleteFiles() {
        return obsoleteFiles;
    }

    private void recover() throws IOException {
        LogDirectory.Listing files = directory.cleanAndList();
        if (!files.snapshots().isEmpty()) {
            nextRecordNumber = files.snapshots().lastKey();
            snapshot = SnapshotFile.read(files.snapshots().get(nextRecordNumber), nextRecordNumber);
        }
        // Older files are left over if the process ended after renaming the snapshot and before
        // deleting them.
        obsoleteFiles.addAll(files.snapshots().headMap(nextRecordNumber).values());
        obsoleteFiles.addAll(files.logs().headMap(nextRecordNumber).values());
        SortedMap<Long, Path> liveLogs = files.logs().tailMap(nextRecordNumber);
        readLogs(liveLogs);
        if (!liveLogs.isEmpty()) {
            newestLog = liveLogs.get(liveLogs.lastKey());
        } else if (snapshot == null && !files.logs().isEmpty()) {
            throw new CorruptLogException(directory.path(), 0, "the first records are missing");
        }
    }

    private void readLogs(SortedMap<Long, Path> liveLogs) throws IOException {
        for (long firstNumber : liveLogs.keySet()) {
            Path file = liveLogs.get(firstNumber);
            if (firstNumber != nextRecordNumber) {
                throw new CorruptLogException(
                        file,
                        0,
                        "records " + nextRecordNumber + " to " + (firstNumber - 1)
                                + " are missing");
            }
            readLog(file, firstNumber, firstNumber == liveLogs.lastKey());
        }
    }

    /** @param newest whether this is the newest log file; only that one may have a torn end */
    private void readLog(Path file, long firstNumber, boolean newest) throws IOException {
        byte[] content = Files.readAllBytes(file);
        boolean headerIntact = FileType.LOG.hasHeader(content, firstNumber);
        if (!headerIntact && !(newest && isTorn(content, 0, firstNumber))) {
            throw new CorruptLogException(
                    file,
                    0,
                    "no valid header of a log file of version " + FileType.VERSION
                            + " that begins with record " + firstNumber);
        }
        int end = headerIntact ? readRecords(content) : 0;
        if (end < content.length) {
            if (!newest || !isTorn(content, end, nextRecordNumber)) {
                throw new CorruptLogException(
                        file,
                        end,
                        "record " + nextRecordNumber
                                + " is corrupt and is not a torn write at the end of the log");
            }
            tornBytes = (long) content.length - end;
        }
        if (end < content.length || !headerIntact) {
            repair(file, end, headerIntact ? null : FileType.LOG.header(firstNumber));
        }
        logBytes += end;
    }

    /** Reads all complete records in a row and returns the offset after the last of them. */
    private int readRecords(byte[] content) {
        int offset = FileType.LOG.headerLength();
        int length = RecordFraming.frameLengthAt(content, offset, nextRecordNumber);
        while (length >= 0) {
            records.add(RecordFraming.recordAt(content, offset, length));
            offset += length;
            nextRecordNumber++;
            length = RecordFraming.frameLengthAt(content, offset, nextRecordNumber);
        }
        return offset;
    }

    /**
     * Returns whether the bytes after the offset are the torn end of a write. Without the check for
     * a later record, a synced record that has become corrupt would be taken for a torn write. A
     * torn write was never synced, so no complete record can follow it.
     */
    private static boolean isTorn(byte[] content, int offset, long number) {
        return RecordFraming.frameLengthAt(content, offset, number) < 0
                && !RecordFraming.hasRecordAfter(content, offset, number);
    }

    /** Truncates the file, and writes the header if it is missing. */
    private static void repair(Path file, int end, byte[] missingHeader) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(end);
            if (missingHeader != null) {
                channel.write(ByteBuffer.wrap(missingHeader), 0);
            }
            channel.force(true);
        }
    }
}
