package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All known requests and their tasks. The states of tasks change only through this class. */
final class TaskTable {
    /** By request id, its tasks; the oldest request first. {@link #dropFinished} bounds their number. */
    private final Map<String, List<MaintenanceTask>> requests = new LinkedHashMap<>();
    /** The unfinished tasks, in the order of their requests. */
    private final List<MaintenanceTask> open = new ArrayList<>();
    /**
     * Cache of the active tasks by machine id; null after a change until the next query. Without the cache,
     * each waiting task would search all open tasks: with 1000 requests, 1,000,000 steps for each command.
     */
    private Map<String, MaintenanceTask> activeTasks;

    private int taskCount;
    private long nextSequenceNumber;

    void copyFrom(TaskTable other) {
        other.requests.values().forEach(tasks -> tasks.forEach(this::addCopyOf));
        other.open.forEach(task -> open.add(ownCopyOf(task, other)));
        taskCount = other.taskCount;
        nextSequenceNumber = other.nextSequenceNumber;
    }

    private void addCopyOf(MaintenanceTask task) {
        requests.computeIfAbsent(task.request().id(), id -> new ArrayList<>())
                .add(new MaintenanceTask(task));
    }

    /** Returns the copy of another table's task that this table holds. */
    private MaintenanceTask ownCopyOf(MaintenanceTask task, TaskTable other) {
        String requestId = task.request().id();
        return requests.get(requestId).get(other.requests.get(requestId).indexOf(task));
    }

    /** Returns the tasks of each request, the oldest request first. */
    Collection<List<MaintenanceTask>> requests() {
        return requests.values();
    }

    /** Returns the tasks of a request; empty if the request is unknown or has been dropped. */
    List<MaintenanceTask> tasksOf(String request) {
        return requests.getOrDefault(request, List.of());
    }

    /** Returns a copy of the list of unfinished tasks, in the order of their requests. */
    List<MaintenanceTask> open() {
        return List.copyOf(open);
    }

    /** Returns the active task for a machine, or null if there is none. */
    MaintenanceTask activeTask(String machine) {
        if (activeTasks == null) {
            activeTasks = new HashMap<>();
            for (MaintenanceTask task : open) {
                if (task.isActive()) {
                    activeTasks.putIfAbsent(task.machine(), task);
                }
            }
        }
        return activeTasks.get(machine);
    }

    long nextSequenceNumber() {
        return nextSequenceNumber;
    }

    /** Adds a waiting task. */
    MaintenanceTask add(MaintenanceRequest request, String machine, long nowUs) {
        MaintenanceTask task = new MaintenanceTask(request, machine, nowUs, nextSequenceNumber++);
        restore(task);
        return task;
    }

    void enter(MaintenanceTask task, TaskState state, long nowUs) {
        activeTasks = null;
        task.setState(state, nowUs);
    }

    /** Moves the task to a final state. */
    void finish(MaintenanceTask task, TaskState state, String reason, long nowUs) {
        enter(task, state, nowUs);
        task.setReason(reason);
        task.grant().end();
        task.grant().forgetDrained();
        open.remove(task);
    }

    /**
     * Drops requests whose tasks are all finished, the oldest first, until at most this many tasks are left
     * or no such request is.
     */
    void dropFinished(int maxTasks) {
        Iterator<List<MaintenanceTask>> oldestFirst = requests.values().iterator();
        while (oldestFirst.hasNext() && taskCount > maxTasks) {
            List<MaintenanceTask> tasks = oldestFirst.next();
            if (tasks.stream().allMatch(MaintenanceTask::isFinished)) {
                taskCount -= tasks.size();
                oldestFirst.remove();
            }
        }
    }

    void restore(MaintenanceTask task) {
        requests.computeIfAbsent(task.request().id(), id -> new ArrayList<>()).add(task);
        taskCount++;
        if (!task.isFinished()) {
            open.add(task);
        }
    }

    /** Completes a restore, after all tasks have been restored. */
    void finishRestore(long nextNumber) {
        nextSequenceNumber = nextNumber;
        open.sort(Comparator.comparingLong(MaintenanceTask::sequenceNumber));
    }
}
