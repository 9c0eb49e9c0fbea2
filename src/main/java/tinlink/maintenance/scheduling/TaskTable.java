package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The requests that are known and their tasks; states of tasks change only through it. */
final class TaskTable {
    /** By id of the request, the oldest first; see {@link #dropFinished}. */
    private final Map<String, List<MaintenanceTask>> requests = new LinkedHashMap<>();
    /** Tasks that are not finished, in the order in which they were requested. */
    private final List<MaintenanceTask> open = new ArrayList<>();
    /**
     * Active tasks by machine; null after a change until somebody asks. Danger: searched for among all open
     * tasks for each one that waits, a thousand requests made each command a million steps.
     */
    private Map<String, MaintenanceTask> activeTasks;

    private int taskCount;
    private long nextSequenceNumber;

    void copyFrom(TaskTable other) {
        other.requests.values().forEach(tasks -> tasks.forEach(this::addTo));
        other.open.forEach(task -> open.add(copyOf(task, other)));
        taskCount = other.taskCount;
        nextSequenceNumber = other.nextSequenceNumber;
    }

    private void addTo(MaintenanceTask task) {
        requests.computeIfAbsent(task.request().id(), id -> new ArrayList<>())
                .add(new MaintenanceTask(task));
    }

    private MaintenanceTask copyOf(MaintenanceTask task, TaskTable other) {
        String requestId = task.request().id();
        return requests.get(requestId).get(other.requests.get(requestId).indexOf(task));
    }

    /** The tasks of each request. */
    Collection<List<MaintenanceTask>> requests() {
        return requests.values();
    }

    /** The tasks of a request; empty where it is not known, or not any more. */
    List<MaintenanceTask> tasksOf(String request) {
        return requests.getOrDefault(request, List.of());
    }

    /** A copy of the tasks that are not finished. */
    List<MaintenanceTask> open() {
        return List.copyOf(open);
    }

    /** The active task for a machine; null where there is none. */
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

    /** Adds a task that waits. */
    MaintenanceTask add(MaintenanceRequest request, String machine, long nowUs) {
        MaintenanceTask task = new MaintenanceTask(request, machine, nowUs, nextSequenceNumber++);
        restore(task);
        return task;
    }

    void enter(MaintenanceTask task, TaskState state, long nowUs) {
        activeTasks = null;
        task.setState(state, nowUs);
    }

    /** Enters a state in which the task is finished. */
    void finish(MaintenanceTask task, TaskState state, String reason, long nowUs) {
        enter(task, state, nowUs);
        task.setReason(reason);
        task.grant().end();
        task.grant().forgetDrained();
        open.remove(task);
    }

    /** Drops requests of which all tasks are finished, the oldest first, down to so many tasks. */
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

    /** Ends a restore. */
    void restored(long sequenceNumber) {
        nextSequenceNumber = sequenceNumber;
        open.sort(Comparator.comparingLong(MaintenanceTask::sequenceNumber));
    }
}
