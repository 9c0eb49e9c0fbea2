package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one router does by the agreed state: which data nodes it cordons, when it confirms that it has nothing
 * in flight there, and when it drains its own clients. It acts by what it knows to be agreed, never by a
 * time.
 *
 * <p>What it proposes may get lost, so it proposes it again while it still follows from the state. An old
 * copy of the state does no harm: a grant that has ended is rejected as it is started, and a router that
 * drains by a task that was cancelled counts as out until it has confirmed that it serves. Belongs to one
 * thread.
 */
public final class DrainController {
    /** Carries out what is decided. */
    public interface DrainHandler {
        /** Proposes a command to whoever leads; it may get lost. */
        void propose(MaintenanceCommand command);

        /** Whether nothing new goes to this data node from now on, or again as usual. */
        void setCordoned(String machine, boolean cordoned);

        /** Whether this router lets its clients finish and go from now on, or serves them again. */
        void setDraining(boolean draining);

        /** Has {@link #decide} called at that time, microseconds. */
        void wakeAt(long atUs);
    }

    /** What this router has in flight. */
    public interface InFlightCounts {
        /** Parts in flight at this data node, or queued for it. */
        int partsInFlight(String machine);

        /** Clients that are connected, and parts in flight for them at any data node. */
        int clientsInFlight();
    }

    /** What follows from the state for this router. */
    private static final class Plan {
        final Set<String> cordons = new TreeSet<>();
        final List<MaintenanceCommand> proposals = new ArrayList<>();
        boolean drain;
    }

    private final String router;
    private final String incarnation;
    private final long retryIntervalUs;
    private final Set<String> restoredCordons;
    private final Set<String> cordoned = new TreeSet<>();
    private boolean draining;
    /** When each command was last proposed; those that no longer follow leave. */
    private final Map<MaintenanceCommand, Long> proposedAtUs = new HashMap<>();

    private long nowUs;
    private long wakeAtUs = Long.MAX_VALUE;

    /** @param retryIntervalUs what got lost is proposed again after so long, microseconds */
    public DrainController(String router, String incarnation, long retryIntervalUs) {
        this(router, incarnation, retryIntervalUs, Set.of());
    }

    /**
     * @param retryIntervalUs what got lost is proposed again after so long, microseconds
     * @param restoredCordons what the previous incarnation cordoned: so does this one until it knows better
     */
    public DrainController(
            String router, String incarnation, long retryIntervalUs, Set<String> restoredCordons) {
        this.restoredCordons = Set.copyOf(restoredCordons);
        this.router = router;
        this.incarnation = incarnation;
        this.retryIntervalUs = retryIntervalUs;
    }

    /**
     * Sets the time of what is decided from here on, in microseconds.
     *
     * @param timeUs of a clock that only goes forward
     */
    public void setTime(long timeUs) {
        nowUs = timeUs;
    }

    /** Whether this router drains its clients. */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Danger: a router that has just started knows of no maintenance, and nobody waits for its confirmation,
     * since only its previous incarnation is known; what it sends goes to machines that are out. So it serves
     * once its incarnation is agreed on, or has been awaited for long enough: serving never depends on
     * consensus.
     */
    public boolean isRegistered(MaintenanceState state) {
        return state.isCurrent(router, incarnation);
    }

    /** Carries out one decision; false when there is none. */
    public boolean decide(MaintenanceState state, InFlightCounts inFlight, DrainHandler handler) {
        Plan plan = plan(state, inFlight);
        return updateCordons(plan.cordons, handler)
                || updateDraining(plan.drain, handler)
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
                planNode(task, inFlight, plan);
            } else if (machine.id().equals(router)) {
                planOwn(task, registered, inFlight, plan);
            }
        }
        return plan;
    }

    private void planNode(MaintenanceTask task, InFlightCounts inFlight, Plan plan) {
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

    private void planOwn(
            MaintenanceTask task, boolean registered, InFlightCounts inFlight, Plan plan) {
        boolean started = task.isStartedBy(incarnation);
        TaskState taskState = task.state();
        // Danger: started again while it is out, it would serve, and its operator, who has been
        // told that it is
        // out, would take it from under its clients. Only by a state that knows of this start: one
        // from before
        // it is history.
        boolean isOut = registered && task.isOut();
        plan.drain |= isOut || (started && taskState != TaskState.RETURNING);
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
