package tinlink.storage;

import java.nio.file.Path;

/** A write would exceed the maximum size of the log. Nothing was written. */
public final class LogFullException extends StorageException {
    private static final long serialVersionUID = 1;

    private final long bytes;
    private final long addedBytes;
    private final long maxBytes;

    LogFullException(Path directory, long bytes, long addedBytes, long maxBytes) {
        super(
                directory.toString(),
                directory + ": the log has no room for " + addedBytes + " more bytes; it holds "
                        + bytes + " of at most " + maxBytes + " bytes",
                null);
        this.bytes = bytes;
        this.addedBytes = addedBytes;
        this.maxBytes = maxBytes;
    }

    /** Returns the size of the log in bytes. */
    public long bytes() {
        return bytes;
    }

    /** Returns the size of the rejected write in bytes. */
    public long addedBytes() {
        return addedBytes;
    }

    /** Returns the maximum size of the log in bytes. */
    public long maxBytes() {
        return maxBytes;
    }
}
