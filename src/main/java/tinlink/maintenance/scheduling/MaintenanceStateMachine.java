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
 * The replicated state machine that decides which machines are taken out for maintenance, and when. All
 * routers apply the commands of the replicated log in the same order and so compute the same grants; the
 * class reads no clock. Not thread-safe.
 */
public final class MaintenanceStateMachine {
    /** Maximum time by which one command advances agreed time, microseconds. */
    public static final long MAX_TICK_US = 1_000_000;

    private final MaintenanceState state;
    private final GrantScheduler grants;
    private final TaskLifecycle lifecycle;

    /** Creates the initial state, without limits. */
    public MaintenanceStateMachine() {
        this(DisruptionLimits.UNSET);
    }

    /**
     * Creates an initial state in which limits are set already.
     *
     * @param limits the limits that count as agreed on
     */
    public MaintenanceStateMachine(DisruptionLimits limits) {
        this(new MaintenanceState(limits));
    }

    private MaintenanceStateMachine(MaintenanceState state) {
        this.state = state;
        grants = new GrantScheduler(state);
        lifecycle = new TaskLifecycle(state, grants);
    }

    /**
     * Restores the state machine from a snapshot.
     *
     * @throws IllegalArgumentException if {@link #snapshot} cannot have returned the lines
     */
    public static MaintenanceStateMachine restore(List<String> snapshot) {
        return new MaintenanceStateMachine(MaintenanceSnapshotCodec.decode(snapshot));
    }

    /** Returns an independent copy. */
    public MaintenanceStateMachine copy() {
        return new MaintenanceStateMachine(state.copy());
    }

    /** Returns the whole state as lines. */
    public List<String> snapshot() {
        return MaintenanceSnapshotCodec.encode(state);
    }

    /** Returns the current state; the same object changes with each command. */
    public MaintenanceState state() {
        return state;
    }

    /** Applies the next command of the log. */
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
        throw new IllegalArgumentException("unexpected maintenance command: " + command);
    }

    private CommandOutcome advanceAndAccept() {
        lifecycle.advanceAll();
        return CommandOutcome.accepted();
    }

    /**
     * Sets the limits if none are set. They are agreed on like all other state, because routers whose
     * configuration files differ would otherwise compute different grants. The first limits stay in force; to
     * change them is a change of policy.
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
     * Advances agreed time by at most {@link #MAX_TICK_US}. Without this bound, a leader that was paused, or
     * whose machine was suspended, would end grants that no router had a chance to start.
     */
    private CommandOutcome advanceTime(long elapsedUs) {
        state.advanceTime(Math.max(0, Math.min(elapsedUs, MAX_TICK_US)));
        return advanceAndAccept();
    }

    private CommandOutcome registerMachine(Machine machine) {
        boolean added = state.machine(machine.id()) == null;
        if (added && state.machines().size() >= state.limits().maxEntries()) {
            return CommandOutcome.rejected(Rejection.TOO_MANY_MACHINES);
        }
        state.machineTable().put(machine, state.agreedTimeUs());
        return advanceAndAccept();
    }

    private CommandOutcome removeMachine(String machineId) {
        // A machine that is out is missing from the endpoint lists too. It must stay known, or its
        // block would look complete without it.
        if (state.activeTask(machineId) == null && state.machineTable().remove(machineId)) {
            for (MaintenanceTask task : state.openTasks()) {
                if (task.machine().equals(machineId)) {
                    state.finish(task, TaskState.REJECTED, "the machine is gone from the lists");
                }
            }
        }
        return advanceAndAccept();
    }

    private CommandOutcome setHealth(SetHealth command) {
        state.machineTable().setHealth(command.machine(), command.healthy(), state.agreedTimeUs());
        return advanceAndAccept();
    }

    private CommandOutcome registerRouter(RegisterRouter command) {
        boolean added = state.incarnation(command.router()) == null;
        if (added && state.incarnationByRouter().size() >= state.limits().maxEntries()) {
            return CommandOutcome.rejected(Rejection.TOO_MANY_ROUTERS);
        }
        state.incarnationByRouter().put(command.router(), command.incarnation());
        return advanceAndAccept();
    }

    private CommandOutcome removeRouter(RemoveRouter command) {
        state.incarnationByRouter().remove(command.router(), command.incarnation());
        return advanceAndAccept();
    }

    /** Accepts a repeated request without effect, and rejects another request with a known id. */
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
            grants.rejectionReason(machine)
                    .ifPresent(reason -> state.finish(task, TaskState.REJECTED, reason));
        }
        state.taskTable().dropFinished(state.limits().maxTasks());
        return advanceAndAccept();
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
        task.setCancelledOnReturn(true);
        task.setRequeuedOnReturn(false);
        task.setReason(reason);
    }

    /**
     * Records that this incarnation of the router acts under the grant; commands under an older grant are
     * rejected. A restarted router starts its drain anew, because the drain of its previous incarnation may
     * come from an outdated copy of the state.
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
        return advanceAndAccept();
    }

    private CommandOutcome confirmDrained(ConfirmDrained command) {
        MaintenanceTask task = state.activeTask(command.machine());
        if (!holds(task, command.fencingToken(), command.router(), command.incarnation())
                || task.state() != TaskState.DRAINING) {
            return CommandOutcome.rejected(Rejection.GRANT_ENDED);
        }
        task.grant().confirmDrained(command.router(), command.incarnation());
        return advanceAndAccept();
    }

    /**
     * Returns whether the task holds the grant with this token, and the router's incarnation is its newest.
     *
     * @param task null if there is none
     */
    private boolean holds(
            MaintenanceTask task, long fencingToken, String router, String incarnation) {
        return task != null
                && task.fencingToken() == fencingToken
                && state.isCurrent(router, incarnation);
    }

    /** Records that a router serves again; until it confirms that, it may still be closing its listener. */
    private CommandOutcome confirmServing(ConfirmServing command) {
        MaintenanceTask task = state.activeTask(command.router());
        if (task == null
                || task.state() != TaskState.RETURNING
                || !state.isCurrent(command.router(), command.incarnation())) {
            return CommandOutcome.rejected(Rejection.NOT_RETURNING);
        }
        task.grant().confirmServing();
        return advanceAndAccept();
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
                removeLostMachine(task);
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

    private void removeLostMachine(MaintenanceTask task) {
        state.finish(
                task,
                TaskState.OVERDUE,
                "given up by its operator: the machine does not come back");
        removeMachine(task.machine());
        state.incarnationByRouter().remove(task.machine());
    }
}
