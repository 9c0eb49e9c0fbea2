package tinlink.storage;

import java.nio.file.Path;

/**
 * Stored data is not as it was written, and not merely torn at the end of the newest log file by a
 * crash.
 */
public final class CorruptLogException extends StorageException {
    private static final long serialVersionUID = 1;

    private final long offset;

    /** @param offset bytes from the start of the file; 0 where the file as a whole is meant */
    CorruptLogException(Path file, long offset, String problem) {
        super(file.toString(), file + " at byte " + offset + ": " + problem, null);
        this.offset = offset;
    }

    /** Where in the file, in bytes from its start. */
    public long offset() {
        return offset;
    }
}
