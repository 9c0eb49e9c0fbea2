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
 * The thread and the clock that the Raft library runs on. The library's timeouts are whole seconds; here the
 * length of a library second is configurable. The clock is monotonic and ignores changes of the wall clock.
 */
public final class RaftExecutor extends Clock implements RaftNodeExecutor {
    private static final int SHUTDOWN_TIMEOUT_S = 1;

    /** Real seconds per library second. */
    private final double secondScale;

    private final ScheduledThreadPoolExecutor executor;
    private final long startNanos = System.nanoTime();

    /**
     * An executor that starts its thread with the first task.
     *
     * @param librarySecondUs length of a library second, in microseconds
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
            // The executor is shut down, so the replica needs the task no more.
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // Scheduled tasks are never cancelled.
    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        try {
            executor.schedule(
                    task, (long) (unit.toMicros(delay) * secondScale), TimeUnit.MICROSECONDS);
        } catch (RejectedExecutionException e) {
            // The executor is shut down, so the replica needs the task no more.
        }
    }

    /** Drops further tasks, and waits up to a second for the running task, which may be writing to disk. */
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

    /** Returns the library milliseconds since this executor was made. */
    @Override
    public long millis() {
        return (long) ((System.nanoTime() - startNanos) / 1e6 / secondScale);
    }
}
