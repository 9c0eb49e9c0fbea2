package tinlink.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.SortedMap;
import java.util.TreeMap;

/** The directory of a durable log. It is locked against other processes while it is open. */
final class LogDirectory implements Closeable {
    private static final String LOCK_FILE = "lock";
    /** Suffix of files that are being written; they are renamed once complete and synced. */
    private static final String TEMPORARY_SUFFIX = ".new";

    private final Path path;
    private final FileChannel lockChannel;
    private final FileLock lock;

    /** The files of a log, by the record number in their names. */
    record Listing(SortedMap<Long, Path> logs, SortedMap<Long, Path> snapshots) {}

    private LogDirectory(Path path, FileChannel lockChannel, FileLock lock) {
        this.path = path;
        this.lockChannel = lockChannel;
        this.lock = lock;
    }

    /**
     * Opens and locks the directory. Creates the directory if it is missing.
     *
     * @throws LogLockedException if it is already open
     */
    static LogDirectory open(Path path) throws IOException {
        Files.createDirectories(path);
        FileChannel lockChannel = FileChannel.open(
                path.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            return new LogDirectory(path, lockChannel, acquireLock(path, lockChannel));
        } catch (IOException | RuntimeException e) {
            lockChannel.close();
            throw e;
        }
    }

    private static FileLock acquireLock(Path path, FileChannel lockChannel) throws IOException {
        FileLock acquired;
        try {
            acquired = lockChannel.tryLock();
        } catch (OverlappingFileLockException e) {
            acquired = null; // Another log object of this process holds the lock.
        }
        if (acquired == null) {
            throw new LogLockedException(path);
        }
        return acquired;
    }

    Path path() {
        return path;
    }

    Path file(FileType type, long number) {
        return path.resolve(type.fileName(number));
    }

    /** Returns the path at which a file is written before it is renamed to {@link #file}. */
    Path temporaryFile(FileType type, long number) {
        return path.resolve(type.fileName(number) + TEMPORARY_SUFFIX);
    }

    /**
     * Lists the log and snapshot files. Deletes temporary files left behind by a crash, which were
     * never part of the log.
     */
    Listing cleanAndList() throws IOException {
        Listing listing = new Listing(new TreeMap<>(), new TreeMap<>());
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(path)) {
            for (Path entry : entries) {
                String name = entry.getFileName().toString();
                if (name.endsWith(TEMPORARY_SUFFIX)) {
                    Files.delete(entry);
                } else if (FileType.LOG.isNameOf(name)) {
                    listing.logs().put(FileType.LOG.numberIn(name), entry);
                } else if (FileType.SNAPSHOT.isNameOf(name)) {
                    listing.snapshots().put(FileType.SNAPSHOT.numberIn(name), entry);
                }
            }
        }
        return listing;
    }

    /** Deletes all log and snapshot files except those with that number. */
    void deleteAllBut(long number) throws IOException {
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(path, "{log,snap}-*")) {
            for (Path entry : entries) {
                if (!entry.getFileName().toString().endsWith("-" + number)) {
                    Files.delete(entry);
                }
            }
        }
    }

    /** Syncs the creation, renaming and deletion of files in the directory to the disk. */
    void sync() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lock.release();
        lockChannel.close();
    }
}
