package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Moves tasks from state to state, as agreed time, health and confirmations allow after each command. What is
 * safe rests on the order of commands alone: a grant that has not been started may end by time; one that has
 * counts as active until its machine has come back and been healthy for as long as the limits say.
 */
final class TaskLifecycle {
    private final MaintenanceState state;
    private final GrantScheduler grants;

    TaskLifecycle(MaintenanceState state, GrantScheduler grants) {
        this.state = state;
        this.grants = grants;
    }

    /** Moves all open tasks as far as they get now. */
    void advanceAll() {
        state.openTasks().forEach(this::advance);
        grants.grantWaiting();
        // What has just been granted is out at once where nobody has anything in flight there.
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
                callBack(task, machine, violation.get());
                return;
            }
        }
        List<String> undrained = routersNotDrained(task);
        if (undrained.isEmpty()) {
            task.setReason("");
            state.enter(task, TaskState.OUT);
            task.setDeadlineUs(state.agreedTimeUs() + task.request().durationUs());
        } else {
            task.setReason("not yet done with it: " + String.join(", ", undrained));
        }
    }

    /**
     * Danger: another machine has failed since the grant; taken now, this one is what is left. Its operator
     * has not been told that it is out, so it may serve on.
     */
    private void callBack(MaintenanceTask task, Machine machine, String violation) {
        String reason = task.grant().machineHadFailed()
                ? "it was granted as one that had failed, and is sound again"
                : "called back, since without it " + violation;
        if (machine.isRouter()) {
            // It may have drained its clients by now, and counts again only once it says that it
            // serves.
            task.setReason(reason);
            task.requeueOnReturn(true);
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
        if (!isWarm(task)) {
            return;
        }
        if (task.isRequeuedOnReturn()) {
            task.requeueOnReturn(false);
            requeue(task, task.reason());
        } else if (task.isCancelledOnReturn()) {
            state.finish(task, TaskState.CANCELLED, task.reason());
        } else {
            state.finish(task, TaskState.COMPLETED, "");
        }
    }

    /** Whether the machine is back and has been healthy for as long as the limits say. */
    private boolean isWarm(MaintenanceTask task) {
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

    /** Routers that have not confirmed yet that they have nothing in flight at the machine. */
    private List<String> routersNotDrained(MaintenanceTask task) {
        Machine machine = state.machine(task.machine());
        List<String> undrained = new ArrayList<>();
        state.routers().forEach((router, incarnation) -> {
            // A router's clients are its own; to a data node any router may send.
            boolean concerned = (machine != null && machine.isRouter())
                    ? router.equals(task.machine())
                    : maySend(router, incarnation);
            if (concerned && !task.isDrainedBy(router, incarnation)) {
                undrained.add(router);
            }
        });
        return undrained;
    }

    /** All routers but those that are drained themselves, and have not been started again since. */
    private boolean maySend(String router, String incarnation) {
        MaintenanceTask own = state.activeTask(router);
        return own == null
                || own.state() == TaskState.RETURNING
                || !own.isDrainedBy(router, incarnation);
    }
}
