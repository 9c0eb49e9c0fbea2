package tinlink.maintenance.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Grants waiting tasks, the most urgent first, as far as the limits allow. The same state gives the same
 * grants in all routers. Urgency rises with the waiting time (aging), so that no task is passed over forever;
 * capacity is reserved for a task that has waited long and still cannot be granted.
 *
 * <p>The reasons that it sets are stored with the tasks, so their wording must not change.
 */
final class GrantScheduler {
    /** Number of aging steps after which capacity is reserved for a waiting task. */
    private static final int STARVATION_AGING_STEPS = 2;

    private final MaintenanceState state;

    GrantScheduler(MaintenanceState state) {
        this.state = state;
    }

    /** Grants all waiting tasks that can be granted now, and sets the reason of the others. */
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
            // A failed machine is unavailable already; taking it out costs no availability.
            grant(task, machine, true);
        } else if (violation.isPresent()) {
            task.setReason("nothing is granted while " + violation.get());
        } else if (fits(task, machine, budget)) {
            budget.remove(machine);
            grant(task, machine, false);
        }
    }

    /** Returns whether the limits allow the task; otherwise sets its reason. */
    private boolean fits(MaintenanceTask task, Machine machine, DisruptionBudget budget) {
        Optional<String> violation = budget.violationWithout(machine);
        if (violation.isEmpty()) {
            return true;
        }
        task.setReason("without it " + violation.get());
        if (waitedUs(task) >= STARVATION_AGING_STEPS * state.limits().agingStepUs()) {
            // The machine's capacity is reserved: less urgent tasks that need it wait.
            budget.remove(machine);
        }
        return false;
    }

    private void grant(MaintenanceTask task, Machine machine, boolean unhealthy) {
        task.grant().renew(state.nextFencingToken(), unhealthy);
        task.setReason("");
        task.setDeadlineUs(state.agreedTimeUs() + state.limits().grantTimeoutUs());
        state.enter(task, TaskState.GRANTED);
        if (!machine.isRouter()) {
            // A data node takes no part in its drain: all routers cordon it from now on.
            startDrain(task);
        }
    }

    /** Starts the drain of a granted task; from now on its grant does not time out. */
    void startDrain(MaintenanceTask task) {
        state.enter(task, TaskState.DRAINING);
        task.setDeadlineUs(MaintenanceTask.NEVER);
    }

    /**
     * Returns why a machine could not be granted even if all machines were available; empty if it could be.
     *
     * @param machineId empty if the request names no machine
     */
    Optional<String> rejectionReason(String machineId) {
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
     * Returns a description of the limit that would be violated now without this machine, which is counted as
     * available; empty if none would be. A failed machine is granted without a check of the limits, but if it
     * becomes healthy again, its block may depend on it.
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
