package tinlink.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A folder that survives kills and crashes: a log of numbered records on top of a snapshot. What
 * has been synced is there again after any stop; a record that was torn by the stop is cut off, and
 * with it nothing that had been synced. Damage anywhere else is refused, with file and offset: to
 * go on would be to forget silently.
 *
 * <p>Calls block. One thread at a time; a lock keeps a second process out. Once a write or sync has
 * failed all later calls fail too: after a failed sync nobody can tell what the disk holds, and to
 * sync again would say that nothing was lost.
 *
 * <p>Files: {@code log-N} begins with record N, {@code snap-N} stands for all before record N. A
 * snapshot is written beside, synced, renamed, and its folder synced, before anything that it
 * replaces goes.
 */
public final class DurableLog implements Closeable {
    private static final byte VERSION = 1;
    /**
     * Also the first record of each file: what it is, so that a file put under another name is
     * found out.
     */
    private static final byte[] LOG_MAGIC = {'t', 'l', 'l', VERSION};

    private static final byte[] SNAPSHOT_MAGIC = {'t', 'l', 's', VERSION};
    private final Path directory;
    private final long maxBytes;
    private final FileChannel lockChannel;
    private final FileLock lock;
    private FileChannel logChannel;
    private long bytesSinceSnapshot;
    private long nextRecordNumber;
    private byte[] snapshot;
    private List<byte[]> records = new ArrayList<>();
    private final List<byte[]> pendingFrames = new ArrayList<>();
    private long tornBytes;
    private IOException failure;

    /**
     * Opens the folder, made where it is not there, and reads what it holds.
     *
     * @param maxBytes the log together may be so long; past it a write fails as on a full disk
     * @throws CorruptLogException where what is there can't be trusted
     * @throws IOException where it can't be read or written, or another process has it
     */
    public DurableLog(Path directory, long maxBytes) throws IOException {
        this.directory = directory;
        this.maxBytes = maxBytes;
        Files.createDirectories(directory);
        lockChannel = FileChannel.open(
                directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = acquireLock();
            recover();
        } catch (IOException | RuntimeException e) {
            lockChannel.close();
            throw e;
        }
    }

    private FileLock acquireLock() throws IOException {
        try {
            FileLock acquired = lockChannel.tryLock();
            if (acquired != null) {
                return acquired;
            }
        } catch (OverlappingFileLockException e) {
            // Another user of it in this process; the same answer.
        }
        throw new IOException(directory + ": another process has it");
    }

    // ---- What was there. ----

    /**
     * As it was last given, null where there was none; and what came after it, in order. Read once,
     * then freed.
     */
    public byte[] snapshot() {
        return snapshot;
    }

    public List<byte[]> records() {
        return records;
    }

    public void releaseRecovered() {
        snapshot = null;
        records = List.of();
    }

    /** Bytes of a torn end that were cut off at the opening. */
    public long tornBytes() {
        return tornBytes;
    }

    public long nextRecordNumber() {
        return nextRecordNumber;
    }

    private void recover() throws IOException {
        SortedMap<Long, Path> logs = new TreeMap<>();
        SortedMap<Long, Path> snapshots = new TreeMap<>();
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(directory)) {
            for (Path path : entries) {
                String name = path.getFileName().toString();
                if (name.endsWith(".new")) {
                    Files.delete(
                            path); // It was being written when the process ended; nothing rests on
                    // it.
                } else if (name.matches("log-\\d{1,18}")) {
                    logs.put(Long.parseLong(name.substring(4)), path);
                } else if (name.matches("snap-\\d{1,18}")) {
                    snapshots.put(Long.parseLong(name.substring(5)), path);
                }
            }
        }
        long snapshotNumber = snapshots.isEmpty() ? 0 : snapshots.lastKey();
        if (!snapshots.isEmpty()) {
            snapshot = readSnapshot(snapshots.get(snapshotNumber), snapshotNumber);
        }
        nextRecordNumber = snapshotNumber;
        List<Path> obsolete = new ArrayList<>(snapshots.headMap(snapshotNumber).values());
        for (long firstNumber : logs.keySet()) {
            if (firstNumber < snapshotNumber) {
                obsolete.add(logs.get(
                        firstNumber)); // Stopped between the snapshot's rename and this file's end.
            }
        }
        SortedMap<Long, Path> liveLogs = logs.tailMap(snapshotNumber);
        for (long firstNumber : liveLogs.keySet()) {
            if (firstNumber != nextRecordNumber) {
                throw new CorruptLogException(
                        liveLogs.get(firstNumber).toString(),
                        0,
                        "records " + nextRecordNumber + " to " + (firstNumber - 1)
                                + " are missing");
            }
            readLog(liveLogs.get(firstNumber), firstNumber, firstNumber == liveLogs.lastKey());
        }
        if (liveLogs.isEmpty()) {
            if (snapshot == null && !logs.isEmpty()) {
                throw new CorruptLogException(
                        directory.toString(), 0, "the first records are missing");
            }
            startLogFile();
        } else {
            logChannel = FileChannel.open(
                    liveLogs.get(liveLogs.lastKey()),
                    StandardOpenOption.WRITE,
                    StandardOpenOption.APPEND);
        }
        for (Path path : obsolete) {
            Files.deleteIfExists(path);
        }
    }

    private static byte[] readSnapshot(Path file, long number) throws IOException {
        byte[] content = Files.readAllBytes(file);
        int magicLength = RecordFraming.lengthAt(content, 0, number);
        int stateLength =
                magicLength < 0 ? -1 : RecordFraming.lengthAt(content, magicLength, number);
        if (magicLength != RecordFraming.HEADER_BYTES + SNAPSHOT_MAGIC.length
                || stateLength < 0
                || magicLength + stateLength != content.length
                || !hasMagic(content, SNAPSHOT_MAGIC)) {
            throw new CorruptLogException(
                    file.toString(),
                    Math.max(0, magicLength),
                    "it is no whole snapshot of version " + VERSION);
        }
        return java.util.Arrays.copyOfRange(
                content, magicLength + RecordFraming.HEADER_BYTES, content.length);
    }

    private static boolean hasMagic(byte[] content, byte[] magic) {
        return java.util.Arrays.equals(
                content,
                RecordFraming.HEADER_BYTES,
                RecordFraming.HEADER_BYTES + magic.length,
                magic,
                0,
                magic.length);
    }

    private void readLog(Path file, long firstNumber, boolean isNewest) throws IOException {
        byte[] content = Files.readAllBytes(file);
        int offset = RecordFraming.lengthAt(content, 0, firstNumber);
        boolean hasHeader = offset == RecordFraming.HEADER_BYTES + LOG_MAGIC.length
                && hasMagic(content, LOG_MAGIC);
        if (!hasHeader
                && (!isNewest
                        || offset >= 0
                        || RecordFraming.hasRecordAfter(content, 0, firstNumber))) {
            throw new CorruptLogException(file.toString(), 0, "it is no log of version " + VERSION);
        }
        offset = hasHeader ? offset : 0;
        while (hasHeader && offset < content.length) {
            int length = RecordFraming.lengthAt(content, offset, nextRecordNumber);
            if (length < 0) {
                break;
            }
            records.add(java.util.Arrays.copyOfRange(
                    content, offset + RecordFraming.HEADER_BYTES, offset + length));
            offset += length;
            nextRecordNumber++;
        }
        if (offset < content.length) {
            // Danger: a record that was synced and is spoilt now looks like one torn by the stop,
            // unless some
            // whole one stands behind it. What was torn was never synced, so nothing can stand
            // behind.
            if (!isNewest || RecordFraming.hasRecordAfter(content, offset, nextRecordNumber)) {
                throw new CorruptLogException(
                        file.toString(),
                        offset,
                        "record " + nextRecordNumber + " is spoilt and others stand behind it");
            }
            tornBytes = (long) content.length - offset;
        }
        if (offset < content.length || !hasHeader) {
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
                channel.truncate(offset);
                if (!hasHeader) {
                    channel.write(ByteBuffer.wrap(RecordFraming.encode(firstNumber, LOG_MAGIC)), 0);
                }
                channel.force(true);
            }
        }
        bytesSinceSnapshot += offset;
    }

    /** A new file of the log, which begins with the next record. */
    private void startLogFile() throws IOException {
        Path file = directory.resolve("log-" + nextRecordNumber);
        logChannel = FileChannel.open(
                file,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        bytesSinceSnapshot = 0;
        write(List.of(RecordFraming.encode(nextRecordNumber, LOG_MAGIC)));
        logChannel.force(true);
        syncDirectory();
    }

    // ---- What is kept from here on. ----

    /** Its number. It is kept once {@link #sync} has returned. */
    public long append(byte[] record) throws IOException {
        ensureUsable();
        pendingFrames.add(RecordFraming.encode(nextRecordNumber, record));
        return nextRecordNumber++;
    }

    /** All that was appended is on the disk when this returns. */
    public void sync() throws IOException {
        ensureUsable();
        if (pendingFrames.isEmpty()) {
            return;
        }
        try {
            write(pendingFrames);
            logChannel.force(false);
            pendingFrames.clear();
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    /** Stands for all records so far, which are forgotten. It is kept when this returns. */
    public void snapshot(byte[] state) throws IOException {
        sync();
        Path temporaryFile = directory.resolve("snap-" + nextRecordNumber + ".new");
        Path snapshotFile = directory.resolve("snap-" + nextRecordNumber);
        try {
            try (FileChannel channel = FileChannel.open(
                    temporaryFile,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE)) {
                writeFully(
                        channel,
                        List.of(
                                RecordFraming.encode(nextRecordNumber, SNAPSHOT_MAGIC),
                                RecordFraming.encode(nextRecordNumber, state)));
                channel.force(true);
            }
            Files.move(temporaryFile, snapshotFile, StandardCopyOption.ATOMIC_MOVE);
            syncDirectory();
            logChannel.close();
            startLogFile();
            try (DirectoryStream<Path> entries =
                    Files.newDirectoryStream(directory, "{log,snap}-*")) {
                for (Path path : entries) {
                    if (!path.getFileName().toString().endsWith("-" + nextRecordNumber)) {
                        Files.delete(path);
                    }
                }
            }
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    /** Bytes of the log since the last snapshot. */
    public long bytesSinceSnapshot() {
        return bytesSinceSnapshot;
    }

    private void write(List<byte[]> frames) throws IOException {
        long addedBytes = frames.stream().mapToLong(frame -> frame.length).sum();
        if (bytesSinceSnapshot + addedBytes > maxBytes) {
            throw new IOException(directory + ": the log is full with " + bytesSinceSnapshot
                    + " of " + maxBytes + " bytes");
        }
        writeFully(logChannel, frames);
        bytesSinceSnapshot += addedBytes;
    }

    private static void writeFully(FileChannel channel, List<byte[]> frames) throws IOException {
        for (byte[] frame : frames) {
            ByteBuffer buffer = ByteBuffer.wrap(frame);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
        }
    }

    private void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private void ensureUsable() throws IOException {
        if (failure != null) {
            throw new IOException(
                    directory + ": nothing is kept after an earlier failure: "
                            + failure.getMessage(),
                    failure);
        }
    }

    private IOException recordFailure(IOException e) {
        failure = e;
        return e;
    }

    @Override
    public void close() throws IOException {
        logChannel.close();
        lock.release();
        lockChannel.close();
    }
}
