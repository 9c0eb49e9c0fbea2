package tinlink.net;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntConsumer;
import java.util.logging.Level;

/**
 * Ends the process when an {@link Error}, such as an exhausted heap, has ended one of its threads.
 * A router without its event loop or its I/O thread would keep its port open and answer nobody; a
 * process that has ended is restarted.
 */
public final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {
    /** The status of the process; EX_SOFTWARE of sysexits.h. */
    public static final int EXIT_STATUS = 70;

    private static final EventLog LOG = new EventLog("tinlink");
    private static final int RESERVE_BYTES = 256 << 10;

    private final IntConsumer exit;
    /** Released before the log line is written, since the heap may be full. */
    private final AtomicReference<byte[]> reserve = new AtomicReference<>(new byte[RESERVE_BYTES]);

    /** Creates a handler that ends this process without its shutdown hooks. */
    public FatalErrorHandler() {
        // The shutdown hook waits for the event loop, which may be what has ended.
        this(status -> Runtime.getRuntime().halt(status));
    }

    FatalErrorHandler(IntConsumer exit) {
        this.exit = exit;
    }

    /** Called by any thread that ends with an uncaught exception; only an error ends the process. */
    @Override
    public void uncaughtException(Thread thread, Throwable cause) {
        if (!(cause instanceof Error)) {
            LOG.logFailure(Level.SEVERE, "thread_ended", cause, "thread", thread.getName());
            return;
        }
        try {
            reserve.set(null);
            LOG.logFailure(
                    Level.SEVERE,
                    "fatal_error",
                    cause,
                    "thread",
                    thread.getName(),
                    "error",
                    cause,
                    "status",
                    EXIT_STATUS);
        } finally {
            exit.accept(EXIT_STATUS);
        }
    }
}
