package tinlink.storage;

import java.nio.file.Path;

/** A write would take a log past its bound. Nothing of it was written. */
public final class LogFullException extends StorageException {
    private static final long serialVersionUID = 1;

    private final long bytes;
    private final long addedBytes;
    private final long maxBytes;

    LogFullException(Path directory, long bytes, long addedBytes, long maxBytes) {
        super(
                directory.toString(),
                directory + ": the log is full with " + bytes + " of " + maxBytes + " bytes, and "
                        + addedBytes + " more don't fit",
                null);
        this.bytes = bytes;
        this.addedBytes = addedBytes;
        this.maxBytes = maxBytes;
    }

    /** Bytes that the log holds. */
    public long bytes() {
        return bytes;
    }

    /** Bytes that were to be added. */
    public long addedBytes() {
        return addedBytes;
    }

    /** Bytes that the log may hold. */
    public long maxBytes() {
        return maxBytes;
    }
}
