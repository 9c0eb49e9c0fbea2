package tinlink.storage;

import java.nio.file.Path;

/**
 * The stored data is corrupt in a way that a crash does not explain. A crash only tears the end of
 * the newest log file.
 */
public final class CorruptLogException extends StorageException {
    private static final long serialVersionUID = 1;

    private final long offset;

    /** @param offset bytes from the start of the file; 0 if the problem concerns the whole file */
    CorruptLogException(Path file, long offset, String problem) {
        super(file.toString(), file + " at byte " + offset + ": " + problem, null);
        this.offset = offset;
    }

    /** Returns the position of the problem, in bytes from the start of the file. */
    public long offset() {
        return offset;
    }
}
