package tinlink.maintenance.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Which waiting tasks are granted, and in which order: the most urgent first, as far as the limits allow. The
 * same state gives the same grants in all routers. Urgency rises with the time waited (aging), so that a task
 * that is easily granted can't be passed over for ever; one that has waited for long keeps its place free.
 */
final class GrantScheduler {
    /** A task that has waited for so many steps of aging has capacity reserved for it. */
    private static final int STARVATION_AGING_STEPS = 2;

    private final MaintenanceState state;

    GrantScheduler(MaintenanceState state) {
        this.state = state;
    }

    /** Grants what can be granted now, and sets the reason of what can't. */
    void grantWaiting() {
        List<MaintenanceTask> waiting = state.openTasks().stream()
                .filter(task -> task.state() == TaskState.WAITING)
                .sorted(Comparator.comparingLong((MaintenanceTask task) -> -urgency(task))
                        .thenComparingLong(MaintenanceTask::sequenceNumber))
                .toList();
        if (waiting.isEmpty()) {
            return;
        }
        DisruptionBudget budget = new DisruptionBudget(
                state.limits(), state.machines(), machine -> isAvailable(machine.id()));
        Optional<String> violation = budget.violation();
        waiting.forEach(task -> grantIfPossible(task, budget, violation));
    }

    private boolean isAvailable(String machine) {
        return state.isHealthy(machine) && state.activeTask(machine) == null;
    }

    private void grantIfPossible(
            MaintenanceTask task, DisruptionBudget budget, Optional<String> violation) {
        Machine machine = state.machine(task.machine());
        if (state.activeTask(task.machine()) != null) {
            task.setReason("other work is being done on it");
        } else if (!state.isHealthy(task.machine())) {
            // A machine that has failed counts for nothing already; taking it out loses nothing
            // more.
            grant(task, machine, true);
        } else if (violation.isPresent()) {
            task.setReason("nothing is granted while " + violation.get());
        } else if (fits(task, machine, budget)) {
            budget.remove(machine);
            grant(task, machine, false);
        }
    }

    private boolean fits(MaintenanceTask task, Machine machine, DisruptionBudget budget) {
        Optional<String> violation = budget.violationWithout(machine);
        if (violation.isEmpty()) {
            return true;
        }
        task.setReason("without it " + violation.get());
        if (waitedUs(task) >= STARVATION_AGING_STEPS * state.limits().agingStepUs()) {
            budget.remove(
                    machine); // Its capacity is reserved: less urgent tasks that need it wait.
        }
        return false;
    }

    private void grant(MaintenanceTask task, Machine machine, boolean hasFailed) {
        task.grant().renew(state.nextFencingToken(), hasFailed);
        task.setReason("");
        task.setDeadlineUs(state.agreedTimeUs() + state.limits().grantTimeoutUs());
        state.enter(task, TaskState.GRANTED);
        if (!machine.isRouter()) {
            startDrain(task); // Nobody has to be up for it: all routers cordon it from here on.
        }
    }

    /** The grant is acted by, and ends by time no more. */
    void startDrain(MaintenanceTask task) {
        state.enter(task, TaskState.DRAINING);
        task.setDeadlineUs(MaintenanceTask.NEVER);
    }

    /** Why the machine can't be granted even with all machines available; empty where it can. */
    Optional<String> impossibleBecause(String machineId) {
        if (machineId.isEmpty()) {
            return Optional.of("it names no machine");
        }
        Machine machine = state.machine(machineId);
        if (machine == null) {
            return Optional.of("no machine has that name");
        }
        return new DisruptionBudget(state.limits(), state.machines(), m -> true)
                .violationWithout(machine)
                .map(violation -> "it can never be granted: without it " + violation);
    }

    /**
     * The limit that is violated without this machine as things are now, if it counts itself. Danger: a
     * machine that has failed is granted whatever its block lacks; healthy again, it is what the block has
     * left.
     */
    Optional<String> violationWithout(Machine machine) {
        return new DisruptionBudget(
                        state.limits(),
                        state.machines(),
                        other -> other.equals(machine) || isAvailable(other.id()))
                .violationWithout(machine);
    }

    private long waitedUs(MaintenanceTask task) {
        return state.agreedTimeUs() - task.requestedAtUs();
    }

    private long urgency(MaintenanceTask task) {
        return task.request().urgency() + waitedUs(task) / state.limits().agingStepUs();
    }
}
