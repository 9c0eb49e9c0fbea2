package tinlink.net;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Level;

/**
 * Runs the single thread that owns all mutable state. Completion handlers only queue tasks. Each
 * turn updates the clock once, runs all queued tasks, lets the participant make its decisions, and
 * then writes each connection once.
 *
 * <p>A turn may start late because the process got no processor time. Such a turn first waits until
 * the I/O thread has handled the events that arrived in the meantime, and updates the clock again
 * if the turn itself has taken long.
 */
public final class EventLoop {
    private static final EventLog LOG = new EventLog("tinlink.eventloop");

    /**
     * A timer that runs later than this is logged. The delay has no other effect, since the
     * decision module detects its own stalls.
     */
    private static final long LATE_US = 100_000;

    /**
     * The maximum number of times that one turn empties the task queue, including tasks that become
     * ready while it runs.
     */
    private static final int MAX_DRAINS = 16;

    /** A timer delay or a turn duration above this shows that the process was stalled. */
    private static final long STALL_US = 10_000;

    /**
     * For this long after a catch-up the loop assumes that the I/O thread has handled all events,
     * and doesn't wait for it again.
     */
    private static final long MIN_CATCH_UP_GAP_US = 50_000;

    /** A task that runs at a due time unless it is cancelled. */
    public static final class Timer implements Comparable<Timer> {
        private final long dueUs;
        private final long sequence;
        private final Runnable task;

        private Timer(long dueUs, long sequence, Runnable task) {
            this.dueUs = dueUs;
            this.sequence = sequence;
            this.task = task;
        }

        @Override
        public int compareTo(Timer other) {
            return dueUs != other.dueUs
                    ? Long.compare(dueUs, other.dueUs)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final MonotonicClock clock = new MonotonicClock();
    private final LinkedBlockingQueue<Runnable> readyTasks = new LinkedBlockingQueue<>();
    /** Pending timers in due order; a timer is removed when it runs or is cancelled. */
    private final TreeSet<Timer> timers = new TreeSet<>();
    /** Connections with bytes to write; emptied at the end of each turn. */
    private final List<Connection> pendingWrites = new ArrayList<>();

    private long timerSequence;
    private long nowUs = clock.nowUs();
    private boolean stopped;

    /**
     * Returns once the I/O thread has handled all events that had arrived, so that their tasks are
     * queued here.
     */
    private Runnable catchUp = () -> {};

    private long caughtUpAtUs = Long.MIN_VALUE / 2;

    /** Returns the time of the current turn, in Unix microseconds that never go back. */
    public long nowUs() {
        return nowUs;
    }

    /**
     * Returns the current time, which may be later than the time of the turn in progress. Any
     * thread may call this method.
     */
    long currentTimeUs() {
        return clock.nowUs();
    }

    /** Queues a task for the turn in progress or the next one. Any thread may call this method. */
    public void execute(Runnable task) {
        readyTasks.add(task);
    }

    /**
     * Runs a task on the loop's thread and returns its result, or null if that takes longer than
     * one second. To be called from other threads only.
     */
    public <T> T submitAndWait(Supplier<T> task) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        readyTasks.add(() -> answer.complete(task.get()));
        return answer.completeOnTimeout(null, 1, TimeUnit.SECONDS).join();
    }

    public Timer schedule(long dueUs, Runnable task) {
        Timer timer = new Timer(dueUs, timerSequence++, task);
        timers.add(timer);
        return timer;
    }

    public void cancel(Timer timer) {
        if (timer != null) {
            timers.remove(timer);
        }
    }

    /**
     * Sets the task with which a late turn waits for the I/O thread, for a loop whose reads are
     * completed by another thread.
     */
    void setCatchUp(Runnable catchUpTask) {
        catchUp = catchUpTask;
    }

    void addPendingWrite(Connection connection) {
        pendingWrites.add(connection);
    }

    /** Ends the loop after the turn in progress. */
    public void stop() {
        stopped = true;
    }

    public void run(EventLoopParticipant participant) {
        List<Runnable> batch = new ArrayList<>();
        while (!stopped) {
            Runnable first = awaitTask();
            if (first != null) {
                batch.add(first);
            }
            nowUs = clock.nowUs();
            runGuarded(() -> participant.turnStarted(nowUs));
            runReadyTasks(batch);
            if (isLate()) {
                catchUp(batch);
            }
            while (!timers.isEmpty() && timers.first().dueUs <= nowUs) {
                runGuarded(timers.pollFirst().task);
            }
            if (clock.nowUs() - nowUs > STALL_US) {
                // The clock is read again after a stall: with the time at which the turn began,
                // data nodes would be told a longer remaining time than the clients have left.
                nowUs = clock.nowUs();
                runGuarded(() -> participant.turnStarted(nowUs));
                catchUp(batch);
            }
            runGuarded(participant::turnEnding);
            for (int i = 0; i < pendingWrites.size(); i++) {
                pendingWrites.get(i).write();
            }
            pendingWrites.clear();
        }
    }

    private boolean isLate() {
        long lateUs = timers.isEmpty() ? 0 : nowUs - timers.first().dueUs;
        if (lateUs > LATE_US) {
            LOG.log(Level.WARNING, "event_loop_late", "late_ms", lateUs / 1000);
        }
        return lateUs > STALL_US;
    }

    /**
     * Runs the queued tasks.
     *
     * <p>A request and the close after it are two reads, and the second becomes ready only once the
     * first has been taken. The queue is therefore drained several times: a decision between the
     * two reads would send parts for a client that has disconnected.
     */
    private void runReadyTasks(List<Runnable> batch) {
        readyTasks.drainTo(batch);
        for (int drains = 1; !batch.isEmpty(); drains++) {
            batch.forEach(EventLoop::runGuarded);
            batch.clear();
            if (drains < MAX_DRAINS) {
                readyTasks.drainTo(batch);
            }
        }
    }

    /**
     * Lets the I/O thread catch up, unless it did so recently, and runs the queued tasks. After a
     * stall of the whole process, this thread may run before the I/O thread. The router would then
     * send to a data node that had long been listed as draining, or for a client that had long
     * disconnected.
     */
    private void catchUp(List<Runnable> batch) {
        if (clock.nowUs() - caughtUpAtUs > MIN_CATCH_UP_GAP_US) {
            catchUp.run();
            caughtUpAtUs = clock.nowUs();
        }
        runReadyTasks(batch);
    }

    private Runnable awaitTask() {
        try {
            if (timers.isEmpty()) {
                return readyTasks.take();
            }
            long waitUs = timers.first().dueUs - clock.nowUs();
            return waitUs <= 0 ? readyTasks.poll() : readyTasks.poll(waitUs, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            return null; // Nobody interrupts the loop; the turn then finds nothing.
        }
    }

    /**
     * Runs a task and logs an internal error in it. If the error stopped the loop, every lookup in
     * flight would be lost.
     */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.logFailure(Level.SEVERE, "task_failed", e);
        }
    }
}
