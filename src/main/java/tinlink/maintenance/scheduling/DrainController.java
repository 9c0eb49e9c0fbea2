package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Derives from the replicated maintenance state what one router does: which data nodes it cordons, when it
 * confirms that it has nothing in flight at them, and when it drains its own clients. These decisions depend
 * on the state alone, never on elapsed time.
 *
 * <p>Proposals can be lost, so the controller repeats a proposal for as long as it follows from the state. An
 * outdated copy of the state does no harm: starting a grant that has ended is rejected, and a router that
 * drains for a cancelled task counts as out until it confirms that it serves. Not thread-safe.
 */
public final class DrainController {
    /** Carries out the decisions. */
    public interface DrainHandler {
        /** Proposes a command to the leader; the proposal may be lost. */
        void propose(MaintenanceCommand command);

        /** Cordons a data node, which then gets no new attempts, or ends its cordon. */
        void setCordoned(String machine, boolean cordoned);

        /** Drains this router, which finishes the requests of its clients, or lets it serve again. */
        void setDraining(boolean draining);

        /**
         * Schedules a call of {@link DrainController#decide}.
         *
         * @param atUs microseconds of the clock of {@link DrainController#setTime}
         */
        void wakeAt(long atUs);
    }

    /** Counts what this router has in flight. */
    public interface InFlightCounts {
        /** Returns the number of parts in flight at this data node or queued for it. */
        int partsInFlight(String machine);

        /** Returns the number of connected clients plus the parts in flight for them at any data node. */
        int clientsInFlight();
    }

    /** The actions that follow from the state for this router. */
    private static final class Plan {
        final Set<String> cordons = new TreeSet<>();
        final List<MaintenanceCommand> proposals = new ArrayList<>();
        boolean draining;
    }

    private final String router;
    private final String incarnation;
    private final long retryIntervalUs;
    /** Data nodes that the previous incarnation cordoned; in force until this incarnation is registered. */
    private final Set<String> restoredCordons;
    /** Data nodes that this router cordons now. */
    private final Set<String> cordoned = new TreeSet<>();

    private boolean draining;
    /**
     * By command: when this router last proposed it, microseconds. Commands that no longer follow from the
     * state are removed.
     */
    private final Map<MaintenanceCommand, Long> proposedAtUs = new HashMap<>();

    private long nowUs;
    /** When the handler has last been asked to call {@link #decide}, microseconds; initially never. */
    private long wakeAtUs = Long.MAX_VALUE;

    /** @param retryIntervalUs time after which a proposal is repeated, microseconds */
    public DrainController(String router, String incarnation, long retryIntervalUs) {
        this(router, incarnation, retryIntervalUs, Set.of());
    }

    /**
     * @param retryIntervalUs time after which a proposal is repeated, microseconds
     * @param restoredCordons data nodes that the previous incarnation cordoned; this incarnation cordons them
     *     until it is registered
     */
    public DrainController(
            String router, String incarnation, long retryIntervalUs, Set<String> restoredCordons) {
        this.restoredCordons = Set.copyOf(restoredCordons);
        this.router = router;
        this.incarnation = incarnation;
        this.retryIntervalUs = retryIntervalUs;
    }

    /**
     * Sets the time that the next decisions use.
     *
     * @param timeUs microseconds of a monotonic clock
     */
    public void setTime(long timeUs) {
        nowUs = timeUs;
    }

    /** Returns whether this router drains its clients. */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Returns whether the state names this incarnation of the router. Before that, the router may know of no
     * maintenance, and drains wait only for its previous incarnation, so that the router could send to
     * machines that are out. The router therefore starts to serve once it is registered, or after a bounded
     * wait, since serving must never depend on consensus.
     */
    public boolean isRegistered(MaintenanceState state) {
        return state.isCurrent(router, incarnation);
    }

    /** Passes one decision to the handler; returns false if there is none. */
    public boolean decide(MaintenanceState state, InFlightCounts inFlight, DrainHandler handler) {
        Plan plan = plan(state, inFlight);
        return updateCordons(plan.cordons, handler)
                || updateDraining(plan.draining, handler)
                || propose(plan.proposals, handler);
    }

    private Plan plan(MaintenanceState state, InFlightCounts inFlight) {
        Plan plan = new Plan();
        boolean registered = isRegistered(state);
        if (!registered) {
            plan.proposals.add(new MaintenanceCommand.RegisterRouter(router, incarnation));
            plan.cordons.addAll(restoredCordons);
        }
        for (MaintenanceTask task : state.openTasks()) {
            Machine machine = state.machine(task.machine());
            if (!task.isActive() || machine == null) {
                continue;
            }
            if (!machine.isRouter()) {
                planNodeTask(task, inFlight, plan);
            } else if (machine.id().equals(router)) {
                planOwnTask(task, registered, inFlight, plan);
            }
        }
        return plan;
    }

    private void planNodeTask(MaintenanceTask task, InFlightCounts inFlight, Plan plan) {
        String node = task.machine();
        if (task.isCordoned()) {
            plan.cordons.add(node);
        }
        if (awaitsConfirmation(task)
                && cordoned.contains(node)
                && inFlight.partsInFlight(node) == 0) {
            plan.proposals.add(confirmDrained(task));
        }
    }

    private void planOwnTask(
            MaintenanceTask task, boolean registered, InFlightCounts inFlight, Plan plan) {
        boolean started = task.isStartedBy(incarnation);
        TaskState taskState = task.state();
        // A router that is restarted while it is out must not serve: its operator, who has been
        // told that it is out, would cut off its clients. The state must name this incarnation,
        // because a state from before its start may be outdated.
        boolean out = registered && task.isOut();
        plan.draining |= out || (started && taskState != TaskState.RETURNING);
        if (taskState == TaskState.GRANTED || (taskState == TaskState.DRAINING && !started)) {
            plan.proposals.add(
                    new MaintenanceCommand.StartDrain(router, task.fencingToken(), incarnation));
        } else if (taskState == TaskState.RETURNING && !draining && !task.isServingAgain()) {
            plan.proposals.add(new MaintenanceCommand.ConfirmServing(router, incarnation));
        } else if (awaitsConfirmation(task) && draining && inFlight.clientsInFlight() == 0) {
            plan.proposals.add(confirmDrained(task));
        }
    }

    private boolean awaitsConfirmation(MaintenanceTask task) {
        return task.state() == TaskState.DRAINING && !task.isDrainedBy(router, incarnation);
    }

    private MaintenanceCommand confirmDrained(MaintenanceTask task) {
        return new MaintenanceCommand.ConfirmDrained(
                task.machine(), task.fencingToken(), router, incarnation);
    }

    private boolean updateCordons(Set<String> planned, DrainHandler handler) {
        for (String node : planned) {
            if (cordoned.add(node)) {
                handler.setCordoned(node, true);
                return true;
            }
        }
        for (String node : cordoned) {
            if (!planned.contains(node)) {
                cordoned.remove(node);
                handler.setCordoned(node, false);
                return true;
            }
        }
        return false;
    }

    private boolean updateDraining(boolean planned, DrainHandler handler) {
        if (planned == draining) {
            return false;
        }
        draining = planned;
        handler.setDraining(planned);
        return true;
    }

    private boolean propose(List<MaintenanceCommand> planned, DrainHandler handler) {
        proposedAtUs.keySet().retainAll(planned);
        long nextDueUs = Long.MAX_VALUE;
        for (MaintenanceCommand command : planned) {
            long dueUs = proposedAtUs.getOrDefault(command, Long.MIN_VALUE / 2) + retryIntervalUs;
            if (nowUs >= dueUs) {
                proposedAtUs.put(command, nowUs);
                handler.propose(command);
                return true;
            }
            nextDueUs = Math.min(nextDueUs, dueUs);
        }
        if (nextDueUs != Long.MAX_VALUE && (nextDueUs < wakeAtUs || wakeAtUs <= nowUs)) {
            wakeAtUs = nextDueUs;
            handler.wakeAt(nextDueUs);
        }
        return false;
    }
}
