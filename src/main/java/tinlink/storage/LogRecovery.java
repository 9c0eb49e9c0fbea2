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
 * Reads a directory as the last process has left it. A record that was torn by a crash is cut off,
 * and with it nothing that had been synced. Corruption anywhere else is reported: to go on would
 * lose data silently.
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
     * Reads the directory and repairs what a crash has left.
     *
     * @throws CorruptLogException where what is there can't be trusted
     */
    static LogRecovery recover(LogDirectory directory) throws IOException {
        LogRecovery recovery = new LogRecovery(directory);
        recovery.recover();
        return recovery;
    }

    /** The state before the records; null where there is none. */
    byte[] snapshot() {
        return snapshot;
    }

    List<byte[]> records() {
        return records;
    }

    long nextRecordNumber() {
        return nextRecordNumber;
    }

    /** Bytes of the log files that count. */
    long logBytes() {
        return logBytes;
    }

    /** Bytes that were cut off. */
    long tornBytes() {
        return tornBytes;
    }

    /** The file to append to; null where one has to be created. */
    Path newestLog() {
        return newestLog;
    }

    /** Files that the snapshot has replaced. */
    List<Path> obsoleteFiles() {
        return obsoleteFiles;
    }

    private void recover() throws IOException {
        LogDirectory.Listing files = directory.cleanAndList();
        if (!files.snapshots().isEmpty()) {
            nextRecordNumber = files.snapshots().lastKey();
            snapshot = SnapshotFile.read(files.snapshots().get(nextRecordNumber), nextRecordNumber);
        }
        // Older ones are there if the process ended between the snapshot's rename and their
        // deletion.
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

    /** @param isNewest only the newest file may have a torn end */
    private void readLog(Path file, long firstNumber, boolean isNewest) throws IOException {
        byte[] content = Files.readAllBytes(file);
        boolean hasHeader = FileType.LOG.hasHeader(content, firstNumber);
        if (!hasHeader && !(isNewest && isTorn(content, 0, firstNumber))) {
            throw new CorruptLogException(file, 0, "it is no log of version " + FileType.VERSION);
        }
        int end = hasHeader ? readRecords(content) : 0;
        if (end < content.length) {
            if (!isNewest || !isTorn(content, end, nextRecordNumber)) {
                throw new CorruptLogException(
                        file,
                        end,
                        "record " + nextRecordNumber + " is corrupt and others stand behind it");
            }
            tornBytes = (long) content.length - end;
        }
        if (end < content.length || !hasHeader) {
            repair(file, end, hasHeader ? null : FileType.LOG.header(firstNumber));
        }
        logBytes += end;
    }

    /**
     * Reads records until one is not complete and returns the offset behind the last complete one.
     */
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
     * Whether what follows the offset is the torn end of a write. Danger: a record that was synced
     * and is corrupt now looks like one torn by a crash, unless a complete one stands behind it.
     * What was torn was never synced, so nothing can stand behind it.
     */
    private static boolean isTorn(byte[] content, int offset, long number) {
        return RecordFraming.frameLengthAt(content, offset, number) < 0
                && !RecordFraming.hasRecordAfter(content, offset, number);
    }

    /** Cuts the file off at its end, and gives it a header where its own was torn. */
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
