package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * What all routers have agreed on about maintenance: limits, machines, routers, requests with their tasks,
 * and agreed time. It changes only through {@link MaintenanceStateMachine}; others read it. Belongs to one
 * thread.
 */
public final class MaintenanceState {
    private DisruptionLimits limits;
    private final MachineTable machines = new MachineTable();
    /** Routers that may serve clients: of each its newest incarnation. */
    private final Map<String, String> incarnations = new TreeMap<>();

    private final TaskTable tasks = new TaskTable();
    private long agreedTimeUs;
    private long lastFencingToken;

    /** @param limits {@link DisruptionLimits#UNSET} where none have been agreed on */
    MaintenanceState(DisruptionLimits limits) {
        this.limits = limits;
    }

    /** A copy that changes on its own from here; what never changes is shared. */
    MaintenanceState copy() {
        MaintenanceState copy = new MaintenanceState(limits);
        copy.machines.copyFrom(machines);
        copy.incarnations.putAll(incarnations);
        copy.tasks.copyFrom(tasks);
        copy.agreedTimeUs = agreedTimeUs;
        copy.lastFencingToken = lastFencingToken;
        return copy;
    }

    /** Those that were agreed on; nothing is granted before. */
    public DisruptionLimits limits() {
        return limits;
    }

    /** Whether limits have been agreed on. */
    @SuppressWarnings("ReferenceEquality") // UNSET is one object; agreed limits may equal it.
    public boolean hasLimits() {
        return limits != DisruptionLimits.UNSET;
    }

    /**
     * Agreed time, microseconds: the sum of what leaders say has passed, by clocks that only go forward. It
     * stands still while there is no leader.
     */
    public long agreedTimeUs() {
        return agreedTimeUs;
    }

    /** Of each router that may serve clients, its newest incarnation. */
    public Stream<String> incarnations() {
        return incarnations.values().stream();
    }

    /** The incarnation of a router that counts as one that may serve clients; null where none does. */
    public String incarnation(String router) {
        return incarnations.get(router);
    }

    /** Whether this incarnation of this router counts as one that may serve clients. */
    public boolean isCurrent(String router, String incarnation) {
        return incarnation.equals(incarnations.get(router));
    }

    /** The data nodes among the machines, against which lists are compared; cached until they change. */
    public AgreedNodes agreedNodes() {
        return machines.agreedNodes();
    }

    /** All machines, by their ids. */
    public Collection<Machine> machines() {
        return machines.all();
    }

    /** The machine with that id; null where there is none. */
    public Machine machine(String machineId) {
        return machines.get(machineId);
    }

    /** Whether the machine is healthy, by what most of those that watch it have found. */
    public boolean isHealthy(String machine) {
        return machines.isHealthy(machine);
    }

    /** The tasks of each request, the oldest request first. */
    public Collection<List<MaintenanceTask>> requests() {
        return tasks.requests();
    }

    /** The tasks of a request; empty where it is not known, or not any more. */
    public List<MaintenanceTask> tasksOf(String request) {
        return tasks.tasksOf(request);
    }

    /** A copy of the tasks that are not finished, in the order in which they were requested. */
    public List<MaintenanceTask> openTasks() {
        return tasks.open();
    }

    /** The task by which a machine can't be counted on; null where there is none. */
    public MaintenanceTask activeTask(String machine) {
        return tasks.activeTask(machine);
    }

    void setLimits(DisruptionLimits agreed) {
        limits = agreed;
    }

    void advanceTime(long elapsedUs) {
        agreedTimeUs += elapsedUs;
    }

    Map<String, String> routers() {
        return incarnations;
    }

    MachineTable machineTable() {
        return machines;
    }

    TaskTable taskTable() {
        return tasks;
    }

    long lastFencingToken() {
        return lastFencingToken;
    }

    long nextFencingToken() {
        return ++lastFencingToken;
    }

    void restoreCounters(long timeUs, long fencingToken) {
        agreedTimeUs = timeUs;
        lastFencingToken = fencingToken;
    }

    void enter(MaintenanceTask task, TaskState state) {
        tasks.enter(task, state, agreedTimeUs);
    }

    /** Enters a state in which the task is finished. */
    void finish(MaintenanceTask task, TaskState state, String reason) {
        tasks.finish(task, state, reason, agreedTimeUs);
    }
}
