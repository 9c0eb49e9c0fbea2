package tinlink.peers;

import io.microraft.executor.RaftNodeExecutor;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The agreement's own thread and clock. The library counts in whole seconds; here one of its
 * seconds is as long as is stated. The clock only goes on, whatever the wall clock does.
 */
final class Pace extends Clock implements RaftNodeExecutor {
    private final double second;
    private final ScheduledThreadPoolExecutor thread;
    private final long from = System.nanoTime();

    /** @param secondUs how long one of the library's seconds is */
    Pace(long secondUs) {
        second = secondUs / 1e6;
        thread = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, "agreement");
            t.setDaemon(true);
            return t;
        });
        thread.setRemoveOnCancelPolicy(true);
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public void execute(Runnable task) {
        submit(task);
    }

    @Override
    public void submit(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            // It has ended; nothing of it matters any more.
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // A task that is scheduled is never taken back.
    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        try {
            thread.schedule(task, (long) (unit.toMicros(delay) * second), TimeUnit.MICROSECONDS);
        } catch (RejectedExecutionException e) {
            // As above.
        }
    }

    /** What runs now is waited for, since it may be writing; a second at most. */
    void end() {
        thread.shutdown();
        try {
            thread.awaitTermination(1, TimeUnit.SECONDS);
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
        return (long) ((System.nanoTime() - from) / 1e6 / second);
    }
}
