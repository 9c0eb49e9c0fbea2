package tinlink.maintenance;

import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MaintenanceRequest;
import tinlink.maintenance.scheduling.MaintenanceState;
import tinlink.maintenance.scheduling.MaintenanceTask;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Converts requests and machines to the JSON objects shown to operators, whose tools depend on the keys. */
final class ControlViews {
    private static final int MICROS_PER_MILLI = 1000;

    private final MaintenanceService maintenance;

    ControlViews(MaintenanceService maintenance) {
        this.maintenance = maintenance;
    }

    private MaintenanceState state() {
        return maintenance.state();
    }

    /** Adds the answering router and the leader that it knows to an answer. */
    Map<String, Object> withLeader(Map<String, ?> answer) {
        String leader = maintenance.cluster().leader();
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("said", "");
        view.put("router", maintenance.cluster().incarnation().router());
        view.put("leader", leader);
        if (leader.isEmpty()) {
            view.put(
                    "note",
                    "nobody is known to lead: nothing is granted until most voters are there");
        }
        view.putAll(answer);
        return view;
    }

    /**
     * The view of a request.
     *
     * @param tasks all tasks of the request; at least one
     */
    Map<String, Object> request(List<MaintenanceTask> tasks) {
        MaintenanceRequest request = tasks.get(0).request();
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("id", request.id());
        view.put("for_ms", request.durationUs() / MICROS_PER_MILLI);
        view.put("urgency", request.urgency());
        view.put("author", request.author());
        view.put("reason", request.reason());
        view.put("over", tasks.stream().allMatch(MaintenanceTask::isFinished));
        List<Object> machines = new ArrayList<>();
        tasks.forEach(task -> machines.add(task(task)));
        view.put("machines", machines);
        return view;
    }

    private Map<String, Object> task(MaintenanceTask task) {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("machine", task.machine());
        view.put("state", task.state().label());
        view.put("why", task.reason());
        view.put("fence", task.fencingToken());
        view.put("away", task.isActive());
        view.put("since_ms", (state().agreedTimeUs() - task.stateSinceUs()) / MICROS_PER_MILLI);
        return view;
    }

    /** The view of a machine, with the request that currently takes it out of service. */
    Map<String, Object> machine(Machine machine) {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("id", machine.id());
        view.put("kind", machine.isRouter() ? "router" : "node");
        if (!machine.isRouter()) {
            view.put("cell", machine.cell());
        }
        view.put("zone", machine.zone());
        view.put("site", machine.site());
        view.put("voter", machine.voter());
        view.put("sound", state().isHealthy(machine.id()));
        MaintenanceTask activeTask = state().activeTask(machine.id());
        view.put("away", activeTask == null ? "" : activeTask.request().id());
        return view;
    }
}
