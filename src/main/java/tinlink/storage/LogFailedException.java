package tinlink.storage;

import java.io.IOException;
import java.nio.file.Path;

/** The log accepts no more writes, because an earlier write or sync has failed; see the cause. */
public final class LogFailedException extends StorageException {
    private static final long serialVersionUID = 1;

    LogFailedException(Path directory, IOException failure) {
        super(
                directory.toString(),
                directory + ": the log accepts no writes after an earlier failure: "
                        + failure.getMessage(),
                failure);
    }
}
