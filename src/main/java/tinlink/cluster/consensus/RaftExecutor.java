package tinlink.cluster.consensus;

import io.microraft.executor.RaftNodeExecutor;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The thread and the clock of Raft. The library counts in whole seconds; here one of its seconds is as long
 * as is configured. The clock only goes on, whatever the wall clock does.
 */
public final class RaftExecutor extends Clock implements RaftNodeExecutor {
    private static final int SHUTDOWN_TIMEOUT_S = 1;

    /** Real seconds in one of the library's. */
    private final double secondScale;

    private final ScheduledThreadPoolExecutor executor;
    private final long startNanos = System.nanoTime();

    /**
     * Has its thread from the first task on.
     *
     * @param librarySecondUs how long one of the library's seconds is
     */
    public RaftExecutor(long librarySecondUs) {
        secondScale = librarySecondUs / 1e6;
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "agreement");
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public void execute(Runnable task) {
        submit(task);
    }

    @Override
    public void submit(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            // It is shut down; nothing of the replica matters any more.
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // A task that is scheduled is never cancelled.
    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        try {
            executor.schedule(
                    task, (long) (unit.toMicros(delay) * secondScale), TimeUnit.MICROSECONDS);
        } catch (RejectedExecutionException e) {
            // As above.
        }
    }

    /** Takes no further task; the one that runs is waited for, since it may be writing, a second at most. */
    public void shutdown() {
        executor.shutdown();
        try {
            executor.awaitTermination(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public long millis() {
        return (long) ((System.nanoTime() - startNanos) / 1e6 / secondScale);
    }
}
