package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Moves tasks from state to state after each command, as agreed time, health and confirmations allow. Safety
 * depends on the order of commands alone: time ends only a grant that has not been started; after that, the
 * task counts as active until its machine has returned and has been healthy for the warm-up time.
 *
 * <p>The reasons that it sets are stored with the tasks, so their wording must not change.
 */
final class TaskLifecycle {
    private final MaintenanceState state;
    private final GrantScheduler grants;

    TaskLifecycle(MaintenanceState state, GrantScheduler grants) {
        this.state = state;
        this.grants = grants;
    }

    /** Moves all open tasks on as far as possible, and grants waiting ones. */
    void advanceAll() {
        state.openTasks().forEach(this::advance);
        grants.grantWaiting();
        // A machine that has just been granted is out at once if no router has to confirm its
        // drain.
        for (MaintenanceTask task : state.openTasks()) {
            if (task.state() == TaskState.DRAINING) {
                advance(task);
            }
        }
    }

    private void advance(MaintenanceTask task) {
        switch (task.state()) {
            case WAITING -> expireRequest(task);
            case GRANTED -> expireGrant(task);
            case DRAINING -> advanceDrain(task);
            case OUT -> expireOut(task);
            case RETURNING -> advanceReturn(task);
            default -> {}
        }
    }

    private void expireRequest(MaintenanceTask task) {
        if (state.agreedTimeUs() - task.requestedAtUs() > task.request().startWithinUs()) {
            state.finish(task, TaskState.OVERDUE, "it could not start in time: " + task.reason());
        }
    }

    private void expireGrant(MaintenanceTask task) {
        if (state.agreedTimeUs() > task.deadlineUs()) {
            requeue(task, "its machine has not begun by its grant");
        }
    }

    private void expireOut(MaintenanceTask task) {
        if (state.agreedTimeUs() > task.deadlineUs()) {
            task.setReason("it is out for longer than was asked");
            state.enter(task, TaskState.OVERDUE);
        }
    }

    private void advanceDrain(MaintenanceTask task) {
        Machine machine = state.machine(task.machine());
        if (machine != null && state.isHealthy(task.machine())) {
            Optional<String> violation = grants.violationWithout(machine);
            if (violation.isPresent()) {
                revokeGrant(task, machine, violation.get());
                return;
            }
        }
        List<String> unconfirmed = routersNotDrained(task);
        if (unconfirmed.isEmpty()) {
            task.setReason("");
            state.enter(task, TaskState.OUT);
            task.setDeadlineUs(state.agreedTimeUs() + task.request().durationUs());
        } else {
            task.setReason("not yet done with it: " + String.join(", ", unconfirmed));
        }
    }

    /**
     * Revokes the grant of a draining machine on which a failure domain depends since another machine has
     * failed. The machine may serve on, because its operator has not been told that it is out.
     */
    private void revokeGrant(MaintenanceTask task, Machine machine, String violation) {
        String reason = task.grant().wasUnhealthyWhenGranted()
                ? "it was granted as one that had failed, and is sound again"
                : "called back, since without it " + violation;
        if (machine.isRouter()) {
            // The router may have drained its clients already, so it counts as available only
            // after it has confirmed that it serves again.
            task.setReason(reason);
            task.setRequeuedOnReturn(true);
            state.enter(task, TaskState.RETURNING);
        } else {
            requeue(task, reason);
        }
    }

    private void requeue(MaintenanceTask task, String reason) {
        task.setReason(reason);
        task.grant().end();
        state.enter(task, TaskState.WAITING);
    }

    private void advanceReturn(MaintenanceTask task) {
        if (!isWarmedUp(task)) {
            return;
        }
        if (task.isRequeuedOnReturn()) {
            task.setRequeuedOnReturn(false);
            requeue(task, task.reason());
        } else if (task.isCancelledOnReturn()) {
            state.finish(task, TaskState.CANCELLED, task.reason());
        } else {
            state.finish(task, TaskState.COMPLETED, "");
        }
    }

    /** Returns whether the machine has returned and has been healthy for the warm-up time. */
    private boolean isWarmedUp(MaintenanceTask task) {
        Machine machine = state.machine(task.machine());
        if (machine == null || !state.isHealthy(task.machine())) {
            return false;
        }
        if (machine.isRouter() && !task.isServingAgain()) {
            return false;
        }
        long nowUs = state.agreedTimeUs();
        long healthySinceUs = state.machineTable().healthySinceUs(task.machine(), nowUs);
        return nowUs
                >= Math.max(task.stateSinceUs(), healthySinceUs)
                        + state.limits().warmUpUs();
    }

    /** Returns the routers that still have to confirm that they have nothing in flight at the machine. */
    private List<String> routersNotDrained(MaintenanceTask task) {
        Machine machine = state.machine(task.machine());
        List<String> unconfirmed = new ArrayList<>();
        state.incarnationByRouter().forEach((router, incarnation) -> {
            // Only the router itself has its clients in flight; any router may send to a data node.
            boolean confirmationNeeded = (machine != null && machine.isRouter())
                    ? router.equals(task.machine())
                    : maySend(router, incarnation);
            if (confirmationNeeded && !task.isDrainedBy(router, incarnation)) {
                unconfirmed.add(router);
            }
        });
        return unconfirmed;
    }

    /** Returns whether a router may send to data nodes: not while it is drained, unless it has restarted. */
    private boolean maySend(String router, String incarnation) {
        MaintenanceTask ownTask = state.activeTask(router);
        return ownTask == null
                || ownTask.state() == TaskState.RETURNING
                || !ownTask.isDrainedBy(router, incarnation);
    }
}
