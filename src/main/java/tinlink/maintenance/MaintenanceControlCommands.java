package tinlink.maintenance;

import tinlink.config.ConfigFile;
import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MaintenanceRequest;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;
import tinlink.maintenance.scheduling.MaintenanceTask;
import tinlink.policy.PolicyRolloutService;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * An operator's commands about work on machines. A command that reads is answered at once from what this
 * router has heard; one that changes something is put to the vote, and answered with what came of that.
 */
final class MaintenanceControlCommands {
    private static final int MAX_SELECTORS = 1000;
    /** Milliseconds. */
    private static final double MAX_DURATION_MS = 1e10;

    private final MaintenanceService maintenance;
    private final ControlViews views;
    /** Null where policy is off. */
    private final PolicyControlCommands policyCommands;

    private final PolicyRolloutService policyRollout;

    /** @param policyRollout null where it is off */
    MaintenanceControlCommands(MaintenanceService maintenance, PolicyRolloutService policyRollout) {
        this.maintenance = maintenance;
        this.policyRollout = policyRollout;
        views = new ControlViews(maintenance);
        policyCommands =
                policyRollout == null ? null : new PolicyControlCommands(policyRollout, views);
    }

    /**
     * @throws tinlink.config.InvalidInputException where the request can't be understood; it names the field
     */
    void execute(ConfigFile request, ControlConnection connection) {
        String command = request.text("do");
        if (command.startsWith(PolicyControlCommands.PREFIX)) {
            if (policyCommands == null) {
                throw request.invalid(
                        "do", "is of policy, which is off here: 'policy' in the work file");
            }
            policyCommands.execute(command, request, connection);
            return;
        }
        switch (command) {
            case "ask" -> submitRequest(request, connection);
            case "list" -> list(request, connection);
            case "show" -> show(request, connection);
            case "machines" -> machines(request, connection);
            case "router" -> router(request, connection);
            case "done" ->
                propose(
                        MaintenanceStateMachine.doneLine(
                                request.text("id"),
                                request.text("machine", ""),
                                request.flag("lost", false)),
                        request,
                        connection);
            case "call-off" ->
                propose(
                        MaintenanceStateMachine.cancelLine(
                                request.text("id"), request.text("why", "called off")),
                        request,
                        connection);
            case "ended" -> removeRouter(request, connection);
            case "seat" -> replaceVoter(request, connection);
            default ->
                throw request.invalid(
                        "do",
                        "is none of ask, list, show, machines, router, done, "
                                + "call-off, ended, seat: " + command);
        }
    }

    private MaintenanceStateMachine stateMachine() {
        return maintenance.stateMachine();
    }

    // ---- What is read. ----

    private void list(ConfigFile request, ControlConnection connection) {
        request.rejectUnknownKeys();
        List<Object> requests = new ArrayList<>();
        stateMachine().requests().forEach(tasks -> requests.add(views.request(tasks)));
        connection.respond(ControlConnection.OK, views.withLeader(Map.of("requests", requests)));
    }

    private void show(ConfigFile request, ControlConnection connection) {
        String id = request.text("id");
        request.rejectUnknownKeys();
        List<MaintenanceTask> tasks = stateMachine().tasksOf(id);
        if (tasks.isEmpty()) {
            connection.respond(
                    ControlConnection.NOT_FOUND,
                    views.withLeader(Map.of(
                            "said", "no request has that id, as far as this router has heard")));
        } else {
            connection.respond(
                    ControlConnection.OK,
                    views.withLeader(Map.of("request", views.request(tasks))));
        }
    }

    private void machines(ConfigFile request, ControlConnection connection) {
        request.rejectUnknownKeys();
        List<Object> machines = new ArrayList<>();
        stateMachine().machines().forEach(machine -> machines.add(views.machine(machine)));
        connection.respond(ControlConnection.OK, views.withLeader(Map.of("machines", machines)));
    }

    private void router(ConfigFile request, ControlConnection connection) {
        request.rejectUnknownKeys();
        connection.respond(ControlConnection.OK, views.withLeader(maintenance.status()));
    }

    // ---- What is put to the vote. ----

    private void propose(String command, ConfigFile request, ControlConnection connection) {
        request.rejectUnknownKeys();
        maintenance.propose(command, connection::answerProposal);
    }

    /** A router's process has ended for good, by the operator's word. */
    private void removeRouter(ConfigFile request, ControlConnection connection) {
        String router = request.text("router");
        request.rejectUnknownKeys();
        String incarnation = stateMachine().incarnation(router);
        if (policyRollout != null) {
            policyRollout.removeRouter(router);
        }
        if (incarnation == null) {
            connection.respond(ControlConnection.OK, Map.of("said", ""));
        } else {
            propose(
                    MaintenanceStateMachine.routerEndedLine(router, incarnation),
                    request,
                    connection);
        }
    }

    /** Another router is to vote in a voter's place. */
    private void replaceVoter(ConfigFile request, ControlConnection connection) {
        String voter = request.text("from");
        String replacement = request.text("to");
        request.rejectUnknownKeys();
        maintenance.peers().replaceVoter(voter, replacement);
        // Whoever leads does it as soon as that is safe; it is heard by asking who votes.
        String said =
                maintenance.peers().leader().isEmpty() ? "nobody is known to lead: ask again" : "";
        connection.respond(ControlConnection.OK, views.withLeader(Map.of("said", said)));
    }

    /** Asks for machines. */
    private void submitRequest(ConfigFile json, ControlConnection connection) {
        String id = json.text("id");
        List<String> selectors = json.texts("machines");
        long durationUs = json.micros("for_ms", 0, 1, MAX_DURATION_MS);
        long startWithinUs = json.has("within_ms")
                ? json.micros("within_ms", 0, 1, MAX_DURATION_MS)
                : Long.MAX_VALUE;
        int urgency = json.integer("urgency", 5, 0, MaintenanceRequest.MAX_URGENCY);
        String author = json.text("author", "unknown");
        String reason = json.text("why", "work");
        json.rejectUnknownKeys();
        if (durationUs <= 0) {
            throw json.invalid("for_ms", "is missing: how long each machine is out");
        }
        if (selectors.size() > MAX_SELECTORS) {
            throw json.invalid("machines", "names more than " + MAX_SELECTORS);
        }
        List<MaintenanceTask> known = stateMachine().tasksOf(id);
        if (!known.isEmpty()) {
            // Asked before: what was named then may mean other machines by now, and is not found
            // anew.
            connection.respond(
                    ControlConnection.OK, Map.of("said", "", "request", views.request(known)));
            return;
        }
        Set<String> machines = new TreeSet<>();
        for (String selector : selectors) {
            List<String> found = select(selector);
            if (found.isEmpty() && MachineSelector.isLabelSelector(selector)) {
                connection.respond(
                        ControlConnection.BAD_REQUEST,
                        Map.of("said", "no machine is meant by " + selector));
                return;
            }
            machines.addAll(found.isEmpty() ? List.of(selector) : found);
        }
        propose(
                MaintenanceStateMachine.requestLine(new MaintenanceRequest(
                        id,
                        List.copyOf(machines),
                        durationUs,
                        startWithinUs,
                        urgency,
                        author,
                        reason)),
                json,
                connection);
    }

    private List<String> select(String selector) {
        return stateMachine().machines().stream()
                .filter(machine -> MachineSelector.matches(selector, machine))
                .map(Machine::id)
                .toList();
    }
}
