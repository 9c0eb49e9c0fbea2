package tinlink.storage;

import java.io.IOException;

/**
 * A durable log can't be opened or written to, for a reason other than an error of the file system.
 */
public abstract sealed class StorageException extends IOException
        permits CorruptLogException, LogFailedException, LogFullException, LogLockedException {
    private static final long serialVersionUID = 1;

    private final String path;

    StorageException(String path, String message, Throwable cause) {
        super(message, cause);
        this.path = path;
    }

    /** Returns the file or directory concerned. */
    public String path() {
        return path;
    }
}
