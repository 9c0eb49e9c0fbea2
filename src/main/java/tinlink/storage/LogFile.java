package tinlink.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;

/** The log file that frames are appended to. Its length is bounded. */
final class LogFile implements Closeable {
    private final LogDirectory directory;
    private final FileChannel channel;
    private final long maxBytes;
    private long bytes;

    private LogFile(LogDirectory directory, FileChannel channel, long bytes, long maxBytes) {
        this.directory = directory;
        this.channel = channel;
        this.bytes = bytes;
        this.maxBytes = maxBytes;
    }

    /** Creates the file that begins with that record. It is on the disk when this returns. */
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
     * Opens the newest file that was found.
     *
     * @param bytes of all log files that were found
     */
    static LogFile openExisting(LogDirectory directory, Path file, long bytes, long maxBytes)
            throws IOException {
        FileChannel channel =
                FileChannel.open(file, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
        return new LogFile(directory, channel, bytes, maxBytes);
    }

    /** Bytes in the log. */
    long bytes() {
        return bytes;
    }

    /** @throws LogFullException where the frames don't fit; then nothing is written */
    void append(List<byte[]> frames) throws IOException {
        long addedBytes = frames.stream().mapToLong(frame -> frame.length).sum();
        if (bytes + addedBytes > maxBytes) {
            throw new LogFullException(directory.path(), bytes, addedBytes, maxBytes);
        }
        writeFully(channel, frames);
        bytes += addedBytes;
    }

    /** All that was appended is on the disk when this returns. */
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
