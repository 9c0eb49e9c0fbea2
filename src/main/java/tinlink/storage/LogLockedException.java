package tinlink.storage;

import java.nio.file.Path;

/** The directory is open in another process or in another log object of this process. */
public final class LogLockedException extends StorageException {
    private static final long serialVersionUID = 1;

    LogLockedException(Path directory) {
        super(
                directory.toString(),
                directory + ": the log is locked by another process or by another log of this one",
                null);
    }
}
