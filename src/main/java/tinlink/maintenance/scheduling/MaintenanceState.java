package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The replicated state of maintenance: limits, machines, routers, requests with their tasks, and agreed time.
 * All routers reach it by applying the commands of the replicated log. Only {@link MaintenanceStateMachine}
 * changes it; all other classes read it. Not thread-safe.
 */
public final class MaintenanceState {
    private DisruptionLimits limits;
    private final MachineTable machines = new MachineTable();
    /** By name of a router that may serve clients, its newest incarnation. */
    private final Map<String, String> incarnationByRouter = new TreeMap<>();

    private final TaskTable tasks = new TaskTable();
    private long agreedTimeUs;
    private long lastFencingToken;

    /** @param limits {@link DisruptionLimits#UNSET} if none have been agreed on */
    MaintenanceState(DisruptionLimits limits) {
        this.limits = limits;
    }

    /** Returns an independent copy, which shares only immutable objects. */
    MaintenanceState copy() {
        MaintenanceState copy = new MaintenanceState(limits);
        copy.machines.copyFrom(machines);
        copy.incarnationByRouter.putAll(incarnationByRouter);
        copy.tasks.copyFrom(tasks);
        copy.agreedTimeUs = agreedTimeUs;
        copy.lastFencingToken = lastFencingToken;
        return copy;
    }

    /** Returns the agreed limits, or {@link DisruptionLimits#UNSET} before any have been agreed on. */
    public DisruptionLimits limits() {
        return limits;
    }

    /** Returns whether limits have been agreed on. */
    @SuppressWarnings("ReferenceEquality") // UNSET is one object; agreed limits may equal it.
    public boolean hasLimits() {
        return limits != DisruptionLimits.UNSET;
    }

    /**
     * Returns agreed time in microseconds: the sum of the times that leaders have measured by their monotonic
     * clocks and committed to the log. It stops while there is no leader, or no open task.
     */
    public long agreedTimeUs() {
        return agreedTimeUs;
    }

    /** Returns the newest incarnation of each router that may serve clients. */
    public Stream<String> incarnations() {
        return incarnationByRouter.values().stream();
    }

    /** Returns the newest incarnation of a router that may serve clients, or null if there is none. */
    public String incarnation(String router) {
        return incarnationByRouter.get(router);
    }

    /** Returns whether this incarnation is the newest one of a router that may serve clients. */
    public boolean isCurrent(String router, String incarnation) {
        return incarnation.equals(incarnationByRouter.get(router));
    }

    /** Returns the data nodes among the machines, with which endpoint lists are compared; cached. */
    public AgreedNodes agreedNodes() {
        return machines.agreedNodes();
    }

    /** Returns all machines, sorted by id. */
    public Collection<Machine> machines() {
        return machines.all();
    }

    /** Returns the machine with this id, or null if there is none. */
    public Machine machine(String machineId) {
        return machines.get(machineId);
    }

    /** Returns whether the machine is healthy, as most of the routers that watch it have reported it. */
    public boolean isHealthy(String machine) {
        return machines.isHealthy(machine);
    }

    /** Returns the tasks of each request, the oldest request first. */
    public Collection<List<MaintenanceTask>> requests() {
        return tasks.requests();
    }

    /** Returns the tasks of a request; empty if the request is unknown or has been dropped. */
    public List<MaintenanceTask> tasksOf(String request) {
        return tasks.tasksOf(request);
    }

    /** Returns a copy of the list of unfinished tasks, in the order of their requests. */
    public List<MaintenanceTask> openTasks() {
        return tasks.open();
    }

    /** Returns the task that makes a machine unavailable, or null if there is none. */
    public MaintenanceTask activeTask(String machine) {
        return tasks.activeTask(machine);
    }

    void setLimits(DisruptionLimits agreed) {
        limits = agreed;
    }

    void advanceTime(long elapsedUs) {
        agreedTimeUs += elapsedUs;
    }

    Map<String, String> incarnationByRouter() {
        return incarnationByRouter;
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

    /** Moves the task to a final state. */
    void finish(MaintenanceTask task, TaskState state, String reason) {
        tasks.finish(task, state, reason, agreedTimeUs);
    }
}
