package tinlink.config;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers during shutdown.
 *
 * <p>java.util.logging would remove its handlers as soon as SIGTERM arrives, while the router is
 * still completing what is in flight, and the log lines of the shutdown would be lost. Resetting
 * therefore does nothing.
 */
public final class ShutdownSafeLogManager extends LogManager {
    @Override
    public void reset() {
        // The handlers remain until the process ends. They write through without buffering, so no
        // close is needed.
    }
}
