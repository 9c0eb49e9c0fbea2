package tinlink.maintenance;

import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MaintenanceCommand;
import tinlink.maintenance.scheduling.MaintenanceRequest;
import tinlink.maintenance.scheduling.MaintenanceState;
import tinlink.maintenance.scheduling.MaintenanceTask;
import tinlink.policy.PolicyRolloutService;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Executes operators' requests about maintenance. A request that only reads is answered at once from the log
 * entries that this router has applied; a request that changes something is proposed and answered with the
 * outcome of the proposal. Not thread-safe: all calls come from the event loop's thread.
 */
final class MaintenanceControlCommands {
    private final MaintenanceService maintenance;
    private final ControlViews views;
    /** Null if policy is off. */
    private final PolicyRolloutService policy;

    /** @param policy null if policy is off */
    MaintenanceControlCommands(
            MaintenanceService maintenance, ControlViews views, PolicyRolloutService policy) {
        this.maintenance = maintenance;
        this.views = views;
        this.policy = policy;
    }

    /** Executes a request about maintenance. Returns false, without an answer, for any other request. */
    boolean execute(ControlRequest request, ControlResponder responder) {
        if (request instanceof ControlRequest.Submit submit) {
            submit(submit, responder);
        } else if (request instanceof ControlRequest.ListRequests) {
            listRequests(responder);
        } else if (request instanceof ControlRequest.ShowRequest showRequest) {
            showRequest(showRequest.requestId(), responder);
        } else if (request instanceof ControlRequest.ListMachines) {
            listMachines(responder);
        } else if (request instanceof ControlRequest.ShowRouter) {
            responder.respond(ControlResponder.OK, views.withLeader(maintenance.status()));
        } else if (request instanceof ControlRequest.Complete complete) {
            propose(
                    new MaintenanceCommand.CompleteWork(
                            complete.requestId(), complete.machine(), complete.lost()),
                    responder);
        } else if (request instanceof ControlRequest.Cancel cancel) {
            propose(
                    new MaintenanceCommand.CancelRequest(cancel.requestId(), cancel.reason()),
                    responder);
        } else if (request instanceof ControlRequest.RemoveRouter removeRouter) {
            removeRouter(removeRouter.router(), responder);
        } else if (request instanceof ControlRequest.ReplaceVoter replaceVoter) {
            replaceVoter(replaceVoter, responder);
        } else {
            return false;
        }
        return true;
    }

    private MaintenanceState state() {
        return maintenance.state();
    }

    private void listRequests(ControlResponder responder) {
        List<Object> requests = new ArrayList<>();
        state().requests().forEach(tasks -> requests.add(views.request(tasks)));
        responder.respond(ControlResponder.OK, views.withLeader(Map.of("requests", requests)));
    }

    private void showRequest(String requestId, ControlResponder responder) {
        List<MaintenanceTask> tasks = state().tasksOf(requestId);
        if (tasks.isEmpty()) {
            responder.respond(
                    ControlResponder.NOT_FOUND,
                    views.withLeader(Map.of(
                            "said", "no request has that id, as far as this router has heard")));
        } else {
            responder.respond(
                    ControlResponder.OK, views.withLeader(Map.of("request", views.request(tasks))));
        }
    }

    private void listMachines(ControlResponder responder) {
        List<Object> machines = new ArrayList<>();
        state().machines().forEach(machine -> machines.add(views.machine(machine)));
        responder.respond(ControlResponder.OK, views.withLeader(Map.of("machines", machines)));
    }

    private void propose(MaintenanceCommand command, ControlResponder responder) {
        maintenance.propose(command, responder::respondProposal);
    }

    private void removeRouter(String router, ControlResponder responder) {
        String incarnation = state().incarnation(router);
        if (policy != null) {
            policy.removeRouter(router);
        }
        if (incarnation == null) {
            responder.respond(ControlResponder.OK, Map.of("said", ""));
        } else {
            propose(new MaintenanceCommand.RemoveRouter(router, incarnation), responder);
        }
    }

    /**
     * Passes the replacement on. The leader replaces the voter once that is safe; the list of voters in a
     * router's status shows the result.
     */
    private void replaceVoter(ControlRequest.ReplaceVoter request, ControlResponder responder) {
        maintenance.cluster().replaceVoter(request.voter(), request.replacement());
        String message = maintenance.cluster().leader().isEmpty()
                ? "nobody is known to lead: ask again"
                : "";
        responder.respond(ControlResponder.OK, views.withLeader(Map.of("said", message)));
    }

    private void submit(ControlRequest.Submit request, ControlResponder responder) {
        List<MaintenanceTask> known = state().tasksOf(request.requestId());
        if (!known.isEmpty()) {
            // The request was submitted before. Its selectors may match other machines by now, so
            // they are not evaluated again.
            responder.respond(
                    ControlResponder.OK, Map.of("said", "", "request", views.request(known)));
            return;
        }
        Set<String> machines = new TreeSet<>();
        for (String selector : request.selectors()) {
            List<String> selected = select(selector);
            if (selected.isEmpty() && MachineSelector.isLabelSelector(selector)) {
                responder.respond(
                        ControlResponder.BAD_REQUEST,
                        Map.of("said", "no machine is meant by " + selector));
                return;
            }
            machines.addAll(selected.isEmpty() ? List.of(selector) : selected);
        }
        propose(
                new MaintenanceCommand.SubmitRequest(new MaintenanceRequest(
                        request.requestId(),
                        List.copyOf(machines),
                        request.durationUs(),
                        request.startWithinUs(),
                        request.urgency(),
                        request.author(),
                        request.reason())),
                responder);
    }

    private List<String> select(String selector) {
        return state().machines().stream()
                .filter(machine -> MachineSelector.matches(selector, machine))
                .map(Machine::id)
                .toList();
    }
}
