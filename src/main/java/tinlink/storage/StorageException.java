package tinlink.storage;

import java.io.IOException;

/**
 * A durable log can't be opened or written to for a reason of its own, beside what the file system
 * reports.
 */
public abstract sealed class StorageException extends IOException
        permits CorruptLogException, LogFailedException, LogFullException, LogLockedException {
    private static final long serialVersionUID = 1;

    private final String path;

    StorageException(String path, String message, Throwable cause) {
        super(message, cause);
        this.path = path;
    }

    /** The file or directory that the exception is about. */
    public String path() {
        return path;
    }
}
