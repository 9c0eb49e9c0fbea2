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
 * The one thread that all state belongs to. Completion handlers only queue tasks; a turn
 * sets the clock once, runs all of them, lets the participant decide, and then writes each
 * connection once.
 *
 * <p>A turn that may come late, since the process got no processor time, first has the I/O thread
 * handle what has come meanwhile, and sets the clock again if it has itself taken long.
 */
public final class EventLoop {
    private static final EventLog LOG = new EventLog("tinlink.eventloop");

    /** Logged, no more; the decision module judges its own stalls. */
    private static final long LATE_US = 100_000;

    /** What becomes ready while a turn takes what is ready belongs to it, so many times at most. */
    private static final int MAX_DRAINS = 16;

    /** A timer that is run so much late, or a turn that takes so long, shows that the process stood still. */
    private static final long STALL_US = 10_000;

    /** After so long a wait it can't be told whether nothing came or the process stood still. */
    private static final long LONG_WAIT_US = 250_000;

    /** What the I/O thread has handled is held to be all that is there for so long. */
    private static final long MIN_CATCH_UP_GAP_US = 50_000;

    /** A task that is due at a time, unless it is cancelled. */
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
    /** Each leaves as it runs, or as it is cancelled. */
    private final TreeSet<Timer> timers = new TreeSet<>();
    /** Connections with something to write; emptied each turn. */
    private final List<Connection> pendingWrites = new ArrayList<>();

    private long timerSequence;
    private long nowUs = clock.nowUs();
    private boolean stopped;

    /** Returns when all events that are there have been handled, so that they are ready here. */
    private Runnable catchUp = () -> {};

    private long caughtUpAtUs = Long.MIN_VALUE / 2;

    /** The time of the turn: Unix microseconds that never go back. */
    public long nowUs() {
        return nowUs;
    }

    /** From any thread: the time as it is, which a turn under way may lie behind. */
    long currentTimeUs() {
        return clock.nowUs();
    }

    /** From any thread: has the loop run this in its next turn, or in the turn under way. */
    public void execute(Runnable task) {
        readyTasks.add(task);
    }

    /** From another thread: what this returns on the loop's own; null where that takes over a second. */
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

    /** Where another thread completes reads, a turn that comes late waits until that has caught up. */
    void setCatchUp(Runnable catchUpTask) {
        catchUp = catchUpTask;
    }

    void addPendingWrite(Connection connection) {
        pendingWrites.add(connection);
    }

    /** The loop ends after the turn under way. */
    public void stop() {
        stopped = true;
    }

    public void run(EventLoopParticipant participant) {
        List<Runnable> batch = new ArrayList<>();
        while (!stopped) {
            long waitingSinceUs = clock.nowUs();
            Runnable first = awaitTask();
            if (first != null) {
                batch.add(first);
            }
            nowUs = clock.nowUs();
            runGuarded(() -> participant.turnStarted(nowUs));
            boolean woken = runReadyTasks(batch);
            if (mayBeLate(woken ? nowUs - waitingSinceUs : 0)) {
                catchUp(batch);
            }
            while (!timers.isEmpty() && timers.first().dueUs <= nowUs) {
                runGuarded(timers.pollFirst().task);
            }
            if (clock.nowUs() - nowUs > STALL_US) {
                // Danger: by the time at which the turn began, nodes would be told more than
                // clients have left.
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

    private boolean mayBeLate(long waitedUs) {
        long lateUs = timers.isEmpty() ? 0 : nowUs - timers.first().dueUs;
        if (lateUs > LATE_US) {
            LOG.log(Level.WARNING, "event_loop_late", "late_ms", lateUs / 1000);
        }
        return lateUs > STALL_US || waitedUs > LONG_WAIT_US;
    }

    /**
     * Takes what is ready. Danger: a request and the close behind it are two reads, of which the second is
     * ready once the first is taken; decided between the two, parts would be sent for a client that has gone.
     *
     * @return whether there was anything
     */
    private boolean runReadyTasks(List<Runnable> batch) {
        readyTasks.drainTo(batch);
        boolean any = !batch.isEmpty();
        for (int drains = 1; !batch.isEmpty(); drains++) {
            batch.forEach(EventLoop::runGuarded);
            batch.clear();
            if (drains < MAX_DRAINS) {
                readyTasks.drainTo(batch);
            }
        }
        return any;
    }

    /**
     * Danger: after a halt of the whole process this thread may run before the one that reads; it would send
     * to a node that was listed as draining long before, or for a client that has long gone.
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

    /** Danger: one fault of ours that stops the loop would lose every lookup in flight. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.logFailure(Level.SEVERE, "task_failed", e);
        }
    }
}
