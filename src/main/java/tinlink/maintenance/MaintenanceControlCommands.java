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
 * Carries out operators' requests about maintenance. One that reads is answered at once from what this router
 * has heard; one that changes something is proposed, and answered with what came of that. Belongs to the
 * event loop's thread.
 */
final class MaintenanceControlCommands {
    private final MaintenanceService maintenance;
    private final ControlViews views;
    /** Null where policy is off. */
    private final PolicyRolloutService policy;

    /** @param policy null where it is off */
    MaintenanceControlCommands(
            MaintenanceService maintenance, ControlViews views, PolicyRolloutService policy) {
        this.maintenance = maintenance;
        this.views = views;
        this.policy = policy;
    }

    /** Carries out a request about maintenance; returns whether it is one. */
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

    /** Whoever leads does it as soon as that is safe; it is heard by asking who votes. */
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
            // Submitted before: what was selected then may be other machines by now, and is not
            // selected anew.
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
