package tinlink.maintenance.scheduling;

import tinlink.maintenance.scheduling.MaintenanceCommand.AdvanceTime;
import tinlink.maintenance.scheduling.MaintenanceCommand.CancelRequest;
import tinlink.maintenance.scheduling.MaintenanceCommand.CompleteWork;
import tinlink.maintenance.scheduling.MaintenanceCommand.ConfirmDrained;
import tinlink.maintenance.scheduling.MaintenanceCommand.ConfirmServing;
import tinlink.maintenance.scheduling.MaintenanceCommand.RegisterMachine;
import tinlink.maintenance.scheduling.MaintenanceCommand.RegisterRouter;
import tinlink.maintenance.scheduling.MaintenanceCommand.RemoveMachine;
import tinlink.maintenance.scheduling.MaintenanceCommand.RemoveRouter;
import tinlink.maintenance.scheduling.MaintenanceCommand.SetHealth;
import tinlink.maintenance.scheduling.MaintenanceCommand.SetLimits;
import tinlink.maintenance.scheduling.MaintenanceCommand.StartDrain;
import tinlink.maintenance.scheduling.MaintenanceCommand.SubmitRequest;
import tinlink.maintenance.scheduling.MaintenanceCommand.Unknown;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The replicated state machine of maintenance: which machines are taken out, and when. All routers agree on
 * the commands and on their order; each applies them through this and comes to the same grants. Nothing here
 * reads a clock. Belongs to one thread.
 */
public final class MaintenanceStateMachine {
    /** No command advances agreed time by more, microseconds. */
    public static final long MAX_TICK_US = 1_000_000;

    private final MaintenanceState state;
    private final GrantScheduler grants;
    private final TaskLifecycle lifecycle;

    /** Of a fleet that has agreed on nothing yet, not even on its limits. */
    public MaintenanceStateMachine() {
        this(DisruptionLimits.UNSET);
    }

    /** @param limits as if they had been agreed on */
    public MaintenanceStateMachine(DisruptionLimits limits) {
        this(new MaintenanceState(limits));
    }

    private MaintenanceStateMachine(MaintenanceState state) {
        this.state = state;
        grants = new GrantScheduler(state);
        lifecycle = new TaskLifecycle(state, grants);
    }

    /**
     * Goes on from a snapshot.
     *
     * @throws IllegalArgumentException where these are no lines of {@link #snapshot}
     */
    public static MaintenanceStateMachine restore(List<String> snapshot) {
        return new MaintenanceStateMachine(MaintenanceSnapshotCodec.decode(snapshot));
    }

    /** A copy that goes on on its own from here. */
    public MaintenanceStateMachine copy() {
        return new MaintenanceStateMachine(state.copy());
    }

    /** All of the state, as lines. */
    public List<String> snapshot() {
        return MaintenanceSnapshotCodec.encode(state);
    }

    /** What is agreed on now; it changes with each command. */
    public MaintenanceState state() {
        return state;
    }

    /** Applies the next command. */
    public CommandOutcome apply(MaintenanceCommand command) {
        if (command instanceof SetLimits setLimits) {
            return setLimits(setLimits.limits());
        } else if (command instanceof AdvanceTime advanceTime) {
            return advanceTime(advanceTime.elapsedUs());
        } else if (command instanceof RegisterMachine registerMachine) {
            return registerMachine(registerMachine.machine());
        } else if (command instanceof RemoveMachine removeMachine) {
            return removeMachine(removeMachine.machine());
        } else if (command instanceof SetHealth setHealth) {
            return setHealth(setHealth);
        } else if (command instanceof RegisterRouter registerRouter) {
            return registerRouter(registerRouter);
        } else if (command instanceof RemoveRouter removeRouter) {
            return removeRouter(removeRouter);
        } else if (command instanceof Unknown unknown) {
            return CommandOutcome.rejected(Rejection.UNKNOWN_COMMAND, unknown.content());
        }
        return applyToTasks(command);
    }

    private CommandOutcome applyToTasks(MaintenanceCommand command) {
        if (command instanceof SubmitRequest submitRequest) {
            return submit(submitRequest.request());
        } else if (command instanceof CancelRequest cancelRequest) {
            return cancel(cancelRequest);
        } else if (command instanceof StartDrain startDrain) {
            return startDrain(startDrain);
        } else if (command instanceof ConfirmDrained confirmDrained) {
            return confirmDrained(confirmDrained);
        } else if (command instanceof ConfirmServing confirmServing) {
            return confirmServing(confirmServing);
        } else if (command instanceof CompleteWork completeWork) {
            return complete(completeWork);
        }
        throw new IllegalArgumentException("not a command of maintenance: " + command);
    }

    private CommandOutcome advanced() {
        lifecycle.advanceAll();
        return CommandOutcome.accepted();
    }

    /**
     * Danger: routers whose files differ would come to different grants; so limits are agreed on like all
     * else. The first ones hold; what changes them is a change of policy.
     */
    private CommandOutcome setLimits(DisruptionLimits proposed) {
        if (!state.hasLimits()) {
            state.setLimits(proposed);
        }
        return state.limits().equals(proposed)
                ? CommandOutcome.accepted()
                : CommandOutcome.rejected(Rejection.LIMITS_ALREADY_SET);
    }

    /**
     * Danger: a leader that stood still, or whose machine slept, would end grants that nobody could start; so
     * one command advances time by so much at most.
     */
    private CommandOutcome advanceTime(long elapsedUs) {
        state.advanceTime(Math.max(0, Math.min(elapsedUs, MAX_TICK_US)));
        return advanced();
    }

    private CommandOutcome registerMachine(Machine machine) {
        boolean isNew = state.machine(machine.id()) == null;
        if (isNew && state.machines().size() >= state.limits().maxEntries()) {
            return CommandOutcome.rejected(Rejection.TOO_MANY_MACHINES);
        }
        state.machineTable().put(machine, state.agreedTimeUs());
        return advanced();
    }

    private CommandOutcome removeMachine(String machineId) {
        // Danger: a machine that is out is off the lists as well; forgotten, its block would look
        // complete.
        if (state.activeTask(machineId) == null && state.machineTable().remove(machineId)) {
            for (MaintenanceTask task : state.openTasks()) {
                if (task.machine().equals(machineId)) {
                    state.finish(task, TaskState.REJECTED, "the machine is gone from the lists");
                }
            }
        }
        return advanced();
    }

    private CommandOutcome setHealth(SetHealth command) {
        state.machineTable().setHealth(command.machine(), command.healthy(), state.agreedTimeUs());
        return advanced();
    }

    private CommandOutcome registerRouter(RegisterRouter command) {
        boolean isNew = state.incarnation(command.router()) == null;
        if (isNew && state.routers().size() >= state.limits().maxEntries()) {
            return CommandOutcome.rejected(Rejection.TOO_MANY_ROUTERS);
        }
        state.routers().put(command.router(), command.incarnation());
        return advanced();
    }

    private CommandOutcome removeRouter(RemoveRouter command) {
        state.routers().remove(command.router(), command.incarnation());
        return advanced();
    }

    /** A request with an id that is known is that one; one that says otherwise is rejected. */
    private CommandOutcome submit(MaintenanceRequest request) {
        List<MaintenanceTask> known = state.tasksOf(request.id());
        if (!known.isEmpty()) {
            return known.get(0).request().equals(request)
                    ? CommandOutcome.accepted()
                    : CommandOutcome.rejected(Rejection.REQUEST_ID_TAKEN);
        }
        if (!state.hasLimits()) {
            return CommandOutcome.rejected(Rejection.LIMITS_NOT_SET);
        }
        if (state.openTasks().size() + request.machines().size()
                > state.limits().maxEntries()) {
            return CommandOutcome.rejected(Rejection.TOO_MANY_TASKS);
        }
        Set<String> machines =
                request.machines().isEmpty() ? Set.of("") : new TreeSet<>(request.machines());
        for (String machine : machines) {
            MaintenanceTask task = state.taskTable().add(request, machine, state.agreedTimeUs());
            grants.impossibleBecause(machine)
                    .ifPresent(reason -> state.finish(task, TaskState.REJECTED, reason));
        }
        state.taskTable().dropFinished(state.limits().maxTasks());
        return advanced();
    }

    private CommandOutcome cancel(CancelRequest command) {
        List<MaintenanceTask> tasks = state.tasksOf(command.request());
        if (tasks.isEmpty()) {
            return CommandOutcome.rejected(Rejection.UNKNOWN_REQUEST);
        }
        List<String> alreadyOut = new ArrayList<>();
        for (MaintenanceTask task : tasks) {
            if (task.isOut()) {
                alreadyOut.add(task.machine());
            } else {
                cancel(task, command.reason());
            }
        }
        lifecycle.advanceAll();
        return alreadyOut.isEmpty()
                ? CommandOutcome.accepted()
                : CommandOutcome.rejected(Rejection.ALREADY_OUT, String.join(", ", alreadyOut));
    }

    private void cancel(MaintenanceTask task, String reason) {
        switch (task.state()) {
            case WAITING, GRANTED -> state.finish(task, TaskState.CANCELLED, reason);
            case DRAINING -> {
                cancelOnReturn(task, reason);
                state.enter(task, TaskState.RETURNING);
            }
            case RETURNING -> {
                if (task.isRequeuedOnReturn()) {
                    cancelOnReturn(task, reason);
                }
            }
            default -> {}
        }
    }

    private static void cancelOnReturn(MaintenanceTask task, String reason) {
        task.cancelOnReturn(true);
        task.requeueOnReturn(false);
        task.setReason(reason);
    }

    /**
     * This incarnation of the router acts by that grant from now on. What comes by an older grant is
     * rejected; and what a router reads of a drain that an earlier incarnation of it started may be an old
     * copy.
     */
    private CommandOutcome startDrain(StartDrain command) {
        MaintenanceTask task = state.activeTask(command.router());
        if (!holds(task, command.fencingToken(), command.router(), command.incarnation())
                || (task.state() != TaskState.GRANTED && task.state() != TaskState.DRAINING)) {
            return CommandOutcome.rejected(Rejection.GRANT_ENDED);
        }
        if (task.state() == TaskState.GRANTED) {
            grants.startDrain(task);
        }
        task.grant().start(command.incarnation());
        return advanced();
    }

    private CommandOutcome confirmDrained(ConfirmDrained command) {
        MaintenanceTask task = state.activeTask(command.machine());
        if (!holds(task, command.fencingToken(), command.router(), command.incarnation())
                || task.state() != TaskState.DRAINING) {
            return CommandOutcome.rejected(Rejection.GRANT_ENDED);
        }
        task.grant().confirmDrained(command.router(), command.incarnation());
        return advanced();
    }

    /**
     * Whether a task, null where there is none, holds that grant, and its router is no earlier incarnation.
     */
    private boolean holds(
            MaintenanceTask task, long fencingToken, String router, String incarnation) {
        return task != null
                && task.fencingToken() == fencingToken
                && state.isCurrent(router, incarnation);
    }

    /** A router serves again only once it says so: until then it may still be closing its listener. */
    private CommandOutcome confirmServing(ConfirmServing command) {
        MaintenanceTask task = state.activeTask(command.router());
        if (task == null
                || task.state() != TaskState.RETURNING
                || !state.isCurrent(command.router(), command.incarnation())) {
            return CommandOutcome.rejected(Rejection.NOT_RETURNING);
        }
        task.grant().confirmServing();
        return advanced();
    }

    private CommandOutcome complete(CompleteWork command) {
        List<MaintenanceTask> tasks = state.tasksOf(command.request());
        if (tasks.isEmpty()) {
            return CommandOutcome.rejected(Rejection.UNKNOWN_REQUEST);
        }
        String notOutYet = null;
        for (MaintenanceTask task : tasks) {
            if (!command.machine().isEmpty() && !task.machine().equals(command.machine())) {
                continue;
            }
            if (task.isActive() && command.lost()) {
                loseMachine(task);
            } else if (task.isOut()) {
                state.enter(task, TaskState.RETURNING);
            } else if (!task.isFinished() && task.state() != TaskState.RETURNING) {
                notOutYet = task.machine();
            }
        }
        lifecycle.advanceAll();
        return notOutYet == null
                ? CommandOutcome.accepted()
                : CommandOutcome.rejected(Rejection.NOT_OUT_YET, notOutYet);
    }

    private void loseMachine(MaintenanceTask task) {
        state.finish(
                task,
                TaskState.OVERDUE,
                "given up by its operator: the machine does not come back");
        removeMachine(task.machine());
        state.routers().remove(task.machine());
    }
}
