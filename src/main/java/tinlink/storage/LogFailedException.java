package tinlink.storage;

import java.io.IOException;
import java.nio.file.Path;

/**
 * An earlier write or sync of this log has failed, so it accepts no more; the cause is that
 * failure.
 */
public final class LogFailedException extends StorageException {
    private static final long serialVersionUID = 1;

    LogFailedException(Path directory, IOException failure) {
        super(
                directory.toString(),
                directory + ": nothing is stored after an earlier failure: " + failure.getMessage(),
                failure);
    }
}
