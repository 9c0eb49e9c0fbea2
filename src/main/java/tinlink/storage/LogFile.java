package tinlink.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;

/** The log file to which frames are appended. The total size of the log is bounded. */
final class LogFile implements Closeable {
    private final LogDirectory directory;
    private final FileChannel channel;
    private final long maxBytes;
    /** Total size of all log files since the last snapshot. */
    private long bytes;

    private LogFile(LogDirectory directory, FileChannel channel, long bytes, long maxBytes) {
        this.directory = directory;
        this.channel = channel;
        this.bytes = bytes;
        this.maxBytes = maxBytes;
    }

    /** Creates the log file that begins with that record, and syncs it and its directory. */
    static LogFile create(LogDirectory directory, long firstNumber, long maxBytes)
            throws IOException {
        FileChannel channel = FileChannel.open(
                directory.file(FileType.LOG, firstNumber),
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        LogFile file = new LogFile(directory, channel, 0, maxBytes);
        try {
            file.append(List.of(FileType.LOG.header(firstNumber)));
            channel.force(true);
            directory.sync();
            return file;
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Opens an existing log file for appending.
     *
     * @param bytes total size of all existing log files since the last snapshot
     */
    static LogFile openExisting(LogDirectory directory, Path file, long bytes, long maxBytes)
            throws IOException {
        FileChannel channel =
                FileChannel.open(file, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
        return new LogFile(directory, channel, bytes, maxBytes);
    }

    /** Returns the total size of the log since the last snapshot, in bytes. */
    long bytes() {
        return bytes;
    }

    /**
     * Appends the frames without syncing them.
     *
     * @throws LogFullException if the frames don't fit; nothing is written then
     */
    void append(List<byte[]> frames) throws IOException {
        long addedBytes = frames.stream().mapToLong(frame -> frame.length).sum();
        if (bytes + addedBytes > maxBytes) {
            throw new LogFullException(directory.path(), bytes, addedBytes, maxBytes);
        }
        writeFully(channel, frames);
        bytes += addedBytes;
    }

    /** Syncs all appended frames to the disk. */
    void sync() throws IOException {
        channel.force(false);
    }

    static void writeFully(FileChannel channel, List<byte[]> frames) throws IOException {
        for (byte[] frame : frames) {
            ByteBuffer buffer = ByteBuffer.wrap(frame);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
