package tinlink.config;

import java.util.logging.LogManager;

/**
 * Danger: java.util.logging takes its handlers away as soon as a SIGTERM comes, while the router
 * still finishes what is in flight; the lines of that time, which tell how the stop went, would
 * be lost.
 */
public final class ShutdownSafeLogManager extends LogManager {
    @Override
    public void reset() {
        // The handlers stay until the process is gone; they write through and hold nothing back.
    }
}
