package tinlink.storage;

import java.nio.file.Path;

/** Another process, or another log object of this one, has the directory open. */
public final class LogLockedException extends StorageException {
    private static final long serialVersionUID = 1;

    LogLockedException(Path directory) {
        super(directory.toString(), directory + ": another process has it", null);
    }
}
