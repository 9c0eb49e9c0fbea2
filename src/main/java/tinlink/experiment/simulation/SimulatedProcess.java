package tinlink.experiment.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A process in simulated time that can be started, killed and paused. What reaches it while it is
 * paused is carried out, in order, when it goes on; what reaches it while it is down is lost. Single
 * threaded: all of it runs in the simulation's loop.
 */
abstract class SimulatedProcess {
    final Simulation simulation;
    final String name;
    boolean up;
    boolean paused;
    /** Counts starts and kills: what an earlier run has scheduled must not run in a later one. */
    long generation;

    private final int maxQueued;
    private final ArrayDeque<Runnable> queued = new ArrayDeque<>();

    /** @param mostWaiting how much is kept for a paused process; what comes after that is lost */
    SimulatedProcess(Simulation simulation, String name, int mostWaiting) {
        this.simulation = simulation;
        this.name = name;
        this.maxQueued = mostWaiting;
    }

    /** From now on it runs, with nothing left of an earlier run. */
    final void beginRun() {
        up = true;
        paused = false;
        generation++;
        queued.clear();
    }

    /** It is gone at once; what it had scheduled does not happen. */
    void kill() {
        up = false;
        generation++;
        queued.clear();
    }

    /** Carries that out now, or when the process goes on, or never. */
    final void deliver(Runnable action) {
        if (!up) {
            return;
        }
        if (!paused) {
            perform(action);
        } else if (queued.size() < maxQueued) {
            queued.add(action);
        }
    }

    /** How a running process carries out one action. */
    void perform(Runnable action) {
        action.run();
    }

    /** Wakes up from a pause. */
    final void resume() {
        paused = false;
        List<Runnable> missed = new ArrayList<>(queued);
        queued.clear();
        missed.forEach(this::deliver);
    }

    /** Repeats an action of this run with some jitter. */
    final void scheduleEvery(long run, long periodUs, Runnable action) {
        simulation.scheduleIn(periodUs / 2 + simulation.random.nextLong(periodUs), () -> {
            if (generation == run && up) {
                deliver(action);
                scheduleEvery(run, periodUs, action);
            }
        });
    }

    /** Schedules an action that only this run of the process may carry out. */
    final void scheduleIn(long delayUs, Runnable action) {
        long run = generation;
        simulation.scheduleIn(delayUs, () -> {
            if (generation == run) {
                deliver(action);
            }
        });
    }
}
