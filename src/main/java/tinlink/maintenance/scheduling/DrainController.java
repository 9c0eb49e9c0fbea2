package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one router does by the order that all agree on: which data nodes it leaves out, when it says
 * that it is done with one, and when it lets its own clients go. It acts by what it knows to be
 * agreed, never by a time.
 *
 * <p>What it says may get lost, so it is said again while it still follows from what stands. An old
 * copy of the order does no harm: a grant that is over is refused as it is begun, and a router that
 * drains by one that was called off counts as away until it has said that it serves.
 */
public final class DrainController {
    /** What becomes of decisions. */
    public interface DrainHandler {
        /** Says it to whoever leads; it may get lost. */
        void propose(String line);

        /** From now on nothing new goes to this data node, or again as usual. */
        void setCordoned(String machine, boolean cordoned);

        /** This router lets its clients go, or serves them again. */
        void setDraining(boolean draining);

        void wakeAt(long atUs);
    }

    /** How it stands with what this router has in hand. */
    public interface InFlightCounts {
        /** Part calls that are open at this data node, or wait to be sent there. */
        int partsInFlight(String machine);

        /** Clients that are here, and part calls that are open for them at any data node. */
        int clientsInFlight();
    }

    private final String router;
    private final String incarnation;
    private final long retryIntervalUs;
    private final Set<String> restoredCordons;
    private final Set<String> cordoned = new TreeSet<>();
    private boolean draining;
    /** When each line was last said; those that no longer follow leave. */
    private final Map<String, Long> proposedAtUs = new HashMap<>();

    private long nowUs;
    private long wakeAtUs = Long.MAX_VALUE;

    /** @param retryIntervalUs what got lost is said again after so long */
    public DrainController(String router, String incarnation, long retryIntervalUs) {
        this(router, incarnation, retryIntervalUs, Set.of());
    }

    /**
     * @param restoredCordons what the incarnation before this one left out: so does this one until it knows
     * better
     */
    public DrainController(
            String router, String incarnation, long retryIntervalUs, Set<String> restoredCordons) {
        this.restoredCordons = Set.copyOf(restoredCordons);
        this.router = router;
        this.incarnation = incarnation;
        this.retryIntervalUs = retryIntervalUs;
    }

    public void setTime(long timeUs) {
        nowUs = timeUs;
    }

    /** Whether this router lets its clients go. */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Danger: a router that has just started knows of no work, and nobody waits for its word, since
     * only its earlier incarnation is known; what it sends goes to machines that are out. So it serves
     * once its incarnation is agreed on, or has been awaited for long enough: serving never depends on
     * agreement.
     */
    public boolean isRegistered(MaintenanceStateMachine stateMachine) {
        return stateMachine.incarnations(router, incarnation);
    }

    /** One decision; false when there is none. */
    public boolean decide(
            MaintenanceStateMachine stateMachine, InFlightCounts inFlight, DrainHandler handler) {
        Set<String> toCordon = new TreeSet<>();
        List<String> lines = new ArrayList<>();
        boolean shouldDrain = false;
        if (!isRegistered(stateMachine)) {
            lines.add(MaintenanceStateMachine.routerLine(router, incarnation));
            toCordon.addAll(restoredCordons);
        }
        for (MaintenanceTask task : stateMachine.openTasks()) {
            Machine machine = stateMachine.machine(task.machine());
            if (!task.isActive() || machine == null) {
                continue;
            }
            boolean isOwnMachine = machine.isRouter() && machine.id().equals(router);
            if (!machine.isRouter() && task.isCordoned()) {
                toCordon.add(machine.id());
            }
            boolean awaitsOwnConfirmation =
                    task.state() == TaskState.DRAINING && !task.isDrainedBy(router, incarnation);
            if (isOwnMachine) {
                boolean isStartedHere = task.isStartedBy(incarnation);
                // Danger: started again while it is out, it would serve, and its operator, who has
                // been told
                // that it is out, would take it from under its clients.
                // Only by an order that knows of this start: one from before it is history.
                boolean isOut = isRegistered(stateMachine)
                        && (task.state() == TaskState.OUT || task.state() == TaskState.OVERDUE);
                shouldDrain |= isOut || (isStartedHere && task.state() != TaskState.RETURNING);
                if (task.state() == TaskState.GRANTED
                        || (task.state() == TaskState.DRAINING && !isStartedHere)) {
                    lines.add(MaintenanceStateMachine.beginLine(
                            router, task.fencingToken(), incarnation));
                } else if (task.state() == TaskState.RETURNING
                        && !draining
                        && !task.servingAgain()) {
                    lines.add(MaintenanceStateMachine.servingLine(router, incarnation));
                } else if (awaitsOwnConfirmation && draining && inFlight.clientsInFlight() == 0) {
                    lines.add(MaintenanceStateMachine.drainedLine(
                            router, task.fencingToken(), router, incarnation));
                }
            } else if (!machine.isRouter()
                    && awaitsOwnConfirmation
                    && cordoned.contains(machine.id())
                    && inFlight.partsInFlight(machine.id()) == 0) {
                lines.add(MaintenanceStateMachine.drainedLine(
                        machine.id(), task.fencingToken(), router, incarnation));
            }
        }
        return updateCordons(toCordon, handler)
                || updateDraining(shouldDrain, handler)
                || propose(lines, handler);
    }

    private boolean updateCordons(Set<String> toCordon, DrainHandler handler) {
        for (String node : toCordon) {
            if (cordoned.add(node)) {
                handler.setCordoned(node, true);
                return true;
            }
        }
        for (String node : cordoned) {
            if (!toCordon.contains(node)) {
                cordoned.remove(node);
                handler.setCordoned(node, false);
                return true;
            }
        }
        return false;
    }

    private boolean updateDraining(boolean shouldDrain, DrainHandler handler) {
        if (shouldDrain == draining) {
            return false;
        }
        draining = shouldDrain;
        handler.setDraining(shouldDrain);
        return true;
    }

    private boolean propose(List<String> lines, DrainHandler handler) {
        proposedAtUs.keySet().retainAll(lines);
        long nextDueUs = Long.MAX_VALUE;
        for (String line : lines) {
            long dueUs = proposedAtUs.getOrDefault(line, Long.MIN_VALUE / 2) + retryIntervalUs;
            if (nowUs >= dueUs) {
                proposedAtUs.put(line, nowUs);
                handler.propose(line);
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
