package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.MS;
import static tinlink.experiment.simulation.Simulation.SEC;

import tinlink.maintenance.scheduling.MaintenanceCommand;
import tinlink.maintenance.scheduling.MaintenanceRequest;
import tinlink.maintenance.scheduling.MaintenanceTask;
import tinlink.maintenance.scheduling.TaskState;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Operators who ask for machines, look at some router now and then, and do what it says that may be done. */
final class MaintenanceOperators {
    private static final long WORK_US = 3 * SEC;
    private static final long LOOK_LEAST_US = 200 * MS;
    private static final long LOOK_MORE_US = 400 * MS;

    private final MaintenanceFleet fleet;
    private final MaintenanceChecks checks;
    /** Ids of requests, in the order in which they were made. */
    private final Set<String> asked = new LinkedHashSet<>();

    private final Set<String> calledOff = new HashSet<>();
    /** By request and machine, when its operator took it. */
    private final Map<String, Long> takenAt = new HashMap<>();

    private int taken;
    private int finished;

    MaintenanceOperators(MaintenanceFleet fleet) {
        this.fleet = fleet;
        checks = new MaintenanceChecks(fleet);
    }

    /** Machines that were taken out. */
    int taken() {
        return taken;
    }

    /** Pieces of work that were done to their end. */
    int finished() {
        return finished;
    }

    void ask(String id, List<String> machines) {
        int urgency = fleet.simulation.random.nextInt(10);
        asked.add(id);
        tend(new MaintenanceRequest(id, machines, WORK_US, Long.MAX_VALUE, urgency, "op", "work"));
    }

    void callOff(String id) {
        if (asked.contains(id)) {
            calledOff.add(id);
        }
    }

    /** Requests that nobody has heard of. */
    List<String> lost() {
        return asked.stream().filter(id -> fleet.truth().tasksOf(id).isEmpty()).toList();
    }

    boolean allOver() {
        return fleet.truth().openTasks().isEmpty()
                && asked.stream().noneMatch(id -> fleet.truth().tasksOf(id).isEmpty());
    }

    private void tend(MaintenanceRequest request) {
        SimulatedRouter router = fleet.anyRunning();
        if (router != null && isOver(request, router)) {
            return;
        }
        long next = LOOK_LEAST_US + fleet.simulation.random.nextLong(LOOK_MORE_US);
        fleet.simulation.scheduleIn(next, () -> tend(request));
    }

    /** Looks at that router and acts; @return whether all of the request is over by what it says */
    private boolean isOver(MaintenanceRequest request, SimulatedRouter router) {
        List<MaintenanceTask> pieces = router.order().tasksOf(request.id());
        if (pieces.isEmpty()) {
            router.propose(new MaintenanceCommand.SubmitRequest(request));
        } else if (pieces.stream().allMatch(MaintenanceTask::isFinished)) {
            finished += (int) pieces.stream()
                    .filter(task -> task.state() == TaskState.COMPLETED)
                    .count();
            return true;
        }
        if (calledOff.contains(request.id())
                && pieces.stream().anyMatch(MaintenanceOperators::mayBeCalledOff)) {
            router.propose(new MaintenanceCommand.CancelRequest(request.id(), "called off"));
        }
        pieces.forEach(task -> tend(request, task, router));
        return false;
    }

    private static boolean mayBeCalledOff(MaintenanceTask task) {
        return task.state() == TaskState.WAITING
                || task.state() == TaskState.GRANTED
                || task.state() == TaskState.DRAINING;
    }

    private void tend(MaintenanceRequest request, MaintenanceTask task, SimulatedRouter router) {
        String key = request.id() + "/" + task.machine();
        boolean out = task.state() == TaskState.OUT
                || (task.state() == TaskState.OVERDUE && task.isActive());
        if (!out) {
            return;
        }
        Long since = takenAt.putIfAbsent(key, fleet.simulation.now());
        if (since == null) {
            taken++;
            takeOut(request, task);
        } else if (fleet.simulation.now() - since > request.durationUs() / 2) {
            giveBack(request, task);
            router.propose(
                    new MaintenanceCommand.CompleteWork(request.id(), task.machine(), false));
        }
    }

    private void takeOut(MaintenanceRequest request, MaintenanceTask task) {
        SimulatedRouter router = fleet.routers.get(task.machine());
        if (router != null) {
            checks.taken(router);
            router.stoppedForWork = true;
            if (router.up) {
                router.kill();
            }
            return;
        }
        SimulatedDataNode node = fleet.nodes.get(task.machine());
        checks.taken(node, request, task);
        node.takenBy = request.id();
        node.up = false;
        node.since = fleet.simulation.now();
    }

    private void giveBack(MaintenanceRequest request, MaintenanceTask task) {
        SimulatedRouter router = fleet.routers.get(task.machine());
        if (router != null) {
            if (router.stoppedForWork) {
                router.stoppedForWork = false;
                router.start();
            }
            return;
        }
        SimulatedDataNode node = fleet.nodes.get(task.machine());
        if (request.id().equals(node.takenBy)) {
            node.takenBy = null;
            node.up = true;
            node.since = fleet.simulation.now();
        }
    }
}
